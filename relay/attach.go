package relay

import (
	"context"
	"net/http"

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
	src, found := r.findHolder(req.Context(), from)
	if !found {
		r.refuse(w, refusal{err: problem.New(problem.UnknownRequest, "request %s is not held", id), requestID: id})
		return
	}
	r.deliver(w, req, src, from, req.URL.Query().Get("stream") != "false")
}

// findHolder returns the answer of a request that is held here or at another instance.
func (r *Relay) findHolder(_ context.Context, at position) (source, bool) {
	if s := r.session(at.requestID); s != nil {
		return s, true
	}
	return nil, false
}
