package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/move"
	"github.com/trefoillug/trefoillug/objstore"
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
	Used    quota.Report      `cbor:"2,keyasint,omitempty"`
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
	n.mesh.Handle(callCopy, n.handleCopy)
	n.mesh.Handle(callUsage, n.handleUsage)
	n.mesh.Handle(callTake, n.handleTake)
	n.mesh.Handle(callGiveBack, n.handleGiveBack)
}

// interval is the pace of reports at the present number of instances.
func (n *Node) interval() time.Duration {
	factor := float64(n.members.expected(time.Now())) / reportMembers
	return time.Duration(min(max(1, factor), maxReportFactor) * float64(reportInterval))
}

// report publishes when a report is due, or when a change of the platform's state must reach the peers.
func (n *Node) report(ctx context.Context) {
	if n.members.reportDue(n.interval(), time.Now()) || n.changed.Swap(false) {
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
	r := report{Process: n.process, Used: n.quotas.Report(), Changed: map[string]uint64{}, Leaving: n.closing.Load(), Work: n.work.measure(now), Cores: n.settings.Cores, Watches: n.watching(now)}
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
	n.quotas.Receive(f.Origin, r.Process, r.Used, time.Now())
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

func (n *Node) handleCopy(_ context.Context, _ string, body []byte) ([]byte, error) {
	var c copyCall
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("decode call: %w", err)
	}
	f := n.feeds[c.Kind]
	if f == nil {
		return nil, fmt.Errorf("no objects of kind %q", c.Kind)
	}
	return cbor.Marshal(f.Copy(c.After))
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
	body, err := cbor.Marshal(copyCall{Kind: kind, After: after})
	if err != nil {
		return nil, err
	}
	to := n.members.newestAt(kind, after)
	if to == "" {
		to = others[rand.IntN(len(others))]
	}
	answer, err := n.mesh.Call(ctx, to, callCopy, body)
	if err != nil {
		return nil, err
	}
	var c *feed.Copy
	if err := cbor.Unmarshal(answer, &c); err != nil {
		return nil, fmt.Errorf("decode copy: %w", err)
	}
	return c, nil
}

// membership remembers which instances were live lately.
type membership struct {
	mu         sync.Mutex
	self       string
	since      time.Time
	seen       map[string]time.Time
	listed     int // instances in the register at the start
	silent     int // out of touch at the last look
	reported   int
	lastOwn    time.Time                       // report of this instance
	newest     map[string]newest               // by kind of object
	shortAt    map[string]map[string]time.Time // by kind and peer that watches it with short waits
	notifiedAt map[string]time.Time            // by peer that tells of leaving endpoints
}

// newest names the peers that reported the newest change.
type newest struct {
	origins []string
	changed uint64
}

// maxOrigins bounds the peers among which a question is spread.
const maxOrigins = 16

const (
	// memberMemory keeps an instance that fell silent among the expected ones: longer than the window of the quotas.
	memberMemory = 10 * time.Second
	// joinTime is how long after the start the register counts, until the peers have found each other.
	joinTime = 5 * time.Second
)

func newMembership(self string, now time.Time) membership {
	return membership{self: self, since: now, seen: map[string]time.Time{}, newest: map[string]newest{}, shortAt: map[string]map[string]time.Time{}, notifiedAt: map[string]time.Time{}}
}

func (m *membership) update(live []peer.Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range live {
		if !member.Leaving {
			m.seen[member.ID] = now
		} else {
			delete(m.seen, member.ID)
		}
	}
	for id, at := range m.seen {
		if now.Sub(at) > memberMemory {
			delete(m.seen, id)
			m.forget(id)
		}
	}
}

// forget needs m.mu.
func (m *membership) forget(id string) {
	delete(m.notifiedAt, id)
	for _, peers := range m.shortAt {
		delete(peers, id)
	}
}

// expected is the number of instances that should exist, this one included.
func (m *membership) expected(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.since) < joinTime {
		return max(len(m.seen), m.listed, defaultInstances)
	}
	return max(1, len(m.seen))
}

func (m *membership) setListed(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = count
}

// reportDue reports whether the interval since the last report has passed, and notes the new one.
func (m *membership) reportDue(interval time.Duration, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastOwn) < interval-reportTick/2 {
		return false
	}
	m.lastOwn = now
	return true
}

// noteWatching takes over what a peer does for the others.
func (m *membership) noteWatching(origin string, w watching, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, kind := range w.Short {
		if m.shortAt[kind] == nil {
			m.shortAt[kind] = map[string]time.Time{}
		}
		m.shortAt[kind][origin] = now
	}
	if w.Notifies {
		m.notifiedAt[origin] = now
	}
}

// waitsShort reports whether a peer has watched a kind with short waits since a time.
func (m *membership) waitsShort(kind, id string, since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shortAt[kind][id].After(since)
}

// notifies reports whether a peer has watched since a time for endpoints that leave.
func (m *membership) notifies(id string, since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.notifiedAt[id].After(since)
}

func (m *membership) noteNewest(kind, origin string, changed uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.newest[kind]
	switch {
	case changed > known.changed:
		m.newest[kind] = newest{[]string{origin}, changed}
	case changed == known.changed && len(known.origins) < maxOrigins && !slices.Contains(known.origins, origin):
		known.origins = append(known.origins, origin)
		m.newest[kind] = known
	}
}

// newestAt returns one of the peers that reported the newest change after a revision, and "" without one.
func (m *membership) newestAt(kind string, after uint64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.newest[kind]
	if known.changed <= after || len(known.origins) == 0 {
		return ""
	}
	return known.origins[rand.IntN(len(known.origins))]
}

// setSilent takes over the number of instances out of touch and reports whether it has changed.
func (m *membership) setSilent(count int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.silent != count
	m.silent = count
	return changed
}

func (m *membership) tick() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reported++
	return m.reported
}

// registerPrefix begins the keys of the register of instances, by which they find each other.
const registerPrefix = "instances/"

// registered is an instance's entry in the register.
type registered struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

// registerIntervals are the pauses between looks at the register: soon after the start, when others start too, and
// rarely later, for partitions in which the peers lost each other.
var registerIntervals = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 20 * time.Second}

// register enters this instance in the register and reads it from time to time.
func (n *Node) register(ctx context.Context) {
	entered := false
	for i := 0; ctx.Err() == nil; i++ {
		if !entered {
			if err := n.enterRegister(ctx); err != nil {
				n.log.WithError(err).Info("instance not entered in the register")
			} else {
				entered = true
			}
		}
		if err := n.readRegister(ctx); err != nil {
			n.log.WithError(err).Info("register of instances not read")
		}
		pause := registerIntervals[min(i, len(registerIntervals)-1)]
		if !entered {
			pause = min(pause, time.Second)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (n *Node) enterRegister(ctx context.Context) error {
	value, err := json.Marshal(registered{Address: n.settings.PeerListen, Zone: n.settings.Zone, Region: n.settings.Region})
	if err != nil {
		return err
	}
	key := registerPrefix + n.settings.Name
	_, err = n.platform.Records.Put(ctx, key, value, 0)
	if !errors.Is(err, objstore.ErrConflict) && !errors.Is(err, objstore.ErrUnknownResult) {
		return err
	}
	old, err := n.platform.Records.Get(ctx, key)
	if err != nil || string(old.Value) == string(value) {
		return err
	}
	_, err = n.platform.Records.Put(ctx, key, value, old.Version)
	return err
}

func (n *Node) readRegister(ctx context.Context) error {
	records, err := n.platform.Records.List(ctx, registerPrefix)
	if err != nil {
		return err
	}
	var list []peer.Member
	for _, r := range records {
		var e registered
		if err := json.Unmarshal(r.Value, &e); err != nil {
			n.log.WithError(err).WithField("object", r.Key).Warn("entry of the register skipped")
			continue
		}
		list = append(list, peer.Member{ID: strings.TrimPrefix(r.Key, registerPrefix), Address: e.Address, FailureDomain: e.Zone, Region: e.Region})
	}
	n.members.setListed(len(list))
	n.mesh.UpdateMembers(list)
	return nil
}

func (n *Node) peerMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, n.mesh.Handler())
	mux.Handle("GET /metrics", n.metrics.handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

func seedFor(name string) uint64 { return xxhash.Sum64String(name) }
