package move

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/config"
)

// shortMove is a move as package node configures it for a rollout: a single stage with a small share, decided at the
// deadline.
type shortMove struct {
	name      string
	bad       bool
	instances int
	ramp      time.Duration
	rates     []float64 // requests a second of each route, over all instances
	// The rate of the outcome on each route, of the old and the new version.
	outcome  AttemptOutcome
	old, new []float64
	burst    float64 // more outcomes on both versions in the third quarter of the ramp
}

const shortTick = 100 * time.Millisecond

// play returns the outcome of a move, and the number of attempts on the new version until then.
func (sc *shortMove) play(seed uint64) (Outcome, string, int) {
	rng := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1_700_000_000, 0)
	svc := &config.Service{Name: "s", ServingVersion: "old", Move: &config.Move{ID: "m", From: "old", To: "new", Start: start,
		Deadline: start.Add(sc.ramp + 500*time.Millisecond), Stages: []config.Stage{{Share: 0.06, MinTime: 2 * sc.ramp}}}}
	var ids []string
	for i := range sc.rates {
		svc.Routes = append(svc.Routes, config.Route{Name: fmt.Sprint("r", i)})
	}
	for i := range sc.instances {
		ids = append(ids, fmt.Sprint("n", i))
	}
	systems := make([]*System, sc.instances)
	shares := make([]float64, sc.instances)
	for i := range systems {
		systems[i] = New(Settings{MemberID: ids[i], Epoch: 1})
		systems[i].SetMembers(ids)
		systems[i].Configure(start, svc)
	}
	var waiting []message
	onNew := 0
	for now := start; now.Sub(start) < sc.ramp+2*time.Second; now = now.Add(shortTick) {
		for i, s := range systems {
			for route, rate := range sc.rates {
				for at := rng.ExpFloat64(); at < rate*shortTick.Seconds()/float64(sc.instances); at += rng.ExpFloat64() {
					r := Result{Service: "s", Version: "old", Route: fmt.Sprint("r", route), Load: rng.IntN(3)}
					p := sc.old[route]
					if rng.Float64() < shares[i] {
						r.Version, p = "new", sc.new[route]
						onNew++
					}
					if at := now.Sub(start); at > sc.ramp/2 && at < sc.ramp*3/4 {
						p += sc.burst
					}
					r.FirstToken = time.Duration(60e6 * math.Exp(0.1*rng.NormFloat64()))
					if rng.Float64() < p {
						r.Outcome = sc.outcome
					}
					s.Observe(now, r)
				}
			}
			for _, m := range waiting {
				if m.origin != i && !m.at.After(now) && m.at.After(now.Add(-shortTick)) {
					_ = s.Receive(now, ids[m.origin], m.fact.Key, m.fact.Value)
				}
			}
			out := s.Tick(now)
			shares[i] = fractionOf(out.Shares["s"], "new")
			for _, f := range out.Facts {
				waiting = append(waiting, message{now.Add(shortTick), i, f})
			}
			for _, p := range out.Proposals {
				return p.Outcome, p.Reason, onNew
			}
		}
	}
	return "", "", onNew
}

// Guards against a bad version that is declared good because the move is too short for the evidence that a test asks for,
// and against good versions that the tests roll back more often than stated, also when the event is usual on both versions.
func TestMove_ShortMoves(t *testing.T) {
	small, larger := []float64{25.6, 10.3}, []float64{120, 58}
	tests := []shortMove{
		{name: "one route fails", bad: true, outcome: Failed, rates: small, old: []float64{0, 0}, new: []float64{0, 1}},
		{name: "one route is lost", bad: true, rates: small, old: []float64{0, 0}, new: []float64{0, 1}},
		{name: "both routes are lost", bad: true, rates: small, old: []float64{0, 0}, new: []float64{1, 1}},
		{name: "three in ten on one route", bad: true, rates: larger, old: []float64{0, 0}, new: []float64{0, 0.3}},
		{name: "all instead of three in ten", bad: true, rates: larger, old: []float64{0, 0.3}, new: []float64{0, 1}},
		{name: "none", rates: small, old: []float64{0, 0}, new: []float64{0, 0}},
		{name: "three in ten on both", rates: small, old: []float64{0.3, 0.3}, new: []float64{0.3, 0.3}},
		{name: "nine in ten on one route of both", rates: small, old: []float64{0, 0.9}, new: []float64{0, 0.9}},
		{name: "a burst on both", rates: larger, burst: 0.4, old: []float64{0.02, 0.02}, new: []float64{0.02, 0.02}},
		{name: "a burst of failures on both", outcome: Failed, rates: larger, burst: 0.4, old: []float64{0, 0}, new: []float64{0, 0}},
		{name: "fewer than before", rates: small, old: []float64{0.5, 0.5}, new: []float64{0, 0}},
	}
	runs := max(100, *seeds)
	for _, sc := range tests {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			sc.instances, sc.ramp = 4, 12*time.Second
			if sc.outcome == OK {
				sc.outcome = Unsuccessful
			}
			kept, worse := 0, 0
			for i := range runs {
				result, reason, onNew := sc.play(*base + uint64(i))
				must.Positive(t, onNew)
				switch {
				case result == Done:
					kept++
				case strings.Contains(reason, "worse than on the old version"):
					worse++
				default:
					must.StrContains(t, reason, "was observed")
				}
			}
			t.Logf("%d runs: %d kept, %d found worse", runs, kept, worse)
			if sc.bad {
				must.LessEq(t, runs/20, kept)
			} else {
				must.LessEq(t, runs/100, worse)
			}
		})
	}
}

// Guards against an exact test that rolls back more good versions than its level says, or needs more events than it must.
func TestExactTest_Probabilities(t *testing.T) {
	counts := func(n0, k0, n1, k1 float64) sample {
		return sample{n: [sides]float64{n0, n1}, k: [sides]float64{k0, k1}}
	}
	tests := map[string]struct {
		batches []sample
		p       float64
	}{
		"nothing":                       {nil, 1},
		"no events":                     {[]sample{counts(100, 0, 10, 0)}, 1},
		"all events":                    {[]sample{counts(100, 100, 10, 10)}, 1},
		"none on the new version":       {[]sample{counts(100, 3, 10, 0)}, 1},
		"three of three, none of 111":   {[]sample{counts(111, 0, 3, 3)}, 6. / (114 * 113 * 112)},
		"one each in three batches":     {[]sample{counts(24, 0, 1, 1), counts(24, 0, 1, 1), counts(24, 0, 1, 1)}, 1. / (25 * 25 * 25)},
		"one each, a batch without new": {[]sample{counts(24, 0, 1, 1), counts(50, 9, 0, 0), counts(24, 0, 1, 1)}, 1. / (25 * 25)},
		"few without events":            {[]sample{counts(2, 1, 2, 2)}, 0.5}, // 3 of 4 attempts have the event
	}
	for name, c := range tests {
		var x exactTest
		for _, s := range c.batches {
			x.add(s)
		}
		must.InDelta(t, c.p, x.pValue(), 1e-9, must.Sprint(name))
	}
	var many exactTest
	for range 100 {
		many.add(counts(900, 300, 60, 60))
	}
	must.Eq(t, 1, many.pValue()) // left to the tests by likelihood ratios
}

// Guards against facts of answers that an earlier release can't decode, or that it must have sent for a version to be sound.
func TestReceive_AnswersBesideEarlierRelease(t *testing.T) {
	a, b := newTestSystem("a", quotes(plainMove(), "review")), newTestSystem("b", quotes(plainMove(), "review"))
	a.SetMembers([]string{"a", "b"})
	var earlier, answers []Fact // as a release without answers sends them, and what it ignores
	for _, version := range []string{"v1", "v2"} {
		b.observe(version, "review", 400, Unsuccessful)
	}
	for _, f := range b.Tick(b.now).Facts {
		switch {
		case strings.HasPrefix(f.Key, "move/evidence/"):
			var before struct {
				_             struct{} `cbor:",toarray"`
				Service, Move string
				Epoch         uint64
				Route         string
				Cells         []cellFact
			}
			must.NoError(t, cbor.Unmarshal(f.Value, &before))
			earlier = append(earlier, f)
		case strings.HasPrefix(f.Key, "move/answers/"):
			answers = append(answers, f)
		}
	}
	must.Len(t, 1, earlier)
	must.Len(t, 1, answers)
	must.NoError(t, a.Receive(a.now, "b", earlier[0].Key, earlier[0].Value))
	r := a.services["quotes"].current.route("review")
	must.True(t, r.rateSound(unsuccessful))
	for range 2 { // a repeated fact changes nothing
		must.NoError(t, a.Receive(a.now, "b", answers[0].Key, answers[0].Value))
	}
	must.False(t, r.rateSound(unsuccessful))
	k, n := r.total[newSide][0].count(unsuccessful)
	must.Eq(t, 400, int(k))
	must.Eq(t, 400, int(n))
	must.Error(t, a.Receive(a.now, "b", answers[0].Key, marshal(answersFact{
		Service: "quotes", Move: "m1", Route: "review", Cells: []answersCell{{Side: 2, Answered: 1}},
	})))
}

// Guards against a good version that is rolled back after all traffic went to it, because its usual 404s are compared with
// attempts whose answers no instance had counted.
func TestTally_PastAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answered, before, after uint32 // before: unsuccessful of answered; after: of 1000
		isWorse                 bool
	}{
		"not counted":      {0, 0, 300, false},
		"few counted":      {20, 0, 300, false},
		"as usual":         {1000, 300, 300, false},
		"more than before": {1000, 300, 600, true},
	} {
		var past counters
		for s := range past {
			past[s][0] = cell{n: 1000, answered: c.answered, unsuccessful: c.before}
		}
		var evidence tally
		evidence.addPast(&past, 0, &cell{n: 1000, answered: 1000, unsuccessful: c.after})
		must.Eq(t, c.isWorse, evidence.faultLogEValue([]event{unsuccessful}) > 10, must.Sprint(name))
	}
}
