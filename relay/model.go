package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/engine"
)

// serveModel answers POST /v1/chat/completions.
func (r *Relay) serveModel(w http.ResponseWriter, req *http.Request) {
	position, hasPosition, err := parsePosition(req.Header.Get(headerLastEventID))
	if err != nil {
		r.refuse(w, refusal{err: err})
		return
	}
	id := position.requestID
	if !hasPosition {
		id = r.newRequestID()
	}
	if hasPosition {
		if source, ok := r.findForCaller(req, position); ok {
			r.drainBody(w, req)
			r.reattach(w, req, source, position, true)
			return
		}
	}
	s, release, f := r.startModel(w, req, id)
	if f.err != nil {
		f.requestID = id
		r.refuse(w, f)
		return
	}
	defer release()
	go s.generate()
	r.deliverSession(w, req, s, position)
}

// drainBody reads and discards a request body, so that the connection can be reused.
func (r *Relay) drainBody(w http.ResponseWriter, req *http.Request) {
	// Errors are ignored: the answer comes from the instance that holds the request.
	body, _ := r.readBody(w, req)
	body.Release()
}

// startModel parses and admits a model request and creates its session. The caller starts generate.
func (r *Relay) startModel(w http.ResponseWriter, req *http.Request, id string) (_ *session, _ func(), f refusal) {
	call, f := r.modelCall(w, req, id)
	if f.err != nil {
		return nil, nil, f
	}
	defer func() {
		if f.err != nil {
			call.received.Release()
		}
	}()
	f = refusal{service: call.Service.Name, workspace: call.Workspace}
	if f.err = r.checkStopping(call); f.err != nil {
		return nil, nil, f
	}
	if f.err = r.checkQuarantine(call); f.err != nil {
		return nil, nil, f
	}
	release, err := r.cfg.Admitter.Admit(req.Context(), call)
	if err != nil {
		f.err = err
		return nil, nil, f
	}
	return r.newSession(call), release, f
}

func (r *Relay) modelCall(w http.ResponseWriter, req *http.Request, id string) (_ *Call, f refusal) {
	body, chat, err := r.readChat(w, req)
	if err != nil {
		return nil, refusal{err: err}
	}
	defer func() {
		if f.err != nil {
			body.Release()
		}
	}()
	name := req.Header.Get(headerService)
	if name == "" {
		name = chat.Model
	}
	svc, err := r.service(name)
	if err != nil {
		return nil, refusal{err: err}
	}
	call, err := r.newCall(req, svc, id, engine.PathChat, body)
	if err != nil {
		return nil, refusal{err: err, service: name}
	}
	call.Chat = chat
	call.Fingerprint = call.fingerprint()
	return call, refusal{}
}

// deliverSession delivers the answer of a session to the caller that started it.
func (r *Relay) deliverSession(w http.ResponseWriter, req *http.Request, s *session, from position) {
	if r.deliver(w, req, s, from, s.call.Chat.Stream) == delivered {
		r.cfg.Post(core.Served{Service: s.call.Service.Name, Workspace: s.call.Workspace})
	}
}

// deliveryResult is how the delivery of an answer to a caller ended.
type deliveryResult int

const (
	delivered          deliveryResult = iota
	refused                           // an error was delivered
	callerDisconnected                // the caller closed the connection or did not read in time
	reattachRequested                 // the caller must re-attach at another instance
)

// answerSource is an answer in progress, here or at another instance.
type answerSource interface {
	attach()
	detach()
	// read waits until the answer has tokens from a position on or has ended, and returns them.
	read(ctx context.Context, position int) (segment, error)
	id() string
	serviceAndWorkspace() (service, workspace string)
}

func (s *session) read(ctx context.Context, position int) (segment, error) {
	changed, unsubscribe := s.subscribe()
	defer unsubscribe()
	return s.awaitSegment(ctx, changed, position)
}

func (s *session) id() string { return s.call.RequestID }

func (s *session) serviceAndWorkspace() (string, string) {
	return s.call.Service.Name, s.call.Workspace
}

// deliver writes an answer to a caller, as a stream that starts at a position or as one JSON object.
func (r *Relay) deliver(
	w http.ResponseWriter, req *http.Request, src answerSource, from position, stream bool) deliveryResult {
	src.attach()
	defer src.detach()
	if stream {
		return r.deliverStream(w, req, src, from.next)
	}
	return r.deliverJSON(w, req, src)
}

// completion is the body of an answer to a request without streaming.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Choices []completionChoice `json:"choices"`
}

type completionChoice struct {
	Index        int            `json:"index"`
	Message      engine.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

func (r *Relay) deliverJSON(w http.ResponseWriter, req *http.Request, src answerSource) deliveryResult {
	var text strings.Builder
	for at := 0; ; {
		seg, err := src.read(req.Context(), at)
		if err != nil {
			return callerDisconnected
		}
		at += len(seg.tokens)
		for _, t := range seg.tokens {
			text.WriteString(t)
		}
		switch {
		case seg.handedOver:
			return redirect(w, src.id(), false)
		case seg.finished && seg.err != nil:
			r.refuseSource(w, src, seg.err)
			return refused
		case seg.finished:
			// Writers without a connection, such as recorders in tests, have no deadline to set.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(r.cfg.Limits.WriteTimeout))
			return writeCompletion(w, src.id(), text.String(), seg.delivery)
		}
	}
}

func (r *Relay) refuseSource(w http.ResponseWriter, src answerSource, err error) {
	service, workspace := src.serviceAndWorkspace()
	r.refuse(w, refusal{err: err, requestID: src.id(), service: service, workspace: workspace})
}

func writeCompletion(w http.ResponseWriter, id, text string, d delivery) deliveryResult {
	setDelivery(w.Header(), id, d.endpoint, d.version)
	w.Header().Set("Content-Type", "application/json")
	c := completion{ID: id, Object: "chat.completion", Choices: []completionChoice{{
		Message: engine.Message{Role: "assistant", Content: text}, FinishReason: engine.FinishStop,
	}}}
	if json.NewEncoder(w).Encode(c) != nil {
		return callerDisconnected
	}
	return delivered
}

// redirect tells a caller that has received nothing yet to re-attach to its request, which continues at another
// instance.
func redirect(w http.ResponseWriter, id string, stream bool) deliveryResult {
	location := "/v1/requests/" + id
	if !stream {
		location += "?stream=false"
	}
	w.Header().Set(headerRequestID, id)
	w.Header().Set("Location", location)
	w.WriteHeader(http.StatusSeeOther)
	return reattachRequested
}

func setDelivery(h http.Header, id, endpoint, version string) {
	h.Set(headerRequestID, id)
	h.Set(headerEndpoint, endpoint)
	h.Set(headerVersion, version)
}
