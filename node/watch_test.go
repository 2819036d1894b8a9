package node

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
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
		must.Eq(t, c.wantNeeded, isNeeded(order, c.self, shortWatchers, active), must.Sprint(name))
	}
}
