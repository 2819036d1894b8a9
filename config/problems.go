package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is a mistake in a service file.
type Problem struct {
	File  string
	Line  int    // 1 is the first line
	Field string // path such as routes[1].timeout; empty if the problem concerns the whole file
	Cause string
	Fix   string // how to correct the mistake
}

// String returns the problem in one line.
func (p Problem) String() string {
	field := ""
	if p.Field != "" {
		field = p.Field + ": "
	}
	return fmt.Sprintf("%s:%d: %s%s; %s", p.File, p.Line, field, p.Cause, p.Fix)
}

// Problems is the error returned by the decoder. It lists every mistake in every file, sorted by file and line.
type Problems []Problem

// Error implements error with one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// asError returns the problems sorted by file and line, or nil if there are none: an empty list stored in an error
// would not be nil.
func (ps Problems) asError() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return ps
}
