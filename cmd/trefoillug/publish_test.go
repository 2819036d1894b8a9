package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/urfave/cli/v3"

	"github.com/trefoillug/trefoillug/standin"
)

const goodFile = "service: orders\nkind: plain\nversions: [v1]\nroutes: [{path: /orders}]\n"

// runCommand runs a command and returns its exit code and output.
func runCommand(args ...string) (int, string) {
	var out bytes.Buffer
	code := 0
	root := &cli.Command{
		Name: "trefoillug", Writer: &out, ErrWriter: &out, Commands: []*cli.Command{checkCommand(), publishCommand()},
		ExitErrHandler: func(_ context.Context, _ *cli.Command, err error) {
			if exit, ok := err.(cli.ExitCoder); ok {
				code = exit.ExitCode()
				out.WriteString(exit.Error())
			}
		},
	}
	if err := root.Run(context.Background(), append([]string{"trefoillug"}, args...)); err != nil && code == 0 {
		code = 1
	}
	return code, out.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// startInstance serves /status with the revision and the members (ID to address), and returns its host:port.
func startInstance(t *testing.T, id string, revision *atomic.Uint64, members map[string]string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		list := []map[string]string{}
		for id, address := range members {
			list = append(list, map[string]string{"id": id, "http": address})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"instance": id, "revision": revision.Load(), "members": list})
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a check that accepts invalid files or omits the problems of later files.
func TestCheck_ReportsAllFiles(t *testing.T) {
	bad := writeFile(t, "bad.yaml", "service: x\ncolour: red\n")
	code, out := runCommand("check", bad, "/nonexistent.yaml", bad)
	must.Eq(t, exitRefused, code)
	must.StrContains(t, out, "bad.yaml:2: colour: unknown field")
	must.StrContains(t, out, "/nonexistent.yaml:1:")
	code, _ = runCommand("check", writeFile(t, "good.yaml", goodFile))
	must.Eq(t, 0, code)
	code, _ = runCommand("check")
	must.Eq(t, exitRefused, code)
}

// Guards against a publish that reports success before every live member has the revision in force.
func TestPublish_WaitsForEveryMember(t *testing.T) {
	server := httptest.NewServer(standin.NewObjects(standin.ObjectsOptions{}))
	defer server.Close()
	var ahead, lagging atomic.Uint64
	ahead.Store(1)
	third := startInstance(t, "i3", &lagging, nil)
	second := startInstance(t, "i2", &ahead, map[string]string{"i3": third})
	first := startInstance(t, "i1", &ahead, map[string]string{"i1": "elsewhere:1", "i2": second})
	good := writeFile(t, "good.yaml", goodFile)
	args := []string{"publish", "--store", server.URL, "--entries", first + ",127.0.0.1:1", "--wait", "2s"}
	code, out := runCommand(append(args, good)...)
	must.Eq(t, exitNotInForce, code)
	must.StrContains(t, out, "accepted as revision 1\ni1 "+first+": revision 1\ni2 "+second+": revision 1\ni3 "+third+": revision 0\n")
	lagging.Store(1)
	code, out = runCommand(append(args, good)...)
	must.Eq(t, 0, code)
	must.StrContains(t, out, "no change, accepted as of revision 1\n")
	must.StrContains(t, out, "revision 1 is in force on all 3 instances")
	code, out = runCommand("publish", "--store", server.URL, "--remove", "orders")
	must.Eq(t, 0, code)
	must.StrContains(t, out, "accepted as revision 2\n")
}

// Guards against a publish during an outage that hangs, reports success or leaves its result unknown.
func TestPublish_Outage(t *testing.T) {
	objects := standin.NewObjects(standin.ObjectsOptions{})
	server := httptest.NewServer(objects)
	defer server.Close()
	objects.SetFaults(standin.Faults{Down: true})
	code, out := runCommand("publish", "--store", server.URL, "--timeout", "300ms", writeFile(t, "good.yaml", goodFile))
	must.Eq(t, exitRefused, code)
	must.StrContains(t, out, "object store unavailable")
	objects.SetFaults(standin.Faults{LoseAnswers: 1, LosePrefix: "config/head"})
	code, out = runCommand("publish", "--store", server.URL, writeFile(t, "good.yaml", goodFile))
	must.Eq(t, 0, code)
	must.StrContains(t, out, "accepted as revision 1\n")
}
