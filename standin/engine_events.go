package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/engine"
)

var errResumeText = errors.New("resume text differs from the answer of this seed")

// eventWriter writes the event stream of a run and applies the event faults.
type eventWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	faults  EngineFaults
	run     *run
	usage   *engine.Usage
	sent    int                 // events written by this attempt
	delayed *engine.StreamEvent // held back by the fault Reorder
}

func newEventWriter(w http.ResponseWriter, f EngineFaults, r *run) *eventWriter {
	return &eventWriter{w: w, rc: http.NewResponseController(w), faults: f, run: r}
}

func (o *eventWriter) flush() { _ = o.rc.Flush() }

// waitWithKeepAlive waits for ready and sends keep-alive comments meanwhile. It returns false if the run ended first.
func (o *eventWriter) waitWithKeepAlive(r *http.Request, run *run, ready any) bool {
	slot, _ := ready.(chan struct{})
	timer, _ := ready.(<-chan time.Time)
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-slot:
			return true
		case <-timer:
			return true
		case <-ticker.C:
			_, _ = o.w.Write([]byte(": waiting\n\n"))
			o.flush()
		case <-run.stop:
			return false
		case <-r.Context().Done():
			run.end(endDisconnected)
			return false
		}
	}
}

func (o *eventWriter) token(offset int, content string) {
	event := engine.StreamEvent{
		RequestID: o.run.ref.RequestID, AttemptID: o.run.ref.AttemptID, Seq: offset, Content: content,
	}
	if o.sent == 0 {
		event.Usage = o.usage
	}
	o.sent++
	o.writeWithFaults(event)
}

func (o *eventWriter) finish(offset int, reason string) {
	o.sent++
	o.writeWithFaults(engine.StreamEvent{
		RequestID: o.run.ref.RequestID, AttemptID: o.run.ref.AttemptID, Seq: offset, FinishReason: reason,
	})
	if o.delayed != nil { // no event came after the one held back
		o.write(o.delayed)
		o.delayed = nil
	}
}

// abort ends the stream of a run that ended before its answer was complete.
func (o *eventWriter) abort(reason endReason) {
	switch reason {
	case endMoved:
		o.finish(o.run.offset, engine.FinishMoved)
	case endCrashed:
		panic(http.ErrAbortHandler)
	}
}

// writeWithFaults writes an event after applying the event faults to it.
func (o *eventWriter) writeWithFaults(event engine.StreamEvent) {
	f := o.faults
	if f.StallFrom > 0 && o.sent >= f.StallFrom {
		return
	}
	if f.LateAttempt && o.sent == 2 {
		late := event
		late.AttemptID, late.Content = "abandoned", "late "
		o.write(&late)
	}
	switch o.sent {
	case f.Drop:
		return
	case f.Reorder:
		o.delayed = &event
		return
	case f.Foreign:
		event.RequestID = "foreign"
	case f.Double:
		o.write(&event)
	}
	o.write(&event)
	if o.delayed != nil {
		o.write(o.delayed)
		o.delayed = nil
	}
}

func (o *eventWriter) write(event *engine.StreamEvent) {
	b, err := json.Marshal(event)
	if err != nil {
		panic(err)
	}
	b = append(append([]byte("data: "), b...), '\n', '\n')
	// A failed write cancels the request's context, which ends the run.
	_, _ = o.w.Write(b)
	o.flush()
}
