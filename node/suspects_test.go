package node

import (
	"context"
	"encoding/json"
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

// Guards against a count that ends with the process which reported it because that is of an earlier release, and against a
// refusal that begins anew with each instance that learns of it.
func TestSuspects_ReportOfEarlierRelease(t *testing.T) {
	log, _ := test.NewNullLogger()
	mesh, err := peer.New(peer.Settings{Self: peer.Member{ID: "a", Address: "127.0.0.1:1"}, Transport: peer.NewWebSocket(), Log: log})
	must.NoError(t, err)
	mesh.Start()
	defer mesh.Close()
	s := newSuspects(&Node{mesh: mesh, log: log})
	report := func(fp quarantine.Fingerprint, crashes int, origin string, left time.Duration) {
		value, err := cbor.Marshal(crashReport{Fingerprint: fp, Crashes: crashes})
		must.NoError(t, err)
		s.receive(peer.Fact{Origin: origin, Key: factCrash, Value: value, TTL: left})
	}
	report(7, 2, "b", quarantine.CrashTTL)
	report(7, 2, "c", quarantine.CrashTTL)
	report(8, 2, "", time.Second)
	must.True(t, s.IsRefused(7))
	must.True(t, s.IsRefused(8))
	must.False(t, s.Crashes.IsRefused(8, time.Now().Add(2*time.Second)))
	shared := make(chan peer.Fact, 8)
	mesh.Subscribe(factCrash, func(f peer.Fact) { shared <- f })
	select {
	case f := <-shared:
		must.Eq(t, factCrash+"7", f.Key)
		must.Eq(t, "", f.Origin)
	case <-time.After(10 * time.Second):
		t.Fatal("the count was not published")
	}
	select {
	case f := <-shared:
		t.Fatal("published besides: ", f.Key)
	case <-time.After(50 * time.Millisecond):
	}
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
		r := requestRecord{Request: 7, Crashes: 2, RecordedMs: n.wall.Now().UnixMilli()}
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
