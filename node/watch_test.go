package node

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/feed"
)

// Guards against a change that no instance finds because those that should find it have lost the store, and against
// all instances taking on that duty.
func TestIsNeeded_Cases(t *testing.T) {
	order := []string{"a", "b", "c", "d", "e"}
	for name, c := range map[string]struct {
		self       string
		activeIDs  string
		wantNeeded bool
	}{
		"first in the order":               {"a", "bc", true},
		"second":                           {"b", "a", true},
		"third, two are active":            {"c", "ab", false},
		"third, only one is active":        {"c", "a", true},
		"fourth, the third is active":      {"d", "ac", false},
		"fourth, none is active":           {"d", "", true},
		"later ones do not count":          {"c", "ade", true},
		"not in the order":                 {"x", "ab", false},
		"not in the order, none is active": {"x", "", true},
	} {
		active := func(id string) bool { return strings.Contains(c.activeIDs, id) }
		before := order
		if i := slices.Index(order, c.self); i >= 0 {
			before = order[:i]
		}
		must.Eq(t, c.wantNeeded, isNeeded(before, shortWatchers, active), must.Sprint(name))
	}
}

// Guards against watches that wait until their revision has left the store's history, and list again each time.
func TestLongestWait_Cases(t *testing.T) {
	must.Eq(t, feed.MaxWait, longestWait(0))
	must.Eq(t, 16*time.Second, longestWait(20*time.Second))
	must.Eq(t, feed.MaxWait, longestWait(time.Hour))
}
