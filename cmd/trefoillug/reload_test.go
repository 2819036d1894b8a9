package main

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/platform"
)

const settingsText = `
node = "edge-1"
zone = "a"
seeds = []
[listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
control = "127.0.0.1:0"
[limits]
memoryMb = 284
[bounds]
graceS = 8
drainMs = 2000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
[platform]
address = "127.0.0.1:1"
`

// messageHook is a log hook that collects the messages.
type messageHook struct {
	mu    sync.Mutex
	lines []string
}

func (m *messageHook) Levels() []logrus.Level { return logrus.AllLevels }

func (m *messageHook) Fire(e *logrus.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lines = append(m.lines, e.Message)
	return nil
}

func (m *messageHook) contains(text string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Contains(strings.Join(m.lines, "\n"), text)
}

// Guards against a SIGHUP that ends the process, and against invalid settings that replace valid ones.
func TestFollowSettings_Signal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	must.NoError(t, os.WriteFile(path, []byte(settingsText), 0o600))
	s, err := platform.LoadSettings(path)
	must.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	seen := &messageHook{}
	log.AddHook(seen)
	n, err := newNode(s, log, nil)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); followSettings(ctx, reloadSignals(), path, s, n, log) }()
	defer func() { cancel(); <-done }()
	time.Sleep(50 * time.Millisecond) // the signal handler is installed in this time
	for _, c := range []struct{ text, want string }{
		{settingsText, "nothing has changed"},
		{strings.Replace(settingsText, "memoryMb = 284", "memoryMb = 0", 1), "the previous ones stay"},
		{strings.Replace(settingsText, "budgetSlack = 54", "budgetSlack = 20", 1), "settings reloaded"},
	} {
		must.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
		must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		for range 200 {
			if seen.contains(c.want) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		must.True(t, seen.contains(c.want), must.Sprint(c.want))
	}
}

// Guards against a SIGHUP that ends the process while it serves its last requests after a SIGTERM.
func TestFollowSettings_SignalDuringShutdown(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	must.NoError(t, os.WriteFile(path, []byte(settingsText), 0o600))
	s, err := platform.LoadSettings(path)
	must.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	followSettings(ctx, reloadSignals(), path, s, nil, log)
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP)) // ends the test's process if nothing catches it
	time.Sleep(50 * time.Millisecond)
}
