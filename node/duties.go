package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/clock"
	"github.com/trefoillug/trefoillug/lease"
	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/usage"
)

const (
	// dutyTerm bounds how long duties rest after their holder died; usage is due 10 s after its window.
	dutyTerm = 4 * time.Second
	// dutyMargin covers a call of the holder that is still on its way when its term ends.
	dutyMargin = 1500 * time.Millisecond
	// dutyStagger is the advantage of each candidate over the next.
	dutyStagger = 500 * time.Millisecond
	// dutyInterval is the pace of the work of a holder.
	dutyInterval = 250 * time.Millisecond
	// usageSettle is the time after a window in which the counts of all instances arrive, in intervals of reports.
	usageSettle = 5
	// usageMargin is kept to the end of the time in which a report is due.
	usageMargin = 500 * time.Millisecond

	usagePrefix = "usage-windows/"
)

// duties is the work of the holder of the lease.
type duties struct {
	n         *Node
	lease     *lease.Lease
	token     uint64
	from      time.Time // the holder acts from then on
	acted     time.Time // when this instance may last have acted; at first its start, since an earlier process may have
	reported  map[uint64]bool
	collected bool // the peers were asked for the usage that they know
	sizer     *sizer
}

// runDuties competes for the lease and works while it is held.
func (n *Node) runDuties(ctx context.Context) {
	d := &duties{n: n, reported: map[uint64]bool{}, acted: clock.Now()}
	d.lease = lease.New(lease.Settings{
		Store: n.platform.Records, Duty: "duties", Candidate: n.settings.Name, Process: seedFor(n.process),
		Members: n.memberIDs, Term: dutyTerm, Margin: dutyMargin, Stagger: dutyStagger, Now: clock.Now,
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.lease.Run(ctx, func(err error) { n.log.WithError(err).Info("lease of the duties not renewed") })
	}()
	_ = every(ctx, dutyInterval, d.work) // returns nil only
	<-done
}

func (n *Node) memberIDs() []string {
	var ids []string
	for _, m := range n.mesh.Members() {
		if !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (d *duties) work(ctx context.Context) {
	grant, held := d.lease.Held()
	d.n.isHolder.Store(held)
	if !held {
		d.token = 0
		return
	}
	if grant.Token != d.token {
		d.token, d.from = grant.Token, restEnd(grant, d.acted, clock.Now(), d.n.settings.Lease)
		d.sizer = newSizer(d.n, time.Now())
		d.collected = false
		d.n.log.WithFields(logrus.Fields{"token": grant.Token, "from": d.from.Sub(clock.Now()).String()}).Info("duties taken over")
	}
	if clock.Now().Before(d.from) {
		return
	}
	if d.n.settings.ReportUsage {
		d.reportUsage(ctx)
	}
	if d.n.settings.SizePool {
		d.sizer.work(ctx, d.token, d.mayAct)
	}
}

// restEnd returns from when a new holder may act. A duty that another instance held in between must not come back to
// one that acted less than a lease ago.
func restEnd(grant lease.Grant, acted, now time.Time, rest time.Duration) time.Time {
	if end := acted.Add(rest); !grant.PreviousEnd.IsZero() && end.After(now) {
		return end
	}
	return now
}

// mayAct reports whether the lease is still held, right before a call.
func (d *duties) mayAct() bool {
	grant, held := d.lease.Held()
	if !held || grant.Token != d.token {
		return false
	}
	d.acted = clock.Now()
	return true
}

func (d *duties) reportUsage(ctx context.Context) {
	n := d.n
	now := n.wall.Now()
	settle := usageSettle * n.interval()
	if time.Since(n.started) < settle {
		return // the peers have not told yet what they counted
	}
	if !d.collected {
		n.collectUsage(ctx)
		d.collected = true
	}
	first := n.usage.Window(now.Add(-time.Since(n.started)))
	for _, window := range n.usage.Due(now, settle, n.settings.UsageLate-usageMargin, first) {
		if d.reported[window] {
			continue
		}
		if err := d.reportWindow(ctx, window); err != nil {
			n.log.WithError(err).WithField("window", window).Info("usage not reported")
			continue
		}
		d.reported[window] = true
		delete(d.reported, window-keptReports)
	}
}

// keptReports is the number of windows whose report is remembered; older ones are not due any more.
const keptReports = 16

// reportWindow fixes the counts of a window in the store before they are reported, so that each holder reports the same.
func (d *duties) reportWindow(ctx context.Context, window uint64) error {
	counts, err := d.fixedCounts(ctx, window)
	if err != nil {
		return err
	}
	if !d.mayAct() {
		return lease.ErrNotHeld
	}
	if err := d.n.platform.API.ReportUsage(ctx, d.token, window, counts); err != nil {
		return err
	}
	d.n.log.WithFields(logrus.Fields{"window": window, "counts": counts, "token": d.token}).Info("usage reported")
	return nil
}

// usageSlots is the number of objects in which windows are fixed in turn. A window is long past when its object is used
// again: 320 s at 5 s.
const usageSlots = 64

// fixedWindow is the value of such an object.
type fixedWindow struct {
	Window uint64       `json:"window"`
	Counts usage.Counts `json:"counts"`
}

// fixTries is the number of writes for one window: the first expects no object, the second the one that was found, and the
// third follows a write without an answer that took effect meanwhile.
const fixTries = 3

// errWindowPast means that a later window was fixed in the place of one.
var errWindowPast = errors.New("a later window is fixed already")

// fixedCounts fixes the counts of a window, unless a holder has done so before, and returns those that are fixed.
func (d *duties) fixedCounts(ctx context.Context, window uint64) (usage.Counts, error) {
	key := usagePrefix + strconv.FormatUint(window%usageSlots, 10)
	counts := d.n.usage.Sum(window)
	value, err := json.Marshal(fixedWindow{window, counts})
	if err != nil {
		return nil, err
	}
	version := uint64(0)
	for range fixTries {
		_, err = d.n.platform.Records.Put(ctx, key, value, version)
		if err == nil {
			return counts, nil
		}
		if !errors.Is(err, objstore.ErrConflict) && !errors.Is(err, objstore.ErrUnknownResult) {
			return nil, err
		}
		var fixed fixedWindow
		if version, fixed, err = d.readFixed(ctx, key); err != nil {
			return nil, err
		}
		if fixed.Window == window {
			return fixed.Counts, nil
		}
		if fixed.Window > window {
			return nil, errWindowPast
		}
	}
	return nil, fmt.Errorf("fix the counts of window %d: %w", window, objstore.ErrConflict)
}

// readFixed reads an object of fixed counts; without one, version is 0.
func (d *duties) readFixed(ctx context.Context, key string) (version uint64, fixed fixedWindow, err error) {
	object, err := d.n.platform.Records.Get(ctx, key)
	if errors.Is(err, objstore.ErrNotFound) {
		return 0, fixedWindow{}, nil
	}
	if err != nil {
		return 0, fixedWindow{}, fmt.Errorf("read the fixed counts: %w", err)
	}
	if err := json.Unmarshal(object.Value, &fixed); err != nil {
		return 0, fixedWindow{}, fmt.Errorf("decode the fixed counts: %w", err)
	}
	return object.Version, fixed, nil
}
