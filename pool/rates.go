package pool

import (
	"sync"
	"time"
)

// recentMinutes is the number of full minutes, besides the current one, over which RecentPeak takes the highest rate.
const recentMinutes = 10

// Rates counts the requests of services at this instance, including refused ones. It is safe for concurrent use.
type Rates struct {
	mu       sync.Mutex
	services map[string]*minuteCounts
}

// minuteCounts is a ring of the request counts of the last minutes.
type minuteCounts struct {
	last   int64 // minute of the newest count
	counts [recentMinutes + 1]int
}

func (m *minuteCounts) advance(now int64) {
	for ; m.last < now; m.last++ {
		if now-m.last > int64(len(m.counts)) {
			m.last = now - int64(len(m.counts))
		}
		m.counts[(m.last+1)%int64(len(m.counts))] = 0
	}
}

// NewRates returns a Rates without any counts.
func NewRates() *Rates { return &Rates{services: map[string]*minuteCounts{}} }

// Count counts a request of a service.
func (r *Rates) Count(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.services[service]
	if m == nil {
		m = &minuteCounts{}
		r.services[service] = m
	}
	m.advance(now.Unix() / 60)
	m.counts[m.last%int64(len(m.counts))]++
}

// RecentPeak returns the highest rate of a service in the last recentMinutes and the current minute, in requests a
// second.
func (r *Rates) RecentPeak(now time.Time, service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.services[service]
	if m == nil {
		return 0
	}
	m.advance(now.Unix() / 60)
	highest := 0
	for _, n := range m.counts {
		highest = max(highest, n)
	}
	return float64(highest) / 60
}
