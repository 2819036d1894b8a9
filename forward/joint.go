package forward

import (
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/continuation"
	"github.com/trefoillug/trefoillug/progress"
)

// joint holds back the first events of an answer until it is known to continue what the caller has.
type joint struct {
	judge    *continuation.Judge // nil: events are relayed as they arrive
	position string              // ID of the last event that the caller has
	moved    bool                // the answer is of a run that was moved, which may have nothing left to generate
	started  bool                // the caller has the head of an answer, so that comments can be relayed
	held     []byte              // complete events
}

func newJoint(s *streamState, moved bool) *joint {
	j := &joint{position: s.position.String(), moved: moved, started: s.started}
	if !s.position.IsStart() {
		j.judge = continuation.NewJudge(s.position)
	}
	return j
}

// add takes the next complete events and returns those that can be relayed now.
func (j *joint) add(events []byte) ([]byte, error) {
	if j.judge == nil {
		return events, nil
	}
	for len(events) > 0 {
		n := firstEventEnd(events)
		event := events[:n]
		events = events[n:]
		j.held = append(j.held, event...)
		if id := eventID(event); hasData(event) || id != "" && id != j.position {
			follows, err := j.judge.Add(id)
			if err != nil {
				return nil, err
			}
			if follows {
				j.judge = nil
				return j.take(events), nil
			}
		}
	}
	switch {
	case len(j.held) > progress.MaxEventBytes:
		return nil, fmt.Errorf("%w: more than %d bytes before the first event that tells a position", progress.ErrTooLong, progress.MaxEventBytes)
	case j.started && !j.judge.IsPending():
		return j.take(nil), nil
	}
	return nil, nil
}

// end returns the events that can be relayed once the answer has ended as complete.
func (j *joint) end() ([]byte, error) {
	if j.judge != nil && (!j.moved || j.judge.IsPending()) {
		if err := j.judge.End(); err != nil {
			return nil, err
		}
	}
	return j.take(nil), nil
}

// take returns what was held back, followed by rest.
func (j *joint) take(rest []byte) []byte {
	events := append(j.held, rest...)
	j.held = nil
	return events
}

// recordContinuation counts an answer that was not relayed because it does not continue the stream, and returns the fields
// that describe it in the log.
func (r *exchange) recordContinuation(err error) logrus.Fields {
	var refused *continuation.Error
	if !errors.As(err, &refused) {
		return nil
	}
	r.f.cfg.Metrics.countContinuation(refused.Cause)
	return logrus.Fields{"cause": string(refused.Cause), "position": refused.Position, "offered": refused.Offered}
}
