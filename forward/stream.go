package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/upstream"
)

// streamState is the part of a stream that the caller has.
type streamState struct {
	started bool   // the head of an answer was passed on
	lastID  string // of the newest event that was passed on
}

const (
	// readChunk is the buffer for events; a few hundred bytes is usual.
	readChunk = 8 << 10
	// maxEvent bounds the bytes of one event.
	maxEvent = 1 << 20
	// resumeSilence is the pause after which a resumable stream goes on at another endpoint: twice the longest pause
	// that is still on time, so that a slow endpoint is not taken for a silent one.
	resumeSilence = 2
	// defaultGap stands in for a route without a bound on pauses.
	defaultGap = 500 * time.Millisecond
)

var errPartialEvent = errors.New("the stream ended within an event")

func isStream(reply *upstream.Reply) bool {
	return reply.Status == 200 && strings.HasPrefix(reply.Header.Get("Content-Type"), "text/event-stream")
}

// relayStream passes on the events of a stream, whole ones only.
func (r *run) relayStream(ctx context.Context, reply *upstream.Reply, relocation *relocation, first func()) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(ctx, func() { reply.Abort() })()
	silent := r.watchSilence(cancel)
	defer silent.Stop()
	var buf []byte
	chunk := make([]byte, readChunk)
	for {
		n, err := reply.Body.Read(chunk)
		if n > 0 {
			silent.Reset(r.silentAfter())
			first()
			r.noteBegun()
			buf = append(buf, chunk[:n]...)
			whole := eventsEnd(buf)
			r.workedOn(buf[:whole])
			if werr := r.passOn(reply, buf[:whole]); werr != nil {
				return outcome{end: ended, arrived: true, err: werr}
			}
			buf = append(buf[:0], buf[whole:]...)
		}
		switch {
		case err == nil && len(buf) <= maxEvent:
		case err == io.EOF && len(buf) == 0 && relocation.result() == nil:
			if !r.stream.started {
				r.start(reply)
			}
			return outcome{end: answered, arrived: true, delivered: true}
		case err == io.EOF:
			return outcome{end: lost, arrived: true, err: errPartialEvent}
		default:
			return r.failedExchange(ctx, &upstream.Error{Sent: true, Err: err})
		}
	}
}

// A decode step takes stepBase and stepPerRun for each request in the batch, by the sheets of both deployments. A
// batch is usefulBatch full on an engine that is well used.
const (
	stepBase    = 3250 * time.Microsecond
	stepPerRun  = 82 * time.Microsecond
	usefulBatch = 0.7
)

// tokenWork is the part of an engine's time that a generated token takes.
func tokenWork(slots int) time.Duration {
	batch := max(1, usefulBatch*float64(slots))
	return time.Duration((float64(stepBase) + batch*float64(stepPerRun)) / batch)
}

// workedOn counts the work behind generated events.
func (r *run) workedOn(events []byte) {
	if e := r.service.Engine; e != nil {
		r.worked(time.Duration(bytes.Count(events, []byte("\n\n"))*e.EventTokens) * tokenWork(e.Slots))
	}
}

func (r *run) start(reply *upstream.Reply) {
	r.stream.started = true
	r.f.cfg.Metrics.answered(time.Since(r.req.Arrived))
	r.w.WriteHead(reply.Status, reply.Header, -1)
}

// passOn writes whole events, without those that the caller has from an earlier endpoint.
func (r *run) passOn(reply *upstream.Reply, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	resumed := r.stream.started
	if !resumed {
		r.start(reply)
	}
	for len(events) > 0 {
		n := firstEventEnd(events)
		event := events[:n]
		events = events[n:]
		id := eventID(event)
		if id != "" && r.stream.lastID != "" && !isLater(id, r.stream.lastID) {
			continue
		}
		if _, err := r.w.Write(event); err != nil {
			return err
		}
		if id != "" {
			r.stream.lastID = id
		}
	}
	return r.w.Flush()
}

// isLater compares event IDs, which are increasing numbers.
func isLater(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

func (r *run) silentAfter() time.Duration {
	gap := r.route.TargetGap
	if gap == 0 {
		gap = defaultGap
	}
	return resumeSilence * gap
}

// watchSilence ends an attempt of a resumable stream whose endpoint has sent nothing for a while.
func (r *run) watchSilence(cancel context.CancelCauseFunc) *time.Timer {
	timer := time.AfterFunc(r.silentAfter(), func() {
		if r.route.MayRepeat() {
			cancel(errSilent)
		}
	})
	return timer
}

// eventsEnd returns the length of the whole events at the start of b.
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

// firstEventEnd returns the length of the first event of b with its blank line, and 0 when it is not whole.
func firstEventEnd(b []byte) int {
	for at := 0; ; {
		nl := bytes.IndexByte(b[at:], '\n')
		if nl < 0 {
			return 0
		}
		at += nl + 1
		switch rest := b[at:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2
		}
	}
}

// eventID returns the value of the id field of an event.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
