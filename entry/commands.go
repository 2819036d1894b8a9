package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/burn"
	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/limit"
	"github.com/trefoillug/trefoillug/objstore"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 5 * time.Second
	// flushInterval is the time between two writes of refusal minutes. A crash loses at most this much.
	flushInterval = time.Minute
	// maxSkippedFlushes is the number of flush intervals after which served counts are written even without a refusal.
	maxSkippedFlushes = 5
)

// post passes an event of the request path to the core, the metrics and the refusal minutes.
func (d *Daemon) post(e core.Event) {
	d.metrics.observe(e)
	if d.pool != nil {
		d.pool.observe(e)
	}
	switch e := e.(type) {
	case core.Served:
		d.burnMu.Lock()
		d.burn.Served(time.Now(), burn.Subject{Service: e.Service, Workspace: e.Workspace})
		d.burnMu.Unlock()
	case core.Refused:
		d.burnMu.Lock()
		d.burn.Refused(time.Now(), burn.Subject{Service: e.Service, Workspace: e.Workspace}, e.Kind)
		d.burnMu.Unlock()
	case core.AttemptDone:
		d.admission.Observe(limit.Result{
			Endpoint: e.Endpoint, Latency: e.FirstToken, InFlight: e.InFlight, Overloaded: e.Result == core.TimedOut,
		})
		d.suspects.recordCompletion(e)
		d.runner.Post(e)
	case core.EndpointCrashed:
		d.suspects.recordCrash(e)
		d.runner.Post(e)
	default:
		d.runner.Post(e)
	}
}

// execute carries out a command of the core without blocking it.
func (d *Daemon) execute(c core.Command) {
	switch c := c.(type) {
	case core.PublishFact:
		d.node.Publish(c.Key, c.Value, c.TTL)
	case core.RecordMove:
		go d.recordMove(c.Record)
	case core.ReadMove:
		go d.readMove(c.Object)
	case core.Alert:
		d.log.WithField("service", c.Service).WithField("subject", c.Subject).Error(c.Message)
	}
}

// flushBurn writes the refusal minutes. Minutes with refusals are written at the next interval, minutes without less
// often, to limit the writes to the store.
func (d *Daemon) flushBurn(ctx context.Context) {
	for day, minutes := range d.dueMinutes() {
		if err := d.writeBurn(ctx, burn.DayKey(day, d.settings.ID+"-"+d.started), minutes); err != nil {
			d.log.WithError(err).Warn("refusal minutes not written; will retry at the next interval")
			d.burnMu.Lock()
			d.burn.MarkChanged()
			d.burnMu.Unlock()
			continue
		}
		if day != time.Now().UTC().Format(time.DateOnly) {
			d.burnMu.Lock()
			d.burn.DropDay(day)
			d.burnMu.Unlock()
		}
	}
}

// dueMinutes returns the minutes that are due to be written, by UTC day.
func (d *Daemon) dueMinutes() map[string][]burn.Minute {
	d.burnMu.Lock()
	defer d.burnMu.Unlock()
	d.skippedFlushes++
	if !d.burn.Changed() && d.skippedFlushes < maxSkippedFlushes && !d.leaving.Load() {
		return nil
	}
	d.skippedFlushes = 0
	return d.burn.Days()
}

// writeBurn replaces the object at key, which only this process writes.
func (d *Daemon) writeBurn(ctx context.Context, key string, minutes []burn.Minute) error {
	value, err := cbor.Marshal(minutes)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version := uint64(0)
	if old, err := d.store.Get(ctx, key); err == nil {
		version = old.Version
	} else if !errors.Is(err, objstore.ErrNotFound) {
		return err
	}
	_, err = d.store.Put(ctx, key, value, version)
	return err
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
