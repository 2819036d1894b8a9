package entry

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/relay"
	"github.com/trefoillug/trefoillug/route"
	"github.com/trefoillug/trefoillug/table"
)

func twelveEndpoints() *table.Service {
	svc := &table.Service{Config: &config.Service{Name: "quotes", Kind: config.KindModel, Concurrency: 64}, Shares: []table.Share{{Version: "v1", Fraction: 1}}}
	for i := range 12 {
		svc.Endpoints = append(svc.Endpoints, &table.Endpoint{ID: fmt.Sprintf("e%02d", i), Version: "v1", Live: &table.Counters{}})
	}
	route.Build(svc, nil, time.Now())
	return svc
}

// Guards against conversations that leave the endpoint that caches their prefix, because it is not recorded that they
// were sent to a different endpoint than the hash ring selects.
func TestChooser_FollowsCachedPrefix(t *testing.T) {
	svc, unrecorded := twelveEndpoints(), twelveEndpoints()
	c := newChooser(1)
	message := func(n int) json.RawMessage {
		return json.RawMessage(fmt.Sprintf(`{"role":"user","content":"%0800d"}`, n))
	}
	for conversation := range 50 {
		call := &relay.Call{Route: &config.Route{}, Deadline: time.Now().Add(time.Minute), Chat: &relay.Chat{MaxTokens: 50}}
		call.Chat.Messages = []json.RawMessage{message(conversation)}
		byRing, ok := c.Choose(call, unrecorded, "v1", func(*table.Endpoint) bool { return false })
		must.True(t, ok)
		first, ok := c.Choose(call, svc, "v1", func(e *table.Endpoint) bool { return e.ID == byRing.ID })
		must.True(t, ok)
		call.Chat.Messages = append(call.Chat.Messages, message(1000+conversation))
		next, ok := c.Choose(call, svc, "v1", func(*table.Endpoint) bool { return false })
		must.True(t, ok)
		must.Eq(t, first.ID, next.ID)
	}
}
