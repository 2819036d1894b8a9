package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxBlockCrashes is the number of crashes after which requests with a block are refused. The requirement bounds what
	// is sent after five; requests that are on their way at the third crash may cause the others.
	maxBlockCrashes = 3
	// lossSpacing is the time between crashes that count one by one. Endpoints that are lost together are lost within it.
	lossSpacing = 250 * time.Millisecond
	// restartTime is less than the time that an endpoint takes to restart: reports of its loss within it are about the
	// same crash.
	restartTime = time.Second
	// firstProbeDelay is the time after the latest crash after which one request with a refused block may be let through:
	// the block may have been on crashed endpoints only by chance. Each further crash makes the time probeBackoff times
	// as long, up to blockRefusalTTL.
	firstProbeDelay = time.Minute
	probeBackoff    = 4
	// blockRefusalTTL is how long a block is refused after its latest crash. Its crashes are kept twice as long, so that
	// a block that still crashes endpoints costs one a day.
	blockRefusalTTL = 24 * time.Hour
	blockCrashTTL   = 2 * blockRefusalTTL
	// maxBlockRecords bounds the recorded crashes and maxCrashBlocks the blocks of each, and so the memory, about 100
	// bytes for each block.
	maxBlockRecords = 512
	maxCrashBlocks  = 1024
	// maxFactBlocks bounds the blocks in a fact: 9 bytes each, of 8 KiB.
	maxFactBlocks = 400
)

// BlockFact is what an instance publishes about a crash of an endpoint. Merging facts in any order and repeatedly gives
// the same state.
type BlockFact struct {
	Crash   CrashID       `cbor:"1,keyasint"`
	Service string        `cbor:"2,keyasint"`
	At      int64         `cbor:"3,keyasint"` // Unix milliseconds
	Blocks  []Fingerprint `cbor:"4,keyasint,omitempty"`
	Cleared []Fingerprint `cbor:"5,keyasint,omitempty"` // blocks of requests that have begun since
	// Refused states that the origin refuses requests because of the first of Blocks. The others may explain the crash
	// to requests without it.
	Refused bool `cbor:"6,keyasint,omitempty"`
}

// Blocks finds prompt blocks that crash each endpoint that begins to answer a request with them, when no two requests
// with such a block are alike. A crash accuses the shared blocks of the requests on the endpoint that had not begun. A
// request that begins, anywhere, clears its blocks, since a block that crashes endpoints never begins.
//
// Requests with a block are refused after maxBlockCrashes crashes without a beginning, if requests of the same service
// without the block have begun meanwhile, so that a service that fails as a whole refuses nothing. Crashes that another
// such block explains, one that the request does not have, don't count: a block that is always sent together with a
// faulty one is refused only with it.
//
// It is safe for concurrent use.
type Blocks struct {
	mu      sync.Mutex
	crashes map[CrashID]*blockCrash
	order   []CrashID                 // by the time of recording
	latest  map[string]CrashID        // by endpoint
	accused map[Fingerprint][]CrashID // crashes that no beginning has cleared the block of
	faulty  map[Fingerprint]bool      // blocks with maxBlockCrashes crashes; true: the refusal was reported
	probed  map[Fingerprint]time.Time // by faulty block: when a request with it was last let through
	begun   map[string]time.Time      // by service: when a request last began
}

type blockCrash struct {
	service    string
	at         time.Time            // as reported by an instance; clocks of instances may differ
	recordedAt time.Time            // by the clock of this instance
	blocks     map[Fingerprint]bool // true: cleared
}

// NewBlocks returns an empty record.
func NewBlocks() *Blocks {
	return &Blocks{
		crashes: map[CrashID]*blockCrash{}, latest: map[string]CrashID{}, accused: map[Fingerprint][]CrashID{},
		faulty: map[Fingerprint]bool{}, probed: map[Fingerprint]time.Time{}, begun: map[string]time.Time{},
	}
}

// BlockFingerprint returns the fingerprint of a prompt block of a service.
func BlockFingerprint(service, id string) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{service, id} {
		// Digest writes never fail. The zero byte separates the parts.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return Fingerprint(d.Sum64())
}

// Any reports whether any block is accused. While none is, callers needn't compute fingerprints.
func (b *Blocks) Any() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.accused) > 0
}

// Crashed records that an endpoint crashed at the time at while requests with the given shared blocks were on it that had
// not begun. It returns the fact to publish, and false if there were no such blocks.
func (b *Blocks) Crashed(service, endpoint string, blocks []Fingerprint, at, now time.Time) (BlockFact, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	blocks = slices.Compact(slices.Sorted(slices.Values(blocks)))
	if len(blocks) == 0 {
		return BlockFact{}, false
	}
	id, found := b.latest[endpoint]
	if !found || now.Sub(b.crashes[id].recordedAt) >= restartTime {
		id = CrashID{Endpoint: endpoint, Number: id.Number + 1}
	}
	f := BlockFact{Crash: id, Service: service, At: at.UnixMilli(), Blocks: blocks[:min(len(blocks), maxFactBlocks)]}
	b.merge(f, now)
	return f, true
}

// Begun records that a request with the given shared blocks has begun. It returns the facts to publish that clear the
// blocks, and those blocks whose refusal was reported.
func (b *Blocks) Begun(service string, blocks []Fingerprint, now time.Time) (facts []BlockFact, wereRefused []Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begun[service] = now
	for _, fp := range blocks {
		if b.faulty[fp] {
			wereRefused = append(wereRefused, fp)
		}
		for _, id := range b.accused[fp] {
			c := b.crashes[id]
			c.blocks[fp] = true
			facts = append(facts, BlockFact{Crash: id, Service: c.service, At: c.at.UnixMilli(), Cleared: []Fingerprint{fp}})
		}
		delete(b.accused, fp)
		delete(b.faulty, fp)
		delete(b.probed, fp)
	}
	return facts, wereRefused
}

// Merge merges a fact of another instance.
func (b *Blocks) Merge(f BlockFact, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.merge(f, now)
	if f.Refused || len(f.Cleared) > 0 {
		b.begun[f.Service] = now
	}
	if f.Refused && len(f.Blocks) > 0 {
		if _, faulty := b.faulty[f.Blocks[0]]; faulty {
			b.faulty[f.Blocks[0]] = true
		}
	}
}

func (b *Blocks) merge(f BlockFact, now time.Time) {
	for len(b.order) > 0 && now.Sub(b.crashes[b.order[0]].recordedAt) >= blockCrashTTL {
		b.remove(0)
	}
	at := time.UnixMilli(f.At)
	c, found := b.crashes[f.Crash]
	if !found {
		if len(b.order) >= maxBlockRecords {
			b.removeLeastUseful()
		}
		c = &blockCrash{service: f.Service, at: at, recordedAt: now, blocks: map[Fingerprint]bool{}}
		b.crashes[f.Crash] = c
		b.order = append(b.order, f.Crash)
		if f.Crash.Number > b.latest[f.Crash.Endpoint].Number {
			b.latest[f.Crash.Endpoint] = f.Crash
		}
	}
	if at.Before(c.at) {
		c.at = at
	}
	for _, fp := range f.Cleared {
		if cleared, known := c.blocks[fp]; !cleared && (known || len(c.blocks) < maxCrashBlocks) {
			c.blocks[fp] = true
			b.unaccuse(fp, f.Crash)
		}
	}
	for _, fp := range f.Blocks {
		if _, known := c.blocks[fp]; !known && len(c.blocks) < maxCrashBlocks {
			c.blocks[fp] = false
			b.accused[fp] = append(b.accused[fp], f.Crash)
		}
		b.judge(fp)
	}
}

func (b *Blocks) unaccuse(fp Fingerprint, id CrashID) {
	ids := slices.DeleteFunc(b.accused[fp], func(other CrashID) bool { return other == id })
	if b.accused[fp] = ids; len(ids) == 0 {
		delete(b.accused, fp)
	}
	b.judge(fp)
}

// judge updates whether a block is faulty.
func (b *Blocks) judge(fp Fingerprint) {
	if b.count(b.accused[fp]) < maxBlockCrashes {
		delete(b.faulty, fp)
		delete(b.probed, fp)
	} else if _, found := b.faulty[fp]; !found {
		b.faulty[fp] = false
	}
}

// count returns the number of crashes, counting those within lossSpacing once.
func (b *Blocks) count(ids []CrashID) int {
	if len(ids) < maxBlockCrashes {
		return len(ids)
	}
	times := make([]time.Time, len(ids))
	for i, id := range ids {
		times[i] = b.crashes[id].at
	}
	slices.SortFunc(times, time.Time.Compare)
	n, last := 0, time.Time{}
	for _, at := range times {
		if n == 0 || at.Sub(last) >= lossSpacing {
			n, last = n+1, at
		}
	}
	return n
}

// Refused returns the index of the block because of which a request with the given shared blocks is refused, the one
// with the most crashes, and -1 if it is not. It also returns the crashes of the block, as facts to publish, when no
// instance is known to have done so.
func (b *Blocks) Refused(blocks []Fingerprint, now time.Time) (int, []BlockFact) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.faulty) == 0 {
		return -1, nil
	}
	cause := -1
	for i, fp := range blocks {
		if _, faulty := b.faulty[fp]; !faulty || !b.isCause(fp, blocks, now) {
			continue
		}
		// Later blocks are shared by fewer requests.
		if cause < 0 || len(b.accused[fp]) >= len(b.accused[blocks[cause]]) {
			cause = i
		}
	}
	if cause < 0 || b.faulty[blocks[cause]] {
		return cause, nil
	}
	b.faulty[blocks[cause]] = true
	return cause, b.facts(blocks[cause])
}

// RefusedUntil returns when the refusal of a faulty block ends unless it crashes another endpoint.
func (b *Blocks) RefusedUntil(fp Fingerprint) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var latest time.Time
	for _, id := range b.accused[fp] {
		latest = later(latest, b.crashes[id].recordedAt)
	}
	return latest.Add(blockRefusalTTL)
}

// IsProbeDue reports whether a request with a refused block may be let through, as one that shows whether the block still
// crashes endpoints. Of all instances, one should do so.
func (b *Blocks) IsProbeDue(fp Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isProbeDue(fp, now)
}

// BeginProbe records that a request with a refused block is let through, and returns false if none is due.
func (b *Blocks) BeginProbe(fp Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isProbeDue(fp, now) {
		return false
	}
	b.probed[fp] = now
	return true
}

func (b *Blocks) isProbeDue(fp Fingerprint, now time.Time) bool {
	if _, faulty := b.faulty[fp]; !faulty {
		return false
	}
	delay, last := firstProbeDelay, b.probed[fp]
	for range b.count(b.accused[fp]) - maxBlockCrashes {
		delay = min(blockRefusalTTL, probeBackoff*delay)
	}
	for _, id := range b.accused[fp] {
		last = later(last, b.crashes[id].recordedAt)
	}
	return now.Sub(last) >= delay
}

// isCause reports whether a faulty block of a request with the given blocks has caused crashes that no other explains.
func (b *Blocks) isCause(fp Fingerprint, blocks []Fingerprint, now time.Time) bool {
	ids := b.accused[fp]
	byTime := func(x, y CrashID) int { return b.crashes[x].recordedAt.Compare(b.crashes[y].recordedAt) }
	first, latest := b.crashes[slices.MinFunc(ids, byTime)], b.crashes[slices.MaxFunc(ids, byTime)]
	if now.Sub(latest.recordedAt) >= blockRefusalTTL || b.begun[first.service].Before(first.recordedAt) {
		return false
	}
	return slices.ContainsFunc(ids, func(id CrashID) bool { return !b.isExplained(id, blocks) })
}

// isExplained reports whether a faulty block that is not among blocks may have caused a crash.
func (b *Blocks) isExplained(id CrashID, blocks []Fingerprint) bool {
	for other := range b.faulty {
		if !slices.Contains(blocks, other) && slices.Contains(b.accused[other], id) {
			return true
		}
	}
	return false
}

// facts returns the crashes that a block is refused for, with the other faulty blocks that may have caused them.
func (b *Blocks) facts(fp Fingerprint) []BlockFact {
	var facts []BlockFact
	for _, id := range b.accused[fp] {
		c := b.crashes[id]
		f := BlockFact{Crash: id, Service: c.service, At: c.at.UnixMilli(), Blocks: []Fingerprint{fp}, Refused: true}
		for other := range b.faulty {
			if cleared, found := c.blocks[other]; other != fp && found && !cleared {
				f.Blocks = append(f.Blocks, other)
			}
		}
		facts = append(facts, f)
	}
	return facts
}

// removeLeastUseful removes the oldest crash that no faulty block is accused of, or the oldest.
func (b *Blocks) removeLeastUseful() {
	i := slices.IndexFunc(b.order, func(id CrashID) bool {
		for fp, cleared := range b.crashes[id].blocks {
			if _, faulty := b.faulty[fp]; faulty && !cleared {
				return false
			}
		}
		return true
	})
	b.remove(max(i, 0))
}

// remove removes the crash at an index of order.
func (b *Blocks) remove(i int) {
	id := b.order[i]
	b.order = slices.Delete(b.order, i, i+1)
	for fp, cleared := range b.crashes[id].blocks {
		if !cleared {
			b.unaccuse(fp, id)
		}
	}
	delete(b.crashes, id)
	if b.latest[id.Endpoint] == id {
		delete(b.latest, id.Endpoint)
	}
}
