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
	// DefaultTTL bounds how long a crash counts. A request that still crashes endpoints then costs two more.
	DefaultTTL = 30 * time.Minute
	// DefaultSettle must exceed the time a fact takes to reach all instances. A refusal before that would send the
	// caller to instances that do not yet know of the crashes.
	DefaultSettle = 2 * time.Second
	// DefaultMaxCrashes bounds memory: 4096 crashes with 20 requests each take about 1 MB.
	DefaultMaxCrashes = 4096
	// maxRunning bounds the fingerprints of a crash; it is far above the concurrency of an endpoint.
	maxRunning = 1024
)

// Options of a Table. Zero values take the defaults.
type Options struct {
	TTL        time.Duration
	Settle     time.Duration
	MaxCrashes int
}

// CrashID names a crash of an endpoint. Crashes of an endpoint are numbered from 1 by the instances that see them.
type CrashID struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Number   uint64
}

// Fact is what an instance tells the others. Merging facts in any order, also repeatedly, gives the same state.
type Fact struct {
	Crash   CrashID       `cbor:"1,keyasint"`
	Running []Fingerprint `cbor:"2,keyasint"` // ran on the endpoint when it crashed, as far as the origin knows
	Cleared []Fingerprint `cbor:"3,keyasint"` // of Running: completed on another endpoint since
}

// Running is an attempt that was on an endpoint when it crashed.
type Running struct {
	Fingerprint Fingerprint
	Started     time.Time
}

// Action tells how a request may run.
type Action int

// Actions, in rising order of severity.
const (
	Run     Action = iota // without restriction
	Isolate               // on an endpoint that runs nothing else meanwhile
	Hold                  // not before Decision.Until; ask again then
	Refuse                // it is quarantined
)

// Decision is an action for a fingerprint.
type Decision struct {
	Action Action
	Until  time.Time // set for Hold
	// Crashes is the number of crashes that the request may have caused.
	Crashes int
}

// crash is what is known of one crash of an endpoint.
type crash struct {
	learned time.Time
	running map[Fingerprint]bool // value: cleared
}

// Table holds the crashes of endpoints and the requests that ran on them. It is safe for concurrent use.
//
// A crash is attributed to a request that ran alone on the endpoint, or that is the only one of those running which
// has not completed elsewhere since. A request is refused when it took part in two crashes and at least one is
// attributed to it. Only crashes of the endpoint's process belong here, not reclaims or the loss of a failure domain,
// which would be attributed to whatever ran alone on each lost endpoint.
//
// Bound: a request costs at most two endpoints when its runs do not overlap, and a caller is answered no sooner than
// Settle after a crash. Runs on c endpoints at once, before any instance knows, cost up to c endpoints, plus one when
// no crash of the c could be attributed. Prefix affinity sends equal requests to the same endpoint, which keeps c near
// 1. That holds when isolated requests run only at the instance that Home names, one at a time as Begin ensures, and
// travel there with Facts. While a partition gives a fingerprint several homes, each may lose one endpoint more.
type Table struct {
	opts Options

	mu      sync.Mutex
	crashes map[CrashID]*crash
	byPrint map[Fingerprint][]CrashID
	numbers map[string]numbered         // by endpoint
	order   []CrashID                   // by time learned
	active  map[Fingerprint]reservation // isolated runs of this instance
	swept   time.Time                   // when numbers was last swept
}

type reservation struct {
	endpoint string
	until    time.Time
}

type numbered struct {
	number  uint64
	learned time.Time
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
		opts: opts, crashes: map[CrashID]*crash{}, byPrint: map[Fingerprint][]CrashID{},
		numbers: map[string]numbered{}, active: map[Fingerprint]reservation{},
	}
}

// IsQuarantined reports whether requests with the fingerprint are refused.
func (t *Table) IsQuarantined(fp Fingerprint, now time.Time) bool {
	return t.Decide(fp, now).Action == Refuse
}

// MustIsolate reports whether a request may run only where nothing else runs meanwhile.
func (t *Table) MustIsolate(fp Fingerprint, now time.Time) bool {
	return t.Decide(fp, now).Action == Isolate
}

// Decide returns how a request with the fingerprint may run.
func (t *Table) Decide(fp Fingerprint, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	total, attributed, unsettled := 0, 0, time.Time{}
	for _, id := range t.byPrint[fp] {
		c := t.crashes[id]
		mine, alone := c.attribution(fp)
		if !mine {
			continue
		}
		total++
		if alone {
			attributed++
		}
		if end := c.learned.Add(t.opts.Settle); end.After(now) && end.After(unsettled) {
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
		return Decision{Action: Refuse, Crashes: total}
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
// instance already has one under way; Crashed and Completed for the same endpoint end it.
func (t *Table) Begin(fp Fingerprint, endpoint string, limit time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active[fp].until.After(now) {
		return false
	}
	t.active[fp] = reservation{endpoint, now.Add(limit)}
	return true
}

// release ends the reservation of an isolated run; other runs of the fingerprint, which began before it became a
// suspect, leave it alone.
func (t *Table) release(fp Fingerprint, endpoint string) {
	if t.active[fp].endpoint == endpoint {
		delete(t.active, fp)
	}
}

// Crashed records that this instance saw an endpoint crash with the given attempts of its own on it. It returns the
// fact to publish, and false when none was running.
//
// When the attempts began before a crash of the endpoint was learned from a peer, this is the same crash.
func (t *Table) Crashed(endpoint string, running []Running, now time.Time) (Fact, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(running) == 0 {
		return Fact{}, false
	}
	last := t.numbers[endpoint]
	id := CrashID{Endpoint: endpoint, Number: last.number}
	if last.number == 0 || !slices.ContainsFunc(running, func(r Running) bool { return r.Started.Before(last.learned) }) {
		id.Number++
	}
	f := Fact{Crash: id}
	for _, r := range running {
		t.release(r.Fingerprint, endpoint)
		if !slices.Contains(f.Running, r.Fingerprint) {
			f.Running = append(f.Running, r.Fingerprint)
		}
	}
	t.merge(f, now)
	return f, true
}

// Completed records that a request completed on an endpoint. It returns the facts to publish that clear it as a suspect. A request
// that crashed an endpoint while alone on it stays marked until that crash expires.
func (t *Table) Completed(fp Fingerprint, endpoint string, now time.Time) []Fact {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release(fp, endpoint)
	var facts []Fact
	for _, id := range t.byPrint[fp] {
		if c := t.crashes[id]; len(c.running) > 1 && !c.running[fp] {
			facts = append(facts, Fact{Crash: id, Running: []Fingerprint{fp}, Cleared: []Fingerprint{fp}})
		}
	}
	for _, f := range facts {
		t.merge(f, now)
	}
	return facts
}

// Home returns the member that runs the isolated requests with a fingerprint, and "" without members.
func Home(fp Fingerprint, members []string) string {
	return rendezvous.First("quarantine/"+strconv.FormatUint(uint64(fp), 16), members)
}

// Facts returns what is known of the crashes of a fingerprint, for the instance that runs it next.
func (t *Table) Facts(fp Fingerprint) []Fact {
	t.mu.Lock()
	defer t.mu.Unlock()
	var facts []Fact
	for _, id := range t.byPrint[fp] {
		f := Fact{Crash: id}
		for running, cleared := range t.crashes[id].running {
			f.Running = append(f.Running, running)
			if cleared {
				f.Cleared = append(f.Cleared, running)
			}
		}
		facts = append(facts, f)
	}
	return facts
}

// Merge takes in a fact of another instance.
func (t *Table) Merge(f Fact, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.merge(f, now)
}

func (t *Table) merge(f Fact, now time.Time) {
	c, known := t.crashes[f.Crash]
	if !known {
		c = &crash{learned: now, running: map[Fingerprint]bool{}}
		t.crashes[f.Crash] = c
		t.order = append(t.order, f.Crash)
		t.renumber(f.Crash, now)
	}
	for _, fp := range f.Running {
		if _, ok := c.running[fp]; !ok && len(c.running) < maxRunning {
			c.running[fp] = false
			t.byPrint[fp] = append(t.byPrint[fp], f.Crash)
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

func (t *Table) renumber(id CrashID, now time.Time) {
	if id.Number > t.numbers[id.Endpoint].number {
		t.numbers[id.Endpoint] = numbered{id.Number, now}
	}
}

func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.crashes[t.order[0]].learned) >= t.opts.TTL {
		t.removeOldest()
	}
	maps.DeleteFunc(t.active, func(_ Fingerprint, r reservation) bool { return !r.until.After(now) })
	if now.Sub(t.swept) < t.opts.TTL {
		return
	}
	t.swept = now
	// A number is kept longer than its crash, so that no instance gives it to another crash while some still hold it.
	maps.DeleteFunc(t.numbers, func(_ string, n numbered) bool { return now.Sub(n.learned) >= 2*t.opts.TTL })
}

func (t *Table) removeOldest() {
	id := t.order[0]
	t.order = t.order[1:]
	for fp := range t.crashes[id].running {
		ids := slices.DeleteFunc(t.byPrint[fp], func(other CrashID) bool { return other == id })
		t.byPrint[fp] = ids
		if len(ids) == 0 {
			delete(t.byPrint, fp)
		}
	}
	delete(t.crashes, id)
}
