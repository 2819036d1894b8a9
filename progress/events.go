package progress

import (
	"errors"
	"io"
	"net/http"
	"strings"
)

// ErrPartialStream means that the connection of an event stream whose end it marks has ended before the first event or
// within one, so that the stream is incomplete.
var ErrPartialStream = errors.New("the connection ended before the first event or within one")

// IsEventStream reports whether the header of an answer announces an event stream.
func IsEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// EventReader reads an event stream without a length and returns ErrPartialStream instead of io.EOF if the stream ends
// before its first event or within one.
type EventReader struct {
	io.Reader

	inLine    bool // the current line has bytes
	isComment bool // the current line is a comment
	inEvent   bool // lines have been read since the last empty one
	hasField  bool // one of the lines read so far is more than a comment
	afterCR   bool // the last byte is a CR, which may be the first half of a line end
	usesCR    bool // a line has ended in CR alone
}

// Read implements io.Reader.
func (r *EventReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	for _, c := range b[:n] {
		r.scan(c)
	}
	if err != io.EOF {
		return n, err
	}
	if r.afterCR && r.usesCR {
		r.afterCR = false
		r.endLine()
	}
	if r.inLine || r.inEvent || !r.hasField {
		err = ErrPartialStream
	}
	return n, err
}

func (r *EventReader) scan(c byte) {
	if r.afterCR && c != '\n' {
		r.usesCR = true
		r.endLine()
	}
	r.afterCR = c == '\r'
	switch {
	case c == '\r':
	case c == '\n':
		r.endLine()
	case !r.inLine:
		r.inLine, r.isComment = true, c == ':'
	}
}

func (r *EventReader) endLine() {
	if !r.inLine {
		r.inEvent = false
		return
	}
	r.inLine, r.inEvent = false, true
	r.hasField = r.hasField || !r.isComment
}
