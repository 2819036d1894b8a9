package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/claim"
	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/relay"
	"github.com/trefoillug/trefoillug/standin"
)

// lonelyMesh is a mesh with one member.
type lonelyMesh struct {
	peer.Mesh // nil; for the methods that are not called
}

func (lonelyMesh) Self() peer.Member           { return peer.Member{ID: "a"} }
func (lonelyMesh) Members() []peer.Member      { return []peer.Member{{ID: "a"}} }
func (lonelyMesh) Handle(string, peer.Handler) {}

// Guards against a repeat that gets an empty answer, framed as whole, to a call whose answer is not retained: it was
// relayed as it arrived, or is too large.
func TestClaimer_RepeatsOfCompletedCall(t *testing.T) {
	store := httptest.NewServer(standin.NewObjects(standin.ObjectsOptions{}))
	t.Cleanup(store.Close)
	service := claim.New(objstore.NewClient(store.URL, store.Client()), lonelyMesh{}, claim.Options{})
	t.Cleanup(func() { _ = service.Close(context.Background()) })
	c := &claimer{service: service}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for name, answer := range map[string]struct {
		relay.RecordedAnswer
		repeated bool
	}{
		"retained":       {relay.RecordedAnswer{Status: 201, ContentType: "text/plain", Body: []byte("booked"), Retained: true}, true},
		"retained empty": {relay.RecordedAnswer{Status: 204, Retained: true}, true},
		"not retained":   {relay.RecordedAnswer{Status: 200, ContentType: "text/event-stream"}, false},
		"too large":      {relay.RecordedAnswer{Status: 200, Body: []byte(strings.Repeat("x", claim.MaxRecordedBody+1)), Retained: true}, false},
	} {
		newCall := func() *relay.Call { return &relay.Call{Service: &config.Service{Name: "orders"}, Key: name} }
		first := newCall()
		granted, err := c.Claim(ctx, first)
		must.NoError(t, err)
		must.Eq(t, relay.ClaimGranted, granted.State)
		c.Complete(first, answer.RecordedAnswer)
		repeat, err := c.Claim(ctx, newCall())
		if !answer.repeated {
			must.Eq(t, problem.AnswerNotRetained, problem.KindOf(err), must.Sprintf("%s: %+v", name, repeat.Answer))
			continue
		}
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, relay.ClaimRecorded, repeat.State)
		must.Eq(t, answer.Status, repeat.Answer.Status)
		must.Eq(t, string(answer.Body), string(repeat.Answer.Body))
	}
}
