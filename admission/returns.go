package admission

import "time"

const (
	// returnWindow is the time for which a refused request is remembered after the time of its return.
	returnWindow = 3 * time.Second
	// maxRefused bounds the remembered refused requests.
	maxRefused = 1024
)

// Returns remembers the refused requests of an instance, to recognise the callers that return.
type Returns struct{ byKey map[uint64]time.Time }

// Remember records that the caller of a refused request may return at a time. A key of 0 is unknown.
func (r *Returns) Remember(key uint64, at, now time.Time) {
	if key == 0 {
		return
	}
	if r.byKey == nil {
		r.byKey = map[uint64]time.Time{}
	}
	if len(r.byKey) >= maxRefused {
		for k, at := range r.byKey {
			if now.Sub(at) > returnWindow {
				delete(r.byKey, k)
			}
		}
		if len(r.byKey) >= maxRefused {
			return
		}
	}
	r.byKey[key] = at
}

// Take reports whether a caller returns after a refusal, not earlier than it was asked to, and forgets the refusal.
func (r *Returns) Take(key uint64, now time.Time) bool {
	at, ok := r.byKey[key]
	if !ok || now.Before(at) {
		return false
	}
	delete(r.byKey, key)
	return now.Sub(at) <= returnWindow
}
