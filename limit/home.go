package limit

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/rendezvous"
)

// demandKind is the kind of the calls to a home.
const demandKind = "demand"

// demand is what a member tells the home of a workspace.
type demand struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	Workspace string
	Rate      float32 // requests a second wanted
	Held      float32 // rate of the grant in use; 0: none
	HeldFor   uint32  // its remaining life in milliseconds
	Short     float32 // requests that wait for tokens
	Seq       uint64  // rises with each message about this workspace
}

// grant is the answer to a demand, in the same order.
type grant struct {
	_      struct{} `cbor:",toarray"`
	Home   bool     // false: the asked member isn't the home
	Rate   float64
	Tokens float64 // may be used at once
}

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// holder is a member with a grant, as the home sees it.
type holder struct {
	demand float64
	rate   float64
	until  time.Time
	seq    uint64
}

// homeEntry is the home's state of one workspace.
type homeEntry struct {
	holders map[string]*holder
	// spare fills at the rate that nobody holds and gives new holders their first tokens, and
	// tokens to holders whose requests wait.
	spare bucket
	used  time.Time
}

// view is a set of members and the time at which it was replaced.
type view struct {
	ids      []string
	replaced time.Time // zero: current
}

// home grants shares of the workspaces whose home this member is. It isn't safe for concurrent use.
//
// For a limit of L requests a second with burst B, at most L*T + B + n requests are admitted in any time T, where n is
// the number of members with a share (each may hold one whole token), as long as all members that serve the workspace
// reach its home and members learn of a change of membership within skewAllowance of each other: the grants of a home
// add up to at most L, counting for each member the higher one of the rate it holds and the rate it is sent; a grant
// ends at its holder before it ends at the home; and a new home gives out no more than members hold or their even split
// until the grants of the old one have ended. Each of k members of N that serve without reaching the home adds L/N, and
// so does, while a new home waits, each member that starts to serve. A partition into s sides admits up to s*L, because
// each side has a home.
type home struct {
	self    string
	began   time.Time
	views   []view // the current one last
	entries map[key]*homeEntry
}

func newHome(self string, now time.Time) *home {
	return &home{self: self, began: now, entries: map[key]*homeEntry{}}
}

// observe notes the members, sorted by ID.
func (h *home) observe(ids []string, now time.Time) {
	if n := len(h.views); n > 0 {
		if slices.Equal(h.views[n-1].ids, ids) {
			return
		}
		h.views[n-1].replaced = now
	}
	h.views = append(h.views, view{ids: ids})
	h.views = slices.DeleteFunc(h.views, func(v view) bool {
		return !v.replaced.IsZero() && now.Sub(v.replaced) > grantLife+skewAllowance
	})
}

func (h *home) members() []string {
	if len(h.views) == 0 {
		return nil
	}
	return h.views[len(h.views)-1].ids
}

// isHome reports whether this member is the home of k now, and until when grants of another home may be in use.
//
// A home that is no longer a member needs no wait: the mesh declares a death at the earliest four seconds after the
// last contact (a second for a new dial, three to refute), when its grants have ended. Members that announce that they
// leave are no candidates, so that their workspaces move while they still answer.
func (h *home) isHome(k key) (bool, time.Time) {
	name := k.String()
	if rendezvous.First(name, h.members()) != h.self {
		return false, time.Time{}
	}
	wait := h.began.Add(grantLife + skewAllowance)
	for _, v := range h.views[:len(h.views)-1] {
		end, other := v.replaced.Add(grantLife+skewAllowance), rendezvous.First(name, v.ids)
		if _, alive := slices.BinarySearch(h.members(), other); alive && other != h.self && end.After(wait) {
			wait = end
		}
	}
	return true, wait
}

// answer takes one demand.
func (h *home) answer(from string, d *demand, g global, now time.Time) grant {
	k := key{d.Service, d.Workspace}
	isHome, waitUntil := h.isHome(k)
	if !isHome {
		delete(h.entries, k)
		return grant{}
	}
	e := h.entry(k, g, now, now.Before(waitUntil))
	e.expire(now)
	o, known := e.holders[from]
	if !known {
		o = &holder{}
		e.holders[from] = o
	}
	if d.Seq < o.seq {
		return grant{} // overtaken by a later message
	}
	held := min(float64(d.Held), g.rate)
	o.seq, o.demand = d.Seq, min(float64(d.Rate), 4*g.rate)
	o.rate, o.until = held, now.Add(grantLife)
	e.refillSpare(g, now)
	rate := e.free(from, g)
	if now.Before(waitUntil) {
		e.spare.tokens = 0 // what this home believes to be spare may be held by way of another home
		rate = min(rate, max(held, g.rate/float64(max(len(h.members()), 1))))
	} else {
		rate = min(rate, e.target(from, g))
	}
	out := grant{Home: true, Rate: rate}
	wanted := float64(d.Short)
	if held == 0 {
		wanted = g.burstFor(rate)
	}
	out.Tokens = max(0, min(e.spare.tokens, wanted, g.burstFor(rate)))
	e.spare.tokens -= out.Tokens
	// A reply may get lost, so that the higher one of old and new rate counts until the next message.
	o.rate = max(held, rate)
	e.refillSpare(g, now)
	return out
}

func (h *home) entry(k key, g global, now time.Time, waiting bool) *homeEntry {
	e := h.entries[k]
	if e == nil {
		e = &homeEntry{holders: map[string]*holder{}, spare: bucket{last: now, rate: g.rate, burst: g.burst}}
		if !waiting {
			e.spare.tokens = g.burst // nobody has used the workspace for longer than a grant lasts
		}
		h.entries[k] = e
	}
	e.used = now
	return e
}

func (e *homeEntry) expire(now time.Time) {
	for id, o := range e.holders {
		if !now.Before(o.until) {
			delete(e.holders, id)
		}
	}
}

// refillSpare sets the rate at which spare fills to what nobody holds.
func (e *homeEntry) refillSpare(g global, now time.Time) {
	left := e.free("", g)
	e.spare.set(left, g.burst*left/g.rate, now)
}

// free returns the rate that the members but one don't hold.
func (e *homeEntry) free(except string, g global) float64 {
	held := 0.0
	for id, o := range e.holders {
		if id != except {
			held += o.rate
		}
	}
	return max(0, g.rate-held)
}

const (
	// headroom over its demand lets a member's requests rise between two messages.
	headroom = 1.2
	// spareShared is the part of the rate nobody wants that is granted; the rest is kept for members that start to ask.
	spareShared = 0.5
)

// target returns the fair rate of a holder: its demand with headroom and an even part of the spare rate, or, when the
// demands exceed the limit, its max-min fair part.
func (e *homeEntry) target(id string, g global) float64 {
	wants := make([]float64, 0, len(e.holders))
	total := 0.0
	for _, o := range e.holders {
		wants = append(wants, o.demand*headroom)
		total += o.demand * headroom
	}
	mine := e.holders[id].demand * headroom
	if total <= g.rate {
		return mine + spareShared*(g.rate-total)/float64(len(wants))
	}
	return min(mine, fairLevel(wants, g.rate))
}

// fairLevel returns the level at which the wants, each cut to it, add up to rate.
func fairLevel(wants []float64, rate float64) float64 {
	slices.Sort(wants)
	for i, w := range wants {
		level := rate / float64(len(wants)-i)
		if w >= level {
			return level
		}
		rate -= w
	}
	return rate
}

// sweep drops workspaces without recent demand.
func (h *home) sweep(now time.Time) {
	for k, e := range h.entries {
		if now.Sub(e.used) > forgetAfter {
			delete(h.entries, k)
		}
	}
}
