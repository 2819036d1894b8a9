package lab

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record is the list of what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

// NewRecord returns an empty record that begins now.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Add adds a line with the time since the begin.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// WriteFile writes the lines to a file.
func (r *Record) WriteFile(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
