package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/standin"
)

// stream returns the part of a stream that a run generated: events first to last of the answer to a request.
func stream(request, run string, from, first, last int, moved bool) standin.PlatformStream {
	s := standin.PlatformStream{Run: run, Request: request, Worker: "i-1", From: from, First: first, Moved: moved}
	for n := first; n <= last; n++ {
		s.Pieces = append(s.Pieces, fmt.Sprintf("id: %d\ndata: token %d of %s by %s\n\n", n, n, request, run))
	}
	return s
}

// streamCase is an answer of four events and what the runs of its request generated.
type streamCase struct {
	route, form string
	after       int
	body        []string // parts
	broken      bool
	kind        string // content type; empty: that of a stream
	streams     []standin.PlatformStream
}

func (c streamCase) add(e *Evidence) {
	a := servedAttempt("b", c.route, at(30))
	a.Call.Stream, a.Call.Form, a.Call.Output, a.Call.After = c.form == "", c.form, 4*e.EventTokens, c.after
	if a.Type = c.kind; a.Type == "" {
		a.Type = eventStream
	}
	a.Body, a.Complete = strings.Join(c.body, ""), !c.broken
	addServed(e, a)
	e.Streams = append(e.Streams, c.streams...)
}

var (
	whole       = stream("b", "i-1.1.0", 0, 1, 4, false)
	startedOver = stream("b", "i-1.2.0", 0, 1, 4, false)
	continued   = stream("b", "i-1.3.2", 2, 3, 4, false)
	plainWhole  = stream("b", "i-1.4.0", 0, 1, standin.PlainAnswerEvents, false)
	plainAgain  = stream("b", "i-1.5.0", 0, 1, standin.PlainAnswerEvents, false)
	two         = whole.Pieces[:2]
	join        = slices.Concat[[]string]
)

// Guards against a check that misses a way in which the pieces of a stream can be wrong.
func TestCheck_FindsWrongPieces(t *testing.T) {
	for name, c := range map[string]struct {
		guarantee string
		streamCase
	}{
		"a missing event":                           {piecesInOrder, streamCase{body: join(two[:1], whole.Pieces[2:])}},
		"an event twice":                            {piecesInOrder, streamCase{body: join(two, whole.Pieces[1:])}},
		"events that swap places":                   {piecesInOrder, streamCase{body: join(two[1:], two[:1], whole.Pieces[2:])}},
		"an early end":                              {piecesInOrder, streamCase{body: two}},
		"no events":                                 {piecesInOrder, streamCase{}},
		"a run that starts over":                    {piecesInOrder, streamCase{body: join(two, startedOver.Pieces)}},
		"another run's later events":                {piecesInOrder, streamCase{body: join(two, startedOver.Pieces[2:])}},
		"such in a broken answer":                   {piecesInOrder, streamCase{body: join(two, startedOver.Pieces[2:]), broken: true}},
		"a run that skips events":                   {piecesInOrder, streamCase{body: join(two[:1], continued.Pieces)}},
		"a continuation on a route without resumes": {piecesInOrder, streamCase{route: "chat", body: join(two, continued.Pieces)}},
		"two runs in a plain answer":                {piecesInOrder, streamCase{route: "look", form: standin.EventAnswer, body: join(plainWhole.Pieces[:2], plainAgain.Pieces[2:])}},
		"a resume from event 1":                     {piecesInOrder, streamCase{after: 2, body: startedOver.Pieces}},
		"a resume that skips":                       {piecesInOrder, streamCase{after: 1, body: continued.Pieces}},
		"a resume that repeats":                     {piecesInOrder, streamCase{after: 3, body: continued.Pieces}},
		"a resume of another run":                   {piecesInOrder, streamCase{after: 2, body: startedOver.Pieces[2:]}},
		"a resume without events":                   {piecesInOrder, streamCase{after: 2}},
		"the body of a failure":                     {wholeAnswer, streamCase{body: join(two, []string{"no such stream"})}},
		"half an event":                             {wholeAnswer, streamCase{body: join(two, []string{"id: 3\nda"})}},
		"half an event and a run":                   {wholeAnswer, streamCase{body: join(two, []string{"id: 3\nda"}, continued.Pieces), broken: true}},
		"another request's event":                   {wholeAnswer, streamCase{body: join(two, stream("x", "i-1.9.2", 2, 3, 4, false).Pieces)}},
	} {
		e := cleanEvidence()
		c.streams = []standin.PlatformStream{whole, startedOver, continued, plainWhole, plainAgain}
		if c.route == "" {
			c.route = "notes"
		}
		c.add(e)
		found := e.Check()
		must.Len(t, 1, found, must.Sprint(name, found))
		must.Eq(t, c.guarantee, found[0].Guarantee, must.Sprint(name))
	}
}

// Guards against a check that reports sound streams.
func TestCheck_AllowsSoundStreams(t *testing.T) {
	moved := stream("b", "i-1.1.0", 0, 3, 4, true)
	for name, c := range map[string]streamCase{
		"one run":               {route: "chat", body: whole.Pieces},
		"a broken one":          {route: "chat", body: join(two, []string{"id: 3\nda"}), broken: true},
		"a run that goes on":    {route: "notes", body: join(two, continued.Pieces)},
		"a moved run":           {route: "chat", body: join(two, moved.Pieces)},
		"a resume":              {route: "notes", after: 2, body: continued.Pieces},
		"a resume of a move":    {route: "notes", after: 2, body: moved.Pieces},
		"a resume at the end":   {route: "notes", after: 4},
		"another kind":          {route: "notes", after: 2, body: []string{"{}"}, kind: "application/json"},
		"a comment":             {route: "notes", body: join(two, []string{": ok\n\n"}, continued.Pieces)},
		"an answer with events": {route: "look", form: standin.EventAnswer, body: plainWhole.Pieces},
	} {
		e := cleanEvidence()
		c.streams = []standin.PlatformStream{whole, continued, moved, plainWhole}
		c.add(e)
		must.SliceEmpty(t, e.Check(), must.Sprint(name))
	}
}

// Guards against a report that doesn't show what the logs say of the request of a broken stream.
func TestReport_LogLinesOfRequest(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"n01": "a of b\nno other\n", "n02": "a of c\n"} {
		must.NoError(t, os.WriteFile(filepath.Join(dir, name+".log"), []byte(text), 0o600))
	}
	e := cleanEvidence()
	streamCase{route: "notes", body: two, streams: []standin.PlatformStream{whole}}.add(e)
	var report strings.Builder
	must.NoError(t, Report(&report, Options{Plan: Plan{Instances: 2}, Dir: dir}, e, []Breach{{Guarantee: piecesInOrder, Request: "of b"}}))
	must.StrContains(t, report.String(), "n01 a of b\n")
	must.StrNotContains(t, report.String(), "n02 a of c\n")
}
