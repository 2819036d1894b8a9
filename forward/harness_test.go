package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/routing"
	"github.com/trefoillug/trefoillug/upstream"
)

// wire is a simple encoding of the headers between the forwarder and endpoints.
type wire struct{}

func (wire) Outbound(a *forward.Attempt) http.Header {
	h := http.Header{
		"Id": {a.Request.ID}, "Endpoint": {a.Endpoint.ID}, "Left": {a.TimeLeft.String()}, "After": {a.LastEventID}, "From": {a.MovedFrom},
	}
	if p := a.Proxied; p != nil {
		h["Proxied"] = []string{fmt.Sprintf("%s runs=%d version=%d counted=%t started=%t", p.From, p.MaxRuns, p.Version, p.IsCounted, p.IsStarted)}
	}
	return h
}

func (wire) IsAnswerTo(h http.Header, id string, _ bool) bool { return h.Get("Id") == id }

func (wire) IsNotRun(_ int, h http.Header) bool { return h.Get("Not-Run") != "" }

func (wire) Load(h http.Header) (l fleet.Load, ok bool) {
	n, _ := fmt.Sscanf(h.Get("Load"), "%d,%d,%d", &l.Running, &l.Waiting, &l.Slots)
	return l, n == 3
}

func (wire) RepeatedHeader(h http.Header) http.Header { return h }

func (wire) Refusal(h http.Header) *forward.Refusal {
	if h.Get("Refusal") == "" {
		return nil
	}
	after, _ := time.ParseDuration(h.Get("Wait"))
	return &forward.Refusal{Err: problem.New(problem.Kind(h.Get("Refusal")), "refused"), RetryAfter: after}
}

// arrival is a request that has arrived at an endpoint. The test's script answers it on conn.
type arrival struct {
	endpoint   string
	id         string
	after      string // the ID of the event after which to resume a stream
	from       string // reference to the memory of the moved run to continue
	proxied    string // what another instance gets with the request
	conn       net.Conn
	connClosed <-chan struct{} // closed when the forwarder has closed the connection
}

func (a *arrival) reply(status int, body string, header ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nId: %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), a.id, len(body))
	for i := 0; i < len(header); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", header[i], header[i+1])
	}
	_, _ = io.WriteString(a.conn, b.String()+"\r\n"+body)
}

// stream sends the head of a stream; chunk sends its data.
func (a *arrival) stream() {
	_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", a.id)
}

func (a *arrival) chunk(text string) { _, _ = fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(text), text) }

func (a *arrival) end() { _, _ = io.WriteString(a.conn, "0\r\n\r\n") }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }

// harness runs a forwarder with scripted endpoints, and implements its quotas and retry budget.
type harness struct {
	t         *testing.T
	config    forward.Config
	forwarder *forward.Forwarder
	fleet     *fleet.Table
	table     *routing.Table
	retries   int // left in the retry budget
	mu        sync.Mutex
	quotaUsed float64
	counted   int // requests of the retry budget
	started   int
	arrivals  []string // endpoint IDs in the order of arrivals
}

const service = "s"

func newHarness(t *testing.T, endpoints int, script func(a *arrival), change ...func(*forward.Config)) *harness {
	t.Helper()
	w := &harness{t: t, retries: 100}
	w.fleet = fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, upstream.Settings{}) })
	for i := range endpoints {
		id := fmt.Sprintf("e%d", i)
		w.fleet.Put(fleet.Entry{ID: id, Service: service, Address: w.listen(id, script), Slots: 8})
	}
	w.table = routing.New(routing.Table{
		Version: 1, Services: map[string]*routing.Service{service: {Name: service}},
		Routes: []routing.Route{
			w.route("once", routing.NonIdempotent, 1, false), w.route("safe", routing.Idempotent, 2, false),
			w.route("stream", routing.Streaming, 1, false), w.route("resume", routing.Streaming, 2, true),
		},
		Workspaces: []routing.Workspace{{Name: "w", Keys: []string{"k"}}},
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := forward.Config{
		Table: func() *routing.Table { return w.table }, Fleet: w.fleet, Wire: wire{}, Quotas: w, RetryBudget: w, Log: log,
		Metrics: forward.NewMetrics(nil), OnStarted: func(string, time.Time) { w.mu.Lock(); w.started++; w.mu.Unlock() },
	}
	for _, c := range change {
		c(&cfg)
	}
	w.config, w.forwarder = cfg, forward.New(cfg)
	return w
}

// setPatient gives connections and answers all the time that they need on a busy machine, so that no attempt is repeated
// for a reason of time.
func (w *harness) setPatient() *harness {
	for _, e := range w.fleet.Service(service) {
		e.Pool = upstream.NewPool(e.Address, upstream.Settings{DialTimeout: 5 * time.Second})
	}
	for i := range w.table.Routes {
		w.table.Routes[i].Timeout, w.table.Routes[i].TargetLatency, w.table.Routes[i].TargetGap = time.Minute, time.Minute, time.Minute
	}
	return w
}

func (w *harness) route(name string, kind routing.Kind, attempts int, resumable bool) routing.Route {
	return routing.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, MaxAttempts: attempts,
		Timeout: 800 * time.Millisecond, TargetLatency: 300 * time.Millisecond, TargetGap: 200 * time.Millisecond,
		Shares: []routing.Share{{Service: service, Weight: 1}},
	}
}

// Acquire implements forward.Quotas.
func (w *harness) Acquire(_ context.Context, _ *routing.Workspace, cost float64) (func(), time.Duration) {
	w.addQuotaUsed(cost)
	return func() { w.addQuotaUsed(-cost) }, 0
}

func (w *harness) addQuotaUsed(cost float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quotaUsed += cost
}

// CountRequest implements forward.RetryBudget.
func (w *harness) CountRequest(string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counted++
}

// AcquireRetry implements forward.RetryBudget.
func (w *harness) AcquireRetry(string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries--
	return w.retries >= 0
}

// setRetries sets what is left in the retry budget.
func (w *harness) setRetries(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries = n
}

func (w *harness) listen(id string, script func(a *arrival)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(w.t, err)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	w.t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for _, c := range open {
			_ = c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			wg.Go(func() { w.serve(id, c, script) })
		}
	})
	return l.Addr().String()
}

func (w *harness) serve(id string, c net.Conn, script func(a *arrival)) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		w.mu.Lock()
		w.arrivals = append(w.arrivals, id)
		w.mu.Unlock()
		connClosed := make(chan struct{})
		go func() {
			_, _ = r.Peek(1)
			close(connClosed)
		}()
		script(&arrival{
			endpoint: id, id: req.Header.Get("Id"), after: req.Header.Get("After"), from: req.Header.Get("From"),
			proxied: req.Header.Get("Proxied"), conn: c, connClosed: connClosed,
		})
		<-connClosed
	}
}

// caller records an answer; it implements forward.ResponseWriter.
type caller struct {
	status  int
	header  http.Header
	length  int64
	body    strings.Builder
	refusal *forward.Refusal
	took    time.Duration
	broken  error
}

func (c *caller) WriteHead(status int, header http.Header, length int64) {
	c.status, c.header, c.length = status, header.Clone(), length
}
func (c *caller) Write(b []byte) (int, error) { return c.body.Write(b) }
func (c *caller) Flush() error                { return nil }

func (c *caller) Refuse(r *forward.Refusal) {
	c.refusal, c.status = r, problem.AnswerFor(problem.KindOf(r.Err)).Status
}

// send makes a request on a route.
func (w *harness) send(ctx context.Context, route string) *caller {
	return w.sendPrompt(ctx, route, nil)
}

// sendPrompt makes a request for a model engine on a route.
func (w *harness) sendPrompt(ctx context.Context, route string, p *forward.Prompt) *caller {
	return w.sendRequest(ctx, route, &forward.Request{Prompt: p})
}

// sendRequest makes a request on a route and sets the fields that all requests have.
func (w *harness) sendRequest(ctx context.Context, route string, req *forward.Request) *caller {
	return w.sendTo(ctx, w.forwarder, route, req)
}

// sendTo is sendRequest at a forwarder, which may be one of another instance.
func (w *harness) sendTo(ctx context.Context, f *forward.Forwarder, route string, req *forward.Request) *caller {
	now := time.Now()
	if req.ID == "" {
		req.ID = "r" + now.Format("150405.000000000")
	}
	req.Method, req.Host, req.Key = http.MethodPost, "h", "k"
	req.Path, req.URI, req.Header = "/"+route+"/x", "/"+route+"/x", http.Header{}
	req.Arrived = now
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(3 * time.Second)
	}
	c := &caller{}
	c.broken = f.Serve(ctx, c, req)
	c.took = time.Since(now)
	return c
}

func (w *harness) arrivalCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.arrivals)
}
