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

// Guards against a member that is missing from the top or before another, which would give a duty to two or to none.
func TestBefore_AgreesWithTop(t *testing.T) {
	var members []string
	for i := range 60 {
		members = append(members, fmt.Sprint("m", i))
	}
	for _, key := range []string{"a", "b", "c"} {
		all := Top(key, members, len(members))
		must.SliceContainsAll(t, members, all)
		for rank, m := range all {
			must.SliceContainsAll(t, all[:rank], Before(key, members, m))
		}
		for n := range 9 {
			must.Eq(t, all[:n], Top(key, members, n))
		}
		must.Eq(t, all, Top(key, members, 100))
	}
}
