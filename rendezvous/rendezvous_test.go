package rendezvous

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against the removal of a member moving keys between the remaining members, and against a different result of
// First and Top.
func TestFirst_RemovalMovesOnlyItsKeys(t *testing.T) {
	before := []string{"a", "b", "c", "d"}
	after := []string{"a", "b", "d"}
	for i := range 500 {
		key := fmt.Sprint("key", i)
		if owner := First(key, before); owner != "c" {
			must.Eq(t, owner, First(key, after))
		}
		must.Eq(t, First(key, before), Top(key, before, 2)[0])
	}
}
