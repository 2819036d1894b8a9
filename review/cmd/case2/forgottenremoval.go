package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/review/lab"
)

const (
	// cutTime is the length of the cut, that of core_cut in the site files.
	cutTime = 5500 * time.Millisecond
	// drainBound is drainMs of the small deployments.
	drainBound = 2 * time.Second
	// lingerTime is for how long the worker that is taken away goes on after the store has accepted that.
	lingerTime = 25 * time.Second
	// The bookings a second that are sent to the instance that is cut, and to each of the others.
	cutRate, otherRate = 30, 10
)

// forgottenRemoval takes a worker off the list while one instance is cut from the store and the others are killed.
func forgottenRemoval(r *lab.Record, trouble bool) (lab.ExitCode, error) {
	var workers []*lab.Worker
	for i := range 5 {
		workers = append(workers, &lab.Worker{
			ID: fmt.Sprintf("i-%d", i+1), Service: "orders", Zone: string(rune('a' + i%4)), Slots: 6, Work: 60 * time.Millisecond,
		})
	}
	taken, added := workers[0], workers[4]
	d, err := lab.Start(lab.Options{
		Nodes: 3, Workers: workers, Manifest: lab.Manifest(1, []any{lab.Route("book", "non_idempotent", "orders", nil)}, []any{lab.Service("orders")}),
		BeforeNodes: func(*lab.Deployment) { added.Withdraw() },
	}, r)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return lab.NotRun, err
	}
	cut, others := d.Nodes[0], d.Nodes[1:]
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, n := range d.Nodes {
		l := load{method: http.MethodPost, path: "/book/order", body: "one van", deadline: 1500 * time.Millisecond}
		rate := float64(otherRate)
		if n == cut {
			rate = cutRate
		}
		callers.Go(func() { l.send(r, n, stop, rate, uint64(i)) })
	}
	time.Sleep(6 * time.Second)
	began := time.Now()
	if trouble {
		if err := cut.CutFromStore(); err != nil {
			return lab.NotRun, err
		}
		for _, n := range others {
			n.Kill()
		}
	}
	time.Sleep(500 * time.Millisecond)
	taken.Withdraw()
	removed := time.Now()
	r.Add("%s: its entry is removed; it goes on for %v", taken.ID, lingerTime)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, n := range others {
			if err := n.Start(); err != nil {
				return lab.NotRun, err
			}
		}
	}
	time.Sleep(1500 * time.Millisecond)
	added.PutEntry("ready", nil)
	r.Add("%s: its entry is added", added.ID)
	time.Sleep(time.Until(began.Add(cutTime)))
	healed := began
	if trouble {
		if err := cut.RestoreStore(); err != nil {
			return lab.NotRun, err
		}
		healed = time.Now()
	}
	time.Sleep(time.Until(removed.Add(lingerTime)))
	taken.Stop()
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	return judgeDrain(r, taken, removed, healed), nil
}

// judgeDrain counts the requests that reached a worker later than drainBound after its removal, sent by instances in touch.
func judgeDrain(r *lab.Record, w *lab.Worker, removed, healed time.Time) lab.ExitCode {
	after := removed.Add(drainBound)
	inTouch := healed.Add(contactTime)
	late, excused, lost := 0, 0, 0
	for _, run := range w.Runs() {
		if !run.Done {
			lost++
		}
		switch {
		case !run.At.After(after):
		case run.At.Before(inTouch):
			excused++
		default:
			late++
		}
	}
	r.Add("%s got %d requests later than %v after the store had accepted its removal, before all instances were in touch", w.ID, excused, drainBound)
	r.Add("%s got %d more once they had been in touch for %v, none is allowed", w.ID, late, contactTime)
	r.Add("%s had %d bookings in work when it ended, which are lost", w.ID, lost)
	if late > 0 {
		return lab.Broken
	}
	return lab.Held
}
