package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/rendezvous"
)

// Defaults of Options.
const (
	// DefaultTTL is how long a crash counts. A request that still crashes endpoints after that time costs two more
	// endpoints.
	DefaultTTL = 30 * time.Minute
	// DefaultSettle must exceed the time that a fact takes to reach all instances. A caller refused before that could
	// repeat the request at an instance that has not received the crashes yet.
	DefaultSettle = 2 * time.Second
	// DefaultMaxCrashes bounds memory: 4096 crashes with 20 requests each take about 1 MB.
	DefaultMaxCrashes = 4096
	// maxRunning bounds the fingerprints recorded for a crash. It is far above the concurrency of an endpoint.
	maxRunning = 1024
)

// Options configures a Table. Zero values mean the defaults.
type Options struct {
	TTL        time.Duration // how long a crash counts
	Settle     time.Duration // from a recorded crash until a refusal may be based on it
	MaxCrashes int           // crashes kept; the oldest are dropped first
}

// CurrentScheme is the Fact.Scheme of Content.Identity.
const CurrentScheme = 1

// CrashID identifies a crash of an endpoint. The instances that detect the crashes of an endpoint number them from 1.
type CrashID struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Number   uint64
}

// Fact is what an instance publishes about a crash. Merging facts in any order and repeatedly gives the same state.
type Fact struct {
	Crash   CrashID       `cbor:"1,keyasint"`
	Running []Fingerprint `cbor:"2,keyasint"` // on the endpoint when it crashed, as recorded by the origin
	Cleared []Fingerprint `cbor:"3,keyasint"` // those of Running that have completed on another endpoint since
	// Scheme says how the fingerprints were computed; 0: by a build whose fingerprints leave out some fields of a body, the
	// headers and the workspace. Those match no request here.
	Scheme uint8 `cbor:"4,keyasint,omitempty"`
}

// RunningAttempt is an attempt that was on an endpoint when it crashed.
type RunningAttempt struct {
	Fingerprint Fingerprint
	Started     time.Time
}

// Action is the way in which a request may run.
type Action int

// Actions, in rising order of severity.
const (
	Run     Action = iota // without restriction
	Isolate               // on an endpoint that runs nothing else meanwhile
	Hold                  // not yet; call Decide again at Decision.Until
	Refuse                // not at all: the request is quarantined
)

// Decision is an action for a fingerprint.
type Decision struct {
	Action Action
	Until  time.Time // set for Hold, and for Refuse: the refusal ends then at the latest
	// Crashes is the number of crashes that the request may have caused.
	Crashes int
}

// crash is the merged record of one crash of an endpoint.
type crash struct {
	recordedAt time.Time
	running    map[Fingerprint]bool // true: cleared as a suspect
}

// Table holds the crashes of endpoints and the requests that ran on them. It is safe for concurrent use.
//
// A crash is attributed to a request that was the only one on the endpoint, or the only one there that has not
// completed elsewhere since. A request is refused when it is a suspect in two crashes and at least one of them is
// attributed to it. Only crashes of the endpoint's process may be recorded, not reclaims or the loss of a failure
// domain, which would be attributed to any request that was the only one on a lost endpoint.
//
// Bound: a request costs at most two endpoints when its runs do not overlap and a caller is answered no sooner than
// Settle after a crash. When a request runs on c endpoints before any instance has recorded a crash, it costs up to c
// endpoints, plus one if none of the c crashes could be attributed. Prefix affinity sends equal requests to the same
// endpoint, which keeps c near 1. The bound requires that isolated requests run only at their owner, the instance that
// Owner returns, one at a time as Begin ensures, and that the result of Facts is sent there with them. While a
// partition leaves a fingerprint with several owners, each may lose one more endpoint.
type Table struct {
	opts Options

	mu            sync.Mutex
	crashes       map[CrashID]*crash
	byFingerprint map[Fingerprint][]CrashID
	numbers       map[string]latestCrash      // the highest crash number of each endpoint
	order         []CrashID                   // by the time of recording
	active        map[Fingerprint]reservation // isolated runs of this instance
	swept         time.Time                   // when numbers was last swept
}

type reservation struct {
	endpoint string
	until    time.Time
}

type latestCrash struct {
	number     uint64
	recordedAt time.Time
}

// New returns an empty table.
func New(opts Options) *Table {
	if opts.TTL <= 0 {
		opts.TTL = DefaultTTL
	}
	if opts.Settle <= 0 {
		opts.Settle = DefaultSettle
	}
	if opts.MaxCrashes <= 0 {
		opts.MaxCrashes = DefaultMaxCrashes
	}
	return &Table{
		opts: opts, crashes: map[CrashID]*crash{}, byFingerprint: map[Fingerprint][]CrashID{},
		numbers: map[string]latestCrash{}, active: map[Fingerprint]reservation{},
	}
}

// IsQuarantined reports whether requests with the fingerprint are refused.
func (t *Table) IsQuarantined(fp Fingerprint, now time.Time) bool {
	return t.Decide(fp, now).Action == Refuse
}

// MustIsolate reports whether requests with the fingerprint may run only on an endpoint that runs nothing else.
func (t *Table) MustIsolate(fp Fingerprint, now time.Time) bool {
	return t.Decide(fp, now).Action == Isolate
}

// Decide returns how a request with the fingerprint may run.
func (t *Table) Decide(fp Fingerprint, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	total, attributed, unsettled, latest := 0, 0, time.Time{}, time.Time{}
	for _, id := range t.byFingerprint[fp] {
		c := t.crashes[id]
		possible, only := c.attribution(fp)
		if !possible {
			continue
		}
		total++
		latest = later(latest, c.recordedAt)
		if only {
			attributed++
		}
		if end := c.recordedAt.Add(t.opts.Settle); end.After(now) && end.After(unsettled) {
			unsettled = end
		}
	}
	switch {
	case total == 0:
		return Decision{Action: Run}
	case total == 1 || attributed == 0:
		return Decision{Action: Isolate, Crashes: total}
	case !unsettled.IsZero():
		return Decision{Action: Hold, Until: unsettled, Crashes: total}
	default:
		return Decision{Action: Refuse, Until: latest.Add(t.opts.TTL), Crashes: total}
	}
}

// attribution reports whether fp is a possible cause of the crash, and whether it is the only one.
func (c *crash) attribution(fp Fingerprint) (possible, only bool) {
	if len(c.running) == 1 {
		return true, true
	}
	if c.running[fp] {
		return false, false
	}
	suspects := 0
	for _, cleared := range c.running {
		if !cleared {
			suspects++
		}
	}
	return true, suspects == 1
}

// Begin reserves the isolated run of a fingerprint on an endpoint for at most limit. It returns false while this
// instance has such a run in progress. Crashed and Completed for the same endpoint end the reservation.
func (t *Table) Begin(fp Fingerprint, endpoint string, limit time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active[fp].until.After(now) {
		return false
	}
	t.active[fp] = reservation{endpoint, now.Add(limit)}
	return true
}

// release ends the reservation of an isolated run. It ignores runs of the fingerprint on other endpoints, which began
// before it became a suspect.
func (t *Table) release(fp Fingerprint, endpoint string) {
	if t.active[fp].endpoint == endpoint {
		delete(t.active, fp)
	}
}

// Crashed records that an endpoint crashed while it ran the given attempts of this instance. It returns the fact to
// publish, and false when there were no such attempts.
//
// If one of the attempts began before the last crash of the endpoint was recorded, for example from a peer's fact, it
// is the same crash.
func (t *Table) Crashed(endpoint string, running []RunningAttempt, now time.Time) (Fact, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(running) == 0 {
		return Fact{}, false
	}
	last := t.numbers[endpoint]
	id := CrashID{Endpoint: endpoint, Number: last.number}
	if last.number == 0 ||
		!slices.ContainsFunc(running, func(r RunningAttempt) bool { return r.Started.Before(last.recordedAt) }) {
		id.Number++
	}
	f := Fact{Crash: id, Scheme: CurrentScheme}
	for _, r := range running {
		t.release(r.Fingerprint, endpoint)
		if !slices.Contains(f.Running, r.Fingerprint) {
			f.Running = append(f.Running, r.Fingerprint)
		}
	}
	t.merge(f, now)
	return f, true
}

// Completed records that a request completed on an endpoint. It returns the facts to publish that clear it as a
// suspect. A request that was the only one on a crashed endpoint stays a suspect until that crash expires.
//
// The facts hold all that is known of their crashes, since they replace the earlier ones: to an instance that starts later, a
// request that is named alone would be the only possible cause.
func (t *Table) Completed(fp Fingerprint, endpoint string, now time.Time) []Fact {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release(fp, endpoint)
	var facts []Fact
	for _, id := range t.byFingerprint[fp] {
		if c := t.crashes[id]; len(c.running) > 1 && !c.running[fp] {
			c.running[fp] = true
			facts = append(facts, t.fact(id))
		}
	}
	return facts
}

// fact returns all that is known of a crash. The caller must hold t.mu.
func (t *Table) fact(id CrashID) Fact {
	f := Fact{Crash: id, Scheme: CurrentScheme}
	for running, cleared := range t.crashes[id].running {
		f.Running = append(f.Running, running)
		if cleared {
			f.Cleared = append(f.Cleared, running)
		}
	}
	return f
}

// Owner returns the owner of a fingerprint: the member that runs its isolated requests, or "" without members.
func Owner(fp Fingerprint, members []string) string {
	return rendezvous.First("quarantine/"+strconv.FormatUint(uint64(fp), 16), members)
}

// Facts returns the recorded crashes of a fingerprint as facts, for the instance that runs it next.
func (t *Table) Facts(fp Fingerprint) []Fact {
	t.mu.Lock()
	defer t.mu.Unlock()
	var facts []Fact
	for _, id := range t.byFingerprint[fp] {
		facts = append(facts, t.fact(id))
	}
	return facts
}

// Merge merges a fact of another instance into the table.
func (t *Table) Merge(f Fact, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.merge(f, now)
}

func (t *Table) merge(f Fact, now time.Time) {
	c, found := t.crashes[f.Crash]
	if !found {
		c = &crash{recordedAt: now, running: map[Fingerprint]bool{}}
		t.crashes[f.Crash] = c
		t.order = append(t.order, f.Crash)
		t.updateNumber(f.Crash, now)
	}
	for _, fp := range f.Running {
		if _, ok := c.running[fp]; !ok && len(c.running) < maxRunning {
			c.running[fp] = false
			t.byFingerprint[fp] = append(t.byFingerprint[fp], f.Crash)
		}
	}
	for _, fp := range f.Cleared {
		if _, ok := c.running[fp]; ok {
			c.running[fp] = true
		}
	}
	for len(t.order) > t.opts.MaxCrashes {
		t.removeOldest()
	}
}

func (t *Table) updateNumber(id CrashID, now time.Time) {
	if id.Number > t.numbers[id.Endpoint].number {
		t.numbers[id.Endpoint] = latestCrash{id.Number, now}
	}
}

func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.crashes[t.order[0]].recordedAt) >= t.opts.TTL {
		t.removeOldest()
	}
	maps.DeleteFunc(t.active, func(_ Fingerprint, r reservation) bool { return !r.until.After(now) })
	if now.Sub(t.swept) < t.opts.TTL {
		return
	}
	t.swept = now
	// A number is kept longer than its crash, so that no instance reuses it while another still has that crash.
	maps.DeleteFunc(t.numbers, func(_ string, n latestCrash) bool { return now.Sub(n.recordedAt) >= 2*t.opts.TTL })
}

func (t *Table) removeOldest() {
	id := t.order[0]
	t.order = t.order[1:]
	for fp := range t.crashes[id].running {
		ids := slices.DeleteFunc(t.byFingerprint[fp], func(other CrashID) bool { return other == id })
		t.byFingerprint[fp] = ids
		if len(ids) == 0 {
			delete(t.byFingerprint, fp)
		}
	}
	delete(t.crashes, id)
}
