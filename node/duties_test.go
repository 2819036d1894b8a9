package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/lease"
)

// Guards against a duty that goes from one instance to another and back within a lease, and against a holder that
// rests although it has not acted lately: a window of usage may be lost when the store fails meanwhile.
func TestRestEnd_Cases(t *testing.T) {
	now := time.Unix(1000, 0)
	const rest = 3 * time.Second
	taken := lease.Grant{Token: 2, PreviousEnd: now.Add(-time.Second)}
	must.Eq(t, now, restEnd(taken, now.Add(-10*time.Second), now, rest))
	must.Eq(t, now.Add(2*time.Second), restEnd(taken, now.Add(-time.Second), now, rest))
	must.Eq(t, now, restEnd(lease.Grant{Token: 1}, now.Add(-time.Second), now, rest)) // the first holder of all
}
