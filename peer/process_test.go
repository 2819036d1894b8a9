package peer

import (
	"io"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	childID   = "PEER_TEST_CHILD"
	childSeed = "PEER_TEST_SEED"
)

// startChild runs TestProcess_Child of this test binary as a member in a separate process.
func startChild(t *testing.T, id, seed string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], "-test.run=^TestProcess_Child$")
	cmd.Env = append(os.Environ(), childID+"="+id, childSeed+"="+seed)
	stdin, err := cmd.StdinPipe()
	must.NoError(t, err)
	must.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = stdin.Close()
		_ = cmd.Wait()
	})
	return cmd
}

// TestProcess_Child is the body of the child processes. Without their environment variables it does nothing.
func TestProcess_Child(t *testing.T) {
	id := os.Getenv(childID)
	if id == "" {
		return
	}
	n := startSocketNode(t, id, "d-"+id, NewWebSocket(), os.Getenv(childSeed))
	n.Publish("from", []byte(id), 0)
	// Ends when the parent closes the pipe or dies.
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// Guards against a mesh that works only within one process, and against a killed process that stays a member.
func TestProcess_Mesh(t *testing.T) {
	n := startSocketNode(t, "parent", "d-parent", NewWebSocket())
	startChild(t, "c1", n.Self().Address)
	killed := startChild(t, "c2", n.Self().Address)
	waitFor(t, 10*time.Second, "three members", func() bool { return len(n.Members()) == 3 })
	waitFor(t, 5*time.Second, "facts of both", func() bool { return factValue(n, "c1", "from") == "c1" && factValue(n, "c2", "from") == "c2" })
	must.NoError(t, killed.Process.Kill())
	elapsed := waitFor(t, 15*time.Second, "killed process is dead", func() bool { return len(n.Members()) == 2 })
	t.Logf("killed process was removed in %v", elapsed)
}
