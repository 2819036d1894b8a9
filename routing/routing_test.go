package routing_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/routing"
)

func table() *routing.Table {
	return routing.New(routing.Table{
		Routes: []routing.Route{
			{Name: "root", Host: "a.example", Prefix: "/"},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/x/"},
		},
		Workspaces: []routing.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	})
}

// Guards against a request that is routed by a shorter prefix than the longest match, or by the prefix of another host.
func TestMatch_LongestPrefixOfHost(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"A.example:80", "/x/y/", "deep"},
		{"a.example", "/x/y", "root"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "", ""},
	} {
		got := ""
		if r := table().Match(c.host, c.path); r != nil {
			got = r.Name
		}
		must.Eq(t, c.want, got, must.Sprintf("%s%s", c.host, c.path))
	}
}

// Guards against an API key that is matched to the wrong workspace, or an empty key that is matched to any.
func TestWorkspace_ByKey(t *testing.T) {
	must.Eq(t, "w", table().Workspace("k2").Name)
	must.Nil(t, table().Workspace(""))
}

// Guards against a split that ignores the weights or sends one request to two services.
func TestService_FollowsWeights(t *testing.T) {
	r := routing.Route{Shares: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 10000 {
		id := string(rune('a'+i%26)) + string(rune(i))
		counts[r.Service(id)]++
		must.Eq(t, r.Service(id), r.Service(id))
	}
	must.Between(t, 800, counts["b"], 1200)
}
