package move

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/config"
)

type stage = config.Stage

// testSystem is a System that is its own only member, with a clock.
type testSystem struct {
	*System
	now time.Time
}

func newTestSystem(self string, svc *config.Service) *testSystem {
	b := &testSystem{New(Settings{MemberID: self, Epoch: 1}), modelStart}
	b.SetMembers([]string{self})
	b.Configure(b.now, svc)
	return b
}

func quotes(m *config.Move, routes ...string) *config.Service {
	svc := &config.Service{Name: "quotes", ServingVersion: "v1", Move: m}
	for _, r := range routes {
		svc.Routes = append(svc.Routes, config.Route{Name: r})
	}
	return svc
}

func plainMove() *config.Move {
	return &config.Move{ID: "m1", From: "v1", To: "v2", Start: modelStart, Deadline: modelStart.Add(10 * time.Minute)}
}

func (b *testSystem) observe(version, route string, n int, o AttemptOutcome) {
	for range n {
		b.Observe(b.now, Result{Service: "quotes", Version: version, Route: route, Outcome: o, FirstToken: 100 * time.Millisecond})
	}
}

// runUntil ticks every second until the given time after the start, each time with ten good attempts on the old
// version.
func (b *testSystem) runUntil(end time.Duration) (out Output) {
	for ; b.now.Before(modelStart.Add(end)); b.now = b.now.Add(time.Second) {
		b.observe("v1", "review", 10, OK)
		out = b.Tick(b.now)
	}
	return out
}

func (b *testSystem) share(out Output) float64 { return fractionOf(out.Shares["quotes"], "v2") }

func abortOf(t *testing.T, facts []Fact) Fact {
	for _, f := range facts {
		if f.Key == "move/abort/quotes/m1" {
			return f
		}
	}
	t.Fatal("no abort published")
	return Fact{}
}

var m1 = Object{"quotes", "m1"}

// Guards against a recorded outcome done that raises the share at an instance with an abort, and against a bad version
// that is kept because "done" was recorded before "rolled back".
func TestApplyRecord_AbortOverridesRecordedDone(t *testing.T) {
	a, b := newTestSystem("a", quotes(plainMove(), "review")), newTestSystem("b", quotes(plainMove(), "review"))
	a.runUntil(20 * time.Second)
	a.observe("v2", "review", 30, Failed)
	a.now = a.now.Add(30 * time.Second)
	out := a.Tick(a.now)
	abort := abortOf(t, out.Facts)
	must.Eq(t, RolledBack, out.Proposals[0].Outcome)
	done := &Record{Service: "quotes", Move: "m1", Outcome: Done, At: a.now}
	b.runUntil(30 * time.Second)
	for _, x := range []*testSystem{a, b} {
		x.ApplyRecord(x.now, m1, done)
		x.ApplyRecord(x.now, m1, &Record{Outcome: RolledBack}) // a contradicting answer, ignored
	}
	must.Eq(t, 1, b.share(b.Tick(b.now)))
	must.NoError(t, b.Receive(b.now, "a", abort.Key, abort.Value))
	for _, x := range []*testSystem{a, b} {
		x.now = x.now.Add(time.Second)
		out := x.Tick(x.now)
		must.Eq(t, 0, x.share(out))
		must.Eq(t, "m1-back", out.Proposals[0].Move)
		must.Eq(t, Done, out.Proposals[0].Outcome)
	}
}

// Guards against an instance that keeps its own decision after another outcome is recorded, and against repeated
// proposals.
func TestApplyRecord_RacingProposalsFollowTheStore(t *testing.T) {
	a := newTestSystem("a", quotes(plainMove(), "review"))
	out := a.runUntil(9*time.Minute + 55*time.Second)
	must.Eq(t, RolledBack, out.Proposals[0].Outcome)
	must.StrContains(t, out.Proposals[0].Reason, "review")
	must.Eq(t, 0, a.share(out))
	a.ApplyRecord(a.now, m1, &Record{Outcome: Done})
	out = a.Tick(a.now)
	must.Eq(t, 1, a.share(out))
	must.SliceEmpty(t, out.Proposals)
}

// Guards against a move that is still undecided at the deadline, or decided as done although no route has observed the
// new version.
func TestTick_SettlesBeforeTheDeadline(t *testing.T) {
	b := newTestSystem("a", quotes(plainMove(), "review"))
	b.observe("v2", "review", 5, OK)
	out := b.runUntil(9*time.Minute + 55*time.Second)
	must.Eq(t, Done, out.Proposals[0].Outcome)
	must.Eq(t, 1, b.share(out))
}

// Guards against counting reclaimed endpoints and quarantined requests as failures of the new version.
func TestObserve_ExcludedAttemptsAreNotCounted(t *testing.T) {
	b := newTestSystem("a", quotes(plainMove(), "review"))
	b.observe("v2", "review", 1000, Excluded)
	out := b.runUntil(time.Minute)
	must.Positive(t, b.share(out))
	must.Eq(t, 0, b.tracker("quotes", "m1").route("review").total.observed(newSide))
}

// Guards against a next move that starts from a version not shown to be sound, and against a replaced move that is
// never settled.
func TestConfigure_SecondMoveSupersedesTheFirst(t *testing.T) {
	b := newTestSystem("a", quotes(plainMove(), "review"))
	b.runUntil(time.Minute)
	second := &config.Move{ID: "m2", From: "v2", To: "v3", Start: b.now, Deadline: b.now.Add(10 * time.Minute)}
	b.Configure(b.now, quotes(second, "review"))
	out := b.Tick(b.now)
	must.Eq(t, Superseded, out.Proposals[0].Outcome)
	must.Eq(t, "m1", out.Proposals[0].Move)
	must.Eq(t, 0, b.share(out))
	must.Eq(t, "v1", out.Shares["quotes"][0].Version)
	b.ApplyRecord(b.now, m1, &Record{Outcome: Done})
	out = b.Tick(b.now)
	must.Eq(t, "v2", out.Shares["quotes"][0].Version)
	must.SliceEmpty(t, out.Proposals)
}

// Guards against an abort that is lost because it arrives before the configuration.
func TestReceive_AbortBeforeConfigurationIsKept(t *testing.T) {
	b := newTestSystem("a", quotes(nil, "review"))
	f := abortFact{Service: "quotes", Move: "m1", Reason: "failures"}
	must.NoError(t, b.Receive(b.now, "b", "move/abort/quotes/m1", marshal(f)))
	b.Configure(b.now, quotes(plainMove(), "review"))
	must.Eq(t, 0, b.share(b.runUntil(time.Minute)))
	must.Error(t, b.Receive(b.now, "b", "move/abort/quotes/m1", []byte{0xff}))
}

// Guards against evidence that is counted twice, reduced by a late fact, or lost by a restart of its origin.
func TestReceive_EvidenceMergesByMaximum(t *testing.T) {
	b := newTestSystem("a", quotes(plainMove(), "review"))
	send := func(epoch uint64, n int) {
		var c counters
		for range n {
			c.add(newSide, Result{FirstToken: time.Second})
		}
		f := routeFact{Service: "quotes", Move: "m1", Epoch: epoch, Route: "review", Cells: encodeCells(&c)}
		must.NoError(t, b.Receive(b.now, "b", "move/evidence/quotes/m1/1/review", marshal(f)))
	}
	for _, n := range []int{5, 9, 7, 9} {
		send(1, n)
	}
	r := b.tracker("quotes", "m1").route("review")
	must.Eq(t, 9, r.total.observed(newSide))
	send(2, 3)
	must.Eq(t, 12, r.total.observed(newSide))
	must.Eq(t, 12, int(above(&r.total[newSide][0].firstToken, 0)))
	bad := routeFact{Service: "quotes", Move: "m1", Epoch: 1, Route: "review", Cells: []cellFact{{Side: 9, N: 99}}}
	must.Error(t, b.Receive(b.now, "b", "move/evidence/quotes/m1/1/review", marshal(bad)))
	must.Eq(t, 12, r.total.observed(newSide))
}

// Guards against an instance that was paused and serves its old share before it receives reports from the others.
func TestTick_ResumedInstanceHasNoShareUntilPeersReport(t *testing.T) {
	b := newTestSystem("a", quotes(plainMove(), "review"))
	b.SetMembers([]string{"a", "b"})
	heartbeat := func() { must.NoError(t, b.Receive(b.now, "b", "move/beat", marshal(heartbeatFact{Count: 1}))) }
	must.Eq(t, 0, b.share(b.Tick(b.now)))
	heartbeat()
	must.Positive(t, b.share(b.runUntil(time.Second)))
	b.now = b.now.Add(pausedAfter + time.Second)
	must.Eq(t, 0, b.share(b.Tick(b.now)))
	heartbeat()
	b.now = b.now.Add(time.Second)
	must.Positive(t, b.share(b.Tick(b.now)))
}

// Guards against two instances that propose different outcomes at the same time and then keep different shares.
func TestApplyRecord_ConflictingProposalsConverge(t *testing.T) {
	for _, first := range []int{0, 1} {
		a, b := newTestSystem("a", quotes(plainMove(), "review")), newTestSystem("b", quotes(plainMove(), "review"))
		b.observe("v2", "review", 100, OK)
		end := 9*time.Minute + 55*time.Second
		pair := []*testSystem{a, b}
		out := []Output{a.runUntil(end), b.runUntil(end)}
		must.NotEq(t, out[0].Proposals[0].Outcome, out[1].Proposals[0].Outcome)
		winner := &out[first].Proposals[0]
		want := map[Outcome]float64{Done: 1, RolledBack: 0}[winner.Outcome]
		for _, x := range pair {
			x.ApplyRecord(x.now, m1, winner)
			out := x.Tick(x.now)
			must.Eq(t, want, x.share(out))
			must.SliceEmpty(t, out.Proposals)
		}
	}
}

// Guards against an instance that reads a recorded outcome only at its next poll.
func TestReceive_SettledFactCausesARead(t *testing.T) {
	b := newTestSystem("a", quotes(plainMove(), "review"))
	must.Len(t, 1, b.Tick(b.now).Reads)
	must.SliceEmpty(t, b.Tick(b.now).Reads)
	f := settledFact{Service: "quotes", Move: "m1", Outcome: Done}
	must.NoError(t, b.Receive(b.now, "b", "move/settled/quotes/m1", marshal(f)))
	out := b.Tick(b.now)
	must.Eq(t, []Object{m1}, out.Reads)
	must.Less(t, 1, b.share(out))
}

func BenchmarkCapacityMoveTick(bm *testing.B) {
	b := newTestSystem("a", quotes(nil))
	for i := range 5000 {
		svc := quotes(nil)
		svc.Name = strconv.Itoa(i)
		if i%250 == 0 {
			svc.Move = plainMove()
		}
		b.Configure(b.now, svc)
	}
	bm.ReportAllocs()
	for bm.Loop() {
		b.now = b.now.Add(100 * time.Millisecond)
		b.Tick(b.now)
	}
}
