package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// framing is the way in which an answer marks the end of its body.
type framing int

const (
	byLength framing = iota
	byChunks
	byChunksWithTrailer
	byConnection
)

// RawAnswer describes how an endpoint writes its answers.
type RawAnswer struct {
	Name    string
	Status  int  // of the final answer
	Events  bool // the body is an event stream
	proto   string
	framing framing
	lineEnd string
	interim string   // informational answer before the final one
	header  []string // further header lines
	empty   bool     // the body has no bytes
}

// RawAnswers returns answers in each framing, as plain ones and as event streams.
func RawAnswers() []RawAnswer {
	const http10, http11, crlf = "HTTP/1.0", "HTTP/1.1", "\r\n"
	ok := func(name, proto string, f framing) RawAnswer {
		return RawAnswer{Name: name, Status: http.StatusOK, proto: proto, framing: f, lineEnd: crlf}
	}
	events := func(a RawAnswer) RawAnswer {
		a.Name, a.Events = "events, "+a.Name, true
		return a
	}
	bareLineFeeds := func(a RawAnswer) RawAnswer {
		a.Name, a.lineEnd = a.Name+", bare line feeds", "\n"
		return a
	}
	length, chunks, trailer := ok("length", http11, byLength), ok("chunks", http11, byChunks), ok("trailer", http11, byChunksWithTrailer)
	connection, old := ok("no length", http11, byConnection), ok("HTTP/1.0", http10, byConnection)
	empty := ok("length 0", http11, byLength)
	empty.empty = true
	hints := ok("interim answer", http11, byLength)
	hints.interim = "HTTP/1.1 103 Hints\r\nL: a\r\n\r\n"
	folded := ok("folded header", http11, byLength)
	folded.header = []string{"F: a\r\n b"}
	failure := ok("failure", http11, byLength)
	failure.Status = http.StatusInternalServerError
	return []RawAnswer{
		length, chunks, trailer, connection, old, empty, hints, folded, failure,
		ok("HTTP/1.0 with length", http10, byLength), bareLineFeeds(length), bareLineFeeds(connection),
		events(length), events(chunks), events(trailer), events(connection), events(old), bareLineFeeds(events(connection)),
	}
}

// Body returns a body for the answer: text, or the events that come after the one with the ID after, "" for all.
func (a *RawAnswer) Body(after string) string {
	switch {
	case a.empty:
		return ""
	case !a.Events:
		return "whole"
	}
	var b strings.Builder
	if after == "" {
		b.WriteString(RawComment)
	}
	last, _ := strconv.Atoi(after) // 0 without an ID
	for n := last + 1; n <= rawEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

const (
	// RawComment begins the event streams.
	RawComment = ": wait\n\n"
	// rawEvents is the number of events of a stream.
	rawEvents = 2
)

// RawBytes are the bytes of one answer.
type RawBytes struct {
	Text   string
	Body   string
	Head   int // length of the head, with interim answers
	answer *RawAnswer
}

// Bytes returns the bytes of an answer. header holds further header lines without their ends.
func (a *RawAnswer) Bytes(body string, header ...string) *RawBytes {
	lines := []string{fmt.Sprintf("%s %d %s", a.proto, a.Status, http.StatusText(a.Status))}
	lines = append(lines, header...)
	lines = append(lines, a.header...)
	if a.Events {
		lines = append(lines, "Content-Type: text/event-stream")
	}
	framed := body
	switch a.framing {
	case byLength:
		lines = append(lines, "Content-Length: "+strconv.Itoa(len(body)))
	case byChunks:
		lines = append(lines, "Transfer-Encoding: chunked")
		framed = inChunks(body) + "0\r\n\r\n"
	case byChunksWithTrailer:
		lines = append(lines, "Transfer-Encoding: chunked", "Trailer: S")
		framed = inChunks(body) + "0\r\nS: 1\r\n\r\n"
	case byConnection:
	}
	head := a.interim + strings.Join(lines, a.lineEnd) + a.lineEnd + a.lineEnd
	return &RawBytes{Text: head + framed, Body: body, Head: len(head), answer: a}
}

// inChunks returns text in chunks, the first of which ends within it.
func inChunks(text string) string {
	var b strings.Builder
	for size := max(1, len(text)*2/3); text != ""; text = text[size:] {
		size = min(size, len(text))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", size, text[:size])
	}
	return b.String()
}

// WholeAt returns the body that a caller receives if the answer ends after n bytes, by a reset of the connection or
// without, and whether it is whole. The end of the connection marks the end of an answer without a length unless the
// connection is reset, or ends before the first event or within one.
func (b *RawBytes) WholeAt(n int, reset bool) (body string, whole bool) {
	if b.answer.framing != byConnection {
		return b.Body, n >= len(b.Text)
	}
	if reset || n < b.Head {
		return "", false
	}
	body = b.Text[b.Head:n]
	return body, !b.answer.Events || body != RawComment && strings.HasSuffix(body, "\n\n")
}
