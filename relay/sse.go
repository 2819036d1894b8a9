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

// maxRequestIDBytes bounds a request ID given by a caller.
const maxRequestIDBytes = 128

// position is a place in a stream, as in the SSE event ID `<request id>/<sequence>`.
type position struct {
	requestID string
	next      int // sequence number of the next event
}

// parsePosition reads a Last-Event-ID.
func parsePosition(lastEvent string) (position, bool, error) {
	if lastEvent == "" {
		return position{}, false, nil
	}
	id, seq, ok := strings.Cut(lastEvent, "/")
	n, err := strconv.Atoi(seq)
	if !ok || err != nil || n < 0 || n > MaxAnswerTokens || !validRequestID(id) {
		return position{}, false, problem.New(problem.InvalidRequest, "%s: expected <request id>/<sequence>", headerLastEvent)
	}
	return position{requestID: id, next: n + 1}, true, nil
}

func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDBytes {
		return false
	}
	return strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' }) < 0
}

// sseWriter writes one stream to a caller.
type sseWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	id      string
	timeout time.Duration
	next    int
	open    bool // headers are written
	buf     []byte
}

func (o *sseWriter) begin(first origin) {
	o.open = true
	h := o.w.Header()
	setDelivery(h, o.id, first.endpoint, first.version)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	o.w.WriteHeader(http.StatusOK)
}

// token appends a chunk in the form of the chat completion API.
func (o *sseWriter) token(content string) error {
	text, err := json.Marshal(content)
	if err != nil {
		return err
	}
	o.buf = append(o.buf, "id: "...)
	o.buf = append(o.buf, o.id...)
	o.buf = append(o.buf, '/')
	o.buf = strconv.AppendInt(o.buf, int64(o.next), 10)
	o.buf = append(o.buf, "\ndata: {\"id\":\""...)
	o.buf = append(o.buf, o.id...)
	o.buf = append(o.buf, `","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":`...)
	o.buf = append(o.buf, text...)
	o.buf = append(o.buf, "},\"finish_reason\":null}]}\n\n"...)
	o.next++
	return nil
}

// end appends the last events of a complete answer. A comment tells of resumes; parsers skip it.
func (o *sseWriter) end(d delivery) {
	o.buf = fmt.Appendf(o.buf, "id: %s/%d\ndata: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"%s\"}]}\n\n",
		o.id, o.next, o.id, engine.FinishStop)
	o.buf = append(o.buf, "data: [DONE]\n\n"...)
	if d.resumes > 0 {
		o.buf = fmt.Appendf(o.buf, ": endpoint=%s version=%s resumes=%d recomputed=%d\n\n", d.endpoint, d.version, d.resumes, d.recomputed)
	}
}

// event appends an event of another kind.
func (o *sseWriter) event(name string, data any) {
	b, err := json.Marshal(data)
	if err != nil {
		return
	}
	o.buf = fmt.Appendf(o.buf, "event: %s\ndata: %s\n\n", name, b)
}

// flush sends what was appended. It fails when the caller does not take it in time.
func (o *sseWriter) flush() error {
	// Recorders and other writers without a connection have no deadline to set.
	_ = o.rc.SetWriteDeadline(time.Now().Add(o.timeout))
	if _, err := o.w.Write(o.buf); err != nil {
		return err
	}
	o.buf = o.buf[:0]
	return o.rc.Flush()
}

// movedNotice tells a caller where to re-attach.
type movedNotice struct {
	RequestID string `json:"request_id"`
	Attach    string `json:"attach"`
}

func (r *Relay) deliverStream(w http.ResponseWriter, req *http.Request, src source, from int) outcome {
	out := &sseWriter{
		w: w, rc: http.NewResponseController(w), id: src.id(), timeout: r.cfg.Limits.WriteTime, next: from,
	}
	for {
		p, err := src.read(req.Context(), out.next)
		if err != nil {
			return callerLeft
		}
		if !out.open && len(p.tokens) == 0 {
			if p.gone {
				return redirect(w, src.id(), true)
			}
			if p.err != nil {
				r.refuseSource(w, src, p.err)
				return refused
			}
		}
		if result, done := r.write(out, src, p); done {
			return result
		}
	}
}

// write sends one part and reports whether it was the last.
func (r *Relay) write(out *sseWriter, src source, p part) (outcome, bool) {
	if !out.open {
		out.begin(p.first)
	}
	for _, t := range p.tokens {
		if out.token(t) != nil {
			return refused, true
		}
	}
	result, done := delivered, p.finished || p.gone
	switch {
	case p.gone:
		out.event("moved", movedNotice{RequestID: out.id, Attach: "/v1/requests/" + out.id})
		result = handedOver
	case p.finished && p.err != nil:
		out.event("error", problem.DetailsFor(p.err, out.id))
		service, workspace := src.owner()
		r.cfg.Post(core.Refused{Service: service, Workspace: workspace, Kind: problem.KindOf(p.err)})
		result = refused
	case p.finished:
		out.end(p.route)
	}
	if out.flush() != nil {
		return callerLeft, true
	}
	return result, done
}
