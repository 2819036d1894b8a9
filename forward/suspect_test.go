package forward_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/placement"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/quarantine"
)

// suspects records what it is told, and refuses the block "bad".
type suspects struct {
	mu     sync.Mutex
	losses []forward.Loss
	begun  []placement.Block
}

func (s *suspects) Any() bool                              { return false }
func (s *suspects) IsSuspect(quarantine.Identity) bool     { return false }
func (s *suspects) BeginProbe(quarantine.Fingerprint) bool { return false }
func (s *suspects) RecordAnswered(quarantine.Identity)     {}

func (s *suspects) BeginTrial(context.Context, string) func() { return func() {} }

func (s *suspects) Refused(quarantine.Identity) (quarantine.Refusal, bool) {
	return quarantine.Refusal{}, false
}

func (s *suspects) RecordLost(_ *fleet.Endpoint, loss forward.Loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses = append(s.losses, loss)
}

func (s *suspects) RefusedBlock(_ string, shared []placement.Block) (string, time.Time, bool) {
	return "bad", time.Now().Add(time.Hour), shared[0].ID == "bad"
}

func (s *suspects) RecordBegun(_ string, _ quarantine.Fingerprint, shared []placement.Block) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = append(s.begun, shared...)
}

func promptWith(block string) *forward.Prompt {
	return &forward.Prompt{Input: 100, Output: 10, Blocks: []placement.Block{{ID: block, Tokens: 60}, {ID: "own", Tokens: 40}}}
}

// Guards against accusing the blocks of a request that had begun, clearing those of one that had not, and a crash before
// the first event that is taken for a complete answer.
func TestServe_ReportsToSuspects(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nId: "
	for name, c := range map[string]struct {
		script      func(a *arrival)
		lost, begun bool
	}{
		"complete":             {func(a *arrival) { a.stream(); a.chunk(event(1)); a.end() }, false, true},
		"lost before the head": {func(a *arrival) { _ = a.conn.Close() }, true, false},
		"lost before an event": {func(a *arrival) { a.stream(); a.chunk(": wait\n\n"); a.chunk("id: 1"); _ = a.conn.Close() }, true, false},
		"lost after an event":  {func(a *arrival) { a.stream(); a.chunk(event(1)); _ = a.conn.Close() }, true, true},
		"empty and unframed":   {func(a *arrival) { _, _ = io.WriteString(a.conn, unframed+a.id+"\r\n\r\n"); _ = a.conn.Close() }, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &suspects{}
			w := newHarness(t, 1, c.script, func(cfg *forward.Config) { cfg.Suspects = s })
			w.sendPrompt(t.Context(), "stream", promptWith("shared"))
			s.mu.Lock()
			defer s.mu.Unlock()
			want := []placement.Block(nil)
			if c.begun {
				want = promptWith("shared").Blocks[:1]
			}
			must.Eq(t, want, s.begun)
			must.Eq(t, c.lost, len(s.losses) == 1)
			if c.lost {
				must.Eq(t, c.begun, s.losses[0].Begun)
				must.Eq(t, promptWith("shared").Blocks[:1], s.losses[0].Shared)
			}
		})
	}
}

// Guards against a request with a refused block that reaches an endpoint or uses a quota.
func TestServe_RefusedBlock(t *testing.T) {
	w := newHarness(t, 1, func(a *arrival) { a.stream(); a.end() }, func(cfg *forward.Config) { cfg.Suspects = &suspects{} })
	got := w.sendPrompt(t.Context(), "resume", promptWith("bad"))
	must.Eq(t, problem.Quarantined, problem.KindOf(got.refusal.Err))
	must.Eq(t, 0, w.arrivalCount())
	must.Eq(t, 0.0, w.quotaUsed)
}

// Guards against a request that waits for an endpoint, crashes others elsewhere meanwhile, and is sent all the same, and
// against a refusal that doesn't say why and for how long.
func TestServe_RefusedWhileWaiting(t *testing.T) {
	s := &refuseLater{}
	script := func(a *arrival) { a.reply(http.StatusOK, "run") }
	w := newHarness(t, 0, script, func(cfg *forward.Config) { cfg.Suspects = s })
	w.table.Routes[1].TargetLatency = 40 * time.Second // an eighth of it is the wait for an endpoint
	go func() {
		time.Sleep(50 * time.Millisecond)
		s.refused.Store(true)
		w.fleet.Put(fleet.Entry{ID: "e", Service: service, Address: w.listen("e", script), Slots: 8})
	}()
	got := w.send(t.Context(), "safe")
	must.NotNil(t, got.refusal)
	must.Eq(t, problem.Quarantined, problem.KindOf(got.refusal.Err))
	must.StrContains(t, got.refusal.Err.Error(), "it is refused for")
	must.Positive(t, got.refusal.RetryAfter)
	must.Eq(t, 0, w.arrivalCount())
	must.Eq(t, 0.0, w.quotaUsed)
}
