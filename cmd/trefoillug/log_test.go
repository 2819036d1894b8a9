package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	text    bytes.Buffer
}

func (w *stuckWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.text.Write(b)
}

// Guards against a request path that waits for the reader of the log, against lines cut or out of order, and against
// lines that are dropped without being counted.
func TestLineWriter_NeverBlocks(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	w := newLineWriter(out)
	const lines = maxQueuedLines + 500
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		must.NoError(t, err)
	}
	must.Positive(t, w.Dropped())
	close(out.release)
	w.Close()
	got := strings.Split(strings.TrimSpace(out.text.String()), "\n")
	must.Eq(t, lines-int(w.Dropped()), len(got))
	for i, line := range got {
		must.Eq(t, fmt.Sprintf("line %d", i), line)
	}
}
