// Package admission decides which requests run, wait or are rejected while a service has too little capacity. It does no
// I/O, reads no clock and starts no goroutine: the time is an argument. Its types aren't safe for concurrent use.
package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// usageHalfLife is the time in which the usage that a workspace is charged with halves. Queues at one instance are
	// short, so that turns among the waiting requests alone would give a workspace with more callers more capacity.
	usageHalfLife = 2 * time.Second
	// shareHalfLife is the time in which the counts of arrivals and served requests halve.
	shareHalfLife = 5 * time.Second
	// defaultFloor applies to a queue without Floor.
	defaultFloor = 0.03
	// sizeClasses is the number of classes by work, see sizeClass.
	sizeClasses = 3
	// flowExpiry is the time without requests after which the records of a workspace are dropped.
	flowExpiry = 30 * time.Second
)

// Item is a request in a Queue.
type Item struct {
	Rank      int // 0 is the most urgent
	Workspace string
	Cost      float64 // work of the request, in any unit that is the same for all items of the queue
	Returning bool    // the caller returns after a refusal
	size      int
	flow      *flow
}

// Queue holds waiting requests and decides their order: more urgent ranks first, workspaces of one rank by the least work
// served of late, callers that return after a refusal before new ones of the workspace, size classes by the least share
// served, and requests of one class in order. A small share of each rank is served before more urgent ones.
type Queue struct {
	// Floor is the share of the requests of each rank that is served before more urgent ones, so that no rank starves. The
	// share is at most half the one of the more urgent ranks, which so are never served less often. 0: defaultFloor.
	Floor    float64
	ranks    []*rank // most urgent first
	length   int
	meanCost float64
}

type rank struct {
	number          int
	arrived, served decaying
	flows           []*flow
	length          int
}

// flow holds the requests of one workspace and rank.
type flow struct {
	workspace string
	usage     decaying // work served
	classes   [sizeClasses]class
	returning []*Item
	length    int
	lastUsed  time.Time
}

type class struct {
	arrived, served decaying
	items           []*Item
}

// decaying is a sum whose parts halve in each half-life.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) value(now time.Time, halfLife time.Duration) float64 {
	if d.sum == 0 || !now.After(d.at) {
		return d.sum
	}
	return d.sum * math.Exp2(-float64(now.Sub(d.at))/float64(halfLife))
}

func (d *decaying) add(x float64, now time.Time, halfLife time.Duration) {
	d.sum = d.value(now, halfLife) + x
	if now.After(d.at) {
		d.at = now
	}
}

// CountArrival counts a request that arrives, before any other call with it.
func (q *Queue) CountArrival(i *Item, now time.Time) {
	r := q.rank(i.Rank)
	i.size = q.sizeClass(i.Cost)
	i.flow = r.flow(i.Workspace, now)
	i.flow.lastUsed = now
	r.arrived.add(1, now, shareHalfLife)
	i.flow.classes[i.size].arrived.add(1, now, shareHalfLife)
}

// CountServed counts a request that runs without having waited.
func (q *Queue) CountServed(i *Item, now time.Time) {
	q.rank(i.Rank).served.add(1, now, shareHalfLife)
	i.flow.usage.add(i.Cost, now, usageHalfLife)
	i.flow.classes[i.size].served.add(1, now, shareHalfLife)
}

// meanCostWeight is the weight of the latest request in the mean work.
const meanCostWeight = 0.02

// sizeClass returns the class of a request: well below the mean work, around it, or well above.
func (q *Queue) sizeClass(cost float64) int {
	if q.meanCost == 0 {
		q.meanCost = cost
	}
	q.meanCost += meanCostWeight * (cost - q.meanCost)
	switch {
	case cost < q.meanCost/2:
		return 0
	case cost <= 2*q.meanCost:
		return 1
	}
	return 2
}

// Push adds a request that CountArrival has counted.
func (q *Queue) Push(i *Item) {
	f := i.flow
	if i.Returning {
		f.returning = append(f.returning, i)
	} else {
		f.classes[i.size].items = append(f.classes[i.size].items, i)
	}
	f.length++
	q.rank(i.Rank).length++
	q.length++
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// LenBefore returns the number of waiting requests of ranks that are more urgent than the given one.
func (q *Queue) LenBefore(number int) int {
	n := 0
	for _, r := range q.ranks {
		if r.number < number {
			n += r.length
		}
	}
	return n
}

// Ranks returns the least and the most urgent rank with arrivals in the last half-lives, and false without any.
func (q *Queue) Ranks(now time.Time) (least, most int, ok bool) {
	for _, r := range q.ranks {
		if r.arrived.value(now, shareHalfLife) < 0.5 {
			continue
		}
		if !ok {
			most, ok = r.number, true
		}
		least = r.number
	}
	return least, most, ok
}

// Ahead returns the number of waiting requests that are expected to be served before one that would be pushed now.
func (q *Queue) Ahead(i *Item, now time.Time) int {
	r := q.rank(i.Rank)
	own, ahead := i.flow.length, q.LenBefore(i.Rank)
	if ahead > 0 && q.isOwed(r, now) {
		ahead = 0
	}
	if i.Returning {
		own = len(i.flow.returning)
	}
	usage := i.flow.usage.value(now, usageHalfLife)
	for _, f := range r.flows {
		if f == i.flow || f.length == 0 {
			continue
		}
		// Each of the flow's requests that runs first adds to its usage; then it is the turn of this one.
		turns := float64(own+1) - (f.usage.value(now, usageHalfLife)-usage)/max(i.Cost, 1e-9)
		ahead += min(f.length, max(0, int(turns)))
	}
	return ahead + own
}

// Next returns the request that Pop would return, and nil if none waits. owed means that it goes before more urgent
// ones.
func (q *Queue) Next(now time.Time) (next *Item, owed bool) {
	var first *rank
	for _, r := range q.ranks {
		if r.length == 0 {
			continue
		}
		if first == nil {
			first = r
		} else if q.isOwed(r, now) {
			return r.next(now), true
		}
	}
	if first == nil {
		return nil, false
	}
	return first.next(now), false
}

// Pop removes and returns the next request and counts it as served. It returns nil if none waits.
func (q *Queue) Pop(now time.Time) *Item {
	i, _ := q.Next(now)
	if i != nil {
		q.Remove(i)
		q.CountServed(i, now)
	}
	return i
}

// Remove removes a waiting request and reports whether it was waiting.
func (q *Queue) Remove(i *Item) bool {
	f := i.flow
	if f == nil {
		return false
	}
	list := &f.classes[i.size].items
	if i.Returning {
		list = &f.returning
	}
	at := slices.Index(*list, i)
	if at < 0 {
		return false
	}
	*list = slices.Delete(*list, at, at+1)
	f.length--
	q.rank(i.Rank).length--
	q.length--
	return true
}

// Last returns the newest request of the workspace with the most waiting requests, of the least urgent rank that waits and
// is less urgent than the given one. It returns nil if there is none.
func (q *Queue) Last(number int) *Item {
	for _, r := range slices.Backward(q.ranks) {
		if r.number <= number || r.length == 0 {
			continue
		}
		longest := slices.MaxFunc(r.flows, func(a, b *flow) int { return a.length - b.length })
		for c := range longest.classes {
			if items := longest.classes[c].items; len(items) > 0 {
				return items[len(items)-1]
			}
		}
		return longest.returning[len(longest.returning)-1]
	}
	return nil
}

// Each calls fn for each waiting request, more urgent ranks first, with a lower bound of the number of requests that go
// before it. fn reports whether the request stays in the queue.
func (q *Queue) Each(fn func(i *Item, ahead int) bool) {
	ahead := 0
	for _, r := range q.ranks {
		for _, f := range r.flows {
			q.eachOf(f, r, ahead, fn)
		}
		ahead += r.length
	}
}

func (q *Queue) eachOf(f *flow, r *rank, ahead int, fn func(i *Item, ahead int) bool) {
	kept := 0
	filter := func(items []*Item, before int) []*Item {
		n := 0
		return slices.DeleteFunc(items, func(i *Item) bool {
			if fn(i, before+n) {
				n++
				kept++
				return false
			}
			return true
		})
	}
	f.returning = filter(f.returning, ahead)
	first := ahead + len(f.returning)
	for c := range f.classes {
		f.classes[c].items = filter(f.classes[c].items, first)
	}
	q.length -= f.length - kept
	r.length -= f.length - kept
	f.length = kept
}

// isOwed reports whether so few requests of a rank were served that one goes before more urgent ones.
func (q *Queue) isOwed(r *rank, now time.Time) bool {
	share := q.Floor
	if share == 0 {
		share = defaultFloor
	}
	for _, other := range q.ranks {
		if arrived := other.arrived.value(now, shareHalfLife); other.number < r.number && arrived >= 1 {
			share = min(share, other.served.value(now, shareHalfLife)/arrived/2)
		}
	}
	return r.served.value(now, shareHalfLife) < share*r.arrived.value(now, shareHalfLife)-1
}

// rank returns the record of a rank and creates it if needed.
func (q *Queue) rank(number int) *rank {
	at, found := slices.BinarySearchFunc(q.ranks, number, func(r *rank, n int) int { return r.number - n })
	if !found {
		q.ranks = slices.Insert(q.ranks, at, &rank{number: number})
	}
	return q.ranks[at]
}

// flow returns the record of a workspace and creates it if needed. Records without recent requests are dropped then.
func (r *rank) flow(workspace string, now time.Time) *flow {
	for _, f := range r.flows {
		if f.workspace == workspace {
			return f
		}
	}
	r.flows = slices.DeleteFunc(r.flows, func(f *flow) bool { return f.length == 0 && now.Sub(f.lastUsed) > flowExpiry })
	f := &flow{workspace: workspace}
	r.flows = append(r.flows, f)
	return f
}

// next returns the next request of a rank in which one waits.
func (r *rank) next(now time.Time) *Item {
	var best *flow
	least := 0.0
	for _, f := range r.flows {
		if f.length == 0 {
			continue
		}
		if usage := f.usage.value(now, usageHalfLife); best == nil || usage < least {
			best, least = f, usage
		}
	}
	return best.next(now)
}

// next returns the next request of a workspace of which one waits.
func (f *flow) next(now time.Time) *Item {
	if len(f.returning) > 0 {
		return f.returning[0]
	}
	var best *class
	least := 0.0
	for c := range f.classes {
		c := &f.classes[c]
		if len(c.items) == 0 {
			continue
		}
		if share := c.served.value(now, shareHalfLife) / max(c.arrived.value(now, shareHalfLife), 1e-9); best == nil || share < least {
			best, least = c, share
		}
	}
	return best.items[0]
}
