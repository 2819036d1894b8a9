package main

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// deadly is a deployment in which one request crashes each worker that begins to run it, beside harmless requests of other
// users on the same path. Their bodies differ in one field only, or they are for another host.
type deadly struct {
	w        *world
	trouble  bool
	field    string // in which the bodies differ
	hosts    bool   // the bodies are equal, and the hosts differ
	query    bool   // each request has a query of its own
	kind     string // of the route
	attempts int
	services []string
	workers  int // of each service
	work     time.Duration
	pause    time.Duration // between two harmless requests

	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time // of the deadly request at workers
	harmless []sent
}

// sent is a harmless request and whether it was served.
type sent struct {
	at     time.Time
	served bool
	seen   string
}

const crashTime = 2500 * time.Millisecond // until a worker is back

// deadlyUser is the user whose request crashes workers.
const deadlyUser = "kitchen-13"

func (d *deadly) body(user string) string {
	if d.hosts {
		return `{"item":"aprons"}`
	}
	return fmt.Sprintf(`{%q:%q,"item":"aprons"}`, d.field, user)
}

// host returns the host that a user calls.
func (d *deadly) host(user string) string {
	if d.hosts && user == deadlyUser {
		return otherHost
	}
	return hostName
}

// isDeadly reports whether a request is the one that crashes workers.
func (d *deadly) isDeadly(r *http.Request, body string) bool {
	return r.Host == d.host(deadlyUser) && body == d.body(deadlyUser)
}

// start starts the workers and three instances. All machines are in touch when it returns.
func (d *deadly) start() error {
	routes := []route{
		{name: "lookup", kind: d.kind, service: d.services[0], attempts: d.attempts, timeoutMs: 1500, aimMs: 300},
		{name: "lookup", host: otherHost, kind: d.kind, service: d.services[0], attempts: d.attempts, timeoutMs: 1500, aimMs: 300},
	}
	for _, s := range d.services[1:] {
		routes = append(routes, route{name: s, kind: "idempotent", service: s, attempts: 2, timeoutMs: 1500, aimMs: 300})
	}
	d.w.configure(1, routes, nil, d.services...)
	for _, service := range d.services {
		for i := range d.workers {
			if _, err := d.w.addWorker(fmt.Sprintf("%s-%d", service, i), service, fmt.Sprintf("z-%d", i%2), d.work, d.handle); err != nil {
				return err
			}
		}
	}
	if err := d.w.addNodes(3); err != nil {
		return err
	}
	if err := d.w.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(contact)
	return nil
}

// handle runs a request at a worker.
func (d *deadly) handle(x *worker, rw http.ResponseWriter, r *http.Request, body string) {
	if !d.isDeadly(r, body) {
		answerPlain(x, rw, r, body)
		return
	}
	d.mu.Lock()
	d.arrivals = append(d.arrivals, time.Now())
	d.mu.Unlock()
	d.w.logf("worker %s begins to run the request, attempt %s", x.id(), r.Header.Get("X-Trefoillug-Attempt-Id"))
	if !d.trouble {
		answerPlain(x, rw, r, body)
		return
	}
	d.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	d.mu.Unlock()
	d.w.logf("worker %s crashes", x.id())
	x.crash(crashTime)
}

// send sends the request of a user to an instance.
func (d *deadly) send(x *node, id, user string) answer {
	path := "/lookup/status"
	if d.query {
		path += fmt.Sprintf("?sent=%d", time.Now().UnixMilli())
	}
	return d.w.send(x, request{
		id: id, host: d.host(user), method: "POST", path: path, body: d.body(user), deadline: 1500 * time.Millisecond,
	})
}

// sendDeadly sends the deadly request to an instance.
func (d *deadly) sendDeadly(x *node, id string) {
	a := d.send(x, id, deadlyUser)
	d.w.logf("request %s sent to %s: the requester gets %s", id, x.name, a)
}

// others sends harmless requests to the instances in turn until stop is called.
func (d *deadly) others() (stop func()) {
	end := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() {
		for k := 0; ; k++ {
			select {
			case <-end:
				return
			case <-time.After(d.pause):
			}
			senders.Go(func() {
				at := time.Now()
				a := d.send(d.w.nodes[k%3], fmt.Sprintf("h-%d", k), fmt.Sprintf("kitchen-%d", 20+k%40))
				d.mu.Lock()
				defer d.mu.Unlock()
				d.harmless = append(d.harmless, sent{at, a.status == http.StatusOK && a.err == nil, a.seen()})
			})
		}
	})
	return func() {
		close(end)
		senders.Wait()
	}
}

// share returns the share of the harmless requests sent in a time that were served, and logs it.
func (d *deadly) share(name string, from, to time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	all, served, seen := 0, 0, map[string]int{}
	for _, s := range d.harmless {
		if s.at.Before(from) || s.at.After(to) {
			continue
		}
		all++
		seen[s.seen]++
		if s.served {
			served++
		}
	}
	d.w.logf("harmless requests %s: %d of %d were served; what the requesters got: %v", name, served, all, seen)
	return float64(served) / float64(max(1, all))
}

// retries logs and returns the number of retries that reached workers later than contactMs after the third crash.
func (d *deadly) retries() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	late := 0
	if len(d.crashes) >= 3 {
		for _, at := range d.arrivals {
			if at.After(d.crashes[2].Add(contact)) {
				late++
			}
		}
	}
	d.w.logf("the request has crashed %d workers; it reached workers in %d retries later than %v after the third crash; allowed: 3", len(d.crashes), late, contact)
	return late
}

// comeAgain sends the deadly request again and again, and reports whether it reached workers too often.
func (d *deadly) comeAgain() (broken bool, err error) {
	const (
		again = 5 * time.Second // between two sends of the deadly request
		sends = 8
	)
	if err := d.start(); err != nil {
		return false, err
	}
	begin, stop := time.Now(), d.others()
	for k := range sends {
		time.Sleep(again)
		d.sendDeadly(d.w.nodes[k%3], fmt.Sprintf("d-%d", k))
	}
	time.Sleep(time.Second)
	stop()
	d.share("in all", begin, time.Now())
	return d.retries() > 3, nil
}

// playFields is a deadly request beside harmless ones whose bodies differ in the field "user".
func playFields(w *world, trouble bool) (bool, error) {
	d := &deadly{
		w: w, trouble: trouble, field: cmp.Or(os.Getenv("FIELD"), "user"), kind: "non_idempotent", attempts: 1,
		services: []string{"orders", "stock"}, workers: 4, work: 30 * time.Millisecond, pause: 33 * time.Millisecond,
	}
	return d.comeAgain()
}

// playHosts is a deadly request beside harmless ones that another host gets, on the same path and with the same body.
func playHosts(w *world, trouble bool) (bool, error) {
	d := &deadly{
		w: w, trouble: trouble, hosts: os.Getenv("HOSTS") != "1", field: "kitchen", kind: "non_idempotent", attempts: 1,
		services: []string{"orders", "stock"}, workers: 4, work: 30 * time.Millisecond, pause: 33 * time.Millisecond,
	}
	return d.comeAgain()
}

// playQuery is a deadly request whose caller adds the time to the query each time, as clients do that want no cached answer.
func playQuery(w *world, trouble bool) (bool, error) {
	d := &deadly{
		w: w, trouble: trouble, query: os.Getenv("QUERY") != "0", field: "kitchen", kind: "non_idempotent", attempts: 1,
		services: []string{"orders", "stock"}, workers: 4, work: 30 * time.Millisecond, pause: 33 * time.Millisecond,
	}
	return d.comeAgain()
}

// playPair is a deadly request that may be repeated, in a deployment with one service of two workers.
func playPair(w *world, trouble bool) (bool, error) {
	d := &deadly{
		w: w, trouble: trouble, field: "kitchen", kind: "idempotent", attempts: 2,
		services: []string{"orders"}, workers: 2, work: 30 * time.Millisecond, pause: 100 * time.Millisecond,
	}
	if os.Getenv("WORKERS") == "4" {
		d.workers = 4
	}
	return d.comeAgain()
}

// playRecover is one deadly request that may be repeated, and then the end of all processes. Harmless requests go on.
func playRecover(w *world, trouble bool) (bool, error) {
	const (
		before     = 12 * time.Second
		restart    = time.Second
		recoverS   = 12 * time.Second
		judged     = 15 * time.Second
		leastShare = 0.25
	)
	d := &deadly{
		w: w, trouble: trouble, field: cmp.Or(os.Getenv("FIELD"), "user"), kind: "idempotent", attempts: 2,
		services: []string{"orders", "stock"}, workers: 4, work: 10 * time.Millisecond, pause: 500 * time.Millisecond,
	}
	if err := d.start(); err != nil {
		return false, err
	}
	begin, stop := time.Now(), d.others()
	time.Sleep(before)
	d.sendDeadly(w.nodes[0], "d-0")
	time.Sleep(time.Second)
	fault := time.Now()
	if trouble {
		w.logf("final fault: all processes are killed")
		for _, x := range w.nodes {
			x.kill()
		}
		time.Sleep(restart)
		for _, x := range w.nodes {
			if err := x.run(); err != nil {
				return false, err
			}
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	back := time.Now()
	time.Sleep(recoverS + judged)
	stop()
	sound := d.share("before the final fault", begin, fault)
	later := d.share(fmt.Sprintf("sent later than %v after the machines are back", recoverS), back.Add(recoverS), time.Now())
	return sound >= leastShare && later < leastShare, nil
}
