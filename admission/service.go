package admission

import (
	"math"
	"time"
)

// Rule says which rule delayed or rejected a request.
type Rule string

// Rules.
const (
	RuleNone     Rule = ""
	RuleWindow   Rule = "window"   // waits until the window has room
	RuleDeadline Rule = "deadline" // rejected: no endpoint is expected to finish it before its deadline
	RuleWait     Rule = "wait"     // rejected at once: the expected wait is too long
	RuleExpired  Rule = "expired"  // rejected after a wait that became too long
	RuleFull     Rule = "full"     // rejected: too many requests wait
)

const (
	// maxWaiting bounds the waiting requests of a service at one instance.
	maxWaiting = 1024
	// leastWaitShare is the share of the objective that a request may wait at least. Otherwise a request whose work takes
	// most of its objective, such as a long prompt, would never get a place that others may wait for.
	leastWaitShare = 0.25
	// floorShare is Queue.Floor of a service. An instance sees few requests of each rank; a smaller share of them would be
	// less than one.
	floorShare = 0.1
	// minRetryAfter is the least Retry-After: less than that shows no other load at the endpoints.
	minRetryAfter = 100 * time.Millisecond
	// retryShare is the share of its time left for which a caller honours a Retry-After.
	retryShare = 1.0 / 3
)

// Request describes a request for admission.
type Request struct {
	Rank      int // 0 is the most urgent
	Workspace string
	Work      float64 // work of an endpoint for the request, in seconds or another unit common to the service
	Arrived   time.Time
	Deadline  time.Time
	Objective time.Duration // for the time from the arrival to the answer or its first event; 0: none
	First     time.Duration // expected time to the answer or its first event at the best endpoint; 0: unknown
	Finish    time.Duration // expected time to the end of the answer at the best endpoint
	Service   time.Duration // expected time in a slot of an endpoint
	Key       uint64        // identifies what the caller sends; the same when it returns after a refusal; 0: unknown
}

// Ticket is a request that waits or runs.
type Ticket struct {
	Request Request
	Rule    Rule          // why it waits or was rejected
	Ready   chan struct{} // closed when a waiting request runs or is rejected
	// RetryAfter is set for a rejected request: the time after which the caller may return.
	RetryAfter time.Duration
	// Expected is the time that the request was expected to wait when it arrived.
	Expected time.Duration

	item     Item
	best     time.Duration // Request.First of the caller of Offer
	begun    bool          // the answer or its first event has come
	state    State
	waitEnd  time.Time
	started  time.Time
	released bool
}

// addDelay adds the time by which requests of its rank begin later than expected.
func (r *Request) addDelay(d time.Duration) {
	r.First += d
	r.Finish += d
}

// delay is the mean time by which requests begin later than expected. Endpoints run urgent requests first, and report
// nothing of the ranks of those that wait.
type delay struct {
	mean float64 // seconds
	at   time.Time
}

const (
	// delayWeight is the weight of the latest request in the mean delay.
	delayWeight = 0.15
	// delayHalfLife is the time in which the mean delay halves without requests, so that a rank of which all requests are
	// rejected is tried again.
	delayHalfLife = time.Second
)

func (d *delay) add(x time.Duration, now time.Time) {
	mean := d.value(now).Seconds()
	d.mean, d.at = max(0, mean+delayWeight*(x.Seconds()-mean)), now
}

func (d *delay) value(now time.Time) time.Duration {
	if d == nil {
		return 0
	}
	return time.Duration(d.mean * math.Exp2(-float64(now.Sub(d.at))/float64(delayHalfLife)) * float64(time.Second))
}

// State says what happens with a request.
type State int

// States of a ticket.
const (
	Waiting State = iota
	Running
	Rejected
)

// State returns the state of the ticket.
func (t *Ticket) State() State { return t.state }

// Service decides for the requests of one instance to one service.
type Service struct {
	window  Window
	queue   Queue
	byItem  map[*Item]*Ticket
	delays  map[int]*delay // by rank
	refused Returns
	reports Reports
	returns map[int]time.Time // by rank: the time of return of the caller refused last
}

// NewService returns the state of a service without requests. random returns numbers in [0, 1).
func NewService(random func() float64) *Service {
	return &Service{
		queue: Queue{Floor: floorShare}, window: Window{random: random}, byItem: map[*Item]*Ticket{}, delays: map[int]*delay{}, returns: map[int]time.Time{},
	}
}

// IsShort reports whether the service has too little capacity. If not, requests run at once.
func (s *Service) IsShort() bool { return s.window.Limit() > 0 }

// SetBound bounds the requests that run at a time, also while there is no shortage; 0: no bound. Requests beyond it wait as in
// a shortage.
func (s *Service) SetBound(requests float64, now time.Time) {
	s.window.bound = requests
	s.dispatch(now)
}

// Window returns the window of the service, whose figures explain the decisions.
func (s *Service) Window() *Window { return &s.window }

// Waiting returns the number of waiting requests.
func (s *Service) Waiting() int { return s.queue.Len() }

// Offer decides whether a request runs now, waits or is rejected. A request that runs or waits must be ended by Release.
// A waiting one must be polled by Poll.
func (s *Service) Offer(r Request, now time.Time) *Ticket {
	t := &Ticket{Request: r, best: r.First, item: Item{Rank: r.Rank, Workspace: r.Workspace, Cost: r.Work}}
	s.queue.CountArrival(&t.item, now)
	if !s.IsShort() {
		s.queue.CountServed(&t.item, now)
		s.run(t, now)
		return t
	}
	t.item.Returning = s.refused.Take(r.Key, now)
	r.addDelay(s.delays[r.Rank].value(now))
	t.Request = r
	if now.Add(r.Finish).After(r.Deadline) {
		s.reject(t, RuleDeadline, now)
		return t
	}
	ahead := s.queue.Ahead(&t.item, now)
	if ahead == 0 && s.window.HasRoom(s.isUrgent(&t.item, now), now) {
		s.queue.CountServed(&t.item, now)
		s.run(t, now)
		return t
	}
	t.waitEnd = waitEnd(&r, now)
	t.Expected = time.Duration(ahead+1) * s.window.Interval()
	switch {
	case now.Add(t.Expected).After(t.waitEnd):
		s.reject(t, RuleWait, now)
	case s.queue.Len() >= maxWaiting && !s.makeRoom(r.Rank, now):
		s.reject(t, RuleFull, now)
	default:
		t.Rule, t.Ready = RuleWindow, make(chan struct{})
		s.queue.Push(&t.item)
		s.byItem[&t.item] = t
		s.dispatch(now)
	}
	return t
}

// makeRoom rejects a waiting request that is less urgent than the given rank, and reports whether there was one.
func (s *Service) makeRoom(number int, now time.Time) bool {
	last := s.queue.Last(number)
	if last == nil {
		return false
	}
	t := s.byItem[last]
	s.queue.Remove(last)
	delete(s.byItem, last)
	s.reject(t, RuleFull, now)
	close(t.Ready)
	return true
}

// WouldReject reports whether a request that an endpoint has rejected would be rejected here too, so that it needs no
// further attempt, with the Retry-After.
func (s *Service) WouldReject(r Request, now time.Time) (retryAfter time.Duration, rejected bool) {
	if !s.IsShort() {
		return 0, false
	}
	r.addDelay(s.delays[r.Rank].value(now))
	if ahead := s.queue.LenBefore(r.Rank); ahead > 0 {
		wait := time.Duration(ahead+1) * s.window.Interval()
		rejected = now.Add(wait).After(waitEnd(&r, now))
	}
	if !rejected && !now.Add(r.Finish).After(r.Deadline) {
		return 0, false
	}
	return s.RetryAfter(r, now), true
}

// waitEnd returns until when a request may wait: as long as its answer may come within the objective.
func waitEnd(r *Request, now time.Time) time.Time {
	last := r.Deadline.Add(-r.Finish)
	if r.Objective <= 0 {
		return last
	}
	end := r.Arrived.Add(r.Objective - r.First)
	if least := now.Add(time.Duration(leastWaitShare * float64(r.Objective))); end.Before(least) {
		end = least
	}
	if end.After(last) {
		return last
	}
	return end
}

// isUrgent reports whether a request is of the most urgent rank of late, and others are less urgent.
func (s *Service) isUrgent(i *Item, now time.Time) bool {
	least, most, ok := s.queue.Ranks(now)
	return ok && i.Rank <= most && i.Rank < least
}

// Poll rejects waiting requests whose wait has become too long, and starts those for which there is room. It must be
// called every few tens of milliseconds while requests wait.
func (s *Service) Poll(now time.Time) {
	s.dispatch(now)
	s.queue.Each(func(i *Item, ahead int) bool {
		t := s.byItem[i]
		wait := time.Duration(ahead) * s.window.Interval()
		if !now.Add(wait).After(t.waitEnd) {
			return true
		}
		delete(s.byItem, i)
		s.reject(t, RuleExpired, now)
		close(t.Ready)
		return false
	})
}

// Release ends a request: it ran at an endpoint, did not run, or its caller has left. Only the first call has an effect.
func (s *Service) Release(t *Ticket, ran bool, now time.Time) {
	if t.released || t.state == Rejected {
		return
	}
	t.released = true
	if t.state == Waiting {
		s.queue.Remove(&t.item)
		delete(s.byItem, &t.item)
		return
	}
	if ran {
		s.recordDelay(t, now)
	}
	s.window.end(now.Sub(t.started), ran, now)
	s.dispatch(now)
}

// Begun records that the answer of a running request, or its first event, has come.
func (s *Service) Begun(t *Ticket, now time.Time) {
	if t.state == Running {
		s.recordDelay(t, now)
	}
}

// recordDelay records by how much a request began later than expected, or that it has not begun until its end.
func (s *Service) recordDelay(t *Ticket, now time.Time) {
	if t.begun || t.best == 0 {
		return
	}
	t.begun = true
	d := s.delays[t.item.Rank]
	if d == nil {
		d = &delay{}
		s.delays[t.item.Rank] = d
	}
	d.add(now.Sub(t.started)-t.best, now)
}

// Answered records an answer of an endpoint with the load that it reports, if it has one.
func (s *Service) Answered(endpoint string, l Load, hasLoad bool, now time.Time) {
	s.reports.RecordAnswer(endpoint, l, hasLoad, now)
	s.observe(now)
}

// RejectedBy records that an endpoint has rejected a request for lack of room.
func (s *Service) RejectedBy(endpoint string, now time.Time) {
	s.reports.RecordRejection(endpoint, now)
	s.observe(now)
}

func (s *Service) observe(now time.Time) {
	if s.window.isDue(now) {
		usage, cautious := s.reports.Usage(now)
		s.window.observe(usage, cautious, s.queue.Len(), now)
		s.dispatch(now)
	}
}

// dispatch starts waiting requests while there is room.
func (s *Service) dispatch(now time.Time) {
	for {
		i, owed := s.queue.Next(now)
		if i == nil {
			return
		}
		if !s.window.HasRoom(owed || s.isUrgent(i, now), now) {
			return
		}
		s.queue.Pop(now)
		t := s.byItem[i]
		delete(s.byItem, i)
		s.run(t, now)
		close(t.Ready)
	}
}

func (s *Service) run(t *Ticket, now time.Time) {
	t.state, t.started = Running, now
	s.window.start(t.Request.Objective, t.Request.Service, now)
}

func (s *Service) reject(t *Ticket, rule Rule, now time.Time) {
	t.state, t.Rule = Rejected, rule
	t.RetryAfter = s.RetryAfter(t.Request, now)
}

// RetryAfter returns when the caller of a refused request may return, and remembers it. Callers of one rank get times in
// the order of their refusals, as far apart as the starts of the window.
func (s *Service) RetryAfter(r Request, now time.Time) time.Duration {
	interval := s.window.Interval()
	at := now.Add(max(minRetryAfter, time.Duration(s.queue.LenBefore(r.Rank+1)+1)*interval))
	if last := s.returns[r.Rank]; at.Before(last.Add(interval)) {
		at = last.Add(interval)
	}
	longest := now.Add(time.Duration(retryShare * float64(r.Deadline.Sub(now))))
	if at.After(longest) {
		at = longest
	} else {
		s.returns[r.Rank] = at
	}
	at = at.Add(time.Duration(float64(at.Sub(now)) * (s.window.random() - 1) / 5))
	s.refused.Remember(r.Key, at, now)
	return max(at.Sub(now), time.Millisecond)
}
