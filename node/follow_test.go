package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/peer"
)

// reporters simulates watchers that report each 1.2 s to one instance, which checks each 100 ms.
type reporters struct {
	w       watchers
	now     time.Time
	ids     []string
	lost    map[string]bool          // say that they have lost the store
	silent  map[string]bool          // dead, or partitioned from the instance
	delayed map[string]time.Duration // by which their reports are late
	follows bool
}

func newReporters(n int) *reporters {
	r := &reporters{w: newWatchers("self"), now: time.Unix(1000, 0), lost: map[string]bool{}, silent: map[string]bool{}, delayed: map[string]time.Duration{}}
	for i := range n {
		r.ids = append(r.ids, fmt.Sprint("w", i))
	}
	return r
}

// run lets time pass until the decision is want, and returns after how long; the limit is d.
func (r *reporters) run(d time.Duration, want bool) time.Duration {
	start := r.now
	for r.now.Before(start.Add(d)) {
		r.now = r.now.Add(100 * time.Millisecond)
		for i, id := range r.ids {
			tick := r.now.UnixMilli()/100 + int64(i)
			if r.silent[id] || tick%12 != 0 && !r.lost[id] {
				continue
			}
			uptime := r.now.Sub(time.Unix(0, 0)) - r.delayed[id]
			r.w.receive(id, watcherReport{process: id, uptime: uptime, notifies: !r.lost[id], changed: uint64(i)}, r.now)
		}
		r.follows = r.w.mayFollow(r.now)
		if r.follows == want {
			return r.now.Sub(start)
		}
	}
	return d
}

// Guards against an instance that relies on watchers which are dead, partitioned, late or without the store, for longer
// than the time in which a change must be in effect, and against one that watches by itself while enough are sound.
func TestWatchers_Failures(t *testing.T) {
	all := func(r *reporters, fail func(id string), left int) {
		for _, id := range r.ids[left:] {
			fail(id)
		}
	}
	for name, c := range map[string]struct {
		fail  func(r *reporters)
		keeps bool
	}{
		"one watcher dies":             {func(r *reporters) { r.silent["w3"] = true }, true},
		"all of one domain die":        {func(r *reporters) { r.silent["w0"], r.silent["w1"] = true, true }, true},
		"all but two die":              {func(r *reporters) { all(r, func(id string) { r.silent[id] = true }, 2) }, false},
		"instance is partitioned":      {func(r *reporters) { all(r, func(id string) { r.silent[id] = true }, 0) }, false},
		"watchers lose the store":      {func(r *reporters) { all(r, func(id string) { r.lost[id] = true }, 0) }, false},
		"three keep the store":         {func(r *reporters) { all(r, func(id string) { r.lost[id] = true }, 3) }, true},
		"reports are late by 2 s":      {func(r *reporters) { all(r, func(id string) { r.delayed[id] = 2 * time.Second }, 0) }, false},
		"most reports are late by 2 s": {func(r *reporters) { all(r, func(id string) { r.delayed[id] = 2 * time.Second }, 3) }, true},
		"reports are late by 0.3 s":    {func(r *reporters) { all(r, func(id string) { r.delayed[id] = 300 * time.Millisecond }, 0) }, true},
	} {
		r := newReporters(8)
		must.Between(t, followDelay, r.run(10*time.Second, true), followDelay+1500*time.Millisecond, must.Sprint(name))
		c.fail(r)
		if c.keeps {
			r.run(time.Minute, false)
			must.True(t, r.follows, must.Sprint(name))
			continue
		}
		must.LessEq(t, followTimeout+100*time.Millisecond, r.run(10*time.Second, false), must.Sprint(name))
		r.run(10*time.Second, true)
		must.False(t, r.follows, must.Sprint(name))
	}
}

// Guards against an instance that relies on what it heard before it was paused.
func TestWatchers_PausedProcess(t *testing.T) {
	r := newReporters(8)
	r.run(10*time.Second, true)
	r.now = r.now.Add(20 * time.Second)
	must.False(t, r.w.areEnough(r.now))
	must.False(t, r.w.mayFollow(r.now))
	must.Between(t, followDelay, r.run(10*time.Second, true), followDelay+1500*time.Millisecond)
	r.now = r.now.Add(2 * time.Second)
	for _, id := range r.ids { // reports arrive before the first check
		r.w.receive(id, watcherReport{process: id, uptime: r.now.Sub(time.Unix(0, 0)), notifies: true}, r.now)
	}
	must.False(t, r.w.mayFollow(r.now))
}

// Guards against reports that peers have held for seconds since the first one, which no faster one shows.
func TestWatchers_HeldReports(t *testing.T) {
	w, now := newWatchers("self"), time.Unix(1000, 0)
	for _, id := range []string{"a", "b", "c"} {
		w.receive(id, watcherReport{process: id, uptime: time.Minute, held: 2 * time.Second, notifies: true}, now)
	}
	must.False(t, w.areEnough(now))
}

// Guards against the estimate of a restarted process that is taken from the earlier one, and against clocks whose rates
// differ, by which all reports would seem late after some hours.
func TestWatchers_RestartAndDrift(t *testing.T) {
	w, now := newWatchers("self"), time.Unix(0, 0)
	for i := range 24 * 60 {
		at := now.Add(time.Duration(i) * time.Minute)
		uptime := at.Sub(now) - time.Duration(5e-5*float64(at.Sub(now)))
		for _, id := range []string{"a", "b", "c"} {
			w.receive(id, watcherReport{process: "1", uptime: uptime, notifies: true}, at)
		}
		must.True(t, w.areEnough(at))
	}
	later := now.Add(25 * time.Hour)
	for _, id := range []string{"a", "b", "c"} {
		w.receive(id, watcherReport{process: "2", uptime: time.Second, notifies: true}, later)
	}
	must.True(t, w.areEnough(later))
}

// Guards against fetches from a watcher that has nothing newer or must send the whole list, and against a watcher with
// connections to all instances.
func TestWatchers_Sources(t *testing.T) {
	now, used := time.Unix(1000, 0), map[string]int{}
	for i := range 100 {
		w := newWatchers(fmt.Sprint("self", i))
		for j := range 8 {
			r := watcherReport{process: "1", uptime: time.Minute, notifies: true, changed: 7}
			switch j {
			case 0:
				r.changed = 5
			case 1:
				r.deletionsAfter = 6
			case 2:
				r.notifies = false
			}
			w.receive(fmt.Sprint("w", j), r, now)
		}
		must.Len(t, 0, w.sources(7, now))
		must.Len(t, 0, w.sources(5, now.Add(followTimeout)))
		must.Len(t, 2, w.sources(4, now))
		for _, id := range w.sources(5, now) {
			used[id]++
		}
	}
	for _, id := range []string{"w0", "w1", "w2"} {
		must.Zero(t, used[id])
	}
	for _, id := range []string{"w3", "w4", "w5", "w6", "w7"} {
		must.Between(t, 20, used[id], 60)
	}
}

// Guards against failure domains without two watchers, against fewer than eight in all, and against a member that does
// not take itself for a watcher while it knows only some of the others.
func TestWatcherIDs_Domains(t *testing.T) {
	for domains, want := range map[int]int{1: 8, 3: 9, 4: 8, 5: 10, 10: 20} {
		var members []peer.Member
		for i := range 120 {
			members = append(members, peer.Member{ID: fmt.Sprint("i", i), FailureDomain: fmt.Sprint(i % domains)})
		}
		ids, perDomain := watcherIDs("servers", members), map[string]int{}
		must.Len(t, want, ids)
		for _, m := range members {
			if slices.Contains(ids, m.ID) {
				perDomain[m.FailureDomain]++
			}
		}
		must.MapLen(t, domains, perDomain)
		for _, n := range perDomain {
			must.Eq(t, want/domains, n)
		}
		some := slices.DeleteFunc(slices.Clone(members), func(m peer.Member) bool { return m.ID[len(m.ID)-1] == '3' })
		for _, id := range ids {
			if id[len(id)-1] != '3' {
				must.SliceContains(t, watcherIDs("servers", some), id)
			}
		}
	}
}
