package standin

import (
	"sync"
	"time"
)

// Weights stands in for the weight store, whose rate all loads share in the order of their arrival.
type Weights struct {
	rate float64 // bytes a second
	mu   sync.Mutex
	free time.Time // when the loads before have ended
}

// NewWeights returns a weight store with a rate in bytes a second.
func NewWeights(rate float64) *Weights { return &Weights{rate: rate} }

// Load returns after the time that the store takes for bytes.
func (w *Weights) Load(bytes float64) {
	w.mu.Lock()
	if now := time.Now(); w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(time.Duration(bytes / w.rate * float64(time.Second)))
	end := w.free
	w.mu.Unlock()
	time.Sleep(time.Until(end))
}
