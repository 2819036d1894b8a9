package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// blockingWriter signals its first write and blocks until it is released.
type blockingWriter struct {
	entered chan struct{}
	release chan struct{}
	text    bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	select {
	case w.entered <- struct{}{}:
	default:
	}
	<-w.release
	return w.text.Write(b)
}

// Guards against a request path that blocks on a slow reader of the log, against lines that are truncated or out of
// order, and against lines that are dropped without being counted.
func TestLineWriter_NeverBlocks(t *testing.T) {
	out := &blockingWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	w := newLineWriter(out)
	writeLine := func(i int) {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		must.NoError(t, err)
	}
	writeLine(0)
	<-out.entered // run is blocked from here on, so the queue only fills
	const kept, dropped = 1 + maxQueuedLines, 500
	for i := 1; i < kept+dropped; i++ {
		writeLine(i)
	}
	must.Eq(t, dropped, w.Dropped())
	close(out.release)
	w.Close()
	got := strings.Split(strings.TrimSpace(out.text.String()), "\n")
	must.Eq(t, kept, len(got))
	for i, line := range got {
		must.Eq(t, fmt.Sprintf("line %d", i), line)
	}
}

// batchWriter records the number of lines of each write.
type batchWriter struct{ batches []int }

func (w *batchWriter) Write(b []byte) (int, error) {
	w.batches = append(w.batches, bytes.Count(b, []byte("\n")))
	return len(b), nil
}

// Guards against a batch without bound: if lines arrive as fast as they are added to it, nothing is written, nothing is
// dropped, and memory grows without limit.
func TestLineWriter_BatchIsBounded(t *testing.T) {
	out := &batchWriter{}
	w := openLineWriter(out)
	for i := range maxQueuedLines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		must.NoError(t, err)
	}
	go w.run()
	w.Close()
	written := 0
	for _, lines := range out.batches {
		must.LessEq(t, maxBatchLines, lines)
		written += lines
	}
	must.Eq(t, maxQueuedLines, written)
}

// Guards against a process that panics at its end because a timer or a request still writes to the log.
func TestLineWriter_WriteAfterClose(t *testing.T) {
	var out bytes.Buffer
	w := newLineWriter(&out)
	_, err := fmt.Fprintln(w, "before")
	must.NoError(t, err)
	w.Close()
	_, err = fmt.Fprintln(w, "after")
	must.NoError(t, err)
	w.Close()
	must.Eq(t, "before\n", out.String())
}
