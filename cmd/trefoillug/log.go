package main

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// newLog returns a log of JSON lines.
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

// maxQueuedLines bounds the lines that wait for a slow reader of the log; at 500 bytes each they take 1 MB.
const maxQueuedLines = 2048

// maxBatchLines bounds the lines of one write, so that a writer of lines that keeps up with the batch cannot grow it
// without end; 64 lines of 500 bytes are half of a pipe's 64 KB.
const maxBatchLines = 64

// lineWriter passes lines on without ever blocking the writer: what does not fit is dropped and counted. It is safe for
// concurrent use.
type lineWriter struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	close   sync.Once
}

func newLineWriter(out io.Writer) *lineWriter {
	w := &lineWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It always reports success.
func (w *lineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the lines that are there together, since each write of the log costs processor time.
func (w *lineWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		batch := line
		for n, more := 1, true; more && n < maxBatchLines; n++ {
			select {
			case next, ok := <-w.lines:
				more = ok
				batch = append(batch, next...)
			default:
				more = false
			}
		}
		_, _ = w.out.Write(batch) // there is nowhere else to tell
	}
}

// Dropped returns the number of lines dropped so far.
func (w *lineWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued. No line may be written after it.
func (w *lineWriter) Close() {
	w.close.Do(func() { close(w.lines) })
	<-w.done
}
