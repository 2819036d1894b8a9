package node

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a change that nobody hears of because the instances that should find it have lost the store, and
// against all instances doing their work.
func TestIsNext_Cases(t *testing.T) {
	order := []string{"a", "b", "c", "d", "e"}
	for name, c := range map[string]struct {
		self     string
		fulfil   string
		wantNext bool
	}{
		"first of all":                {"a", "bc", true},
		"second":                      {"b", "a", true},
		"third, two do it":            {"c", "ab", false},
		"third, one has lost":         {"c", "a", true},
		"fourth, the third stands in": {"d", "ac", false},
		"fourth, nobody yet":          {"d", "", true},
		"later ones do not count":     {"c", "ade", true},
		"not in the order":            {"x", "ab", false},
		"not in the order, alone":     {"x", "", true},
	} {
		does := func(id string) bool { return strings.Contains(c.fulfil, id) }
		must.Eq(t, c.wantNext, isNext(order, c.self, shortWatchers, does), must.Sprint(name))
	}
}
