package forward

import (
	"bytes"
	"iter"
)

// lines returns the lines of a stream without their ends, which are CR, LF or both.
func lines(b []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(b) > 0 {
			n, end := lineEnd(b)
			if end == 0 {
				n = len(b)
			}
			if !yield(b[:n]) {
				return
			}
			b = b[n+end:]
		}
	}
}

// lineEnd returns the length of the first line of b and that of its end, which is 0 if the line is incomplete.
func lineEnd(b []byte) (length, end int) {
	lf := bytes.IndexByte(b, '\n')
	first := b
	if lf >= 0 {
		first = b[:lf]
	}
	switch cr := bytes.IndexByte(first, '\r'); {
	case cr < 0 && lf < 0:
		return 0, 0
	case cr < 0:
		return lf, 1
	case cr+1 == lf:
		return cr, 2
	default:
		return cr, 1
	}
}

// isBlank reports whether b has only empty lines.
func isBlank(b []byte) bool { return len(bytes.Trim(b, "\r\n")) == 0 }

// eventsEnd returns the length of the complete events at the start of b.
func eventsEnd(b []byte) int {
	end := 0
	for {
		n := firstEventEnd(b[end:])
		if n == 0 {
			return end
		}
		end += n
	}
}

// firstEventEnd returns the length of the first event of b with its blank line, and 0 if it is incomplete. If the blank line
// is a CR at the end of b, an LF may follow, which then is an empty line before the next event.
func firstEventEnd(b []byte) int {
	for at := 0; ; {
		n, end := lineEnd(b[at:])
		if end == 0 {
			return 0
		}
		at += n + end
		if blank, blankEnd := lineEnd(b[at:]); blankEnd > 0 && blank == 0 {
			return at + blankEnd
		}
	}
}

// countEvents returns the number of complete events in b.
func countEvents(b []byte) (n int) {
	for end := firstEventEnd(b); end > 0; end = firstEventEnd(b) {
		b = b[end:]
		n++
	}
	return n
}
