package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/review/lab"
)

const (
	newVersion = "v2"
	rampTime   = 12 * time.Second // from the order to its deadline
	// badAnswers and rollbackTime are the rule's: no request later than rollbackMs after the 50th bad answer.
	badAnswers   = 50
	rollbackTime = 5 * time.Second
	// usualTime is for how long requests come before the order, and watchTime for how long they go on after it.
	usualTime = 10 * time.Second
	watchTime = 62 * time.Second
	// drainTime is from the state "reverted" to the end of the new workers.
	drainTime = 3 * time.Second
)

// load is the requests of one route.
type load struct {
	method, path, body string
	rate               float64 // requests a second, over all instances
	deadline           time.Duration
	header             http.Header
}

// rollout is a case in which the traffic of a service is to be moved to another version.
type rollout struct {
	service map[string]any // of the manifest
	routes  []any
	loads   []load
	// worker returns a worker, without its ID and zone.
	worker func() *lab.Worker
	// spoil makes a worker of the new version a bad one.
	spoil func(w *lab.Worker)
}

// run orders the roll-out and checks the rule EXPOSURE.
func (c rollout) run(r *lab.Record, trouble bool) (lab.ExitCode, error) {
	var old, target []*lab.Worker
	name := c.service["name"].(string)
	for i := range 4 {
		o, t := c.worker(), c.worker()
		o.ID, o.Version, t.ID, t.Version = fmt.Sprintf("old-%d", i+1), "v1", fmt.Sprintf("new-%d", i+1), newVersion
		o.Service, t.Service = name, name
		o.Zone = string(rune('a' + i))
		t.Zone = o.Zone
		if trouble {
			c.spoil(t)
		}
		old, target = append(old, o), append(target, t)
	}
	d, err := lab.Start(lab.Options{
		Nodes: 4, Workers: slices.Concat(old, target), Manifest: lab.Manifest(1, c.routes, []any{c.service}),
		BeforeNodes: func(*lab.Deployment) { each(target, (*lab.Worker).Withdraw) },
	}, r)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return lab.NotRun, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, n := range d.Nodes {
		for _, l := range c.loads {
			callers.Go(func() { l.send(r, n, stop, l.rate/float64(len(d.Nodes)), uint64(i)) })
		}
	}
	time.Sleep(usualTime)
	each(target, func(w *lab.Worker) { w.PutEntry("ready", nil) })
	ordered := time.Now()
	d.Store.Put("rollouts", name, map[string]any{"service": name, "target": newVersion, "rampS": rampTime.Seconds()})
	r.Add("operator: roll-out of %s to %s ordered, %v until its deadline", name, newVersion, rampTime)
	for state := ""; time.Since(ordered) < watchTime; time.Sleep(10 * time.Millisecond) {
		now := rolloutState(d, name)
		if now == state {
			continue
		}
		state = now
		r.Add("roll-out: %s, %v after the order", state, time.Since(ordered).Round(time.Millisecond))
		switch state {
		case "complete":
			each(old, (*lab.Worker).Stop)
		case "reverted":
			time.Sleep(drainTime)
			each(target, (*lab.Worker).Stop)
		}
	}
	close(stop)
	callers.Wait()
	return judgeExposure(r, old, target, ordered), nil
}

func each(workers []*lab.Worker, fn func(*lab.Worker)) {
	for _, w := range workers {
		fn(w)
	}
}

func rolloutState(d *lab.Deployment, service string) string {
	var status struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(d.Store.Status("rollouts", service), &status) // no status: no state
	return status.State
}

// sent counts the requests of all loads.
var sent atomic.Int64

// send sends requests to an instance with a mean rate until stop is closed, and waits for their answers.
func (l load) send(r *lab.Record, n *lab.Node, stop chan struct{}, rate float64, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(len(l.path))))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))):
		}
		open.Go(func() {
			path := fmt.Sprintf("%s-%d", l.path, sent.Add(1)) // no two requests are alike
			a := lab.Call(client, n.Machine.Front, l.method, path, l.body, l.deadline, l.header)
			r.Add("caller: %s %s %s to %s, sent %v before: %s", a.ID, l.method, path, n.Machine.Name, time.Since(a.Sent).Round(time.Millisecond), a.Text())
		})
	}
}

// judgeExposure checks the two sentences of the rule.
func judgeExposure(r *lab.Record, old, target []*lab.Worker, ordered time.Time) lab.ExitCode {
	var bad []time.Time
	var onNew []lab.Run
	deadline := ordered.Add(rampTime)
	total, exposed := 0, 0
	byRoute := map[string]int{}
	for _, w := range slices.Concat(old, target) {
		for _, run := range w.Runs() {
			inRamp := run.At.After(ordered) && run.At.Before(deadline)
			if inRamp {
				total++
			}
			if w.Version != newVersion {
				continue
			}
			if inRamp {
				exposed++
				byRoute[strings.Split(run.URI, "/")[1]]++
			}
			onNew = append(onNew, run)
			if run.Bad {
				bad = append(bad, run.At)
			}
		}
	}
	r.Add("%d requests reached the service until the deadline, %d of them the new version (by route: %v)", total, exposed, byRoute)
	r.Add("the new version gave %d bad answers to %d requests", len(bad), len(onNew))
	if len(bad) < badAnswers {
		return lab.Held
	}
	slices.SortFunc(bad, time.Time.Compare)
	fiftieth := bad[badAnswers-1]
	late := 0
	for _, run := range onNew {
		if run.At.After(fiftieth.Add(rollbackTime)) {
			late++
		}
	}
	r.Add("its 50th bad answer was begun %v after the order; %d requests reached it later than %v after that, none is allowed",
		fiftieth.Sub(ordered).Round(time.Millisecond), late, rollbackTime)
	if late > 0 {
		return lab.Broken
	}
	return lab.Held
}
