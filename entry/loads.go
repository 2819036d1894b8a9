package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/table"
)

const (
	// loadInterval and loadReads bound the reads of load reports: 4 a second, about 1.6 KB a second.
	loadInterval = time.Second
	loadReads    = 4
	// loadTimeout bounds the read of one load report.
	loadTimeout = time.Second
)

// readLoads asks endpoints with recent traffic from this instance for their load. The number of reads a second is
// bounded, so that its cost doesn't grow with the fleet.
func (d *Daemon) readLoads(ctx context.Context) {
	for _, e := range d.loadTargets() {
		go d.readLoad(ctx, e)
	}
}

// loadTargets returns the next endpoints to read, those with requests of this instance in flight first.
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
	targets := take(busy, loadReads, d.loadTurn)
	return append(targets, take(idle, loadReads-len(targets), d.loadTurn)...)
}

// take returns n elements of all, starting at another place each turn, so that all get their turn while the order of
// all stays the same.
func take(all []*table.Endpoint, n, turn int) []*table.Endpoint {
	var taken []*table.Endpoint
	for i := range min(n, len(all)) {
		taken = append(taken, all[(turn*n+i)%len(all)])
	}
	return taken
}

func (d *Daemon) readLoad(ctx context.Context, e *table.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := fetchLoad(ctx, e.Address)
	if err != nil {
		// Endpoints that don't answer show up in the attempts; a missing report only ages.
		d.log.WithError(err).WithField("endpoint", e.ID).Debug("load report not read")
		return
	}
	d.runner.Post(core.LoadReported{Endpoint: e.ID, Load: load})
}

// fetchLoad reads a load report. Its age counts from its arrival, since clocks of instances are never compared.
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
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return table.Load{}, fmt.Errorf("decode load report: %w", err)
	}
	return table.Load{Running: r.Running, Waiting: r.Waiting, KVUsed: r.KVUsed, At: time.Now()}, nil
}
