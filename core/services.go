package core

import (
	"time"

	"github.com/trefoillug/trefoillug/config"
)

// services is the table of configured services.
type services struct {
	revision uint64
	rows     map[string]*config.Service
}

// configure replaces the table of services and configures their moves. It ignores a configuration whose revision is not
// newer than the current one.
func (c *Core) configure(now time.Time, e ConfigAccepted) {
	if e.Revision <= c.services.revision {
		return
	}
	old := c.services.rows
	c.services = services{revision: e.Revision, rows: make(map[string]*config.Service, len(e.Services))}
	for i := range e.Services {
		svc := &e.Services[i]
		c.services.rows[svc.Name] = svc
		c.moves.Configure(now, svc)
	}
	for name := range old {
		if _, kept := c.services.rows[name]; !kept {
			c.moves.Remove(name)
		}
	}
}
