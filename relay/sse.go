package relay

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/problem"
)

// maxRequestIDBytes bounds a request ID that a caller sends.
const maxRequestIDBytes = 128

// position is a position in a stream. A caller gives it as the SSE event ID `<request id>/<sequence>`.
type position struct {
	requestID string
	next      int // sequence number of the next event
}

// parsePosition parses a Last-Event-ID into the position of the next event. It returns false if lastEvent is empty.
func parsePosition(lastEvent string) (position, bool, error) {
	if lastEvent == "" {
		return position{}, false, nil
	}
	id, seq, ok := strings.Cut(lastEvent, "/")
	n, err := strconv.Atoi(seq)
	if !ok || err != nil || n < 0 || n > MaxAnswerTokens || !validRequestID(id) {
		return position{}, false, problem.New(problem.InvalidRequest, "%s: expected <request id>/<sequence>",
			headerLastEventID)
	}
	return position{requestID: id, next: n + 1}, true, nil
}

func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDBytes {
		return false
	}
	return strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' }) < 0
}

// sseWriter writes the events of one stream to a caller.
type sseWriter struct {
	w              http.ResponseWriter
	rc             *http.ResponseController
	id             string
	timeout        time.Duration
	nextSeq        int
	headersWritten bool
	buf            []byte
}

func (o *sseWriter) begin(first origin) {
	o.headersWritten = true
	h := o.w.Header()
	setDelivery(h, o.id, first.endpoint, first.version)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	o.w.WriteHeader(http.StatusOK)
}

// token appends an event with a token, as a chunk of the chat completion API.
func (o *sseWriter) token(content string) error {
	text, err := json.Marshal(content)
	if err != nil {
		return err
	}
	o.buf = append(o.buf, "id: "...)
	o.buf = append(o.buf, o.id...)
	o.buf = append(o.buf, '/')
	o.buf = strconv.AppendInt(o.buf, int64(o.nextSeq), 10)
	o.buf = append(o.buf, "\ndata: {\"id\":\""...)
	o.buf = append(o.buf, o.id...)
	o.buf = append(o.buf, `","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":`...)
	o.buf = append(o.buf, text...)
	o.buf = append(o.buf, "},\"finish_reason\":null}]}\n\n"...)
	o.nextSeq++
	return nil
}

// end appends the last events of a complete answer. After a resume it adds an SSE comment, which parsers ignore.
func (o *sseWriter) end(d delivery) {
	o.buf = fmt.Appendf(o.buf, "id: %s/%d\ndata: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"%s\"}]}\n\n",
		o.id, o.nextSeq, o.id, engine.FinishStop)
	o.buf = append(o.buf, "data: [DONE]\n\n"...)
	if d.resumes > 0 {
		o.buf = fmt.Appendf(o.buf, ": endpoint=%s version=%s resumes=%d recomputed=%d\n\n",
			d.endpoint, d.version, d.resumes, d.recomputed)
	}
}

// event appends a named event with JSON data.
func (o *sseWriter) event(name string, data any) {
	b, err := json.Marshal(data)
	if err != nil {
		return
	}
	o.buf = fmt.Appendf(o.buf, "event: %s\ndata: %s\n\n", name, b)
}

// flush sends the appended events. It fails if the caller does not read them in time.
func (o *sseWriter) flush() error {
	// Writers without a connection, such as recorders in tests, have no deadline to set.
	_ = o.rc.SetWriteDeadline(time.Now().Add(o.timeout))
	if _, err := o.w.Write(o.buf); err != nil {
		return err
	}
	o.buf = o.buf[:0]
	return o.rc.Flush()
}

// movedEvent is the data of the event that tells a caller where to re-attach.
type movedEvent struct {
	RequestID string `json:"request_id"`
	Attach    string `json:"attach"`
}

func (r *Relay) deliverStream(w http.ResponseWriter, req *http.Request, src answerSource, from int) deliveryResult {
	out := &sseWriter{
		w: w, rc: http.NewResponseController(w), id: src.id(), timeout: r.cfg.Limits.WriteTimeout, nextSeq: from,
	}
	for {
		seg, err := src.read(req.Context(), out.nextSeq)
		if err != nil {
			return callerDisconnected
		}
		if !out.headersWritten && len(seg.tokens) == 0 {
			if seg.handedOver {
				return redirect(w, src.id(), true)
			}
			if seg.err != nil {
				r.refuseSource(w, src, seg.err)
				return refused
			}
		}
		if result, done := r.writeSegment(out, src, seg); done {
			return result
		}
	}
}

// writeSegment sends one segment and reports whether the delivery has ended.
func (r *Relay) writeSegment(out *sseWriter, src answerSource, seg segment) (deliveryResult, bool) {
	if !out.headersWritten {
		out.begin(seg.firstOrigin)
	}
	for _, t := range seg.tokens {
		if out.token(t) != nil {
			return refused, true
		}
	}
	result, done := delivered, seg.finished || seg.handedOver
	switch {
	case seg.handedOver:
		out.event("moved", movedEvent{RequestID: out.id, Attach: "/v1/requests/" + out.id})
		result = reattachRequested
	case seg.finished && seg.err != nil:
		out.event("error", problem.DetailsFor(seg.err, out.id))
		service, workspace := src.serviceAndWorkspace()
		r.cfg.Post(core.Refused{Service: service, Workspace: workspace, Kind: problem.KindOf(seg.err)})
		result = refused
	case seg.finished:
		out.end(seg.delivery)
	}
	if out.flush() != nil {
		return callerDisconnected, true
	}
	return result, done
}
