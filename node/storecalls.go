package node

import (
	"strconv"

	"github.com/uber-go/tally/v4"
)

// StoreCall is a call of the platform's store or of its API.
type StoreCall struct {
	Kind      string // kind of objects; "api" for calls of the API
	Operation string // list, watch, get, create, put; path of a call of the API
	Stale     bool   // the answer may be seconds behind, at a fraction of the price
}

// countStoreCall returns a function that counts the calls of this instance as store_calls. The platform counts and
// charges each call, so an operator must see what they are for.
func countStoreCall(scope tally.Scope) func(StoreCall) {
	return func(c StoreCall) {
		tags := map[string]string{"kind": c.Kind, "operation": c.Operation, "stale": strconv.FormatBool(c.Stale)}
		scope.Tagged(tags).Counter("store_calls").Inc(1)
	}
}
