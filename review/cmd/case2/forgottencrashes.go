package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/review/lab"
)

const (
	deadlyPath     = "/look/deadly"
	silentPath     = "/book/deadly"
	deadlyInterval = 5 * time.Second // between two sends of the deadly request
	deadlySends    = 10
	// contactTime is contactMs of the small deployments, and allowedRetries the number of retries that the rule allows.
	contactTime    = 3 * time.Second
	allowedRetries = 3
	allowedCrashes = 3
	// restartPause is the time from the end of a process to its next start.
	restartPause = 500 * time.Millisecond
	restartEvery = 3 // sends of the deadly request between two kills
)

// forgottenCrashes sends a request that crashes its workers to one instance again and again, which is killed now and then.
func forgottenCrashes(r *lab.Record, trouble bool) (lab.ExitCode, error) {
	var workers []*lab.Worker
	for i := range 4 {
		workers = append(workers, &lab.Worker{
			ID: fmt.Sprintf("i-%d", i+1), Service: "orders", Zone: string(rune('a' + i)), Slots: 6, Work: 60 * time.Millisecond,
			Deadly: deadlyPath, RestartAfter: 2 * time.Second,
		})
	}
	d, err := lab.Start(lab.Options{Nodes: 3, Workers: workers, Manifest: lab.Manifest(1,
		[]any{
			lab.Route("book", "non_idempotent", "orders", nil),
			lab.Route("look", "idempotent", "orders", map[string]any{"maxAttempts": 2}),
		}, []any{lab.Service("orders")})}, r)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return lab.NotRun, err
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var others sync.WaitGroup
	var booked, lost atomic.Int64
	for _, n := range d.Nodes[1:] {
		others.Go(func() { book(r, n, stop, &booked, &lost) })
	}
	var inTouch []time.Time // when the deadly request was sent by an instance in touch
	node := d.Nodes[0]
	for i := range deadlySends {
		began := time.Now()
		if node.RunningFor(began) >= contactTime {
			inTouch = append(inTouch, began)
		}
		a := lab.Call(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, node.Machine.Front, http.MethodGet, deadlyPath, "", 1500*time.Millisecond, nil)
		r.Add("caller: deadly request %s to %s: %s", a.ID, node.Machine.Name, a.Text())
		if trouble && i%restartEvery == restartEvery-2 && i < deadlySends-1 {
			time.Sleep(time.Second)
			node.Kill()
			time.Sleep(restartPause)
			if err := node.Start(); err != nil {
				return lab.NotRun, err
			}
		}
		time.Sleep(time.Until(began.Add(deadlyInterval)))
	}
	close(stop)
	others.Wait()
	return judgeCrashes(r, workers, inTouch, booked.Load(), lost.Load()), nil
}

// silentCrashes sends a request that crashes its workers, which then are silent, to each instance in turn.
func silentCrashes(r *lab.Record, trouble bool) (lab.ExitCode, error) {
	var workers []*lab.Worker
	for i := range 4 {
		workers = append(workers, &lab.Worker{
			ID: fmt.Sprintf("i-%d", i+1), Service: "orders", Zone: string(rune('a' + i)), Slots: 6, Work: 60 * time.Millisecond,
			Deadly: silentPath, RestartAfter: 3 * time.Second, Silent: trouble,
		})
	}
	d, err := lab.Start(lab.Options{Nodes: 3, Workers: workers, Manifest: lab.Manifest(1,
		[]any{lab.Route("book", "non_idempotent", "orders", nil)}, []any{lab.Service("orders")})}, r)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return lab.NotRun, err
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var others sync.WaitGroup
	var booked, lost atomic.Int64
	for _, n := range d.Nodes {
		others.Go(func() { book(r, n, stop, &booked, &lost) })
	}
	var inTouch []time.Time
	for i := range deadlySends {
		began := time.Now()
		inTouch = append(inTouch, began)
		node := d.Nodes[i%len(d.Nodes)]
		a := lab.Call(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, node.Machine.Front, http.MethodPost, silentPath, "one van", 1500*time.Millisecond, nil)
		r.Add("caller: deadly request %s to %s: %s", a.ID, node.Machine.Name, a.Text())
		time.Sleep(time.Until(began.Add(deadlyInterval)))
	}
	close(stop)
	others.Wait()
	return judgeCrashes(r, workers, inTouch, booked.Load(), lost.Load()), nil
}

// book sends bookings, which may run once only, to an instance until stop is closed.
func book(r *lab.Record, n *lab.Node, stop chan struct{}, booked, lost *atomic.Int64) {
	client := &http.Client{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		path := fmt.Sprintf("/book/order-%d", sent.Add(1)) // no two bookings are alike
		a := lab.Call(client, n.Machine.Front, http.MethodPost, path, "one van", 1500*time.Millisecond, nil)
		switch {
		case a.Status == http.StatusOK:
			booked.Add(1)
		case a.Status != http.StatusServiceUnavailable:
			lost.Add(1)
		}
		r.Add("caller: booking %s to %s: %s", a.ID, n.Machine.Name, a.Text())
	}
}

// judgeCrashes counts the runs of the deadly request that were sent by an instance in touch later than contactTime after it
// had crashed its third worker.
func judgeCrashes(r *lab.Record, workers []*lab.Worker, inTouch []time.Time, booked, lost int64) lab.ExitCode {
	var runs []lab.Run
	for _, w := range workers {
		for _, run := range w.Runs() {
			if run.Crashed {
				runs = append(runs, run)
			}
		}
	}
	slices.SortFunc(runs, func(a, b lab.Run) int { return a.At.Compare(b.At) })
	r.Add("%d bookings were answered, %d were lost with their workers", booked, lost)
	r.Add("the deadly request has crashed %d workers", len(runs))
	late := 0
	if len(runs) > allowedCrashes {
		after := runs[allowedCrashes-1].At.Add(contactTime)
		for _, run := range runs {
			sent := slices.ContainsFunc(inTouch, func(at time.Time) bool { return !run.At.Before(at) && run.At.Sub(at) < deadlyInterval-contactTime })
			if run.At.After(after) && sent {
				late++
			}
		}
	}
	r.Add("sent by an instance in touch later than %v after the third crash: %d retries reached workers, %d are allowed", contactTime, late, allowedRetries)
	if late > allowedRetries {
		return lab.Broken
	}
	return lab.Held
}
