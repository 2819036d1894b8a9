package node

import (
	"sync"
	"time"
)

const (
	// workMemory is the time over which an instance's work is averaged.
	workMemory = 4 * time.Second
	// workLife is the age at which a peer's report of its work is dropped.
	workLife = 3 * time.Second
)

// work measures the load of services in endpoints: here, and as the peers report it.
type work struct {
	mu     sync.Mutex
	done   map[string]time.Duration // since the last measurement
	rates  map[string]float64       // endpoints
	at     time.Time
	others map[string]peerWork
}

type peerWork struct {
	rates map[string]uint32
	at    time.Time
}

func newWork() work {
	return work{done: map[string]time.Duration{}, rates: map[string]float64{}, others: map[string]peerWork{}, at: time.Now()}
}

func (w *work) add(service string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[service] += d
}

// measure updates the averages and returns them in thousandths of an endpoint.
func (w *work) measure(now time.Time) map[string]uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	passed := now.Sub(w.at)
	if passed <= 0 {
		return nil
	}
	w.at = now
	weight := min(1, float64(passed)/float64(workMemory))
	out := map[string]uint32{}
	for service, done := range w.done {
		w.rates[service] += (float64(done)/float64(passed) - w.rates[service]) * weight
		w.done[service] = 0
		out[service] = uint32(w.rates[service] * 1000)
	}
	return out
}

func (w *work) receive(origin string, rates map[string]uint32, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.others[origin] = peerWork{rates, now}
}

// total is the load of a service over all instances, in endpoints.
func (w *work) total(service string, now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := w.rates[service]
	for origin, o := range w.others {
		if now.Sub(o.at) > workLife {
			delete(w.others, origin)
			continue
		}
		sum += float64(o.rates[service]) / 1000
	}
	return sum
}
