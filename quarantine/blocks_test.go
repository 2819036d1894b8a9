package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/quarantine"
)

type fingerprints = []quarantine.Fingerprint

var start = time.Unix(1000, 0)

// after returns a time in seconds after start.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// refuses reports whether requests with the given blocks are refused.
func refuses(b *quarantine.Blocks, seconds float64, blocks ...quarantine.Fingerprint) bool {
	i, _ := b.Refused(blocks, after(seconds))
	return i >= 0
}

// crash records crashes of new endpoints at the given times, with the given blocks on each.
func crash(b *quarantine.Blocks, blocks fingerprints, seconds ...float64) {
	for _, s := range seconds {
		b.Crashed("s", fmt.Sprint("e", s), blocks, after(s), after(s))
	}
}

// Guards against refusing too late, too much, or not at all after an outage that no block has caused.
func TestBlocks_Refusal(t *testing.T) {
	const shared, bad, sound, other = 1, 2, 3, 4
	for name, c := range map[string]struct {
		run     func(b *quarantine.Blocks)
		refused []fingerprints
		served  []fingerprints
	}{
		"two crashes": {
			run:    func(b *quarantine.Blocks) { crash(b, fingerprints{bad}, 0, 1) },
			served: []fingerprints{{bad}},
		},
		"three crashes with other blocks beside": {
			run: func(b *quarantine.Blocks) {
				crash(b, fingerprints{shared, bad, sound}, 0)
				b.Begun("s", fingerprints{shared, sound}, after(0.1))
				crash(b, fingerprints{shared, bad, other}, 1, 2)
				b.Begun("s", fingerprints{shared}, after(2.1))
			},
			refused: []fingerprints{{shared, bad}, {shared, bad, other}},
			served:  []fingerprints{{shared, sound}, {shared}},
		},
		"a beginning between the crashes": {
			run: func(b *quarantine.Blocks) {
				crash(b, fingerprints{sound}, 0, 1)
				b.Begun("s", fingerprints{sound}, after(1.5))
				crash(b, fingerprints{sound}, 2, 3)
			},
			served: []fingerprints{{sound}},
		},
		"endpoints lost together": {
			run: func(b *quarantine.Blocks) {
				crash(b, fingerprints{sound}, 0, 0.1, 0.2, 5, 5.01, 5.02, 5.03)
			},
			served: []fingerprints{{sound}},
		},
		"nothing begins": {
			run: func(b *quarantine.Blocks) {
				b.Begun("s", fingerprints{other}, after(-1))
				crash(b, fingerprints{shared, sound}, 0, 1, 2, 3, 4)
			},
			served: []fingerprints{{shared}, {shared, sound}},
		},
		"blocks that always come together": {
			run:     func(b *quarantine.Blocks) { crash(b, fingerprints{bad, sound}, 0, 1, 2) },
			refused: []fingerprints{{bad, sound}},
			served:  []fingerprints{{sound}, {bad}},
		},
		"blocks that came together at first": {
			run: func(b *quarantine.Blocks) {
				crash(b, fingerprints{bad, sound}, 0, 1, 2)
				crash(b, fingerprints{bad}, 3)
			},
			refused: []fingerprints{{bad, sound}, {bad}},
			served:  []fingerprints{{sound}},
		},
		"two faulty blocks": {
			run: func(b *quarantine.Blocks) {
				crash(b, fingerprints{shared, bad}, 0, 1, 2)
				crash(b, fingerprints{shared, other}, 3, 4, 5)
			},
			refused: []fingerprints{{shared, bad}, {shared, other}},
			served:  []fingerprints{{shared}, {shared, sound}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := quarantine.NewBlocks()
			c.run(b)
			if name != "nothing begins" {
				b.Begun("s", fingerprints{99}, after(6))
			}
			for _, blocks := range c.refused {
				must.True(t, refuses(b, 7, blocks...), must.Sprint(blocks))
			}
			for _, blocks := range c.served {
				must.False(t, refuses(b, 7, blocks...), must.Sprint(blocks))
			}
		})
	}
}

// Guards against a block that is forgotten on the same day, or costs more than one endpoint on the next.
func TestBlocks_Readmission(t *testing.T) {
	const day = 24 * 3600
	b := quarantine.NewBlocks()
	crash(b, fingerprints{1}, 0, 1, 2)
	b.Begun("s", fingerprints{9}, after(3))
	must.True(t, refuses(b, day, 1))
	must.False(t, refuses(b, day+2, 1))
	crash(b, fingerprints{1}, day+3)
	must.True(t, refuses(b, day+4, 1))
}

// Guards against memory that grows with the crashes of endpoints, against crashes of other requests that push out the
// evidence against a faulty block, and against facts that are too long to be published.
func TestBlocks_Bounds(t *testing.T) {
	b := quarantine.NewBlocks()
	crash(b, fingerprints{1}, 0, 1, 2)
	b.Begun("s", fingerprints{9}, after(3))
	_, facts := b.Refused(fingerprints{1}, after(3))
	must.Len(t, 3, facts)
	many := make(fingerprints, 2000)
	for i := range 2000 {
		crash(b, fingerprints{quarantine.Fingerprint(100 + i)}, 4+float64(i))
		many[i] = quarantine.Fingerprint(rand.Uint64())
	}
	must.True(t, refuses(b, 3000, 1))
	must.False(t, refuses(b, 3000, 100))
	f, ok := b.Crashed("service", "endpoint", many, after(3000), after(3000))
	must.True(t, ok)
	text, err := cbor.Marshal([]quarantine.BlockFact{f})
	must.NoError(t, err)
	must.LessEq(t, 8<<10, len(text))
}

// blockFleet simulates instances whose requests run on endpoints that a faulty block crashes. Facts reach the peers late,
// in any order and more than once.
type blockFleet struct {
	random    *rand.Rand
	instances []*quarantine.Blocks
	running   []simRequest
	facts     []lateFact
	endpoints []simEndpoint
	crashes   int
	fifth     time.Duration // time of the fifth crash
	late      int           // requests with the faulty block that were sent 3 s after it
	refused   map[bool]int  // requests, by whether they have the faulty block
}

type simRequest struct {
	instance, endpoint int
	blocks             fingerprints
	begins             time.Duration
}

type simEndpoint struct {
	life int
	back time.Duration
}

type lateFact struct {
	to   int
	due  time.Duration
	fact quarantine.BlockFact
}

const faultyBlock = 1_000_000

func newBlockFleet(seed uint64, instances, endpoints int) *blockFleet {
	f := &blockFleet{random: rand.New(rand.NewPCG(seed, 1)), endpoints: make([]simEndpoint, endpoints), refused: map[bool]int{}}
	for range instances {
		f.instances = append(f.instances, quarantine.NewBlocks())
	}
	return f
}

// step advances by one tick in which requests arrive.
func (f *blockFleet) step(now time.Duration, requests, faultyShare float64) {
	f.deliver(now)
	for range int(requests) + f.chance(requests-float64(int(requests))) {
		f.arrive(now, f.random.Float64() < faultyShare)
	}
	slices.SortFunc(f.running, func(a, b simRequest) int { return int(a.begins - b.begins) })
	for len(f.running) > 0 && f.running[0].begins <= now {
		r := f.running[0]
		f.running = f.running[1:]
		if slices.Contains(r.blocks, faultyBlock) {
			f.crash(r, now)
			continue
		}
		facts, _ := f.instances[r.instance].Begun("s", r.blocks, start.Add(now))
		for _, fact := range facts {
			f.publish(r.instance, fact, now)
		}
	}
}

func (f *blockFleet) chance(p float64) int {
	if f.random.Float64() < p {
		return 1
	}
	return 0
}

// arrive sends a request: a block of all, one of 20 callers, and one of 400 documents or the faulty block.
func (f *blockFleet) arrive(now time.Duration, faulty bool) {
	document := quarantine.Fingerprint(1000 + f.random.IntN(400))
	if faulty {
		document = faultyBlock
	}
	r := simRequest{
		instance: f.random.IntN(len(f.instances)), endpoint: f.random.IntN(len(f.endpoints)),
		blocks: fingerprints{1, quarantine.Fingerprint(100 + f.random.IntN(20)), document},
		begins: now + 100*time.Millisecond + time.Duration(f.random.IntN(900))*time.Millisecond,
	}
	if i, _ := f.instances[r.instance].Refused(r.blocks, start.Add(now)); i >= 0 {
		f.refused[faulty]++
	} else if f.endpoints[r.endpoint].back <= now {
		f.running = append(f.running, r)
		if faulty && f.crashes >= 5 && now >= f.fifth+3*time.Second {
			f.late++
		}
	}
}

func (f *blockFleet) crash(cause simRequest, now time.Duration) {
	if f.crashes++; f.crashes == 5 {
		f.fifth = now
	}
	lost := map[int]fingerprints{cause.instance: cause.blocks}
	f.running = slices.DeleteFunc(f.running, func(r simRequest) bool {
		if r.endpoint != cause.endpoint {
			return false
		}
		lost[r.instance] = append(slices.Clone(lost[r.instance]), r.blocks...)
		return true
	})
	e := &f.endpoints[cause.endpoint]
	for instance := range f.instances {
		blocks := lost[instance]
		if fact, ok := f.instances[instance].Crashed("s", fmt.Sprint(cause.endpoint, ".", e.life/2), blocks, start.Add(now), start.Add(now)); ok {
			f.publish(instance, fact, now)
		}
	}
	e.life++ // every second life has the ID of the one before
	e.back = now + 3*time.Second
}

func (f *blockFleet) publish(from int, fact quarantine.BlockFact, now time.Duration) {
	for to := range f.instances {
		for range 1 + f.random.IntN(2) {
			if to != from {
				f.facts = append(f.facts, lateFact{to, now + time.Duration(f.random.IntN(600))*time.Millisecond, fact})
			}
		}
	}
}

func (f *blockFleet) deliver(now time.Duration) {
	f.random.Shuffle(len(f.facts), func(i, j int) { f.facts[i], f.facts[j] = f.facts[j], f.facts[i] })
	f.facts = slices.DeleteFunc(f.facts, func(l lateFact) bool {
		if l.due <= now {
			f.instances[l.to].Merge(l.fact, start.Add(now))
		}
		return l.due <= now
	})
}

// Guards against a faulty block that goes on crashing endpoints because no instance sees all its crashes, and against
// refusing requests whose blocks were on crashed endpoints by chance. While crashes follow each other faster than the
// facts about them arrive, a few such requests may be refused.
func TestBlocks_RandomOrders(t *testing.T) {
	const tick, length, faultyFrom, maxRefused = 20 * time.Millisecond, 40 * time.Second, 2 * time.Second, 2
	for _, instances := range []int{2, 8, 195} {
		for seed := range uint64(max(1, 20/instances)) {
			for _, share := range []float64{0.01, 0.05, 0.3} {
				f := newBlockFleet(seed, instances, 24)
				for now := time.Duration(0); now < length; now += tick {
					faultyShare := share
					if now < faultyFrom {
						faultyShare = 0
					}
					f.step(now, 80*tick.Seconds(), faultyShare)
				}
				text := fmt.Sprintf("%d instances, seed %d, share %v: %d crashes, refused %v", instances, seed, share, f.crashes, f.refused)
				t.Log(text)
				label := must.Sprint(text)
				must.Eq(t, 0, f.late, label)
				must.LessEq(t, maxRefused, f.refused[false], label)
				must.Positive(t, f.refused[true], label)
				for _, b := range f.instances {
					must.True(t, refuses(b, 41, 1, faultyBlock), label)
				}
			}
		}
	}
}

// BenchmarkBlocks_Refused measures the check of a request while some other block is refused.
func BenchmarkBlocks_Refused(b *testing.B) {
	blocks := quarantine.NewBlocks()
	crash(blocks, fingerprints{1, 2}, 0, 1, 2)
	for i := range 500 {
		crash(blocks, fingerprints{quarantine.Fingerprint(100 + i)}, float64(3+i))
	}
	now := after(600)
	blocks.Begun("s", fingerprints{9}, now)
	for b.Loop() {
		if blocks.Any() {
			shared := fingerprints{quarantine.BlockFingerprint("s", "one"), quarantine.BlockFingerprint("s", "two"), quarantine.BlockFingerprint("s", "three")}
			blocks.Refused(shared, now)
		}
	}
	b.ReportAllocs()
}

// Guards against a sound block that was on killed endpoints by chance and is refused for a day, and against a deadly one
// that is tried again and again.
func TestBlocks_Probe(t *testing.T) {
	b := quarantine.NewBlocks()
	for i, endpoint := range []string{"e1", "e2", "e3"} {
		at := after(float64(i))
		b.Crashed("s", endpoint, fingerprints{1}, at, at)
	}
	must.False(t, b.BeginProbe(1, after(60)))
	must.False(t, b.BeginProbe(2, after(63))) // not refused
	must.True(t, b.IsProbeDue(1, after(63)))
	must.True(t, b.BeginProbe(1, after(63)))
	must.False(t, b.BeginProbe(1, after(63)))
	b.Crashed("s", "e4", fingerprints{1}, after(64), after(64)) // it still crashes endpoints
	must.False(t, b.BeginProbe(1, after(300)))
	must.True(t, b.BeginProbe(1, after(305)))
	b.Begun("s", fingerprints{1}, after(306))
	must.False(t, b.IsProbeDue(1, after(1e6)))
}
