package limit

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/rendezvous"
)

// demandKind is the kind of the peer calls to an owner.
const demandKind = "demand"

// demand is the message in which a member reports its demand to the owner of a workspace.
type demand struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	Workspace string
	Rate      float32 // wanted, in requests a second
	Held      float32 // rate of the current grant; 0: none
	HeldFor   uint32  // remaining lifetime of that grant in milliseconds
	Waiting   float32 // total cost of the requests that wait for tokens
	Seq       uint64  // increases with each message about this workspace
}

// grant is the answer to a demand. The grants of a reply are in the order of the demands.
type grant struct {
	_       struct{} `cbor:",toarray"`
	IsOwner bool     // false: the called member isn't the owner
	Rate    float64
	Tokens  float64 // that may be used at once
}

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// holder is the owner's record of a member with a grant.
type holder struct {
	demand float64
	rate   float64
	until  time.Time
	seq    uint64
}

// ownerEntry is the owner's state of one workspace.
type ownerEntry struct {
	holders map[string]*holder
	// unallocated fills at the rate that no member holds. New holders get their first tokens from it, and holders
	// whose requests wait get additional ones.
	unallocated bucket
	lastUsed    time.Time
}

// view is the set of members during a period.
type view struct {
	ids      []string
	replaced time.Time // end of the period; zero: current
}

// owner grants shares of the workspaces whose owner this member is. It isn't safe for concurrent use.
//
// For a limit of L requests a second with burst B, at most L*T + B + n requests are admitted in any time T, where n is
// the number of members with a share (each may hold one whole token). This holds if all members that serve the
// workspace reach its owner and observe a change of membership within skewAllowance of each other, because:
//   - The grants of an owner add up to at most L. Each member counts with the higher one of the rate that it holds and
//     the rate that the owner sends it.
//   - A grant ends at its holder before it ends at the owner.
//   - Until the grants of the previous owner have ended, a new owner grants each member at most the rate that it holds
//     or, if that is higher, the even split.
//
// Each of k members out of N that serve without reaching the owner adds L/N. Each member that starts to serve while a
// new owner waits adds L/N too. A partition into s sides admits up to s*L, because each side has an owner.
type owner struct {
	self      string
	startedAt time.Time
	views     []view // ordered by time; the last one is current
	entries   map[key]*ownerEntry
}

func newOwner(self string, now time.Time) *owner {
	return &owner{self: self, startedAt: now, entries: map[key]*ownerEntry{}}
}

// observe records the current members. ids must be sorted.
func (o *owner) observe(ids []string, now time.Time) {
	if n := len(o.views); n > 0 {
		if slices.Equal(o.views[n-1].ids, ids) {
			return
		}
		o.views[n-1].replaced = now
	}
	o.views = append(o.views, view{ids: ids})
	o.views = slices.DeleteFunc(o.views, func(v view) bool {
		return !v.replaced.IsZero() && now.Sub(v.replaced) > grantLifetime+skewAllowance
	})
}

func (o *owner) members() []string {
	if len(o.views) == 0 {
		return nil
	}
	return o.views[len(o.views)-1].ids
}

// owns reports whether this member currently owns k, and until when grants of another owner may still be in use.
//
// There is no need to wait for the grants of an owner that is no longer a member: the mesh removes a member at the
// earliest four seconds after the last contact (one for a new dial, three to refute), and by then its grants have
// ended. Members that announce that they leave are not candidates, so that their workspaces get a new owner while they
// still answer.
func (o *owner) owns(k key) (bool, time.Time) {
	name := k.String()
	if rendezvous.First(name, o.members()) != o.self {
		return false, time.Time{}
	}
	wait := o.startedAt.Add(grantLifetime + skewAllowance)
	for _, v := range o.views[:len(o.views)-1] {
		end, previous := v.replaced.Add(grantLifetime+skewAllowance), rendezvous.First(name, v.ids)
		if _, isMember := slices.BinarySearch(o.members(), previous); isMember && previous != o.self && end.After(wait) {
			wait = end
		}
	}
	return true, wait
}

// answer processes one demand of a member and returns its grant.
func (o *owner) answer(from string, d *demand, g globalLimit, now time.Time) grant {
	k := key{d.Service, d.Workspace}
	isOwner, waitUntil := o.owns(k)
	if !isOwner {
		delete(o.entries, k)
		return grant{}
	}
	e := o.entry(k, g, now, now.Before(waitUntil))
	e.expire(now)
	member, exists := e.holders[from]
	if !exists {
		member = &holder{}
		e.holders[from] = member
	}
	if d.Seq < member.seq {
		return grant{} // a later message has overtaken this one
	}
	held := min(float64(d.Held), g.rate)
	member.seq, member.demand = d.Seq, min(float64(d.Rate), 4*g.rate)
	member.rate, member.until = held, now.Add(grantLifetime)
	e.refillUnallocated(g, now)
	rate := e.unallocatedRate(from, g)
	if now.Before(waitUntil) {
		e.unallocated.tokens = 0 // members may still hold these tokens under a grant of another owner
		rate = min(rate, max(held, g.rate/float64(max(len(o.members()), 1))))
	} else {
		rate = min(rate, e.fairRate(from, g))
	}
	out := grant{IsOwner: true, Rate: rate}
	wanted := float64(d.Waiting)
	if held == 0 {
		wanted = g.burstFor(rate)
	}
	out.Tokens = max(0, min(e.unallocated.tokens, wanted, g.burstFor(rate)))
	e.unallocated.tokens -= out.Tokens
	// The reply may be lost, so the higher one of the old and the new rate counts until the next message.
	member.rate = max(held, rate)
	e.refillUnallocated(g, now)
	return out
}

func (o *owner) entry(k key, g globalLimit, now time.Time, waiting bool) *ownerEntry {
	e := o.entries[k]
	if e == nil {
		e = &ownerEntry{holders: map[string]*holder{}, unallocated: bucket{last: now, rate: g.rate, burst: g.burst}}
		if !waiting {
			e.unallocated.tokens = g.burst // the workspace has not been used for longer than a grant lasts
		}
		o.entries[k] = e
	}
	e.lastUsed = now
	return e
}

func (e *ownerEntry) expire(now time.Time) {
	for id, member := range e.holders {
		if !now.Before(member.until) {
			delete(e.holders, id)
		}
	}
}

// refillUnallocated sets the fill rate of e.unallocated to the rate that no member holds.
func (e *ownerEntry) refillUnallocated(g globalLimit, now time.Time) {
	rate := e.unallocatedRate("", g)
	e.unallocated.set(rate, g.burst*rate/g.rate, now)
}

// unallocatedRate returns the rate that is not held by any member other than the excepted one.
func (e *ownerEntry) unallocatedRate(except string, g globalLimit) float64 {
	held := 0.0
	for id, member := range e.holders {
		if id != except {
			held += member.rate
		}
	}
	return max(0, g.rate-held)
}

const (
	// headroom is the factor by which a grant exceeds a member's demand, so that the demand can rise between messages.
	headroom = 1.2
	// surplusShare is the share of the rate beyond all demands that is granted; the rest is reserved for members that
	// start to send demands.
	surplusShare = 0.5
)

// fairRate returns the fair rate of a holder: its demand with headroom plus an even share of the granted surplus or,
// when the demands exceed the limit, its max-min fair share.
func (e *ownerEntry) fairRate(id string, g globalLimit) float64 {
	wants := make([]float64, 0, len(e.holders))
	total := 0.0
	for _, member := range e.holders {
		wants = append(wants, member.demand*headroom)
		total += member.demand * headroom
	}
	wanted := e.holders[id].demand * headroom
	if total <= g.rate {
		return wanted + surplusShare*(g.rate-total)/float64(len(wants))
	}
	return min(wanted, fairLevel(wants, g.rate))
}

// fairLevel returns the level at which the wants, each limited to that level, add up to rate.
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
func (o *owner) sweep(now time.Time) {
	for k, e := range o.entries {
		if now.Sub(e.lastUsed) > shareExpiry {
			delete(o.entries, k)
		}
	}
}
