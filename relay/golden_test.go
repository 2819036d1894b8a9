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

// transcript records HTTP exchanges in the order in which they started.
type transcript struct {
	mu        sync.Mutex
	exchanges []*exchange
}

// exchange is a recorded request with its answer.
type exchange struct{ request, answer string }

func (tr *transcript) start(title, start string, h http.Header, body []byte) *exchange {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	x := &exchange{request: message(title, start, h, body)}
	tr.exchanges = append(tr.exchanges, x)
	return x
}

func (tr *transcript) answer(x *exchange, title string, status int, h http.Header, body []byte) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	x.answer = message(title, fmt.Sprint("status ", status), h, body)
}

// allAnswered reports whether every request has an answer. An endpoint's answer is recorded when its handler returns.
func (tr *transcript) allAnswered() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return !slices.ContainsFunc(tr.exchanges, func(x *exchange) bool { return x.answer == "" })
}

func message(title, start string, h http.Header, body []byte) string {
	var b strings.Builder
	fmt.Fprintf(&b, "=== %s\n%s\n", title, start)
	names := slices.Sorted(maps.Keys(h))
	for _, name := range names {
		// Dates differ between runs, and lengths are implied by the bodies.
		if name != "Date" && name != "Content-Length" {
			fmt.Fprintf(&b, "%s: %s\n", name, h.Get(name))
		}
	}
	fmt.Fprintf(&b, "\n%s\n", bytes.TrimRight(body, "\n"))
	return b.String()
}

// recordEndpoint wraps the handler of an endpoint to record the calls that it receives.
func (tr *transcript) recordEndpoint(id string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		if r.URL.Path == engine.PathCancel {
			// Cancels are sent in the background, so their order is not deterministic.
			next.ServeHTTP(w, r)
			return
		}
		x := tr.start("to endpoint "+id, r.Method+" "+r.URL.RequestURI(), r.Header, body)
		rec := &recorder{ResponseWriter: w}
		defer func() { tr.answer(x, "from endpoint "+id, max(rec.status, 200), w.Header(), rec.body.Bytes()) }()
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

// callAndRecord sends a call as a caller and records it with its answer.
func (tr *transcript) callAndRecord(method, url, path, body string, header ...string) reply {
	h := http.Header{}
	for i := 0; i+1 < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	x := tr.start("from caller", method+" "+path, h, []byte(body))
	r := send(method, url+path, body, header...)
	tr.answer(x, "to caller", r.status, r.header, []byte(r.body))
	return r
}

func (tr *transcript) checkGolden(t *testing.T, name string) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(tr.allAnswered),
		wait.Timeout(2*time.Second), wait.Gap(5*time.Millisecond)))
	var got strings.Builder
	for _, x := range tr.exchanges {
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

func (env *testEnv) startRecordedEngine(s *transcript, id string) *standin.Engine {
	// The time at which an engine notices that a run was abandoned varies, so a resumed run must not share its cache.
	e := standin.NewEngine(standin.EngineConfig{ID: id, DecodeStep: 5 * time.Millisecond, NoKVSharing: true})
	env.addInstance(cloud.Instance{
		ID: id, Address: env.serve(s.recordEndpoint(id, e)), FailureDomain: "fd1", Service: "wording"})
	return e
}

func fixedIDConfig(prefix string) Config {
	next := sequentialIDs()
	return Config{
		Instance: prefix, FailureDomain: "fd-" + prefix, NewID: func() string { return prefix + "x" + next() },
		Claimer: newMemoryClaims(),
	}
}

const chatPath = "/v1/chat/completions"

// Guards against unintended changes to the HTTP exchanges of a complete stream.
func TestGolden_Stream(t *testing.T) {
	env, tr := newTestEnv(t), &transcript{}
	env.startRecordedEngine(tr, "a")
	_, url := env.startRelay(fixedIDConfig("e1"))
	tr.callAndRecord("POST", url, chatPath, chatBody("short tag for a bundle", 5, true))
	tr.callAndRecord("POST", url, chatPath, chatBody("short tag for a bundle", 5, false))
	tr.checkGolden(t, "stream")
}

// Guards against unintended changes to the HTTP exchanges of a stream that is resumed after the loss of its endpoint.
func TestGolden_ResumedStream(t *testing.T) {
	env, tr := newTestEnv(t), &transcript{}
	env.startRecordedEngine(tr, "a").SetFaults(standin.EngineFaults{CrashMarker: "bundle", CrashMS: 5000})
	env.startRecordedEngine(tr, "b")
	_, url := env.startRelay(fixedIDConfig("e1"))
	tr.callAndRecord("POST", url, chatPath, chatBody("short tag for a bundle", 5, true))
	tr.checkGolden(t, "resumed-stream")
}

// Guards against unintended changes to the HTTP exchanges of a call that runs at most once, and of its repeat.
func TestGolden_CallOnce(t *testing.T) {
	env, tr := newTestEnv(t), &transcript{}
	svc := standin.NewService(standin.ServiceConfig{ID: "s"})
	env.addInstance(cloud.Instance{
		ID: "s", Address: env.serve(tr.recordEndpoint("s", svc)), FailureDomain: "fd1", Service: "orders"})
	_, url := env.startRelay(fixedIDConfig("e1"))
	tr.callAndRecord("POST", url, "/services/orders/book?day=1", `{"customer":17}`, "Idempotency-Key", "pickup-17")
	tr.callAndRecord("POST", url, "/services/orders/book?day=1", `{"customer":17}`, "Idempotency-Key", "pickup-17")
	tr.checkGolden(t, "booking-and-repeat")
}

// Guards against unintended changes to the HTTP exchanges of refused requests.
func TestGolden_Refusal(t *testing.T) {
	env, tr := newTestEnv(t), &transcript{}
	_, url := env.startRelay(fixedIDConfig("e1"))
	tr.callAndRecord("POST", url, "/services/orders/book", `{"customer":17}`)
	tr.callAndRecord("POST", url, chatPath, chatBody("x", 5, true), "X-Service", "none")
	tr.checkGolden(t, "refusal")
}

// Guards against unintended changes to the HTTP exchanges of a handover with a re-attach at another instance.
func TestGolden_Reattach(t *testing.T) {
	env, tr := newTestEnv(t), &transcript{}
	a := env.startRecordedEngine(tr, "a")
	a.SetFaults(standin.EngineFaults{StallFrom: 4})
	n := &fakeNetwork{}
	var relays []*Relay
	var urls []string
	for _, id := range []string{"e1", "e2"} {
		cfg := fixedIDConfig(id)
		cfg.Mesh = n.join(id, cfg.FailureDomain)
		r, url := env.startRelay(cfg)
		relays, urls = append(relays, r), append(urls, url)
	}
	answer := make(chan reply, 1)
	go func() {
		answer <- tr.callAndRecord("POST", urls[0], chatPath, chatBody("short tag for a bundle", 8, true))
	}()
	time.Sleep(500 * time.Millisecond)
	a.SetFaults(standin.EngineFaults{})
	must.NoError(t, relays[0].Drain(t.Context(), DrainReclaim))
	<-answer
	time.Sleep(200 * time.Millisecond)
	tr.callAndRecord("GET", urls[1], "/v1/requests/e1.e1x0001", "", "Last-Event-ID", "e1.e1x0001/2")
	tr.checkGolden(t, "reattach")
}
