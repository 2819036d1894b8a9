package standin

import (
	"sync"
	"time"
)

// Weights stands in for the weight store. It serves one load after the other, in order of arrival, at a fixed rate.
type Weights struct {
	rate   float64 // bytes a second
	mu     sync.Mutex
	idleAt time.Time // end of the last load
}

// NewWeights returns a weight store with a rate in bytes a second.
func NewWeights(rate float64) *Weights { return &Weights{rate: rate} }

// Load blocks until the store has served a load of the given number of bytes.
func (w *Weights) Load(bytes float64) {
	w.mu.Lock()
	if now := time.Now(); w.idleAt.Before(now) {
		w.idleAt = now
	}
	w.idleAt = w.idleAt.Add(time.Duration(bytes / w.rate * float64(time.Second)))
	end := w.idleAt
	w.mu.Unlock()
	time.Sleep(time.Until(end))
}
