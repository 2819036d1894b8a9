package relay

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/standin"
)

// pausingEngine is an engine whose first stream pauses before one of its events.
type pausingEngine struct {
	*standin.Engine
	pauseAt  int           // event before which the first stream pauses
	paused   chan struct{} // closed when it pauses
	goOn     chan struct{} // closed to end the pause
	breakOff atomic.Bool   // break the connection at the end of the pause
	canceled atomic.Bool   // the first stream was given up
	streams  atomic.Int32
}

func newPausingEngine(id string) *pausingEngine {
	cfg := slowEngine
	cfg.ID = id
	return &pausingEngine{Engine: standin.NewEngine(cfg), pauseAt: 10, paused: make(chan struct{}), goOn: make(chan struct{})}
}

func (e *pausingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != engine.PathChat || e.streams.Add(1) > 1 {
		e.Engine.ServeHTTP(w, r)
		return
	}
	e.Engine.ServeHTTP(&pausingWriter{ResponseWriter: w, engine: e, request: r}, r)
}

type pausingWriter struct {
	http.ResponseWriter
	engine  *pausingEngine
	request *http.Request
	events  int
}

func (w *pausingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *pausingWriter) Flush() { w.ResponseWriter.(http.Flusher).Flush() }

func (w *pausingWriter) Write(b []byte) (int, error) {
	if strings.HasPrefix(string(b), "data: ") {
		if w.events == w.engine.pauseAt {
			w.pause()
		}
		w.events++
	}
	return w.ResponseWriter.Write(b)
}

func (w *pausingWriter) pause() {
	close(w.engine.paused)
	select {
	case <-w.engine.goOn:
		if w.engine.breakOff.Load() {
			panic(http.ErrAbortHandler)
		}
	case <-w.request.Context().Done():
		w.engine.canceled.Store(true)
		panic(http.ErrAbortHandler)
	}
}

// startPausing starts a relay in front of an engine whose stream pauses, and a request, and returns once the stream
// pauses.
func startPausing(t *testing.T) (env *testEnv, a *pausingEngine, done <-chan reply) {
	env = newTestEnv(t)
	env.streamGap = 200 * time.Millisecond
	a = newPausingEngine("a")
	env.addInstance(cloud.Instance{ID: "a", Address: env.serve(a), FailureDomain: "fd1", Service: "wording"})
	_, url := env.startRelay(Config{})
	replies := make(chan reply, 1)
	go func() { replies <- chat(url, "review 0", 40) }()
	<-a.paused
	return env, a, replies
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint(what))
	}
}

// Guards against a stream whose sound engine pauses and that is given up although no other engine has accepted it.
func TestResume_StalledGoesOn(t *testing.T) {
	for name, f := range map[string]standin.EngineFaults{
		"rejected": {ErrorRate: 1}, "down": {DownNow: true}, "gap": {Drop: 1}, "foreign": {Foreign: 1},
	} {
		t.Run(name, func(t *testing.T) {
			env, a, done := startPausing(t)
			b := env.startEngine("b", "fd2", slowEngine)
			b.SetFaults(f)
			offered := func() bool { return b.Counts().Errors+b.Counts().Runs > 0 }
			if f.DownNow {
				offered = func() bool { return len(env.lostAttempts("b")) > 0 }
			}
			await(t, "an offer", offered)
			time.Sleep(env.streamGap) // the offer ends
			must.False(t, a.canceled.Load())
			close(a.goOn)
			mustBeComplete(t, <-done, "review 0", 40)
			must.Eq(t, 1, a.streams.Load())
		})
	}
}

// Guards against a stream that is given up for a silent engine that another silent one has not taken over.
func TestResume_StalledThenSilentOffer(t *testing.T) {
	env, a, done := startPausing(t)
	b := newPausingEngine("b")
	b.pauseAt = 0
	env.addInstance(cloud.Instance{ID: "b", Address: env.serve(b), FailureDomain: "fd2", Service: "wording"})
	<-b.paused
	close(a.goOn)
	r := <-done
	mustBeComplete(t, r, "review 0", 40)
	must.StrNotContains(t, r.body, "resumes=")
	await(t, "the offer is withdrawn", b.canceled.Load)
	must.False(t, a.canceled.Load())
}

// Guards against a stalled stream that is not continued, or whose stalled attempt is not canceled, once another engine
// has accepted it.
func TestResume_StalledThenAccepted(t *testing.T) {
	env, a, done := startPausing(t)
	b := env.startEngine("b", "fd2", slowEngine)
	r := <-done
	mustBeComplete(t, r, "review 0", 40)
	must.StrContains(t, r.body, ": endpoint=b version=v1 resumes=1")
	must.Eq(t, 1, b.Counts().Runs)
	await(t, "the stalled attempt is canceled", a.canceled.Load)
}

// Guards against a further attempt while an offer is in progress, when the connection of the stalled attempt breaks.
func TestResume_StalledBreaksDuringOffer(t *testing.T) {
	env, a, done := startPausing(t)
	b := newPausingEngine("b")
	b.pauseAt = 0
	env.addInstance(cloud.Instance{ID: "b", Address: env.serve(b), FailureDomain: "fd2", Service: "wording"})
	c := env.startEngine("c", "fd2", slowEngine)
	<-b.paused
	a.breakOff.Store(true)
	close(a.goOn)
	await(t, "the stalled attempt ends", func() bool { return len(env.lostAttempts("a")) > 0 })
	close(b.goOn)
	mustBeComplete(t, <-done, "review 0", 40)
	must.Eq(t, 1, b.streams.Load())
	must.Eq(t, 0, c.Counts().Runs)
	must.Eq(t, 1, a.streams.Load())
}
