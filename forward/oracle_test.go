package forward_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// sentAnswer is what an endpoint sends for one arrival, in full, even if the forwarder stops reading it.
type sentAnswer struct {
	seal     string
	status   int
	headOK   bool // the head is an HTTP head that answers the request
	notRun   bool // the endpoint states that it did not run the request
	after    string
	events   []string // of an event stream; nil otherwise
	isStream bool
	body     string
	complete bool // body ends as its framing requires
}

// view is what a caller gets.
type view struct {
	refused bool // the answer is one of the system
	status  int
	seal    string
	length  int64 // -1: not stated
	body    string
	broken  bool // the connection ended before the answer did
}

// routeRules are the properties of a route that decide which views are allowed.
type routeRules struct {
	name                 string // of the harness's route
	mayRepeat, resumable bool
	maxAttempts          int
}

// canRepeat reports whether a request may be sent to a second endpoint after the first one may have run it.
func (r routeRules) canRepeat() bool { return r.mayRepeat && r.maxAttempts > 1 }

// checkView returns an error unless a caller may get v after the endpoints sent the given answers, in order of arrival. after
// is the ID of the event after which the caller has resumed a stream, "" if it has not.
// Answers of endpoints whose status promises that the request did not run are translated by the ResponseWriter.
func checkView(route routeRules, after string, sent []sentAnswer, v view) error {
	runs := 0
	for i := range sent {
		if !sent[i].notRun {
			runs++
		}
	}
	switch {
	case !route.mayRepeat && runs > 1:
		return fmt.Errorf("%d runs on a route without repeats", runs)
	case runs > route.maxAttempts:
		return fmt.Errorf("%d runs, at most %d are allowed", runs, route.maxAttempts)
	}
	if v.refused {
		return checkRefusal(v, runs)
	}
	if v.seal == "" {
		return fmt.Errorf("status %d without the seal of an endpoint", v.status)
	}
	first := 0
	for first < len(sent) && sent[first].seal != v.seal {
		first++
	}
	switch {
	case first == len(sent):
		return fmt.Errorf("no endpoint sent seal %q", v.seal)
	case !sent[first].headOK:
		return fmt.Errorf("the head of answer %s is no answer to the request", v.seal)
	case sent[first].notRun:
		return fmt.Errorf("the rejection of answer %s was relayed", v.seal)
	case sent[first].status != v.status:
		return fmt.Errorf("status %d of answer %s became %d", sent[first].status, v.seal, v.status)
	case !v.broken && v.length >= 0 && v.length != int64(len(v.body)) && v.status != http.StatusNoContent:
		return fmt.Errorf("%d bytes of a body of %d look complete", len(v.body), v.length)
	}
	isResumable := route.resumable && sent[first].isStream && sent[first].status == http.StatusOK
	switch {
	case isResumable && after != "":
		// What precedes the caller's position is the caller's, and belongs to no answer here.
		caller := sentAnswer{headOK: true, isStream: true, status: http.StatusOK, events: []string{"id: " + after + "\n\n"}}
		if isChain(append([]sentAnswer{caller}, sent[first:]...), caller.events[0]+v.body, "", v.broken) {
			return nil
		}
	case isPartOf(&sent[first], v.body, v.broken):
		return nil
	case isResumable && isChain(sent[first:], v.body, "", v.broken):
		return nil
	}
	return fmt.Errorf("body %q (broken off: %v) is neither an answer nor a sound continuation of %s", v.body, v.broken, v.seal)
}

func checkRefusal(v view, runs int) error {
	switch v.status {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 {
			return fmt.Errorf("refused with %d after %d runs", v.status, runs)
		}
	default:
		return fmt.Errorf("refused with %d", v.status)
	}
	if v.broken || v.body != "" {
		return fmt.Errorf("refusal after a part of an answer: %q", v.body)
	}
	return nil
}

// isPartOf reports whether body is the whole body of a complete answer or, if broken, the start of an answer.
func isPartOf(s *sentAnswer, body string, broken bool) bool {
	if broken {
		return strings.HasPrefix(s.body, body)
	}
	return s.complete && body == s.body
}

// isChain reports whether body consists of whole events of the first answer, followed by events of later answers of
// which each starts one position after the events before. position is that of the latest event, "" if there is none.
func isChain(sent []sentAnswer, body, position string, broken bool) bool {
	s := &sent[0]
	if isPartOf(s, body, broken) {
		return true
	}
	for _, e := range s.events {
		rest, ok := strings.CutPrefix(body, e)
		if !ok || !follows(e, position) {
			break
		}
		body, position = rest, eventPosition(e)
		for next := 1; next < len(sent); next++ {
			if continues(&sent[next], position) && isChain(sent[next:], body, position, broken) {
				return true
			}
		}
	}
	return false
}

// continues reports whether an answer is a stream that goes on after an event.
func continues(s *sentAnswer, position string) bool {
	if !s.headOK || s.notRun || !s.isStream || s.status != http.StatusOK || s.after != position {
		return false
	}
	return len(s.events) > 0 && follows(s.events[0], position)
}

// follows reports whether an event is the one after a position; any event may be the first one.
func follows(event, position string) bool {
	if position == "" {
		return eventPosition(event) != ""
	}
	last, _ := strconv.Atoi(position)
	n, err := strconv.Atoi(eventPosition(event))
	return err == nil && n == last+1
}

func eventPosition(event string) string {
	for line := range strings.Lines(event) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			return strings.TrimSpace(id)
		}
	}
	return ""
}
