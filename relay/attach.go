package relay

import (
	"net/http"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/problem"
)

// serveAttach answers GET /v1/requests/{id}.
func (r *Relay) serveAttach(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	from, ok, err := parsePosition(req.Header.Get(headerLastEventID))
	if err == nil && (!validRequestID(id) || (ok && from.requestID != id)) {
		err = problem.New(problem.InvalidRequest, "%s names another request", headerLastEventID)
	}
	if err != nil {
		r.refuse(w, refusal{err: err})
		return
	}
	from.requestID = id
	src, found := r.findForCaller(req, from)
	if !found {
		r.refuse(w, refusal{err: problem.New(problem.UnknownRequest, "request %s is not held", id),
			requestID: id})
		return
	}
	r.reattach(w, req, src, from, req.URL.Query().Get("stream") != "false")
}

// reattach delivers an answer in progress from a position on.
func (r *Relay) reattach(w http.ResponseWriter, req *http.Request, src answerSource, from position, stream bool) {
	if r.deliver(w, req, src, from, stream) == delivered {
		service, workspace := src.serviceAndWorkspace()
		r.cfg.Post(core.Served{Service: service, Workspace: workspace})
	}
}

// findForCaller returns the answer to a request if it belongs to the caller's workspace.
func (r *Relay) findForCaller(req *http.Request, from position) (answerSource, bool) {
	src, found := r.findHolder(req.Context(), from)
	if !found {
		return nil, false
	}
	_, workspace := src.serviceAndWorkspace()
	return src, workspace == workspaceName(req)
}
