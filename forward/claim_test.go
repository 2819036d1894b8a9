package forward

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an event of a stalled endpoint that is relayed after another endpoint has accepted the stream before it,
// and against an offer that is accepted after such an event.
func TestOffers_ClaimOrAccept(t *testing.T) {
	var o offers
	o.begin()
	search, _, ok := o.startSearch(t.Context())
	must.True(t, ok)
	must.True(t, o.claim("3"))
	must.False(t, o.accept(search, &acceptedOffer{}))
	o.endSearch()
	must.Eq(t, "3", o.lastID())

	search, _, ok = o.startSearch(t.Context())
	must.True(t, ok)
	must.True(t, o.accept(search, &acceptedOffer{}))
	must.False(t, o.claim("4"))
	must.Eq(t, "3", o.lastID())
	o.endSearch()
	o.take().cancel()
}
