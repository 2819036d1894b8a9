package forward_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"

	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/problem"
)

// eventsOf returns events with the given IDs, separated by commas; "-" is an event without ID, and ":" a comment.
func eventsOf(ids string) string {
	var b strings.Builder
	for id := range strings.SplitSeq(ids, ",") {
		switch id {
		case "":
		case "-":
			b.WriteString("data: -\n\n")
		case ":":
			b.WriteString(": comment\n\n")
		default:
			b.WriteString("first: line\nid: " + id + "\ndata: " + id + "\n\n")
		}
	}
	return b.String()
}

// sendEvents sends a whole stream with the given IDs, a chunk an event, or one that ends with its connection if cut is
// set.
func (a *arrival) sendEvents(ids string, cut bool) {
	a.stream()
	for id := range strings.SplitSeq(ids, ",") {
		if id != "" {
			a.chunk(eventsOf(id))
		}
	}
	if cut {
		_ = a.conn.Close()
		return
	}
	a.end()
}

// sendAfter makes a request on the resumable route that goes on after the event with an ID.
func (w *harness) sendAfter(t *testing.T, after string) *caller {
	w.setPatient()
	now := time.Now()
	c := &caller{}
	c.broken = w.forwarder.Serve(t.Context(), c, &forward.Request{
		ID: "resumed", Method: http.MethodPost, Host: "h", Path: "/resume/x", URI: "/resume/x", Key: "k",
		Header: http.Header{}, Arrived: now, Deadline: now.Add(time.Minute), LastEventID: after,
	})
	return c
}

// resume makes a request on the resumable route, which takes as long as a busy machine needs.
func (w *harness) resume(t *testing.T) *caller {
	return w.setPatient().sendRequest(t.Context(), "resume", &forward.Request{Deadline: time.Now().Add(time.Minute)})
}

// continuations are answers to an attempt that continues the first events.
var continuations = []struct {
	name, first, second string
	sound               bool
}{
	{"next events", "1,2", "3,4", true},
	{"next events after a comment", "1,2", ":,3,4", true},
	{"no events", "1,2", "", false},
	{"a comment only", "1,2", ":", false},
	{"steps of five", "5,10", "15,20", true},
	{"steps of five after one event", "5", "10,15", true},
	{"last of the steps of five", "5", "10", true},
	{"steps of five from one", "1", "6,11", true},
	{"uneven steps", "1,4,9", "16,25", true},
	{"uneven steps after one event", "4", "9,16,25", true},
	{"hole", "1,2", "5,6", false},
	{"hole after one event", "1", "5,6", false},
	{"hole after one event, long", "1", "5,6,7,8", false},
	{"hole before the last event", "1", "5", false},
	{"hole in steps of five", "5,10", "20,25", false},
	{"last event again", "1,2", "2,3", false},
	{"from the start", "1,2", "1,2,3", false},
	{"from the start after a comment", "1,2", ":,1,2,3", false},
	{"step back before the decision", "1", "5,4", false},
	{"no IDs", "1,2", "-,-", false},
	{"no numbers", "1,2", "x,y", false},
}

// Guards against a stream that looks whole though pieces are missing, doubled or of another run, because the answer that
// continues it begins at another event than the next one.
func TestServe_ContinuationFollows(t *testing.T) {
	for _, c := range continuations {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var asked atomic.Value
			w := newHarness(t, 3, func(a *arrival) {
				if a.after == "" {
					a.sendEvents(c.first, true)
					return
				}
				asked.Store(a.after)
				a.sendEvents(c.second, false)
			})
			got := w.resume(t)
			must.Eq(t, c.first[strings.LastIndex(c.first, ",")+1:], asked.Load().(string))
			must.Eq(t, 2, w.arrivalCount())
			if c.sound {
				must.NoError(t, got.broken)
				must.Eq(t, eventsOf(c.first+","+c.second), got.body.String())
				return
			}
			must.Error(t, got.broken)
			must.Eq(t, eventsOf(c.first), strings.ReplaceAll(got.body.String(), eventsOf(":"), ""))
		})
	}
}

// Guards against a stream that breaks off at an answer that does not continue it although another attempt is allowed.
func TestServe_ThirdEndpointContinues(t *testing.T) {
	for _, c := range continuations {
		if c.sound {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			last, _ := strconv.Atoi(c.first[strings.LastIndex(c.first, ",")+1:])
			step := max(1, last/2) // of the cases with two events
			if !strings.Contains(c.first, ",") {
				step = last
			}
			rest := strconv.Itoa(last+step) + "," + strconv.Itoa(last+2*step)
			var resumes atomic.Int32
			w := newHarness(t, 3, func(a *arrival) {
				switch {
				case a.after == "":
					a.sendEvents(c.first, true)
				case resumes.Add(1) == 1:
					a.sendEvents(c.second, false)
				default:
					a.sendEvents(rest, false)
				}
			})
			w.table.Routes[3].MaxAttempts = 3
			got := w.resume(t)
			must.NoError(t, got.broken)
			must.Eq(t, eventsOf(c.first+","+rest), strings.ReplaceAll(got.body.String(), eventsOf(":"), ""))
			must.Eq(t, 3, w.arrivalCount())
		})
	}
}

// Guards against a caller that resumes a stream and gets pieces twice, or misses some, because the endpoint does not go on
// at its position. Nothing is sent before that is known, so that another endpoint can still answer.
func TestServe_CallersOwnResume(t *testing.T) {
	for _, c := range []struct {
		name, second string
		sound        bool
	}{
		{"next events", "3,4", true},
		{"next events after a comment", ":,3,4", true},
		{"no events", "", false},
		{"steps of two", "4,6", true},
		{"uneven steps", "5,7,10", true},
		{"from the start", "1,2,3", false},
		{"last event again", "2,3", false},
		{"hole", "5,6", false},
		{"hole, long", "5,6,7", false},
		{"hole before the last event", "5", false},
		{"no IDs", "-,-", false},
		{"no numbers", "x", false},
		{"from the start after a comment", ":,1,2,3", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newHarness(t, 3, func(a *arrival) { a.sendEvents(c.second, false) })
			got := w.sendAfter(t, "2")
			if c.sound {
				must.NoError(t, got.broken)
				must.Eq(t, eventsOf(c.second), got.body.String())
				must.Eq(t, 1, w.arrivalCount())
				return
			}
			must.NotNil(t, got.refusal)
			must.Eq(t, problem.EndpointFailed, problem.KindOf(got.refusal.Err))
			must.Eq(t, http.StatusBadGateway, got.status)
			must.Eq(t, "", got.body.String())
			must.Eq(t, 2, w.arrivalCount())

			var first sync.Once
			w = newHarness(t, 3, func(a *arrival) {
				ids := "3,4"
				first.Do(func() { ids = c.second })
				a.sendEvents(ids, false)
			})
			got = w.sendAfter(t, "2")
			must.NoError(t, got.broken)
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, eventsOf("3,4"), got.body.String())
		})
	}
}

// Guards against a position of the caller that is no number and is held against the endpoint, which may use such IDs, and
// against a route that is not resumable, on which the position means nothing.
func TestServe_PositionWithoutMeaning(t *testing.T) {
	w := newHarness(t, 3, func(a *arrival) { a.sendEvents("d,e", false) })
	got := w.sendAfter(t, "c")
	must.NoError(t, got.broken)
	must.Eq(t, eventsOf("d,e"), got.body.String())

	w = newHarness(t, 3, func(a *arrival) { a.sendEvents("1,2,3", false) })
	w.table.Routes[3].Resumable = false
	got = w.sendAfter(t, "2")
	must.NoError(t, got.broken)
	must.Eq(t, eventsOf("1,2,3"), got.body.String())
}

// Guards against pieces of two runs in a stream whose caller resumes it, and which then breaks off and goes on elsewhere.
func TestServe_CallersResumeIsContinued(t *testing.T) {
	w := newHarness(t, 3, func(a *arrival) {
		if a.after == "2" {
			a.sendEvents("3,4", true)
			return
		}
		a.sendEvents("6,7", false)
	})
	got := w.sendAfter(t, "2")
	must.Error(t, got.broken)
	must.Eq(t, eventsOf("3,4"), got.body.String())
}

// Guards against events that are lost because they are held back when their endpoint breaks off.
func TestServe_BrokenOffBeforeDecision(t *testing.T) {
	var resumes atomic.Int32
	w := newHarness(t, 3, func(a *arrival) {
		switch {
		case a.after == "":
			a.sendEvents("5", true)
		case resumes.Add(1) == 1:
			a.sendEvents("10", true)
		default:
			a.sendEvents("10,15,20", false)
		}
	})
	w.table.Routes[3].MaxAttempts = 3
	got := w.resume(t)
	must.NoError(t, got.broken)
	must.Eq(t, eventsOf("5,10,15,20"), got.body.String())
}

// Guards against a moved run that goes on after a hole, or from its start, on a route that may not be resumed, and against
// one that is broken off because it was moved after its last event.
func TestServe_MovedRunFollows(t *testing.T) {
	for name, second := range map[string]string{"hole": "5,6", "from the start": "1,2,3", "last event again": "2,3", "no IDs": "-", "nothing left": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stopped := make(chan struct{})
			m := &silentMover{stop: sync.OnceFunc(func() { close(stopped) })}
			began := make(chan string, 1)
			w := newHarness(t, 3, func(a *arrival) {
				if a.after != "" {
					a.sendEvents(second, false)
					return
				}
				a.stream()
				a.chunk(eventsOf("1,2"))
				began <- a.endpoint
				<-stopped
				_ = a.conn.Close()
			}, func(c *forward.Config) { c.Mover = m })
			w.table.Services[service].Engine = engine()
			w.table.Routes[2].Timeout = 3 * time.Second
			go func() {
				id := <-began
				w.fleet.MarkLeaving(id, 0, time.Time{})
			}()
			got := w.send(t.Context(), "stream")
			must.Eq(t, second == "", got.broken == nil)
			must.Eq(t, eventsOf("1,2"), got.body.String())
			must.Eq(t, 2, w.arrivalCount())
		})
	}
}

// Guards against an endpoint that accepts a stalled stream and goes on after a hole or from the start.
func TestServe_AcceptedOfferFollows(t *testing.T) {
	for name, second := range map[string]string{"hole": "5,6", "from the start": "1,2,3", "last event again": "2,3", "no IDs": "-"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newHarness(t, 3, func(a *arrival) {
				if a.after != "" {
					a.sendEvents(second, false)
					return
				}
				a.stream()
				a.chunk(eventsOf("1,2"))
				<-a.connClosed
			})
			w.table.Routes[3].Timeout = 3 * time.Second
			got := w.send(t.Context(), "resume")
			must.Error(t, got.broken)
			must.Eq(t, eventsOf("1,2"), got.body.String())
			must.Eq(t, 2, w.arrivalCount())
		})
	}
}

// Guards against a stream that broke off without a trace of the answer that did not continue it.
func TestServe_RefusedContinuationIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		answer         func(a *arrival)
		cause, offered string
	}{
		"gap":         {func(a *arrival) { a.sendEvents("5,6", false) }, "gap", "5"},
		"step back":   {func(a *arrival) { a.sendEvents("1,2", false) }, "step_back", "1"},
		"no position": {func(a *arrival) { a.sendEvents("-", false) }, "no_position", ""},
		"no stream":   {func(a *arrival) { a.reply(http.StatusNotFound, "") }, "not_a_stream", "404"},
	} {
		t.Run(name, func(t *testing.T) {
			log, hook := logtest.NewNullLogger()
			scope := tally.NewTestScope("", nil)
			var second atomic.Value
			w := newHarness(t, 3, func(a *arrival) {
				if a.after == "" {
					a.sendEvents("1,2", true)
					return
				}
				second.Store(a.endpoint)
				c.answer(a)
			}, func(cfg *forward.Config) { cfg.Log, cfg.Metrics = log, forward.NewMetrics(scope) })
			must.Error(t, w.resume(t).broken)
			var lines []*logrus.Entry
			for _, e := range hook.AllEntries() {
				if e.Data["cause"] != nil {
					lines = append(lines, e)
				}
			}
			must.Len(t, 1, lines)
			fields := lines[0].Data
			must.Eq(t, c.cause, fields["cause"].(string))
			must.Eq(t, "2", fields["position"].(string))
			must.Eq(t, c.offered, fields["offered"].(string))
			must.Eq(t, second.Load().(string), fields["endpoint"].(string))
			must.StrHasPrefix(t, "r", fields["request"].(string))
			counter := scope.Snapshot().Counters()["forward.continuations_refused+cause="+c.cause]
			must.NotNil(t, counter)
			must.Eq(t, 1, counter.Value())
		})
	}
}
