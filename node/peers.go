package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/era"
	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/move"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/quota"
	"github.com/trefoillug/trefoillug/usage"
)

const (
	// reportInterval is the time between reports to the peers in fleets of up to reportBaseInstances instances. It
	// grows with the fleet, up to maxReportFactor times; the overshoot of quotas grows with it.
	reportInterval      = 400 * time.Millisecond
	reportBaseInstances = 16
	maxReportFactor     = 3
	// reportTick is how often an instance checks whether a report is due.
	reportTick = 100 * time.Millisecond
	// reportsPerUsage is the number of reports per usage report, which is needed only seconds later. In a large fleet usage
	// is the larger part of the bytes that each instance receives.
	reportsPerUsage      = 2
	largeReportsPerUsage = 4
	// reportedWindows is the number of windows in a usage report: the current one and those that may be due.
	reportedWindows = 3
	// reportLifetime is how long peers keep a report: as long as its usage may still have to be reported to the
	// platform.
	reportLifetime = 30 * time.Second

	factReport = "report"
	factUsage  = "usage/"
	callCopy   = "copy"
)

// report is what an instance reports to its peers in each interval.
type report struct {
	Process string            `cbor:"1,keyasint"`
	Quotas  quota.Report      `cbor:"2,keyasint"`
	Changed map[string]uint64 `cbor:"3,keyasint,omitempty"` // by kind of object: revision of the newest change
	Leaving bool              `cbor:"4,keyasint,omitempty"`
	Load    map[string]uint32 `cbor:"5,keyasint,omitempty"` // by service, in thousandths of an endpoint
	Cores   float64           `cbor:"6,keyasint,omitempty"` // processor cores of the instance
	Watches watching          `cbor:"7,keyasint"`
	// Evacuated holds the revisions of the evacuations that this instance has read, by zone.
	Evacuated map[string]uint64 `cbor:"8,keyasint,omitempty"`
	Isolated  bool              `cbor:"9,keyasint,omitempty"` // can reach no endpoint
	// Proxies is set if this instance serves requests that peers send on. Older builds answer them like unknown paths.
	Proxies bool `cbor:"10,keyasint,omitempty"`
	// Era is the era of the store in which the revisions above were read. Older builds send none; they count as in the first.
	Era       era.State `cbor:"11,keyasint,omitzero"`
	DutyToken uint64    `cbor:"12,keyasint,omitempty"` // highest fencing token of the duties that is known as granted
}

// usageReport holds the counts of the newest windows of a process.
type usageReport struct {
	Windows usage.Windows `cbor:"1,keyasint"`
	Current uint64        `cbor:"2,keyasint,omitempty"` // window of the report; the counts of earlier ones are final
}

// copyCall asks for what has changed in a kind of objects after a revision.
type copyCall struct {
	Kind  string `cbor:"1,keyasint"`
	After uint64 `cbor:"2,keyasint"`
	Era   uint64 `cbor:"3,keyasint,omitempty"` // number of the era of After
}

func (n *Node) subscribe() {
	n.mesh.Subscribe(factReport, n.receiveReport)
	n.mesh.Subscribe(factUsage, n.receiveUsage)
	n.mesh.Subscribe(factFinalCounts, n.receiveFinalCounts)
	n.mesh.Subscribe(factLeaving, n.receiveNotices)
	n.mesh.Subscribe(factCold, n.cold.receiveNotices)
	n.mesh.Subscribe(factBrittle, n.brittle.receive)
	n.mesh.Subscribe(factCrashes, n.suspects.receive)
	n.mesh.Subscribe(factAnswered, n.suspects.receiveAnswered)
	n.mesh.Subscribe(factLegacyCrash, n.suspects.receiveLegacy)
	n.mesh.Subscribe(factBlocks, n.suspects.receiveBlocks)
	n.mesh.Subscribe(move.FactPrefix, n.rollouts.receive)
	handleCalls(n, callCopy, n.handleCopy)
	handleCalls(n, callUsage, n.handleUsage)
	handleCalls(n, callOwnUsage, n.handleOwnUsage)
	handleCalls(n, callFinalCounts, n.handleFinalCounts)
	handleCalls(n, callReach, n.handleReach)
	handleCalls(n, callAcquire, n.acquireLocal)
	handleCalls(n, callRelease, n.releaseLocal)
	handleCalls(n, callColdPermit, n.cold.handlePermit)
	handleCalls(n, callColdMembers, n.cold.handleMembers)
	handleCalls(n, callColdLeft, n.cold.handleLeft)
}

// interval returns the time between reports for the current number of instances.
func (n *Node) interval() time.Duration {
	factor := float64(n.members.expected(time.Now())) / reportBaseInstances
	return time.Duration(min(max(1, factor), maxReportFactor) * float64(reportInterval))
}

// report publishes a report when one is due, when a change of the platform's state must reach the peers, or when the
// set of reachable instances has changed: small fleets share quotas only while all instances agree on that set.
func (n *Node) report(ctx context.Context) {
	now := time.Now()
	reachabilityChanged := n.members.expected(now) <= largeFleet && n.quotas.ReachabilityChanged(now)
	if n.members.reportDue(n.interval(), now) || n.stateChanged.Swap(false) || reachabilityChanged {
		n.publish(ctx)
	}
}

// publish updates the limits for the current members and reports this instance's usage and state to the peers.
func (n *Node) publish(context.Context) {
	now := time.Now()
	if dropped := n.platform.DroppedLogLines; dropped != nil {
		n.metrics.scope.Gauge("dropped_log_lines").Update(float64(dropped()))
	}
	n.metrics.scope.Gauge("suspected_requests").Update(float64(n.suspects.Len()))
	n.forwarder.UpdateSpeedMetrics(now)
	n.members.update(n.mesh.Members(), now)
	n.owners.update(n.memberIDs())
	expected := n.members.expected(now)
	n.quotas.Expect(expected, n.interval())
	n.retryBudgets.setInstances(expected)
	if unreachable := n.quotas.UnreachableInstances(now); n.members.setUnreachable(unreachable) {
		n.log.WithFields(logrus.Fields{"silent": unreachable, "expected": expected}).Info("number of unreachable instances changed; quotas adjusted")
	}
	state := n.eras.State()
	r := report{Process: n.process, Quotas: n.quotas.Report(now), Changed: map[string]uint64{}, Leaving: n.closing.Load(), Load: n.load.measure(now), Cores: n.settings.Cores, Watches: n.watching(now), Evacuated: n.evacuations.report(state.Number), Isolated: n.reachability.IsIsolated(), Proxies: true, Era: state}
	for kind, f := range n.feeds {
		r.Changed[kind] = f.NewestChangeIn(r.Era.Number)
	}
	if n.dutyLease != nil {
		r.DutyToken = n.dutyLease.HighestToken()
	}
	n.publishFact(factReport, r)
	perUsage := reportsPerUsage
	if expected > largeFleet {
		perUsage = largeReportsPerUsage
	}
	if n.members.isUsageDue(n.usage.Window(n.wall.Now()), perUsage) {
		n.publishUsage()
	}
}

// publishUsage reports the counts of the newest windows to the peers.
func (n *Node) publishUsage() {
	n.usage.Expire(n.wall.Now())
	n.publishFact(factUsage+n.process, n.recentUsage())
}

func (n *Node) recentUsage() usageReport {
	now := n.wall.Now()
	return usageReport{Windows: n.usage.Recent(now, reportedWindows), Current: n.usage.Window(now)}
}

func (n *Node) publishFact(key string, value any) { n.publishFor(key, value, reportLifetime) }

// publishFor publishes a fact that the peers keep for the given time.
func (n *Node) publishFor(key string, value any, lifetime time.Duration) {
	text, err := cbor.Marshal(value)
	if err != nil {
		n.log.WithError(err).WithField("fact", key).Error("fact not encoded")
		return
	}
	n.mesh.Publish(key, text, lifetime)
}

// publishShared publishes a fact that the peers keep for the given time, also if this process ends.
func (n *Node) publishShared(key string, rank uint8, value any, lifetime time.Duration) {
	text, err := cbor.Marshal(value)
	if err != nil {
		n.log.WithError(err).WithField("fact", key).Error("fact not encoded")
		return
	}
	n.mesh.PublishShared(key, rank, text, lifetime)
}

func (n *Node) receiveReport(f peer.Fact) {
	var r report
	if err := cbor.Unmarshal(f.Value, &r); err != nil {
		n.log.WithError(err).WithField("peer", f.Origin).Warn("report from peer could not be decoded")
		return
	}
	n.eras.Merge(r.Era)
	if n.dutyLease != nil {
		n.dutyLease.RecordToken(r.DutyToken)
	}
	n.members.recordWatching(f.Origin, r.Watches, time.Now())
	n.members.recordProxying(f.Origin, r.Proxies && !r.Isolated && !r.Leaving)
	n.owners.recordCores(f.Origin, r.Cores)
	n.quotas.Receive(f.Origin, r.Process, r.Quotas, time.Now())
	n.load.receive(f.Origin, r.Load, time.Now())
	if r.Leaving {
		n.quotas.ProcessEnded(r.Process)
	}
	n.evacuations.receive(r.Era.Number, r.Evacuated)
	for kind, changed := range r.Changed {
		if own := n.feeds[kind]; own != nil {
			n.members.recordChange(kind, f.Origin, eraRevision{r.Era.Number, changed})
			own.NotifyChangeIn(r.Era.Number, changed)
		}
	}
}

func (n *Node) receiveUsage(f peer.Fact) {
	var r usageReport
	if err := cbor.Unmarshal(f.Value, &r); err != nil {
		n.log.WithError(err).WithField("peer", f.Origin).Warn("usage report from peer could not be decoded")
		return
	}
	n.usage.Receive(strings.TrimPrefix(f.Key, factUsage), r.Windows)
	n.members.recordUsage(f.Origin, r.Current)
}

func (n *Node) handleCopy(c copyCall) (*feed.Copy, error) {
	f := n.feeds[c.Kind]
	if f == nil {
		return nil, fmt.Errorf("no objects of kind %q", c.Kind)
	}
	return f.CopyFor(c.Era, c.After), nil
}

// fetchCopy asks the peer that has reported the newest change, or else a random one, for what has changed after a
// revision. It returns an error when there are no peers or the call fails.
func (n *Node) fetchCopy(ctx context.Context, kind string, after uint64) (*feed.Copy, error) {
	var others []string
	for _, m := range n.mesh.Members() {
		if m.ID != n.settings.Name {
			others = append(others, m.ID)
		}
	}
	if len(others) == 0 {
		return nil, errors.New("no peers")
	}
	number := n.eras.Number()
	to := n.members.newestPeer(kind, eraRevision{number, after})
	if to == "" {
		to = others[rand.IntN(len(others))]
	}
	c, err := callPeer[*feed.Copy](ctx, n, to, callCopy, copyCall{Kind: kind, After: after, Era: number})
	if c != nil {
		n.metrics.scope.Tagged(map[string]string{"kind": kind, "whole": strconv.FormatBool(c.Since == 0)}).Counter("peer_copies").Inc(1)
	}
	return c, err
}

func (n *Node) peerMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, n.mesh.Handler())
	mux.Handle("GET /metrics", n.metrics.handler)
	mux.HandleFunc("GET /status", n.serveStatus)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

func seedFor(name string) uint64 { return xxhash.Sum64String(name) }
