package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/routing"
)

// Guards against idle connections that are closed before their callers expect it, whatever the configuration says.
func TestNode_IdleTimeout(t *testing.T) {
	n := &Node{}
	must.Eq(t, minIdleTimeout, n.idleTimeout())
	for configured, want := range map[time.Duration]time.Duration{
		0: minIdleTimeout, 15 * time.Second: minIdleTimeout, 5 * time.Minute: 5 * time.Minute,
	} {
		n.table.Store(&routing.Table{Limits: routing.Limits{IdleTimeout: configured}})
		must.Eq(t, want, n.idleTimeout())
	}
}
