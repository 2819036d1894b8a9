package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/continuation"
	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/routing"
	"github.com/trefoillug/trefoillug/upstream"
)

// streamState records how much of a stream was relayed to the caller.
type streamState struct {
	started   bool                  // the head of an answer was relayed
	lastID    string                // ID of the last event that was relayed
	position  continuation.Position // of the last event that the caller has, also from an earlier request
	unordered atomic.Bool           // an event was relayed whose ID does not tell its position
}

// canContinue reports whether another attempt can continue what the caller has: each event has an ID, and the IDs
// increase, so that the last one tells where to go on. A caller that has nothing yet can be sent any answer.
func (s *streamState) canContinue() bool { return !s.unordered.Load() }

const (
	// readChunk is the size of the read buffer in bytes; events usually have a few hundred.
	readChunk = 8 << 10
	// streamStallGaps is the pause, in target gaps, after which a resumable stream is resumed at another endpoint. A sound
	// endpoint may pause for a second or so, and callers wait for eight gaps.
	streamStallGaps = 3
	// answerStallGaps is the same for an answer that is not a stream.
	answerStallGaps = 2
	// defaultGap is the target gap of routes that set none.
	defaultGap = 500 * time.Millisecond
)

var errPartialEvent = errors.New("the stream ended within an event")

func isStream(reply *upstream.Reply) bool {
	return reply.Status == 200 && progress.IsEventStream(reply.Header)
}

// relayStream relays the complete events of a stream. onStall is called when its endpoint makes no progress for
// stallTimeout, and again after each further one.
func (r *exchange) relayStream(ctx context.Context, reply *upstream.Reply, joint *joint, onData, onStall func()) outcome {
	defer context.AfterFunc(ctx, func() { reply.Abort() })()
	watch := progress.Start(r.stallTimeout(), onStall)
	defer watch.Stop()
	var buf []byte
	received := 0
	last := time.Time{} // of the latest event
	chunk := make([]byte, readChunk)
	for {
		n, err := reply.Body.Read(chunk)
		if n > 0 {
			onData()
			r.countStart()
			received += n
			buf = append(buf, chunk[:n]...)
			complete := eventsEnd(buf)
			if recordProgress(watch, buf[:complete]) {
				r.recordBegun()
			}
			last = r.recordTokens(buf[:complete], last)
			events, jerr := joint.add(buf[:complete])
			if jerr != nil {
				return outcome{end: lost, reached: true, err: jerr}
			}
			if out := r.relayEvents(reply, events); out != nil {
				return *out
			}
			buf = append(buf[:0], buf[complete:]...)
		}
		switch {
		case len(buf) > progress.MaxEventBytes:
			return outcome{end: lost, reached: true, err: fmt.Errorf("%w: an event has more than %d bytes", progress.ErrTooLong, progress.MaxEventBytes)}
		case received > progress.MaxAnswerBytes:
			return outcome{end: lost, reached: true, partial: true, err: progress.ErrTooLong}
		case err == nil:
		case err == io.EOF && isBlank(buf) && (len(buf) == 0 || received > len(buf)):
			events, jerr := joint.end()
			if jerr != nil {
				return outcome{end: lost, reached: true, err: jerr}
			}
			if out := r.relayEvents(reply, events); out != nil {
				return *out
			}
			if !r.stream.started {
				r.startStream(reply)
			}
			if _, werr := r.w.Write(buf); werr != nil {
				return outcome{end: ended, reached: true, err: werr}
			}
			if r.arrivals == 0 && !r.proxy.isCurrent {
				r.speed().RecordGeneration(time.Since(r.sentAt))
			}
			return outcome{end: answered, reached: true, delivered: true}
		case err == io.EOF:
			return outcome{end: lost, reached: true, err: errPartialEvent}
		default:
			return r.classifyError(ctx, &upstream.Error{Sent: true, Err: err})
		}
	}
}

func (r *exchange) startStream(reply *upstream.Reply) {
	r.stream.started = true
	r.f.cfg.Metrics.recordAnswerTime(time.Since(r.req.Arrived))
	r.w.WriteHead(reply.Status, reply.Header, -1)
}

// relayEvents relays complete events, unless another endpoint has accepted the stream meanwhile: its answer goes on at the
// position for which it was asked. It returns an outcome if the attempt has ended.
func (r *exchange) relayEvents(reply *upstream.Reply, events []byte) *outcome {
	if hasField(events) && !r.offers.claim(lastEventID(events)) {
		return &outcome{end: lost, reached: true, err: progress.ErrStalled}
	}
	if err := r.forwardEvents(reply, events); err != nil {
		return &outcome{end: ended, reached: true, err: err}
	}
	return nil
}

// forwardEvents writes complete events.
func (r *exchange) forwardEvents(reply *upstream.Reply, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if !r.stream.started {
		r.startStream(reply)
	}
	for len(events) > 0 {
		n := firstEventEnd(events)
		event := events[:n]
		events = events[n:]
		id := eventID(event)
		later := r.stream.lastID == "" || isLater(id, r.stream.lastID)
		if hasData(event) && (id == "" || !later || !isPosition(id)) {
			r.stream.unordered.Store(true)
		}
		if _, err := r.w.Write(event); err != nil {
			return err
		}
		if id != "" {
			if id != r.stream.position.String() {
				r.stream.position.Record(id)
			}
			r.stream.lastID = id
		}
	}
	return r.w.Flush()
}

// hasField reports whether one of the events is more than a comment.
func hasField(events []byte) bool {
	for line := range lines(events) {
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// lastEventID returns the ID of the last of the events that has one.
func lastEventID(events []byte) (last string) {
	for len(events) > 0 {
		n := firstEventEnd(events)
		if id := eventID(events[:n]); id != "" {
			last = id
		}
		events = events[n:]
	}
	return last
}

// isPosition reports whether an event ID is a number, which tells the position of the event.
func isPosition(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// isLater compares event IDs, which are increasing numbers.
func isLater(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// hasData reports whether an event has data; without any it is a comment or an instruction, which has no position.
func hasData(event []byte) bool {
	for line := range lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

func (r *exchange) stallTimeout() time.Duration {
	if r.route.Kind == routing.Streaming {
		return streamStallGaps * r.targetGap()
	}
	return answerStallGaps * r.targetGap()
}

// targetGap returns the longest pause between events that is still on time.
func (r *exchange) targetGap() time.Duration {
	if r.route.TargetGap == 0 {
		return defaultGap
	}
	return r.route.TargetGap
}

// recordProgress records complete events, some of which may be comments only, with a watch. It reports whether one of
// them is more than a comment.
func recordProgress(watch *progress.Watch, events []byte) bool {
	switch {
	case hasField(events):
		watch.RecordEvent()
		return true
	case len(bytes.TrimSpace(events)) > 0:
		watch.RecordComment()
	}
	return false
}

// eventID returns the value of the id field of an event.
func eventID(event []byte) string {
	for line := range lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
