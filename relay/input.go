package relay

import (
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/intake"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/quarantine"
	"github.com/trefoillug/trefoillug/table"
)

const (
	// MaxBodyBytes bounds the body of a request, in bytes.
	MaxBodyBytes = 1 << 20
	// MaxHeaderBytes bounds the request line and headers of a request, in bytes.
	MaxHeaderBytes = 16 << 10
	// MaxAnswerTokens bounds the tokens of an answer, and thereby the memory of a stream.
	MaxAnswerTokens = 16384
	// defaultTimeout bounds the time from acceptance to the end of the answer if the route sets no timeout.
	defaultTimeout = time.Minute
	// defaultWorkspace is the workspace of a request without a workspace header.
	defaultWorkspace = "default"
	// maxKeyBytes bounds an Idempotency-Key.
	maxKeyBytes = 256
)

// Headers of requests and answers.
const (
	headerRequestID      = engine.HeaderRequestID
	headerEndpoint       = "X-Endpoint"
	headerVersion        = "X-Version"
	headerService        = "X-Service"
	headerWorkspace      = "X-Workspace"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
)

// Chat is the parsed body of a model request. Fields of the body that are not listed here are forwarded unchanged.
type Chat struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	Seed      *uint64           `json:"seed"`
	fields    map[string]json.RawMessage
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// parsedCopies is the number of copies of a model request's body that are made to parse it and to send it to an engine.
const parsedCopies = 3

// readBody reads a request body within its size limit and timeout. The caller releases it.
func (r *Relay) readBody(w http.ResponseWriter, req *http.Request) (*intake.Body, error) {
	body, err := r.cfg.Memory.ReadBody(w, req, intake.Options{
		Limit: MaxBodyBytes, End: time.Now().Add(r.cfg.Limits.BodyTimeout),
	})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, problem.New(problem.RequestTooLarge, "body exceeds %d bytes", MaxBodyBytes)
	case intake.IsShortage(err):
		return nil, problem.Wrap(problem.Overloaded, err)
	case err != nil:
		return nil, problem.New(problem.InvalidRequest, "body was not received: %v", err)
	}
	return body, nil
}

// readChat reads and parses the body of a model request. The caller releases it.
func (r *Relay) readChat(w http.ResponseWriter, req *http.Request) (*intake.Body, *Chat, error) {
	body, err := r.readBody(w, req)
	if err != nil {
		return nil, nil, err
	}
	if err := body.Grow(parsedCopies * len(body.Bytes())); err != nil {
		body.Release()
		return nil, nil, problem.Wrap(problem.Overloaded, err)
	}
	chat, err := parseChat(body.Bytes())
	if err != nil {
		body.Release()
		return nil, nil, err
	}
	return body, chat, nil
}

func parseChat(body []byte) (*Chat, error) {
	var c Chat
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, problem.New(problem.InvalidRequest, "body is not a chat completion request: %v", err)
	}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, problem.New(problem.InvalidRequest, "body is not a JSON object: %v", err)
	}
	if len(c.Messages) == 0 {
		return nil, problem.New(problem.InvalidRequest, "messages: at least one message is required")
	}
	if c.MaxTokens < 0 || c.MaxTokens > MaxAnswerTokens {
		return nil, problem.New(problem.InvalidRequest, "max_tokens: must be between 0 and %d", MaxAnswerTokens)
	}
	return &c, nil
}

// content returns what engines get of the request body. They always stream.
func (c *Chat) content() []byte {
	fields := maps.Clone(c.fields)
	delete(fields, "stream")
	// Marshaling raw messages that were just decoded can't fail.
	b, _ := json.Marshal(fields)
	return b
}

// engineBody returns the request body for an engine. Without a seed from the caller, the seed is derived from the
// request ID, so that another instance that repeats the request generates the same answer.
func (c *Chat) engineBody(call *Call, resume *engine.Resume) ([]byte, error) {
	fields := maps.Clone(c.fields)
	set := map[string]any{"stream": true, "priority": call.Route.Priority}
	if c.Seed == nil {
		set["seed"] = xxhash.Sum64String(call.RequestID)
	}
	if resume != nil {
		set["resume"] = resume
	}
	for name, value := range set {
		b, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		fields[name] = b
	}
	return json.Marshal(fields)
}

// newCall resolves the route and workspace of a request and sets its deadline.
func (r *Relay) newCall(req *http.Request, svc *table.Service, id, path string, body *intake.Body) (*Call, error) {
	route, ok := svc.Config.RouteFor(req.Method, path)
	if !ok {
		return nil, problem.New(problem.UnknownRoute, "service %s has no route for %s %s", svc.Config.Name, req.Method, path)
	}
	workspace, err := workspaceOf(req, svc.Config)
	if err != nil {
		return nil, err
	}
	key := req.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
		return nil, problem.New(problem.InvalidRequest, "%s exceeds %d bytes", headerIdempotencyKey, maxKeyBytes)
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	now := r.cfg.Now()
	return &Call{
		RequestID: id, Service: svc.Config, Route: route, Workspace: workspace, Key: key, Method: req.Method,
		Path: path, Header: req.Header, Body: body.Bytes(), received: body, Accepted: now, Deadline: now.Add(timeout),
	}, nil
}

func workspaceName(req *http.Request) string {
	if name := req.Header.Get(headerWorkspace); name != "" {
		return name
	}
	return defaultWorkspace
}

func workspaceOf(req *http.Request, svc *config.Service) (string, error) {
	name := workspaceName(req)
	if _, ok := svc.WorkspaceFor(name); !ok && (len(svc.Workspaces) > 0 || name != defaultWorkspace) {
		return "", problem.New(problem.UnknownWorkspace, "service %s has no workspace %q", svc.Name, name)
	}
	return name, nil
}

// attemptHeaders differ between the attempts of the same request: IDs, positions and traces that clients set.
var attemptHeaders = []string{headerRequestID, headerIdempotencyKey, headerLastEventID, "Traceparent", "Tracestate", "Baggage"}

// fingerprint identifies calls with the same content, of the same workspace. Engines get none of the headers.
func (c *Call) fingerprint() uint64 {
	path, query, _ := strings.Cut(c.Path, "?")
	content := quarantine.Content{Host: c.Service.Name, Method: c.Method, Path: path, Query: query, Caller: c.Workspace, Body: c.Body}
	if c.Chat != nil {
		content.Body = c.Chat.content()
	} else {
		header := maps.Clone(c.Header) // the values are not changed
		for _, name := range attemptHeaders {
			header.Del(name)
		}
		content.Header = header
	}
	return uint64(content.Identity().Request)
}

// checkQuarantine returns an error that says for how long if the call is refused for crashing its endpoints.
func (r *Relay) checkQuarantine(call *Call) error {
	until, refused := r.cfg.Quarantine.Quarantined(call.Fingerprint)
	if !refused {
		return nil
	}
	left := max(time.Second, until.Sub(r.cfg.Now())).Round(time.Second)
	return problem.NewWithRetryAfter(problem.Quarantined, left, "the request crashed its endpoints and is refused for up to %v more", left)
}

func (r *Relay) newRequestID() string { return r.cfg.Instance + "." + r.cfg.NewID() }
