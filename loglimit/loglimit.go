// Package loglimit bounds log lines whose number clients determine, so that a crowd of them does not flood the log.
package loglimit

import (
	"sync"
	"time"
)

// Limit allows a number of lines in each second. It is safe for concurrent use; the zero value allows DefaultLines.
type Limit struct {
	Lines int // in a second; 0: DefaultLines

	mu    sync.Mutex
	begin time.Time
	taken int
}

// DefaultLines is the number of lines a second that a person may still look through, and above what ordinary clients cause.
const DefaultLines = 50

// Allow reports whether a line may be logged at now.
func (l *Limit) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.begin) >= time.Second {
		l.begin, l.taken = now, 0
	}
	l.taken++
	most := l.Lines
	if most == 0 {
		most = DefaultLines
	}
	return l.taken <= most
}
