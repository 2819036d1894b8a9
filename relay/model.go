package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/problem"
)

// serveModel answers POST /v1/chat/completions.
func (r *Relay) serveModel(w http.ResponseWriter, req *http.Request) {
	position, hasPosition, err := parsePosition(req.Header.Get(headerLastEvent))
	if err != nil {
		r.refuse(w, refusal{err: err})
		return
	}
	id := position.requestID
	if !hasPosition {
		id = r.newRequestID()
	}
	if hasPosition {
		if source, ok := r.findOwn(req, position); ok {
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
	r.follow(w, req, s, position)
}

// drainBody reads a body that isn't needed, so that the connection can be used again.
func (r *Relay) drainBody(w http.ResponseWriter, req *http.Request) {
	// A bad body doesn't matter: the answer comes from the holder of the request.
	_, _ = r.readBody(w, req)
}

// startModel does everything up to the first attempt.
func (r *Relay) startModel(w http.ResponseWriter, req *http.Request, id string) (*session, func(), refusal) {
	call, f := r.modelCall(w, req, id)
	if f.err != nil {
		return nil, nil, f
	}
	f = refusal{service: call.Service.Name, workspace: call.Workspace}
	if r.cfg.Quarantine.IsQuarantined(call.Fingerprint) {
		f.err = problem.New(problem.Quarantined, "this request crashed its endpoints")
		return nil, nil, f
	}
	release, err := r.cfg.Admitter.Admit(req.Context(), call)
	if err != nil {
		f.err = err
		return nil, nil, f
	}
	return r.newSession(call), release, f
}

func (r *Relay) modelCall(w http.ResponseWriter, req *http.Request, id string) (*Call, refusal) {
	body, err := r.readBody(w, req)
	if err != nil {
		return nil, refusal{err: err}
	}
	chat, err := parseChat(body)
	if err != nil {
		return nil, refusal{err: err}
	}
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
	call.Fingerprint = fingerprint(name, call.Route.Name, chat.content())
	return call, refusal{}
}

// follow delivers a session to the caller that started it.
func (r *Relay) follow(w http.ResponseWriter, req *http.Request, s *session, from position) {
	if r.deliver(w, req, s, from, s.call.Chat.Stream) == delivered {
		r.cfg.Post(core.Served{Service: s.call.Service.Name, Workspace: s.call.Workspace})
	}
}

// outcome tells how the delivery of an answer to a caller ended.
type outcome int

const (
	delivered  outcome = iota
	refused            // an error was delivered
	callerLeft         // the caller closed the connection or did not read
	handedOver         // the caller was told to re-attach
)

// source is an answer in progress, here or at another instance.
type source interface {
	attach()
	detach()
	// read waits for what follows a position.
	read(ctx context.Context, position int) (part, error)
	id() string
	owner() (service, workspace string)
}

func (s *session) read(ctx context.Context, position int) (part, error) {
	changed, unsubscribe := s.subscribe()
	defer unsubscribe()
	return s.next(ctx, changed, position)
}

func (s *session) id() string { return s.call.RequestID }

func (s *session) owner() (string, string) { return s.call.Service.Name, s.call.Workspace }

// deliver writes an answer from a position on, as a stream or as one JSON answer.
func (r *Relay) deliver(w http.ResponseWriter, req *http.Request, src source, from position, stream bool) outcome {
	src.attach()
	defer src.detach()
	if stream {
		return r.deliverStream(w, req, src, from.next)
	}
	return r.deliverJSON(w, req, src)
}

// completion is the answer to a request without streaming.
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

func (r *Relay) deliverJSON(w http.ResponseWriter, req *http.Request, src source) outcome {
	var text strings.Builder
	for at := 0; ; {
		p, err := src.read(req.Context(), at)
		if err != nil {
			return callerLeft
		}
		at += len(p.tokens)
		for _, t := range p.tokens {
			text.WriteString(t)
		}
		switch {
		case p.gone:
			return redirect(w, src.id(), false)
		case p.finished && p.err != nil:
			r.refuseSource(w, src, p.err)
			return refused
		case p.finished:
			// Recorders and other writers without a connection have no deadline to set.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(r.cfg.Limits.WriteTime))
			return writeCompletion(w, src.id(), text.String(), p.route)
		}
	}
}

func (r *Relay) refuseSource(w http.ResponseWriter, src source, err error) {
	service, workspace := src.owner()
	r.refuse(w, refusal{err: err, requestID: src.id(), service: service, workspace: workspace})
}

func writeCompletion(w http.ResponseWriter, id, text string, d delivery) outcome {
	setDelivery(w.Header(), id, d.endpoint, d.version)
	w.Header().Set("Content-Type", "application/json")
	c := completion{ID: id, Object: "chat.completion", Choices: []completionChoice{{
		Message: engine.Message{Role: "assistant", Content: text}, FinishReason: engine.FinishStop,
	}}}
	if json.NewEncoder(w).Encode(c) != nil {
		return callerLeft
	}
	return delivered
}

// redirect sends a caller that has received nothing yet to the instance that went on with its request.
func redirect(w http.ResponseWriter, id string, stream bool) outcome {
	location := "/v1/requests/" + id
	if !stream {
		location += "?stream=false"
	}
	w.Header().Set(headerRequestID, id)
	w.Header().Set("Location", location)
	w.WriteHeader(http.StatusSeeOther)
	return handedOver
}

func setDelivery(h http.Header, id, endpoint, version string) {
	h.Set(headerRequestID, id)
	h.Set(headerEndpoint, endpoint)
	h.Set(headerVersion, version)
}
