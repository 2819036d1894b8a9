package main

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// newLog returns a logger that writes JSON lines to out. It returns an error if the level is unknown.
func newLog(out io.Writer, level string) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log.SetLevel(parsed)
	return log, nil
}

// maxQueuedLines bounds the lines queued for a slow reader of the log; at 500 bytes each they take 1 MB.
const maxQueuedLines = 2048

// maxBatchLines bounds the lines of one write. Without it, a batch would grow forever if lines arrive as fast as they
// are added to it. 64 lines of 500 bytes are half of a pipe's 64 KB.
const maxBatchLines = 64

// lineWriter queues lines and writes them to out without blocking its callers: when the queue is full, lines are
// dropped and counted. It is safe for concurrent use.
type lineWriter struct {
	out       io.Writer
	lines     chan []byte
	stop      chan struct{} // closed by Close
	done      chan struct{} // closed when run has ended
	dropped   atomic.Int64
	closeOnce sync.Once
}

func newLineWriter(out io.Writer) *lineWriter {
	w := openLineWriter(out)
	go w.run()
	return w
}

// openLineWriter returns a lineWriter whose lines nothing writes yet.
func openLineWriter(out io.Writer) *lineWriter {
	return &lineWriter{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
}

// Write implements io.Writer. It always reports success. A line that is written after Close may be lost: timers and
// requests of an instance that ends still write to its log.
func (w *lineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines in batches, since each write costs processor time, until the writer is closed and the queue
// is empty.
func (w *lineWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		case <-w.stop:
			for len(w.lines) > 0 {
				w.writeBatch(<-w.lines)
			}
			return
		}
	}
}

// writeBatch writes a line and the queued ones after it.
func (w *lineWriter) writeBatch(batch []byte) {
	for n, more := 1, true; more && n < maxBatchLines; n++ {
		select {
		case next := <-w.lines:
			batch = append(batch, next...)
		default:
			more = false
		}
	}
	_, _ = w.out.Write(batch) // a failed write of the log cannot be logged
}

// Dropped returns the number of lines dropped so far.
func (w *lineWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines.
func (w *lineWriter) Close() {
	w.closeOnce.Do(func() { close(w.stop) })
	<-w.done
}
