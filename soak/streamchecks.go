package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/trefoillug/trefoillug/standin"
)

// Guarantees of answers that consist of pieces.
const (
	piecesInOrder = "pieces of a stream in order"
	wholeAnswer   = "whole answer of one endpoint"
)

// piece is an event that a run generated.
type piece struct {
	number int
	stream *standin.PlatformStream
}

// events returns the number of events of the whole answer to a call.
func (e *Evidence) events(c standin.PlatformCall) int {
	if !c.Stream {
		return standin.PlainAnswerEvents
	}
	return (c.Output + e.EventTokens - 1) / e.EventTokens
}

// checkEvents compares an answer that consists of events with those that the runs of its request generated.
func (e *Evidence) checkEvents(a *Attempt, streams []standin.PlatformStream) []Breach {
	if !a.Call.HasEvents() || a.Status != 200 {
		return nil
	}
	pieces := map[string]piece{}
	for i := range streams {
		for n, text := range streams[i].Pieces {
			pieces[text] = piece{streams[i].First + n, &streams[i]}
		}
	}
	position := a.Call.After
	found := func(guarantee, format string, args ...any) []Breach {
		text := fmt.Sprintf("%s (%s) at %s, resumed after event %d of %q: ", a.Call.ID, a.Call.Route, a.Instance, a.Call.After, a.Resumes)
		return []Breach{{Guarantee: guarantee, At: a.Ended, Text: text + fmt.Sprintf(format, args...), Request: a.Call.ID}}
	}
	var last *standin.PlatformStream
	for text := range strings.SplitAfterSeq(a.Body, "\n\n") {
		p, ok := pieces[text]
		switch {
		case text == "" || !ok && !a.Complete && !strings.HasSuffix(text, "\n\n"):
			continue // the end of a broken answer
		case a.Call.Resumable() && isComment(text):
			continue
		case !ok && a.Call.After > 0 && last == nil && a.Type != eventStream:
			return nil // an answer of another kind, which the caller doesn't take for the rest of its stream
		case !ok:
			return found(wholeAnswer, "after event %d came %q, which no endpoint generated for it", position, shorten(text))
		case p.number != position+1:
			return found(piecesInOrder, "after event %d came event %d by run %s of %s", position, p.number, p.stream.Run, p.stream.Worker)
		case !follows(a.Call, last, p.stream, position):
			return found(piecesInOrder, "after event %d came an event by run %s of %s, which had begun after event %d", position, p.stream.Run, p.stream.Worker, p.stream.From)
		}
		position, last = p.number, p.stream
	}
	if ended := e.events(a.Call); a.Complete && position < ended && (a.Call.After == 0 || last != nil || a.Type == eventStream) {
		return found(piecesInOrder, "the answer ended as complete after event %d of %d", position, ended)
	}
	return nil
}

// isComment reports whether a part of a stream has comments only.
func isComment(text string) bool {
	for line := range strings.Lines(strings.TrimSuffix(text, "\n")) {
		if !strings.HasPrefix(line, ":") {
			return false
		}
	}
	return true
}

const eventStream = "text/event-stream"

// follows reports whether an event of a run may follow an event of another one, or of what the caller had, at a position.
func follows(c standin.PlatformCall, last, next *standin.PlatformStream, position int) bool {
	switch {
	case last != nil && last.Run == next.Run:
		return true
	case last == nil && next.Moved:
		return next.From <= position // the run may be one that the caller has events of
	case last == nil:
		return next.From == position
	default:
		return c.Resumable() && next.From == position
	}
}

// countStreams returns lines with the numbers of what the checks of streams rest on.
func (e *Evidence) countStreams() string {
	resumes, twice, abandoned, joined, moved := 0, 0, 0, 0, 0
	resumed := map[string]bool{}
	for i := range e.Attempts {
		a := &e.Attempts[i]
		if a.Resumes != "" {
			resumes++
			resumed[a.Call.ID] = true
		}
		if resumed[a.Resumes] {
			twice++
		}
		if a.Abandoned {
			abandoned++
		}
	}
	for _, s := range e.Streams {
		if s.Moved {
			moved++
		} else if s.First > 1 {
			joined++
		}
	}
	odd := make([]string, 0, len(e.Oddities))
	for _, name := range slices.Sorted(maps.Keys(e.Oddities)) {
		odd = append(odd, fmt.Sprintf("%s %d", name, e.Oddities[name]))
	}
	return fmt.Sprintf("%d resumes by callers, %d of them repeated, %d with the old connection open; %d runs that go on, %d moved; roll-outs: %s\nodd answers: %s",
		resumes, twice, abandoned, joined, moved, strings.Join(e.Rollouts, ", "), strings.Join(odd, ", "))
}
