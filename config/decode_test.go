package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testNow = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

const plainFile = "service: a\nkind: plain\nversions: [v1]\nroutes: [{path: /orders}]\n"

func problemsOf(t *testing.T, err error) Problems {
	t.Helper()
	problems, ok := err.(Problems)
	must.True(t, ok, must.Sprint(err))
	return problems
}

// Guards against accidental changes of defaults, above all a plain route that becomes idempotent.
func TestDecode_Defaults(t *testing.T) {
	s, err := Decode(File{"a.yaml", []byte(plainFile)}, testNow)
	must.NoError(t, err)
	must.Eq(t, Service{
		Name: "a", Kind: KindPlain, ServingVersion: "v1", Versions: []Version{{"v1"}}, Concurrency: defaultConcurrency,
		Routes:     []Route{{Name: "orders", Path: "/orders", Priority: PriorityNormal, Timeout: defaultPlainTimeout}},
		Workspaces: []Workspace{{Name: "default"}},
	}, s)
	s, err = Decode(File{"m.yaml", []byte("service: m\nkind: model\nversions: [v1, v2]\nserve: v1\nmove: {to: v2, deadline: 2026-12-04T08:00:00+01:00}\n")}, testNow)
	must.NoError(t, err)
	must.Eq(t, &Move{
		ID: "v1-v2-20261204T070000Z", From: "v1", To: "v2", Start: testNow, StartAtPublish: true, Deadline: testNow.Add(time.Hour),
	}, s.Move)
	must.Eq(t, modelPath, s.Routes[0].Path)
}

// Guards against wrong conversion of units.
func TestDecode_Units(t *testing.T) {
	text := plainFile + "workspaces: [{name: w, rate: 90/min, first_token: 1.9s, between_tokens: 60ms, cost_per_thousand_tokens: 0.02}]\n"
	s, err := Decode(File{"a.yaml", []byte(text)}, testNow)
	must.NoError(t, err)
	must.Eq(t, Workspace{"w", 1.5, 1.5, Targets{1900 * time.Millisecond, 60 * time.Millisecond, 0.02}}, s.Workspaces[0])
}

// Guards against an invalid file that is accepted, or whose error gives the wrong line or field.
func TestDecode_Refuses(t *testing.T) {
	move := "service: a\nkind: model\nversions: [v1, v2]\nserve: v1\nmove:\n  "
	ok := "to: v2\n  deadline: 2026-12-05T00:00:00Z\n  "
	cases := map[string]struct {
		text, want string
	}{
		"unknown field":     {plainFile + "colour: red\n", "f:5: colour: unknown field; use one of service, kind,"},
		"field twice":       {plainFile + "kind: model\n", "f:5: kind: field given twice"},
		"no name":           {strings.TrimPrefix(plainFile, "service: a\n"), "f:1: service: is missing"},
		"bad name":          {strings.Replace(plainFile, "service: a", "service: a/b", 1), `f:1: service: "a/b" is not a name`},
		"no unit":           {plainFile + "workspaces:\n  - name: w\n    first_token: 30\n", `f:7: workspaces[0].first_token: "30" is not a duration; write a number with a unit`},
		"wrong unit":        {plainFile + "workspaces: [{name: w, rate: 40ms}]\n", `f:5: workspaces[0].rate: "40ms" is not a rate`},
		"rate zero":         {plainFile + "workspaces: [{name: w, rate: 0/s}]\n", "leave rate out for no limit"},
		"rate NaN":          {plainFile + "workspaces: [{name: w, rate: NaN/s}]\n", `"NaN" is not a number`},
		"burst only":        {plainFile + "workspaces: [{name: w, burst: 3}]\n", "has no effect without a rate"},
		"workspace twice":   {plainFile + "workspaces: [{name: w}, {name: w}]\n", `f:5: workspaces[1].name: workspace "w" is given twice`},
		"no version":        {"service: a\nkind: model\n", "f:1: versions: lists no version"},
		"version twice":     {"service: a\nkind: model\nserve: v1\nversions: [v1, v1]\n", "f:4: versions[1]: v1 is given twice"},
		"serve unknown":     {"service: a\nkind: model\nversions: [v1]\nserve: v3\n", `f:4: serve: version "v3" is not listed`},
		"model runs once":   {"service: a\nkind: model\nversions: [v1]\nroutes: [{path: /v1/chat/completions, idempotent: false}]\n", "idempotent: a model answer"},
		"no route":          {"service: a\nkind: plain\nversions: [v1]\n", "f:1: routes: the service has no route"},
		"no path":           {plainFile + "  \n", ""},
		"route to nothing":  {strings.Replace(plainFile, "path: /orders", "name: x", 1), "f:4: routes[0].path: is missing"},
		"other service":     {strings.Replace(plainFile, "/orders", "/services/b/orders", 1), `refers to service "b"`},
		"path dots":         {strings.Replace(plainFile, "/orders", "/x/..", 1), "is not a plain URL path"},
		"route overlap":     {strings.Replace(plainFile, "}]", "}, {path: /orders, name: x, methods: [GET]}]", 1), `route "orders" has the same path and method`},
		"deadline past":     {move + "to: v2\n  deadline: 2026-12-04T05:59:59Z\n", "f:7: move.deadline: is in the past"},
		"deadline no zone":  {move + "to: v2\n  deadline: 2026-12-05T00:00:00\n", "is not a time with a zone"},
		"start late":        {move + ok + "start: 2026-12-05T00:00:00Z\n", "f:8: move.start: is not before the deadline"},
		"share over 100":    {move + ok + "stages: [{share: 101%, for: 1m}]\n", `"101%" is outside 0% to 100%`},
		"share no unit":     {move + ok + "stages: [{share: 0.5, for: 1m}]\n", `"0.5" is not a percentage; write a percentage such as 5%`},
		"shares not rising": {move + ok + "stages: [{share: 5%, for: 1m}, {share: 5%, for: 1m}]\n", "f:8: move.stages[1].share: is not above"},
		"stages too long":   {move + ok + "stages: [{share: 5%, for: 100h}]\n", "need 100h0m0s, but start and deadline are 18h0m0s apart"},
		"move same":         {move + "to: v1\n  deadline: 2026-12-05T00:00:00Z\n", `f:6: move.to: moves from "v1" to itself`},
		"move to unknown":   {move + "to: v9\n  deadline: 2026-12-05T00:00:00Z\n", `version "v9" is not listed`},
		"move from unknown": {move + ok + "from: v9\n", `f:8: move.from: version "v9" is not listed`},
		"move from idle":    {strings.Replace(move+ok+"from: v2\n", "to: v2", "to: v1", 1), `version "v2" does not serve`},
		"syntax":            {"service: a\n\tkind: x\n", "correct the YAML syntax"},
		"empty":             {"# nothing\n", "f:1: service: file is empty"},
		"two documents":     {plainFile + "---\n" + plainFile, "several documents"},
		"alias":             {"service: &x a\nkind: plain\nversions: [*x]\nroutes: [{path: /}]\n", "f:3: versions[0]: is an alias"},
		"too large":         {plainFile + "#" + strings.Repeat("x", MaxFileBytes), "file is over 65536 bytes"},
		"not a mapping":     {"- a\n", "is not a mapping"},
	}
	for name, c := range cases {
		_, err := Decode(File{"f", []byte(c.text)}, testNow)
		if c.want == "" {
			must.NoError(t, err, must.Sprint(name))
			continue
		}
		must.ErrorContains(t, err, c.want, must.Sprint(name))
	}
}

// Guards against error reporting that stops at the first mistake or the first file.
func TestDecodeFiles_ReportsAll(t *testing.T) {
	bad := strings.Replace(plainFile, "plain", "grpc", 1) + "concurrency: many\nroute: x\n"
	_, err := DecodeFiles([]File{{"1", []byte(bad)}, {"2", []byte(plainFile)}, {"3", []byte(bad)}}, testNow)
	problems := problemsOf(t, err)
	must.Len(t, 8, problems)
	must.Eq(t, Problem{"2", 1, "service", `"a" is also described in 1`, "describe each service in one file"}, problems[3])
	for _, p := range problems {
		must.True(t, p.File != "" && p.Line > 0 && p.Field != "" && p.Cause != "" && p.Fix != "")
	}
	_, err = ReadFiles([]string{"/nonexistent/a", "/nonexistent/b"})
	must.Len(t, 2, problemsOf(t, err))
}

// Guards against example files that are no longer valid.
func TestDecodeFiles_Examples(t *testing.T) {
	for _, dir := range []string{"zupan", "zupan/moves", "jadran", "jadran/moves"} {
		paths, err := filepath.Glob("../examples/" + dir + "/*.yaml")
		must.NoError(t, err)
		must.SliceNotEmpty(t, paths)
		files, err := ReadFiles(paths)
		must.NoError(t, err)
		services, err := DecodeFiles(files, testNow)
		must.NoError(t, err)
		for _, s := range services {
			must.Len(t, 5, s.Workspaces)
		}
	}
}

// Guards against a panic, a Problem without a line or a fix, and a service that does not survive encoding and decoding.
func FuzzDecode(f *testing.F) {
	paths, err := filepath.Glob("../examples/*/*.yaml")
	must.NoError(f, err)
	for _, p := range paths {
		data, err := os.ReadFile(p)
		must.NoError(f, err)
		f.Add(string(data))
	}
	for _, seed := range []string{plainFile, "", "a: [", "service: [x]\nkind: {}\nmove: 3\nroutes: {}\nworkspaces: [1]\n", "a: &a [*a]\n", "? [x]\n: y\n", "service: ~\nversions: ~"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Decode(File{"f", []byte(text)}, testNow)
		if err == nil {
			object, err := encodeService(&s)
			must.NoError(t, err)
			again, err := decodeService(object)
			must.NoError(t, err)
			if s.Move != nil {
				s.Move.StartAtPublish = false
			}
			must.Eq(t, s, *again)
			return
		}
		for _, p := range problemsOf(t, err) {
			must.True(t, p.File == "f" && p.Line > 0 && p.Cause != "" && p.Fix != "", must.Sprint(p))
		}
	})
}
