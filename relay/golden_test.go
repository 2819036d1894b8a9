package relay

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/standin"
)

var update = flag.Bool("update", false, "write the golden files anew")

// transcript records the exchanges of a session in the order in which they started.
type transcript struct {
	mu        sync.Mutex
	exchanges []*exchange
}

// exchange is a request with its answer.
type exchange struct{ request, answer string }

func (s *transcript) start(title, start string, h http.Header, body []byte) *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &exchange{request: message(title, start, h, body)}
	s.exchanges = append(s.exchanges, x)
	return x
}

func (s *transcript) answer(x *exchange, title string, status int, h http.Header, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x.answer = message(title, fmt.Sprint("status ", status), h, body)
}

// answered tells that every request has its answer: an endpoint's is recorded when its handler returns.
func (s *transcript) answered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.exchanges, func(x *exchange) bool { return x.answer == "" })
}

func message(title, start string, h http.Header, body []byte) string {
	var b strings.Builder
	fmt.Fprintf(&b, "=== %s\n%s\n", title, start)
	names := slices.Sorted(maps.Keys(h))
	for _, name := range names {
		// Dates differ between runs; lengths follow from the bodies.
		if name != "Date" && name != "Content-Length" {
			fmt.Fprintf(&b, "%s: %s\n", name, h.Get(name))
		}
	}
	fmt.Fprintf(&b, "\n%s\n", bytes.TrimRight(body, "\n"))
	return b.String()
}

// endpoint records the calls of an endpoint.
func (s *transcript) endpoint(id string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		if r.URL.Path == engine.PathCancel {
			// Cancels are sent in the background and have no fixed place in the order.
			next.ServeHTTP(w, r)
			return
		}
		x := s.start("to endpoint "+id, r.Method+" "+r.URL.RequestURI(), r.Header, body)
		rec := &recorder{ResponseWriter: w}
		defer func() { s.answer(x, "from endpoint "+id, max(rec.status, 200), w.Header(), rec.body.Bytes()) }()
		next.ServeHTTP(rec, r)
	})
}

type recorder struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

func (r *recorder) WriteHeader(status int)      { r.status = status; r.ResponseWriter.WriteHeader(status) }
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
func (r *recorder) Write(b []byte) (int, error) {
	r.body.Write(b)
	return r.ResponseWriter.Write(b)
}

// caller records a call and its answer.
func (s *transcript) caller(method, url, path, body string, header ...string) reply {
	h := http.Header{}
	for i := 0; i+1 < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	x := s.start("from caller", method+" "+path, h, []byte(body))
	r := send(method, url+path, body, header...)
	s.answer(x, "to caller", r.status, r.header, []byte(r.body))
	return r
}

func (s *transcript) check(t *testing.T, name string) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(s.answered), wait.Timeout(2*time.Second), wait.Gap(5*time.Millisecond)))
	var got strings.Builder
	for _, x := range s.exchanges {
		got.WriteString(x.request + x.answer)
	}
	file := filepath.Join("testdata", name+".golden")
	if *update {
		must.NoError(t, os.MkdirAll("testdata", 0o755))
		must.NoError(t, os.WriteFile(file, []byte(got.String()), 0o644))
	}
	want, err := os.ReadFile(file)
	must.NoError(t, err)
	must.Eq(t, string(want), got.String())
}

func (w *world) recordedEngine(s *transcript, id string) *standin.Engine {
	// When an engine notices the end of an abandoned run is not fixed, so a resumed run must not share its cache.
	e := standin.NewEngine(standin.EngineConfig{ID: id, DecodeStep: 5 * time.Millisecond, Unshared: true})
	w.list(cloud.Instance{ID: id, Address: w.serve(s.endpoint(id, e)), FailureDomain: "fd1", Service: "wording"})
	return e
}

func fixed(prefix string) Config {
	next := counter()
	return Config{
		Instance: prefix, FailureDomain: "fd-" + prefix, NewID: func() string { return prefix + "x" + next() },
		Claimer: newMemoryClaims(),
	}
}

const chatPath = "/v1/chat/completions"

// Guards against unintended changes of what goes over the wire in a whole stream.
func TestGolden_Stream(t *testing.T) {
	w, s := newWorld(t), &transcript{}
	w.recordedEngine(s, "a")
	_, url := w.relay(fixed("e1"))
	s.caller("POST", url, chatPath, chatBody("short tag for a bundle", 5, true))
	s.caller("POST", url, chatPath, chatBody("short tag for a bundle", 5, false))
	s.check(t, "stream")
}

// Guards against unintended changes of the resume after an endpoint was lost.
func TestGolden_ResumedStream(t *testing.T) {
	w, s := newWorld(t), &transcript{}
	w.recordedEngine(s, "a").SetFaults(standin.EngineFaults{CrashMarker: "bundle", CrashMS: 5000})
	w.recordedEngine(s, "b")
	_, url := w.relay(fixed("e1"))
	s.caller("POST", url, chatPath, chatBody("short tag for a bundle", 5, true))
	s.check(t, "resumed-stream")
}

// Guards against unintended changes of calls that run once, their repeats and refusals.
func TestGolden_Booking(t *testing.T) {
	w, s := newWorld(t), &transcript{}
	svc := standin.NewService(standin.ServiceConfig{ID: "s"})
	w.list(cloud.Instance{ID: "s", Address: w.serve(s.endpoint("s", svc)), FailureDomain: "fd1", Service: "orders"})
	_, url := w.relay(fixed("e1"))
	s.caller("POST", url, "/services/orders/book?day=1", `{"customer":17}`, "Idempotency-Key", "pickup-17")
	s.caller("POST", url, "/services/orders/book?day=1", `{"customer":17}`, "Idempotency-Key", "pickup-17")
	s.check(t, "booking-and-repeat")
}

// Guards against unintended changes of refusals.
func TestGolden_Refusal(t *testing.T) {
	w, s := newWorld(t), &transcript{}
	_, url := w.relay(fixed("e1"))
	s.caller("POST", url, "/services/orders/book", `{"customer":17}`)
	s.caller("POST", url, chatPath, chatBody("x", 5, true), "X-Service", "none")
	s.check(t, "refusal")
}

// Guards against unintended changes of a handover and the re-attach at another instance.
func TestGolden_Reattach(t *testing.T) {
	w, s := newWorld(t), &transcript{}
	a := w.recordedEngine(s, "a")
	a.SetFaults(standin.EngineFaults{SilentFrom: 4})
	n := &network{}
	var relays []*Relay
	var urls []string
	for _, id := range []string{"e1", "e2"} {
		cfg := fixed(id)
		cfg.Mesh = n.join(id, cfg.FailureDomain)
		r, url := w.relay(cfg)
		relays, urls = append(relays, r), append(urls, url)
	}
	answer := make(chan reply, 1)
	go func() { answer <- s.caller("POST", urls[0], chatPath, chatBody("short tag for a bundle", 8, true)) }()
	time.Sleep(500 * time.Millisecond)
	a.SetFaults(standin.EngineFaults{})
	must.NoError(t, relays[0].Drain(t.Context(), DrainReclaim))
	<-answer
	time.Sleep(200 * time.Millisecond)
	s.caller("GET", urls[1], "/v1/requests/e1.e1x0001", "", "Last-Event-ID", "e1.e1x0001/2")
	s.check(t, "reattach")
}
