// Package progress bounds the answers of endpoints and detects the ones that stop making progress. Both request paths
// use it, so that an endpoint is judged by the same rule on each.
package progress

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

var (
	// ErrTooLong means that a part of an answer exceeds its bound.
	ErrTooLong = errors.New("the answer exceeds a bound")
	// ErrStalled means that an answer made no progress.
	ErrStalled = errors.New("the answer made no progress in the expected time")
)

const (
	// MaxHeadBytes bounds the status line and the header fields of an answer, also of an informational one.
	MaxHeadBytes = 64 << 10
	// MaxEventBytes bounds one event of a stream. Events of a few tokens have some hundred bytes.
	MaxEventBytes = 256 << 10
	// MaxAnswerBytes bounds an answer that is relayed while it arrives.
	MaxAnswerBytes = 256 << 20
	// MaxControlBytes bounds the answer to a control call, which is held in memory.
	MaxControlBytes = 4 << 20
	// MinBodyRate is the least rate in bytes per second at which the body of an answer makes progress.
	MinBodyRate = 256
)

// Watch detects an answer without progress. Progress is a complete event, or body bytes at MinBodyRate or more. Its
// methods are safe for concurrent use.
type Watch struct {
	gap     time.Duration
	onStall func()

	mu        sync.Mutex
	timer     *time.Timer
	stopped   bool
	hasEvents bool
	bytes     float64 // body bytes since the last progress
}

// Start returns a watch that calls onStall once there has been no progress for gap, and again after each further gap
// without progress.
func Start(gap time.Duration, onStall func()) *Watch {
	w := &Watch{gap: gap, onStall: onStall}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(gap, w.stall)
	return w
}

func (w *Watch) stall() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	w.restart()
	w.mu.Unlock()
	w.onStall()
}

// restart begins a new gap. w.mu must be held.
func (w *Watch) restart() {
	w.bytes = 0
	if !w.stopped {
		w.timer.Reset(w.gap)
	}
}

// RecordEvent records a complete event of a stream.
func (w *Watch) RecordEvent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasEvents = true
	w.restart()
}

// RecordComment records a complete comment of a stream. Endpoints send comments while a request waits for its turn, so
// they are progress only before the first event.
func (w *Watch) RecordComment() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.hasEvents {
		w.restart()
	}
}

// RecordBody records n bytes of a body that is not a stream of events.
func (w *Watch) RecordBody(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes += float64(n)
	if w.bytes >= MinBodyRate*w.gap.Seconds() {
		w.restart()
	}
}

// SetGap replaces the gap and begins a new one.
func (w *Watch) SetGap(gap time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gap = gap
	w.restart()
}

// Stop ends the watch; onStall is not called after Stop has returned, except by a call that has already begun.
func (w *Watch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// Reader records the body bytes that it reads with a watch.
type Reader struct {
	io.Reader
	Watch *Watch
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.Watch.RecordBody(n)
	return n, err
}

// DecodeJSON decodes the answer to a control call, of at most MaxControlBytes, into out.
func DecodeJSON(r io.Reader, out any) error {
	limited := &io.LimitedReader{R: r, N: MaxControlBytes}
	err := json.NewDecoder(limited).Decode(out)
	if err != nil && limited.N <= 0 {
		return fmt.Errorf("%w: it has more than %d bytes", ErrTooLong, MaxControlBytes)
	}
	return err
}
