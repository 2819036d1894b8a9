package node

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/trefoillug/trefoillug/clock"
	"github.com/trefoillug/trefoillug/era"
	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/quarantine"
)

// newSuspectsOfNode returns the suspects of a node that has a mesh without peers.
func newSuspectsOfNode(t *testing.T) (*suspects, *peer.Node, *test.Hook) {
	t.Helper()
	log, hook := test.NewNullLogger()
	mesh, err := peer.New(peer.Settings{Self: peer.Member{ID: "a", Address: "127.0.0.1:1"}, Transport: peer.NewWebSocket(), Log: log})
	must.NoError(t, err)
	mesh.Start()
	t.Cleanup(mesh.Close)
	return newSuspects(&Node{mesh: mesh, log: log, wall: clock.NewWall(), metrics: newMetrics()}), mesh, hook
}

// Guards against a refusal that begins anew with each instance that learns of it, and against reports that go round.
func TestSuspects_ReportKeepsAge(t *testing.T) {
	s, mesh, _ := newSuspectsOfNode(t)
	report := func(endpoint string, request quarantine.Fingerprint, left time.Duration) {
		value, err := cbor.Marshal(crashReport{Endpoint: endpoint, Accused: []accusedReport{{Request: request, Family: 100 + request, RanMs: 1}}})
		must.NoError(t, err)
		s.receive(peer.Fact{Key: factCrashes, Value: value, TTL: left})
	}
	ages := map[quarantine.Fingerprint]time.Duration{7: time.Second, 8: quarantine.CrashTTL - 2*time.Second}
	for request, age := range ages {
		report("e1", request, quarantine.CrashTTL-age-time.Second)
		report(fmt.Sprint("e", request), request, quarantine.CrashTTL-age)
		report(fmt.Sprint("e", request), request, quarantine.CrashTTL-age)
	}
	time.Sleep(quarantine.SettleTime)
	for request, age := range ages {
		id := quarantine.Identity{Request: request, Family: 100 + request}
		r, refused := s.Refused(id)
		must.True(t, refused)
		must.True(t, time.Until(r.Until()) <= quarantine.CrashTTL-age)
		must.Eq(t, 2, r.Crashes)
		_, refused = s.Crashes.Refused(id, time.Now().Add(2*time.Second))
		must.Eq(t, request == 7, refused)
	}
	value, err := cbor.Marshal(answeredReport{Fingerprint: 7})
	must.NoError(t, err)
	s.receiveAnswered(peer.Fact{Key: factAnswered, Value: value, TTL: quarantine.CrashTTL})
	_, refused := s.Refused(quarantine.Identity{Request: 7})
	must.False(t, refused)
	shared := make(chan peer.Fact, 8)
	mesh.Subscribe(factCrashes, func(f peer.Fact) { shared <- f })
	select {
	case f := <-shared:
		t.Fatal("published: ", f.Key)
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against a stored refusal of a harmless request that outlives the evidence against it, which names the deadly one: the
// instances that start after all were killed would refuse it.
func TestSuspects_WithdrawnRefusal(t *testing.T) {
	s, _, _ := newSuspectsOfNode(t)
	crash := func(endpoint string, requests ...quarantine.Fingerprint) {
		time.Sleep(2 * time.Millisecond) // each endpoint has run after the crash before
		r := quarantine.Report{Endpoint: endpoint, At: time.Now()}
		for _, request := range requests {
			r.Accused = append(r.Accused, quarantine.Accused{Identity: quarantine.Identity{Request: request}, Since: r.At.Add(-time.Millisecond)})
		}
		s.Record(r, true, time.Now())
	}
	record := func() requestRecord {
		time.Sleep(quarantine.SettleTime)
		s.announceRefusals()
		must.Positive(t, len(s.toStore))
		return (<-s.toStore).(requestRecord)
	}
	const harmless, deadly = 7, 8
	crash("e1", harmless, deadly)
	crash("e2", harmless, 9)
	crash("e3", harmless, deadly)
	crash("e4", harmless, 10)
	r := record()
	must.Eq(t, harmless, r.Fingerprint)
	must.Eq(t, 4, r.Count)
	for _, endpoint := range []string{"e5", "e6"} {
		crash(endpoint, deadly)
	}
	stored := map[quarantine.Fingerprint]int{}
	for r = record(); ; r = (<-s.toStore).(requestRecord) {
		stored[r.Fingerprint] = r.Count
		if len(s.toStore) == 0 {
			break
		}
	}
	must.Eq(t, map[quarantine.Fingerprint]int{harmless: 0, deadly: 4}, stored)
}

// Guards against a suspect that waits too long for others, and against two that are sent at the same time.
func TestSuspects_Trials(t *testing.T) {
	s, _, _ := newSuspectsOfNode(t)
	end := s.BeginTrial(t.Context(), "s")
	s.BeginTrial(t.Context(), "other")()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	began := time.Now()
	s.BeginTrial(ctx, "s")() // a quarter of its time
	must.Between(t, 40*time.Millisecond, time.Since(began), 190*time.Millisecond)
	began = time.Now()
	time.AfterFunc(50*time.Millisecond, end)
	next := s.BeginTrial(t.Context(), "s")
	must.Between(t, 40*time.Millisecond, time.Since(began), maxTrialWait-50*time.Millisecond)
	end() // once only
	began = time.Now()
	s.BeginTrial(t.Context(), "s")()
	must.GreaterEq(t, maxTrialWait, time.Since(began))
	next()
}

// Guards against harmless requests that are refused for the counts of an earlier build, whose fingerprints they may share with a
// deadly one, and against dropping these without a word.
func TestSuspects_CountsOfEarlierBuild(t *testing.T) {
	s, _, hook := newSuspectsOfNode(t)
	id := quarantine.Identity{Request: 7, Family: 7}
	value, err := cbor.Marshal(map[int]any{1: 7, 2: 2})
	must.NoError(t, err)
	s.receiveLegacy(peer.Fact{Key: factLegacyCrash + "7", Value: value, TTL: quarantine.CrashTTL})
	must.StrContains(t, hook.LastEntry().Message, "earlier build not used")
	hook.Reset()
	must.NoError(t, s.mergeRequest([]byte(fmt.Sprintf(`{"request":7,"recorded_ms":%d,"crashes":2}`, time.Now().UnixMilli()))))
	must.StrContains(t, hook.LastEntry().Message, "earlier build not used")
	_, refused := s.Refused(id)
	must.False(t, refused)
	must.False(t, s.Any())

	// An earlier build takes no record of this one for a count of its own.
	text, err := json.Marshal(requestRecord{Scope: quarantine.ScopeRequest, Fingerprint: 7, RecordedMs: 1, Count: 2})
	must.NoError(t, err)
	var earlier struct {
		Request quarantine.Fingerprint `json:"request"`
		Crashes int                    `json:"crashes"`
	}
	must.NoError(t, json.Unmarshal(text, &earlier))
	must.Eq(t, 0, earlier.Crashes)
}

// Guards against a refusal that ends with the processes that know of it, that begins anew when its record is read, or that an
// older record of another request pushes out of the store.
func TestSuspects_StoredRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		age     time.Duration
		refused bool
	}{
		"fresh":        {0, true},
		"old":          {quarantine.CrashTTL - 2*time.Second, true},
		"over":         {quarantine.CrashTTL, false},
		"clock behind": {-2 * time.Second, true},
		"clock far":    {-time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, _ := newSuspectsOfNode(t)
			for _, r := range []requestRecord{
				{Scope: quarantine.ScopeRequest, Fingerprint: 7, Count: 2},
				{Scope: quarantine.ScopeFamily, Fingerprint: 8, Count: 3},
			} {
				r.RecordedMs = time.Now().Add(-c.age).UnixMilli()
				text, err := json.Marshal(r)
				must.NoError(t, err)
				must.NoError(t, s.mergeRequest(text))
			}
			for _, id := range []quarantine.Identity{{Request: 7}, {Family: 8}} {
				r, refused := s.Refused(id)
				must.Eq(t, c.refused, refused)
				must.True(t, !refused || time.Until(r.Until()) <= quarantine.CrashTTL-max(0, c.age)+100*time.Millisecond)
			}
		})
	}
	text := func(r requestRecord) []byte {
		b, err := json.Marshal(r)
		must.NoError(t, err)
		return b
	}
	newer, older := requestRecord{Fingerprint: 7, RecordedMs: 2, Count: 2}, requestRecord{Fingerprint: 7 + refusedKeys, RecordedMs: 1, Count: 2}
	must.Eq(t, newer.slot(), older.slot())
	must.False(t, older.replaces(text(newer)))
	must.True(t, newer.replaces(text(older)))
	must.False(t, requestRecord{Fingerprint: 7, RecordedMs: 3}.replaces(text(older))) // only its own
	must.True(t, requestRecord{Fingerprint: 7, RecordedMs: 3}.replaces(text(newer)))
}

// Guards against a refused request that instances which start later run again, because a restored store has forgotten its
// record.
func TestSuspects_StoreForgot(t *testing.T) {
	metrics := newMetrics() // reports outside the bubble
	synctest.Test(t, func(t *testing.T) {
		store := &records{objects: map[string]objstore.Object{}}
		log, _ := test.NewNullLogger()
		n := &Node{log: log, metrics: metrics, eras: era.NewTracker(), registerSoon: make(chan struct{}, 1), wall: clock.NewWall(), platform: Platform{Records: store}}
		n.suspects = newSuspects(n)
		n.followEras()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go n.suspects.maintainRecords(ctx)
		r := requestRecord{Scope: quarantine.ScopeRequest, Fingerprint: 7, Count: 2, RecordedMs: n.wall.Now().UnixMilli()}
		n.suspects.storeLater(r)
		synctest.Wait()
		must.MapContainsKey(t, store.objects, r.slot())
		clear(store.objects)
		n.eras.Restored(0, era.CauseRevisions)
		synctest.Wait()
		must.MapContainsKey(t, store.objects, r.slot())
	})
}

// Guards against a block that instances which start later refuse although it is served again: after a restore, each instance
// stores what it has stored before, also what another one has replaced since.
func TestSuspects_StoredAgainAfterNewerRecord(t *testing.T) {
	metrics := newMetrics() // reports outside the bubble
	synctest.Test(t, func(t *testing.T) {
		store := &records{objects: map[string]objstore.Object{}}
		log, _ := test.NewNullLogger()
		now := time.Now().UnixMilli()
		refused := blockRecord{Block: 7, RecordedMs: now, Facts: []quarantine.BlockFact{{}}}
		served := blockRecord{Block: 7, RecordedMs: now + 1000}
		var first *Node
		for _, r := range []blockRecord{refused, served} {
			n := &Node{log: log, metrics: metrics, eras: era.NewTracker(), registerSoon: make(chan struct{}, 1), wall: clock.NewWall(), platform: Platform{Records: store}}
			n.suspects = newSuspects(n)
			n.followEras()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go n.suspects.maintainRecords(ctx)
			n.suspects.storeLater(r)
			synctest.Wait()
			if first == nil {
				first = n
			}
		}
		first.eras.Restored(0, era.CauseRevisions)
		synctest.Wait()
		var stored blockRecord
		must.NoError(t, json.Unmarshal(store.objects[served.slot()].Value, &stored))
		must.Eq(t, served.RecordedMs, stored.RecordedMs)
		must.SliceEmpty(t, stored.Facts)
	})
}
