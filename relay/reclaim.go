package relay

import (
	"context"

	"github.com/trefoillug/trefoillug/table"
)

// kvMove is a stream's move away from a leaving endpoint.
type kvMove struct {
	done   chan struct{}
	target string // endpoint that received the KV cache; empty: none
}

func (m *kvMove) wait() string {
	<-m.done
	return m.target
}

// isLeaving tells whether an endpoint has been announced to leave.
func (r *Relay) isLeaving(service, endpoint string) bool {
	svc, ok := r.cfg.Snapshots().Service(service)
	if !ok {
		return false
	}
	e := find(svc, endpoint)
	return e == nil || e.Condition == table.Leaving
}

func (r *Relay) watchLeaving(ctx context.Context) {
	<-ctx.Done()
}
