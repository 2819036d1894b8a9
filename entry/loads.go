package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/table"
)

const (
	// loadInterval and maxLoadReads limit the reads of load reports to 4 a second, about 1.6 KB a second.
	loadInterval = time.Second
	maxLoadReads = 4
	// loadTimeout bounds the read of one load report.
	loadTimeout = time.Second
)

// readLoads reads the load reports of the next endpoints. The number of reads a second is bounded, so that their cost
// doesn't grow with the fleet.
func (d *Daemon) readLoads(ctx context.Context) {
	for _, e := range d.loadTargets() {
		go d.readLoad(ctx, e)
	}
}

// loadTargets returns the endpoints to read next, those with requests from this instance in flight first.
func (d *Daemon) loadTargets() []*table.Endpoint {
	var busy, idle []*table.Endpoint
	services := d.core.Snapshot().Services
	for _, name := range sortedKeys(services) {
		svc := services[name]
		if svc.Config.Kind != config.KindModel {
			continue
		}
		for _, e := range svc.Endpoints {
			if e.Live.InFlight.Load() > 0 {
				busy = append(busy, e)
			} else {
				idle = append(idle, e)
			}
		}
	}
	d.loadTurn++
	targets := roundRobin(busy, maxLoadReads, d.loadTurn)
	return append(targets, roundRobin(idle, maxLoadReads-len(targets), d.loadTurn)...)
}

// roundRobin returns n elements of all. It starts at another element each turn, so that every element is selected in
// time while the order of all stays the same.
func roundRobin(all []*table.Endpoint, n, turn int) []*table.Endpoint {
	var selected []*table.Endpoint
	for i := range min(n, len(all)) {
		selected = append(selected, all[(turn*n+i)%len(all)])
	}
	return selected
}

func (d *Daemon) readLoad(ctx context.Context, e *table.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := fetchLoad(ctx, e.Address)
	if err != nil {
		// Attempts detect endpoints that don't answer; here, the last load report only becomes stale.
		d.log.WithError(err).WithField("endpoint", e.ID).Debug("load report not read")
		return
	}
	d.runner.Post(core.LoadReported{Endpoint: e.ID, Load: load})
}

// fetchLoad reads a load report. Its age counts from its arrival, since the clocks of instances are never compared.
func fetchLoad(ctx context.Context, address string) (table.Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+engine.PathLoad, nil)
	if err != nil {
		return table.Load{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return table.Load{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return table.Load{}, fmt.Errorf("load report: status %d", resp.StatusCode)
	}
	var r engine.LoadReport
	if err := progress.DecodeJSON(resp.Body, &r); err != nil {
		return table.Load{}, fmt.Errorf("decode load report: %w", err)
	}
	return table.Load{Running: r.Running, Waiting: r.Waiting, KVUsed: r.KVUsed, MeasuredAt: time.Now()}, nil
}
