package relay

import (
	"net/http"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/problem"
)

// serveAttach answers GET /v1/requests/{id}.
func (r *Relay) serveAttach(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	from, ok, err := parsePosition(req.Header.Get(headerLastEvent))
	if err == nil && (!validRequestID(id) || (ok && from.requestID != id)) {
		err = problem.New(problem.InvalidRequest, "%s names another request", headerLastEvent)
	}
	if err != nil {
		r.refuse(w, refusal{err: err})
		return
	}
	from.requestID = id
	src, found := r.findOwn(req, from)
	if !found {
		r.refuse(w, refusal{err: problem.New(problem.UnknownRequest, "request %s is not held", id), requestID: id})
		return
	}
	r.reattach(w, req, src, from, req.URL.Query().Get("stream") != "false")
}

// reattach delivers the rest of an answer in progress.
func (r *Relay) reattach(w http.ResponseWriter, req *http.Request, src source, from position, stream bool) {
	if r.deliver(w, req, src, from, stream) == delivered {
		service, workspace := src.owner()
		r.cfg.Post(core.Served{Service: service, Workspace: workspace})
	}
}

// findOwn returns the answer of a request of the caller's workspace.
func (r *Relay) findOwn(req *http.Request, from position) (source, bool) {
	src, found := r.findHolder(req.Context(), from)
	if !found {
		return nil, false
	}
	_, workspace := src.owner()
	return src, workspace == workspaceName(req)
}
