package relay

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/engine"
)

// silentService answers its third call with a silence: before its head or within its body.
type silentService struct {
	inBody   bool
	calls    atomic.Int32
	silent   chan struct{} // closed when the silence begins
	goOn     chan struct{} // closed to end the silence
	canceled atomic.Bool   // the call was given up
}

func (s *silentService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.HeaderAttemptID, r.Header.Get(engine.HeaderAttemptID)) // without it, no connection is reused
	switch n := s.calls.Add(1); {
	case n < 3:
		_, _ = io.WriteString(w, "first")
		return
	case n > 3:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.inBody {
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
	}
	close(s.silent)
	select {
	case <-s.goOn:
		_, _ = io.WriteString(w, ", then more")
	case <-r.Context().Done():
		s.canceled.Store(true)
	}
}

// startSilent starts a relay in front of a service whose answer is silent, and a call. It returns once the silence has
// begun. The calls before it leave a connection for reuse, on which a silence is noticed sooner.
func startSilent(t *testing.T, inBody bool) (env *testEnv, s *silentService, done <-chan reply) {
	env = newTestEnv(t)
	env.streamGap = 200 * time.Millisecond
	s = &silentService{inBody: inBody, silent: make(chan struct{}), goOn: make(chan struct{})}
	env.addPlain("s", s)
	_, url := env.startRelay(Config{})
	for range 2 {
		must.Eq(t, 200, send("GET", url+"/services/orders/list", "").status)
	}
	replies := make(chan reply, 1)
	go func() { replies <- send("GET", url+"/services/orders/list", "") }()
	<-s.silent
	return env, s, replies
}

func (env *testEnv) addPlain(id string, h http.Handler) {
	env.addInstance(cloud.Instance{ID: id, Address: env.serve(h), FailureDomain: "fd1", Service: "orders"})
}

func forEachSilence(t *testing.T, test func(t *testing.T, inBody bool)) {
	for name, inBody := range map[string]bool{"before the answer": false, "in the body": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, inBody)
		})
	}
}

// Guards against a call that is given up for silence although the endpoint that was to answer it rejects it, fails, or is
// silent too.
func TestPlain_StalledGoesOn(t *testing.T) {
	for name, other := range map[string]http.HandlerFunc{
		"rejection": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"closed":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"silent":    func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"in the head": func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		},
	} {
		t.Run(name, func(t *testing.T) {
			forEachSilence(t, func(t *testing.T, inBody bool) {
				env, s, done := startSilent(t, inBody)
				goOn := sync.OnceFunc(func() { time.AfterFunc(100*time.Millisecond, func() { close(s.goOn) }) })
				env.addPlain("other", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					goOn()
					other(w, r)
				}))
				r := <-done
				must.NoError(t, r.err)
				must.Eq(t, 200, r.status)
				must.StrHasSuffix(t, ", then more", r.body)
				must.Eq(t, "s", r.header.Get("X-Endpoint"))
				must.False(t, s.canceled.Load())
			})
		})
	}
}

// Guards against a silent call that goes on, or an answer that is not used, once another endpoint has answered.
func TestPlain_StalledThenAnswered(t *testing.T) {
	forEachSilence(t, func(t *testing.T, inBody bool) {
		env, s, done := startSilent(t, inBody)
		env.addPlain("other", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "other") }))
		r := <-done
		must.Eq(t, 200, r.status)
		must.Eq(t, "other", r.body)
		must.Eq(t, 3, s.calls.Load())
		await(t, "the silent attempt is canceled", s.canceled.Load)
	})
}

// Guards against a third attempt while another endpoint has the call, when the connection of the silent one breaks.
func TestPlain_StalledBreaksDuringOffer(t *testing.T) {
	env := newTestEnv(t)
	env.streamGap = 200 * time.Millisecond
	offered, broken := make(chan struct{}), make(chan struct{})
	var calls atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			<-offered
			close(broken)
			panic(http.ErrAbortHandler)
		}
		close(offered)
		<-broken
		time.Sleep(100 * time.Millisecond) // the break is noticed
		_, _ = io.WriteString(w, strings.Repeat("whole", 10))
	})
	for _, id := range []string{"a", "b", "c"} {
		env.addPlain(id, handler)
	}
	_, url := env.startRelay(Config{})
	r := send("GET", url+"/services/orders/list", "")
	must.Eq(t, 200, r.status)
	must.Eq(t, strings.Repeat("whole", 10), r.body)
	must.Eq(t, 2, calls.Load())
}
