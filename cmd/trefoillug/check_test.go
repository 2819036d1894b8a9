package main

import (
	"encoding/json"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/platform"
	"github.com/trefoillug/trefoillug/standin"
)

const goodManifest = `{"version":3,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"idempotent","service":"s"}],"services":[{"name":"s"}]}`

// Guards against wrong exit statuses, a form that is not recognised by content, and --form without effect.
func TestCheck_StatusAndForm(t *testing.T) {
	good, service := writeFile(t, "good.json", goodManifest), writeFile(t, "good.yaml", goodFile)
	warning := writeFile(t, "main", strings.Replace(goodManifest, `"h"`, `"H"`, 1))
	wrong := writeFile(t, "wrong.json", strings.Replace(goodManifest, `"version":3`, `"version":0`, 1))
	jsonService := writeFile(t, "service.json", `{"service":"parcels","kind":"plain","versions":["v1"],"routes":[{"path":"/orders"}]}`)
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{good, service, jsonService}, 0, "3 files without problems"},
		{[]string{warning}, 2, "main: routes[0].host: "},
		{[]string{warning, wrong}, 1, "wrong.json: version: is missing or 0"},
		{[]string{writeFile(t, "cut.json", goodManifest[:40])}, 1, "correct the JSON syntax"},
		{[]string{"--form", "service", good}, 1, "good.json:1: version: unknown field"},
		{[]string{"--form", "platform", service}, 1, "correct the JSON syntax"},
		{[]string{"--form", "other", good}, 1, "write service or platform"},
		{[]string{"--against", service, good}, 1, "name one configuration of the platform"},
		{[]string{"--against", good, service}, 1, "name service files"},
	} {
		status, out := runCommand(append([]string{"check"}, c.args...)...)
		must.Eq(t, c.status, status, must.Sprint(c.args, out))
		must.StrContains(t, out, c.want)
	}
}

// Guards against a check against the store that misses changes or a version that does not rise, and against JSON
// output under other names than the documented ones.
func TestCheck_AgainstStoreAsJSON(t *testing.T) {
	store := standin.NewPlatformStore()
	var inEffect map[string]any
	must.NoError(t, json.Unmarshal([]byte(goodManifest), &inEffect))
	store.Put(platform.KindManifest, "main", inEffect)
	server := httptest.NewServer(store)
	defer server.Close()
	url := server.URL + standin.PlatformObjectPath(platform.KindManifest, "main")
	next := writeFile(t, "next.json", strings.Replace(goodManifest, "/a/", "/b/", 1))
	status, out := runCommand("check", "--json", "--against", url, next)
	must.Eq(t, 1, status)
	var got any
	must.NoError(t, json.Unmarshal([]byte(out), &got))
	must.Eq(t, any(map[string]any{
		"findings": []any{map[string]any{"severity": "error", "file": next, "field": "version", "cause": "is 3, not above the 3 in effect", "fix": "write 4 or more"}},
		"changes": []any{map[string]any{"file": next, "change": "changed", "type": "route", "name": "r",
			"fields": []any{map[string]any{"field": "pathPrefix", "from": `"/a/"`, "to": `"/b/"`}}}},
	}), got)
	status, out = runCommand("check", "--against", url+"-2", next)
	must.Eq(t, 1, status)
	must.StrContains(t, out, "status 404")
	_, out = runCommand("check", "--json", writeFile(t, "good.json", goodManifest))
	must.Eq(t, `{"findings":[],"changes":[]}`, strings.Join(strings.Fields(out), ""))
}

// Guards against differences of service files that are missed, against an earlier file whose deadline has passed
// counting as a mistake, and against contradicting limits that are not reported.
func TestCheck_ServiceFiles(t *testing.T) {
	const move = "versions: [v1, v2]\nserve: v1\nmove: {to: v2, deadline: \"2020-06-01T18:00:00Z\"}\n"
	earlier := writeFile(t, "earlier.yaml", strings.Replace(goodFile, "versions: [v1]\n", move, 1))
	next := writeFile(t, "next.yaml", strings.Replace(goodFile, "/orders}", "/orders, priority: high}, {path: /new}", 1))
	status, out := runCommand("check", "--against", earlier, next)
	must.Eq(t, 0, status, must.Sprint(out))
	for _, want := range []string{
		"added route orders/new\n", "changed route orders/orders: priority normal -> high\n", "changed service orders: versions [v1 v2] -> [v1], move ",
	} {
		must.StrContains(t, out, want)
	}
	status, out = runCommand("check", writeFile(t, "w.yaml", goodFile+"workspaces: [{name: w, rate: 9/s, burst: 0.5, first_token: 31s, between_tokens: 32s}]\n"))
	must.Eq(t, 2, status)
	for _, want := range []string{"w.yaml: workspaces[0].burst: ", "w.yaml: workspaces[0].first_token: ", "w.yaml: workspaces[0].between_tokens: "} {
		must.StrContains(t, out, want)
	}
}

// Guards against examples of the repository with findings.
func TestCheck_ExamplesAreClean(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.yaml")
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	status, out := runCommand(append([]string{"check"}, files...)...)
	must.Eq(t, 0, status, must.Sprint(out))
}
