package relay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/trefoillug/trefoillug/problem"
)

// sentAnswer is what an endpoint sends for one arrival, in full, even if the relay stops reading it.
type sentAnswer struct {
	seal     string
	status   int
	headOK   bool // the head is an HTTP head
	rejected bool // the status states that the request is malformed and was not run
	first    int  // stream of an engine: position of the first token
	tokens   int  // stream of an engine: number of tokens
	body     string
	complete bool // the body ends as its framing requires, and an engine's stream with a finish reason
}

// countRuns returns the number of endpoints that may have run the request.
func countRuns(sent []sentAnswer) (n int) {
	for i := range sent {
		if !sent[i].rejected {
			n++
		}
	}
	return n
}

// checkOutcome returns an error if the details of a refusal claim that a request did not run although it may have.
func checkOutcome(sent []sentAnswer, body string) error {
	var d problem.Details
	if err := json.Unmarshal([]byte(body), &d); err != nil {
		return fmt.Errorf("no details of a refusal: %q", body)
	}
	if runs := countRuns(sent); d.Outcome == problem.NotRun && runs > 0 {
		return fmt.Errorf("kind %s states not_run after %d runs", d.Kind, runs)
	}
	return nil
}

// checkPlain returns an error unless a caller of a plain service may get got after the endpoints sent the given answers.
func checkPlain(sent []sentAnswer, got reply, once bool) error {
	if runs := countRuns(sent); once && runs > 1 {
		return fmt.Errorf("%d runs of a call that may run once", runs)
	}
	seal := got.header.Get("Seal")
	if seal == "" {
		if got.status == 0 {
			return nil // the connection ended before an answer
		}
		return checkOutcome(sent, got.body)
	}
	for i := range sent {
		s := &sent[i]
		if s.seal != seal {
			continue
		}
		switch {
		case !s.headOK || s.status != got.status:
			return fmt.Errorf("status %d with seal %s, whose endpoint sent %d", got.status, seal, s.status)
		case got.err != nil && strings.HasPrefix(s.body, got.body):
			return nil
		case got.err == nil && s.complete && got.body == s.body:
			return nil
		}
		return fmt.Errorf("body %q (error: %v) is not that of %s", got.body, got.err, seal)
	}
	return fmt.Errorf("no endpoint sent seal %q", seal)
}

// streamView is a stream as a caller gets it.
type streamView struct {
	tokens   []string
	complete bool
	problem  string // data of the error event; empty without one
}

// parseStream returns the events of a stream. It fails if their IDs do not count from a position on.
func parseStream(body string, position int) (v streamView, err error) {
	event := ""
	for lines := bufio.NewScanner(strings.NewReader(body)); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "event":
			event = value
		case name == "id":
			if _, seq, _ := strings.Cut(value, "/"); seq != strconv.Itoa(position) {
				return v, fmt.Errorf("ID %s in place of position %d", value, position)
			}
			position++
		case name == "data" && event == "error":
			v.problem = value
		case name == "data" && value == "[DONE]":
			v.complete = true
		case name == "data":
			if _, after, ok := strings.Cut(value, `"delta":{"content":"`); ok {
				token, _, _ := strings.Cut(after, `"}`)
				v.tokens = append(v.tokens, token)
			}
		}
	}
	return v, nil
}

// checkTokens returns an error unless the tokens that a caller has are a sound chain of what engines sent: the tokens of
// one run, from its first one on, followed by those of another run that starts at the next position. Each token is its
// run and position, "run/position ".
func checkTokens(sent []sentAnswer, tokens []string, complete bool) error {
	run := -1
	for position, token := range tokens {
		var n, at int
		if _, err := fmt.Sscanf(token, "run%d/%d ", &n, &at); err != nil || n >= len(sent) || n < run {
			return fmt.Errorf("token %q at position %d: %v", token, position, err)
		}
		if at != position {
			return fmt.Errorf("token %q at position %d", token, position)
		}
		if n != run && sent[n].first != position {
			return fmt.Errorf("run %d, which starts at position %d, joined at %d", n, sent[n].first, position)
		}
		run = n
	}
	if !complete {
		return nil
	}
	for n := max(run, 0); n < len(sent); n++ {
		end := sent[n].first + sent[n].tokens
		if sent[n].complete && end == len(tokens) {
			return nil
		}
	}
	return fmt.Errorf("complete after %d tokens, where no engine ended", len(tokens))
}

// checkStream returns an error unless a caller may get the stream got after the engines sent the given answers.
func checkStream(sent []sentAnswer, got reply) error {
	if got.status != http.StatusOK {
		return checkOutcome(sent, got.body)
	}
	v, err := parseStream(got.body, 0)
	if err != nil {
		return err
	}
	if v.problem != "" {
		if err := checkOutcome(sent, v.problem); err != nil {
			return err
		}
	}
	if v.complete && v.problem != "" {
		return fmt.Errorf("an error event in a complete stream: %s", v.problem)
	}
	return checkTokens(sent, v.tokens, v.complete)
}

// checkCompletion is checkStream for an answer in one piece.
func checkCompletion(sent []sentAnswer, got reply) error {
	if got.status != http.StatusOK {
		return checkOutcome(sent, got.body)
	}
	var c completion
	if err := json.Unmarshal([]byte(got.body), &c); err != nil || len(c.Choices) != 1 {
		return fmt.Errorf("no completion: %q", got.body)
	}
	tokens := strings.SplitAfter(c.Choices[0].Message.Content, " ")
	return checkTokens(sent, tokens[:len(tokens)-1], true)
}
