package core

import "github.com/trefoillug/trefoillug/config"

// services is the table of configured services.
type services struct {
	revision uint64
	rows     map[string]*config.Service
}

// accept replaces the table. A configuration never goes back to an earlier revision.
func (t *services) accept(e ConfigAccepted) {
	if e.Revision <= t.revision {
		return
	}
	t.revision = e.Revision
	t.rows = make(map[string]*config.Service, len(e.Services))
	for i := range e.Services {
		t.rows[e.Services[i].Name] = &e.Services[i]
	}
}
