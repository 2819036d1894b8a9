package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/move"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/quota"
	"github.com/trefoillug/trefoillug/usage"
)

const (
	// reportInterval is the pace of reports to the peers in fleets of up to reportMembers instances; it grows with
	// larger ones up to maxReportFactor times. The overshoot of a quota grows with it.
	reportInterval  = 400 * time.Millisecond
	reportMembers   = 16
	maxReportFactor = 3
	// reportTick is how often an instance looks whether a report is due.
	reportTick = 100 * time.Millisecond
	// usageEvery is the number of reports for each one with usage, which is needed seconds later only.
	usageEvery = 2
	// usageWindows is the number of windows of which an instance tells: the present one and those that may be due.
	usageWindows = 3
	// reportLife is how long a report is kept: as long as its usage may still have to be reported.
	reportLife = 30 * time.Second

	factReport = "report"
	factUsage  = "usage/"
	callCopy   = "copy"
)

// report is what an instance tells its peers in each interval.
type report struct {
	Process string            `cbor:"1,keyasint"`
	Quotas  quota.Report      `cbor:"2,keyasint"`
	Changed map[string]uint64 `cbor:"3,keyasint,omitempty"` // newest change of each kind of object
	Leaving bool              `cbor:"4,keyasint,omitempty"`
	Work    map[string]uint32 `cbor:"5,keyasint,omitempty"` // by service, in thousandths of an endpoint
	Cores   float64           `cbor:"6,keyasint,omitempty"` // of the instance's processor
	Watches watching          `cbor:"7,keyasint"`
}

// usageReport carries the counts of the newest windows of a process.
type usageReport struct {
	Windows usage.Windows `cbor:"1,keyasint"`
}

// copyCall asks for a copy of the objects of a kind.
type copyCall struct {
	Kind  string `cbor:"1,keyasint"`
	After uint64 `cbor:"2,keyasint"`
}

func (n *Node) subscribe() {
	n.mesh.Subscribe(factReport, n.receiveReport)
	n.mesh.Subscribe(factUsage, n.receiveUsage)
	n.mesh.Subscribe(factLeaving, n.receiveNotices)
	n.mesh.Subscribe(factCrash, n.suspects.receive)
	n.mesh.Subscribe(move.FactPrefix, n.rollouts.receive)
	handleCalls(n, callCopy, n.copyOf)
	handleCalls(n, callUsage, n.usageKnown)
	handleCalls(n, callTake, n.takeHere)
	handleCalls(n, callGiveBack, n.giveBackHere)
}

// interval is the pace of reports at the present number of instances.
func (n *Node) interval() time.Duration {
	factor := float64(n.members.expected(time.Now())) / reportMembers
	return time.Duration(min(max(1, factor), maxReportFactor) * float64(reportInterval))
}

// report publishes when a report is due, when a change of the platform's state must reach the peers, or when this
// instance hears others than before: small fleets share quotas only while all agree on that.
func (n *Node) report(ctx context.Context) {
	now := time.Now()
	hearsOthers := n.members.expected(now) <= largeFleet && n.quotas.HearsOthersThanReported(now)
	if n.members.reportDue(n.interval(), now) || n.changed.Swap(false) || hearsOthers {
		n.publish(ctx)
	}
}

// publish tells the peers what this instance has used and seen.
func (n *Node) publish(context.Context) {
	now := time.Now()
	if dropped := n.platform.DroppedLogLines; dropped != nil {
		n.metrics.scope.Gauge("dropped_log_lines").Update(float64(dropped()))
	}
	n.members.update(n.mesh.Members(), now)
	n.homes.update(n.memberIDs())
	expected := n.members.expected(now)
	n.quotas.Expect(expected, n.interval())
	n.repeats.setInstances(expected)
	if silent := n.quotas.OutOfTouch(now); n.members.setSilent(silent) {
		n.log.WithFields(logrus.Fields{"silent": silent, "expected": expected}).Info("instances out of touch; quotas follow")
	}
	r := report{Process: n.process, Quotas: n.quotas.Report(now), Changed: map[string]uint64{}, Leaving: n.closing.Load(), Work: n.work.measure(now), Cores: n.settings.Cores, Watches: n.watching(now)}
	for kind, f := range n.feeds {
		r.Changed[kind] = f.Changed()
	}
	n.publishFact(factReport, r)
	if n.members.tick()%usageEvery == 0 {
		n.publishUsage()
	}
}

// publishUsage tells the peers the counts of the newest windows.
func (n *Node) publishUsage() {
	n.usage.Forget(n.wall.Now())
	n.publishFact(factUsage+n.process, usageReport{Windows: n.usage.Recent(n.wall.Now(), usageWindows)})
}

func (n *Node) publishFact(key string, value any) { n.publishLife(key, value, reportLife) }

// publishLife publishes a fact that the peers keep for a time.
func (n *Node) publishLife(key string, value any, life time.Duration) {
	text, err := cbor.Marshal(value)
	if err != nil {
		n.log.WithError(err).WithField("fact", key).Error("fact not encoded")
		return
	}
	n.mesh.Publish(key, text, life)
}

func (n *Node) receiveReport(f peer.Fact) {
	var r report
	if err := cbor.Unmarshal(f.Value, &r); err != nil {
		n.log.WithError(err).WithField("peer", f.Origin).Warn("report of a peer not understood")
		return
	}
	n.members.noteWatching(f.Origin, r.Watches, time.Now())
	n.homes.noteCores(f.Origin, r.Cores)
	n.quotas.Receive(f.Origin, r.Process, r.Quotas, time.Now())
	n.work.receive(f.Origin, r.Work, time.Now())
	if r.Leaving {
		n.quotas.Left(r.Process)
	}
	for kind, changed := range r.Changed {
		if own := n.feeds[kind]; own != nil {
			n.members.noteNewest(kind, f.Origin, changed)
			own.NotifyChange(changed)
		}
	}
}

func (n *Node) receiveUsage(f peer.Fact) {
	var r usageReport
	if err := cbor.Unmarshal(f.Value, &r); err != nil {
		n.log.WithError(err).WithField("peer", f.Origin).Warn("usage of a peer not understood")
		return
	}
	n.usage.Receive(strings.TrimPrefix(f.Key, factUsage), r.Windows)
}

func (n *Node) copyOf(c copyCall) (*feed.Copy, error) {
	f := n.feeds[c.Kind]
	if f == nil {
		return nil, fmt.Errorf("no objects of kind %q", c.Kind)
	}
	return f.Copy(c.After), nil
}

// askPeers asks the peer that has reported the newest change, or else a random one, for what changed after a revision.
func (n *Node) askPeers(ctx context.Context, kind string, after uint64) (*feed.Copy, error) {
	var others []string
	for _, m := range n.mesh.Members() {
		if m.ID != n.settings.Name {
			others = append(others, m.ID)
		}
	}
	if len(others) == 0 {
		return nil, errors.New("no peers")
	}
	to := n.members.newestAt(kind, after)
	if to == "" {
		to = others[rand.IntN(len(others))]
	}
	return callPeer[*feed.Copy](ctx, n, to, callCopy, copyCall{Kind: kind, After: after})
}

func (n *Node) peerMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, n.mesh.Handler())
	mux.Handle("GET /metrics", n.metrics.handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

func seedFor(name string) uint64 { return xxhash.Sum64String(name) }
