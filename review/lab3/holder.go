package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// duty is the platform's API. It records the calls of the duties and checks that none has a lower number than one before for the
// same subject.
type duty struct {
	w *world

	mu     sync.Mutex
	latest map[string]uint64 // by duty and subject
	holder string            // of the latest call
	healed time.Time         // the links of a machine were healed; zero: not yet
	broken int
}

// thaw is the time after the end of a cut in which calls of the machine don't count.
const thaw = 300 * time.Millisecond

func (d *duty) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	number, errNumber := strconv.ParseUint(r.Header.Get("X-Trefoillug-Fence-Token"), 10, 64)
	if err != nil || errNumber != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	var order struct{ Service, Zone string }
	_ = json.Unmarshal(body, &order) // a usage report has neither
	subject := r.URL.Path + " " + order.Service + " " + order.Zone
	d.mu.Lock()
	defer d.mu.Unlock()
	holder := r.Header.Get("X-Trefoillug-Duty-Holder")
	d.w.logf("call %s of %s with number %d: %s", r.URL.Path, holder, number, body)
	if now := time.Now(); number < d.latest[subject] && (d.healed.IsZero() || now.Sub(d.healed) > thaw) {
		d.broken++
		d.w.logf("stale: the number was %d before for %q; the link was healed %v ago", d.latest[subject], subject, now.Sub(d.healed).Round(time.Millisecond))
	}
	d.latest[subject], d.holder = max(d.latest[subject], number), holder
	if r.URL.Path == "/scale" {
		rw.WriteHeader(http.StatusConflict) // none available there at the moment
	}
}

// playHolder cuts the machine that holds the duties off from the platform for a time in which another one takes over.
func playHolder(w *world, trouble bool) (bool, error) {
	const (
		cutTime = 9 * time.Second
		again   = time.Second // from the end of the cut until TCP sends again what was held up
	)
	d := &duty{w: w, latest: map[string]uint64{}}
	address, err := w.serve(d)
	if err != nil {
		return false, err
	}
	w.apiAddress, w.duties = address, `"usage_report", "autoscale"`
	w.configure(1, []route{{name: "ask", kind: "streaming", service: "models", attempts: 2, resumable: true, timeoutMs: 12000, aimMs: 500}},
		map[string]map[string]any{"models": {"slots": 64, "kvCapacity": 747920, "kvTokenBytes": 35136, "linkMbps": 1500000.0, "moves": true, "stride": 6, "handleS": 5.0}}, "models")
	for i := range 2 {
		if _, err := w.addWorker(fmt.Sprintf("models-%d", i), "models", fmt.Sprintf("z-%d", i), time.Millisecond, answerPlain); err != nil {
			return false, err
		}
	}
	links := map[string][]*link{}
	w.linksOf = func(x *node) (store, api string, err error) {
		for _, target := range []string{w.storeAddress, w.apiAddress} {
			l, err := w.newLink(x.name, target, again)
			if err != nil {
				return "", "", err
			}
			links[x.name] = append(links[x.name], l)
		}
		return links[x.name][0].address, links[x.name][1].address, nil
	}
	if err := w.addNodes(3); err != nil {
		return false, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(12 * time.Second)
	d.mu.Lock()
	holder := d.holder
	d.mu.Unlock()
	if holder == "" {
		return false, fmt.Errorf("no instance has begun with the duties")
	}
	if trouble {
		w.logf("%s is cut off from the store and the API", holder)
		for _, l := range links[holder] {
			l.setCut(true)
		}
	}
	time.Sleep(cutTime)
	if trouble {
		d.mu.Lock()
		d.healed = time.Now()
		d.mu.Unlock()
		w.logf("the links of %s are healed", holder)
		for _, l := range links[holder] {
			l.setCut(false)
		}
	}
	time.Sleep(5 * time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	w.logf("%d calls had a lower number than one before for the same duty and subject", d.broken)
	return d.broken > 0, nil
}
