package forward

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/routing"
	"github.com/trefoillug/trefoillug/upstream"
)

// Guards against a request that is suspected of a crash because its stalled answer became complete when another endpoint had
// just accepted it.
func TestRelayWhole_AcceptedElsewhereIsNoCrash(t *testing.T) {
	r := &exchange{route: &routing.Route{Kind: routing.NonIdempotent}}
	r.offers.accepted = &acceptedOffer{}
	reply := &upstream.Reply{Status: http.StatusOK, Header: http.Header{}, Body: strings.NewReader("x"), Length: 1}
	out := r.relayWhole(t.Context(), reply, nil)
	must.Eq(t, lost, out.end)
	must.False(t, out.delivered)
	must.False(t, r.mayHaveCrashed(&out), must.Sprint(out.err))
}
