package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Brittle makes a worker run and queue a bounded number of requests, and fall over when it has to reject more than a few of
// them in a second: it drops all connections and requests, and serves none for a while. Its answers announce that.
type Brittle struct {
	Tolerance int           // rejections in a second with which the worker does not fall over
	Slots     int           // requests that run at a time
	Queue     int           // requests that may wait until Shrink is called
	Down      time.Duration // time without service after a fall
	OnFall    func()        // closes the connections to the worker; may be nil

	mu       sync.Mutex
	running  int
	waiting  []chan bool // false: the worker has fallen over
	rejected []PlatformRefusal
	falls    []BrittleFall
	lifetime int
	downTill time.Time
}

// BrittleFall is a fall of a worker.
type BrittleFall struct {
	Worker   string
	At       time.Time
	Rejected []PlatformRefusal // of the second before
}

// Shrink sets how many requests may wait from now on. Those that wait already stay.
func (b *Brittle) Shrink(queue int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Queue = queue
}

// Falls returns the falls so far.
func (b *Brittle) Falls() []BrittleFall {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]BrittleFall(nil), b.falls...)
}

// serve serves a request in a slot with run, or rejects it with refuse.
func (b *Brittle) serve(w http.ResponseWriter, r *http.Request, refuse, run func()) {
	w.Header().Set("Server-Brittle", strconv.Itoa(b.Tolerance))
	lifetime, ok := b.acquire(r)
	if !ok {
		if b.isDown() {
			panic(http.ErrAbortHandler)
		}
		refuse()
		return
	}
	defer b.release(lifetime)
	run()
	if b.hasFallen(lifetime) {
		panic(http.ErrAbortHandler)
	}
}

// acquire takes a slot, after a wait if there is room for it. lifetime identifies the time between two falls.
func (b *Brittle) acquire(r *http.Request) (lifetime int, ok bool) {
	b.mu.Lock()
	lifetime = b.lifetime
	switch {
	case time.Now().Before(b.downTill):
		b.mu.Unlock()
		return lifetime, false
	case b.running < b.Slots:
		b.running++
		b.mu.Unlock()
		return lifetime, true
	case len(b.waiting) >= b.Queue:
		b.mu.Unlock()
		return lifetime, false
	}
	turn := make(chan bool, 1)
	b.waiting = append(b.waiting, turn)
	b.mu.Unlock()
	select {
	case ok = <-turn:
		return lifetime, ok
	case <-r.Context().Done():
		go func() { // the slot that the request may get goes to the next one
			if <-turn {
				b.release(lifetime)
			}
		}()
		panic(http.ErrAbortHandler)
	}
}

func (b *Brittle) release(lifetime int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lifetime != b.lifetime {
		return
	}
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	b.waiting[0] <- true
	b.waiting = b.waiting[1:]
}

func (b *Brittle) isDown() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.downTill)
}

func (b *Brittle) hasFallen(lifetime int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return lifetime != b.lifetime
}

// recordRejection records a rejection for want of room, after which the worker may fall over.
func (b *Brittle) recordRejection(r PlatformRefusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejected = append(b.rejected, r)
	for r.At.Sub(b.rejected[0].At) >= time.Second {
		b.rejected = b.rejected[1:]
	}
	if len(b.rejected) <= b.Tolerance || r.At.Before(b.downTill) {
		return
	}
	b.falls = append(b.falls, BrittleFall{r.Worker, r.At, b.rejected})
	b.lifetime++
	b.downTill = r.At.Add(b.Down)
	for _, turn := range b.waiting {
		turn <- false
	}
	b.running, b.waiting, b.rejected = 0, nil, nil
	if b.OnFall != nil {
		go b.OnFall()
	}
}
