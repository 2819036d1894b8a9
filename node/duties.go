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
	// dutyLeaseTerm bounds how long the duties are interrupted after their holder died; usage is due 10 s after its
	// window.
	dutyLeaseTerm = 4 * time.Second
	// dutyLeaseMargin allows for a call of the holder that is still in flight when its term ends.
	dutyLeaseMargin = 1500 * time.Millisecond
	// dutyCandidateStagger is the head start of each candidate over the next.
	dutyCandidateStagger = 500 * time.Millisecond
	// dutyInterval is the time between two runs of the holder's work.
	dutyInterval = 250 * time.Millisecond
	// usageSettleReports is the time after a window in which the counts of all instances arrive, in report intervals.
	usageSettleReports = 5
	// usageDueMargin is the time kept between the last attempt to report a window and the end of its due time.
	usageDueMargin = 500 * time.Millisecond

	usagePrefix = "usage-windows/"
)

// duties does the work of the holder of the duty lease.
type duties struct {
	n              *Node
	lease          *lease.Lease
	token          uint64
	actFrom        time.Time // the holder does not act before this time
	lastActed      time.Time // when this instance may last have acted; initially its start, for an earlier process
	reported       map[uint64]bool
	usageCollected bool // peers were asked for the usage that they have recorded
	sizer          *sizer
}

// runDuties competes for the duty lease and does the holder's work while the lease is held.
func (n *Node) runDuties(ctx context.Context) {
	d := &duties{n: n, lease: n.dutyLease, reported: map[uint64]bool{}, lastActed: clock.Now()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-ctx.Done():
		case <-time.After(discoveryTime):
			// Before it knows its peers, each instance of a fleet that starts would read the lease as its first candidate.
		}
		d.lease.Run(ctx, func(err error) { n.log.WithError(err).Info("duty lease not renewed") })
	}()
	_ = every(ctx, dutyInterval, d.tick) // returns nil only
	<-done
}

func (n *Node) newDutyLease() *lease.Lease {
	return lease.New(lease.Settings{
		Store: n.platform.Records, Duty: "duties", Candidate: n.settings.Name, Process: seedFor(n.process),
		Members: n.memberIDs, Term: dutyLeaseTerm, Margin: dutyLeaseMargin, Stagger: dutyCandidateStagger, Now: clock.Now,
		Restores: &lease.Restores{Eras: n.eras, IsFirstStart: n.settings.FirstStart, Connections: n.platform.StoreConnections, MinToken: n.minToken},
	})
}

// memberIDs returns the IDs of the members that are not leaving.
func (n *Node) memberIDs() []string {
	var ids []string
	for _, m := range n.mesh.Members() {
		if !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// tick does the holder's work if this instance holds the lease and may act.
func (d *duties) tick(ctx context.Context) {
	grant, held := d.lease.Held()
	d.n.holdsDuties.Store(held)
	if !held {
		d.token = 0
		return
	}
	if grant.Token != d.token {
		d.token, d.actFrom = grant.Token, actingStart(grant, d.lastActed, clock.Now(), d.n.settings.DutyReturnDelay)
		d.sizer = newSizer(d.n, time.Now())
		d.usageCollected = false
		d.n.log.WithFields(logrus.Fields{"token": grant.Token, "from": d.actFrom.Sub(clock.Now()).String()}).Info("duties taken over")
	}
	if clock.Now().Before(d.actFrom) {
		return
	}
	if d.n.settings.ReportUsage {
		d.reportUsage(ctx)
	}
	if d.n.settings.SizePool {
		d.sizer.tick(ctx, d.token, d.mayAct)
	}
}

// actingStart returns the time from which a new holder may act. A duty that another instance held in between must not
// return to an instance that acted less than returnDelay ago.
func actingStart(grant lease.Grant, lastActed, now time.Time, returnDelay time.Duration) time.Time {
	if end := lastActed.Add(returnDelay); !grant.PreviousEnd.IsZero() && end.After(now) {
		return end
	}
	return now
}

// mayAct reports whether the lease is still held, and if so records the time of the action. It must be called right
// before each call to the platform.
func (d *duties) mayAct() bool {
	grant, held := d.lease.Held()
	if !held || grant.Token != d.token {
		return false
	}
	d.lastActed = clock.Now()
	return true
}

func (d *duties) reportUsage(ctx context.Context) {
	n := d.n
	now := n.wall.Now()
	settleTime := usageSettleReports * n.interval()
	if time.Since(n.started) < settleTime {
		return // the peers have not reported their counts yet
	}
	if !d.usageCollected {
		n.collectUsage(ctx)
		d.usageCollected = true
	}
	first := n.usage.Window(now.Add(-time.Since(n.started)))
	for _, window := range n.usage.Due(now, settleTime, n.settings.UsageDueTime-usageDueMargin, first) {
		if d.reported[window] {
			continue
		}
		err := d.reportWindow(ctx, window)
		if errors.Is(err, errCountsSpreading) {
			continue
		}
		if err != nil {
			n.log.WithError(err).WithField("window", window).Info("usage not reported")
			continue
		}
		d.reported[window] = true
		delete(d.reported, window-keptReportedWindows)
	}
}

// keptReportedWindows is the number of recent windows that are recorded as reported; older ones are no longer due.
const keptReportedWindows = 16

// errCountsSpreading means that the final counts of a window have not reached the peers yet.
var errCountsSpreading = errors.New("the final counts are being sent to the peers")

// reportWindow stores the final counts of a window, and sends them to the peers, before it reports them, so that every
// holder reports the same counts, also if the store has forgotten them.
func (d *duties) reportWindow(ctx context.Context, window uint64) error {
	counts, known, isConfirmed := d.n.finals.get(window)
	if !known {
		d.n.collectMissing(ctx, window)
		var err error
		if counts, err = d.finalCounts(ctx, window); err != nil {
			return err
		}
	}
	if !isConfirmed {
		d.n.shareFinalCounts(ctx, window, counts)
		if counts, _, isConfirmed = d.n.finals.get(window); !isConfirmed && !d.isLastChance(window) {
			return errCountsSpreading
		}
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

// isLastChance reports whether the time to report a window is nearly over.
func (d *duties) isLastChance(window uint64) bool {
	left := d.n.settings.UsageDueTime - usageDueMargin - d.n.wall.Now().Sub(d.n.usage.End(window))
	return left < unconfirmedMargin
}

// usageSlots is the number of objects that hold the final counts of windows, in rotation. When an object is reused,
// its previous window is long past: 320 s at 5 s a window.
const usageSlots = 64

// finalWindow is the value of an object that holds the final counts of a window.
type finalWindow struct {
	Window uint64       `json:"window"`
	Counts usage.Counts `json:"counts"`
}

// maxFinalizeWrites is the number of writes for one window: the first expects no object, the second expects the
// version that was found, and the third follows a write without an answer that took effect in the meantime.
const maxFinalizeWrites = 3

// errWindowReplaced means that the object for a window already holds a later window.
var errWindowReplaced = errors.New("counts of a later window are already stored")

// finalCounts returns the stored counts of a window. If no holder has stored any, it stores the counts of this
// instance first. It returns errWindowReplaced when the object already holds a later window.
func (d *duties) finalCounts(ctx context.Context, window uint64) (usage.Counts, error) {
	key := usagePrefix + strconv.FormatUint(window%usageSlots, 10)
	counts := d.n.usage.Sum(window)
	value, err := json.Marshal(finalWindow{window, counts})
	if err != nil {
		return nil, err
	}
	version := uint64(0)
	for range maxFinalizeWrites {
		_, err = d.n.platform.Records.Put(ctx, key, value, version)
		if err == nil {
			return counts, nil
		}
		if !errors.Is(err, objstore.ErrConflict) && !errors.Is(err, objstore.ErrUnknownResult) {
			return nil, err
		}
		var stored finalWindow
		if version, stored, err = d.readFinalWindow(ctx, key); err != nil {
			return nil, err
		}
		if stored.Window == window {
			return stored.Counts, nil
		}
		if stored.Window > window {
			return nil, errWindowReplaced
		}
	}
	return nil, fmt.Errorf("store the final counts of window %d: %w", window, objstore.ErrConflict)
}

// readFinalWindow reads the final counts stored under key; version is 0 if there is no object.
func (d *duties) readFinalWindow(ctx context.Context, key string) (version uint64, stored finalWindow, err error) {
	object, err := d.n.platform.Records.Get(ctx, key)
	if errors.Is(err, objstore.ErrNotFound) {
		return 0, finalWindow{}, nil
	}
	if err != nil {
		return 0, finalWindow{}, fmt.Errorf("read the final counts: %w", err)
	}
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return 0, finalWindow{}, fmt.Errorf("decode the final counts: %w", err)
	}
	return object.Version, stored, nil
}
