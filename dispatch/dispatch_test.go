package dispatch_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/standin"
	"github.com/trefoillug/trefoillug/table"
)

func endpoint(address string) *table.Endpoint {
	return &table.Endpoint{ID: "a", Address: address, Live: &table.Counters{}}
}

func serve(t *testing.T, h http.Handler) string {
	srv := httptest.NewServer(h)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return strings.TrimPrefix(srv.URL, "http://")
}

func forward(t *testing.T, target string) *standin.Forwarder {
	f, err := standin.NewForwarder(target)
	must.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

func streamCall(e *table.Endpoint, id string, tokens int) *dispatch.StreamCall {
	body, _ := json.Marshal(engine.ChatRequest{Messages: []engine.Message{{Content: "fold the linen"}}, MaxTokens: tokens, Seed: 7, Stream: true})
	return &dispatch.StreamCall{Endpoint: e, RequestID: id, AttemptID: id + "-1", Body: body}
}

func collect(text *strings.Builder) func(*engine.StreamEvent) error {
	return func(e *engine.StreamEvent) error { text.WriteString(e.Content); return nil }
}

// Guards against forwarding events that belong to another attempt, out of order or twice.
func TestStream_DisturbedEvents(t *testing.T) {
	cases := map[string]struct {
		faults standin.EngineFaults
		end    dispatch.End
		tokens int
	}{
		"none":      {standin.EngineFaults{}, dispatch.Complete, 10},
		"doubled":   {standin.EngineFaults{Double: 3}, dispatch.Complete, 10},
		"late":      {standin.EngineFaults{LateAttempt: true}, dispatch.Complete, 10},
		"reordered": {standin.EngineFaults{Reorder: 3}, dispatch.InvalidStream, 2},
		"dropped":   {standin.EngineFaults{Drop: 3}, dispatch.InvalidStream, 2},
		"foreign":   {standin.EngineFaults{Foreign: 3}, dispatch.InvalidStream, 2},
		"silent":    {standin.EngineFaults{StallFrom: 3}, dispatch.Stalled, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := standin.NewEngine(standin.EngineConfig{DecodeStep: time.Millisecond})
			e.SetFaults(c.faults)
			client := dispatch.New(dispatch.Settings{StreamGap: 300 * time.Millisecond})
			var text strings.Builder
			r := client.Stream(t.Context(), streamCall(endpoint(serve(t, e)), "r", 10), collect(&text))
			must.Eq(t, c.end, r.End, must.Sprint(r.Err))
			must.Eq(t, standin.EngineText(7, "fold the linen", c.tokens), text.String())
		})
	}
}

// Guards against stalled connections that are detected late, and against new attempts on them after the detection.
func TestStream_StalledConnections(t *testing.T) {
	for name, ways := range map[string][2]bool{"both": {true, true}, "from engine": {false, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := standin.NewEngine(standin.EngineConfig{DecodeStep: 10 * time.Millisecond})
			f := forward(t, serve(t, e))
			ep := endpoint(f.Address())
			client := dispatch.New(dispatch.Settings{})
			results := startStreams(t, client, ep, 8)
			f.Stall(ways[0], ways[1])
			start := time.Now()
			for range cap(results) {
				must.Eq(t, dispatch.Stalled, (<-results).End)
			}
			must.Less(t, 3*time.Second, time.Since(start))
			must.Greater(t, 1, ep.Live.Generation.Load())
			before := f.Accepted()
			r := client.Stream(t.Context(), streamCall(ep, "z", 3), func(*engine.StreamEvent) error { return nil })
			must.Eq(t, dispatch.Complete, r.End)
			must.Eq(t, before+1, f.Accepted())
		})
	}
}

// startStreams starts n long streams and returns once each has received an event, so that all connections are
// established.
func startStreams(t *testing.T, client *dispatch.Client, ep *table.Endpoint, n int) <-chan dispatch.Result {
	results, started := make(chan dispatch.Result, n), make(chan struct{}, n)
	for i := range n {
		go func() {
			var once sync.Once
			results <- client.Stream(context.Background(), streamCall(ep, string(rune('a'+i)), 2000), func(*engine.StreamEvent) error {
				once.Do(func() { started <- struct{}{} })
				return nil
			})
		}()
	}
	for range n {
		select {
		case <-started:
		case <-time.After(10 * time.Second):
			t.Fatal("not every stream received an event")
		}
	}
	return results
}

// Guards against a stalled stream that also ends the streams of the same endpoint on working connections.
func TestStream_StalledStreamLeavesOthers(t *testing.T) {
	e := standin.NewEngine(standin.EngineConfig{DecodeStep: 10 * time.Millisecond})
	ep := endpoint(serve(t, e))
	client := dispatch.New(dispatch.Settings{StreamGap: 300 * time.Millisecond})
	healthy := make(chan dispatch.Result, 1)
	started := make(chan struct{})
	begin := sync.OnceFunc(func() { close(started) })
	go func() {
		healthy <- client.Stream(context.Background(), streamCall(ep, "h", 100), func(*engine.StreamEvent) error { begin(); return nil })
	}()
	select {
	case <-started:
	case <-time.After(10 * time.Second):
		t.Fatal("the healthy stream received no event")
	}
	e.SetFaults(standin.EngineFaults{StallFrom: 1})
	r := client.Stream(t.Context(), streamCall(ep, "s", 100), func(*engine.StreamEvent) error { return nil })
	must.Eq(t, dispatch.Stalled, r.End)
	must.Eq(t, dispatch.Complete, (<-healthy).End)
}

// Guards against attempts that hang when all connections to the endpoint break at once.
func TestStream_ConnectionsBreak(t *testing.T) {
	e := standin.NewEngine(standin.EngineConfig{DecodeStep: 10 * time.Millisecond})
	f := forward(t, serve(t, e))
	client := dispatch.New(dispatch.Settings{})
	results := startStreams(t, client, endpoint(f.Address()), 20)
	f.CloseConnections()
	for range cap(results) {
		r := <-results
		must.Eq(t, dispatch.Lost, r.End)
		must.Eq(t, dispatch.SentSome, r.Sent)
	}
}

// abortingServer accepts a request and closes the connection without an answer, and counts the requests.
type abortingServer struct{ runs atomic.Int64 }

func (b *abortingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/warm" {
		return
	}
	b.runs.Add(1)
	panic(http.ErrAbortHandler)
}

// Guards against resends by the transport of requests that carry an Idempotency-Key: the endpoint closes an idle
// connection after the request was written, with and without a body.
func TestCall_SendOnceIsNeverRepeated(t *testing.T) {
	for _, body := range []string{"", `{"pickup":"monday"}`} {
		b := &abortingServer{}
		ep := endpoint(serve(t, b))
		client := dispatch.New(dispatch.Settings{})
		_, warm := client.Call(t.Context(), &dispatch.PlainCall{Endpoint: ep, Method: "GET", Path: "/warm", Header: http.Header{}})
		must.Eq(t, dispatch.Complete, warm.End)
		answer, r := client.Call(t.Context(), &dispatch.PlainCall{
			Endpoint: ep, Method: "POST", Path: "/book", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(body), SendOnce: true,
		})
		must.Nil(t, answer)
		must.Eq(t, dispatch.Lost, r.End)
		must.Eq(t, dispatch.SentSome, r.Sent)
		must.Eq(t, 1, b.runs.Load())
	}
}

// Guards against a failed dial that is reported as a call that may have run.
func TestCall_SentNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	l.Close()
	client := dispatch.New(dispatch.Settings{})
	_, r := client.Call(t.Context(), &dispatch.PlainCall{Endpoint: endpoint(address), Method: "POST", Path: "/", Header: http.Header{}, SendOnce: true})
	must.Eq(t, dispatch.NoConn, r.End)
	must.Eq(t, dispatch.SentNothing, r.Sent)
}
