package pool

import (
	"sync"
	"time"
)

// recentMinutes is the span of the recent peak.
const recentMinutes = 10

// Rates counts the requests of services at this instance, refused ones as well. It is safe for concurrent use.
type Rates struct {
	mu       sync.Mutex
	services map[string]*minutes
}

// minutes holds the counts of the last minutes in a ring.
type minutes struct {
	last   int64 // minute of the newest count
	counts [recentMinutes + 1]int
}

func (m *minutes) roll(now int64) {
	for ; m.last < now; m.last++ {
		if now-m.last > int64(len(m.counts)) {
			m.last = now - int64(len(m.counts))
		}
		m.counts[(m.last+1)%int64(len(m.counts))] = 0
	}
}

// NewRates returns empty counts.
func NewRates() *Rates { return &Rates{services: map[string]*minutes{}} }

// Count adds a request of a service.
func (r *Rates) Count(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.services[service]
	if m == nil {
		m = &minutes{}
		r.services[service] = m
	}
	m.roll(now.Unix() / 60)
	m.counts[m.last%int64(len(m.counts))]++
}

// Recent returns the highest rate of a service in the last minutes, in requests a second.
func (r *Rates) Recent(now time.Time, service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.services[service]
	if m == nil {
		return 0
	}
	m.roll(now.Unix() / 60)
	most := 0
	for _, n := range m.counts {
		most = max(most, n)
	}
	return float64(most) / 60
}
