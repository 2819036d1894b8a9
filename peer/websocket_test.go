package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// startSocketNode starts a node that listens on a loopback port.
func startSocketNode(t testing.TB, id, failureDomain string, w *WebSocket, seeds ...string) *Node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	self := Member{ID: id, Address: l.Addr().String(), FailureDomain: failureDomain, Region: "r"}
	n, err := New(Settings{Self: self, Seeds: seeds, Transport: w, RandomSeed: 1})
	must.NoError(t, err)
	n.Handle("echo", func(_ context.Context, from string, body []byte) ([]byte, error) {
		if string(body) == "fail" {
			return nil, errors.New("refused")
		}
		return append([]byte(from+":"), body...), nil
	})
	mux := http.NewServeMux()
	mux.Handle(Path, n.Handler())
	srv := &http.Server{Handler: mux}
	go func() { _ = srv.Serve(w.Listener(l)) }()
	n.Start()
	t.Cleanup(func() {
		n.kill()
		_ = srv.Close()
	})
	return n
}

// eventually polls ok and fails the test after limit.
func eventually(t testing.TB, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(limit), wait.Gap(20*time.Millisecond)), must.Sprint(what))
}

// Guards against members that work only over the in-memory transport. The test covers hellos, facts, calls and typed
// errors over loopback connections.
func TestWebSocket_MeshOverLoopback(t *testing.T) {
	w := NewWebSocket()
	a := startSocketNode(t, "a", "d1", w)
	b := startSocketNode(t, "b", "d2", w, a.Self().Address)
	c := startSocketNode(t, "c", "d3", w, a.Self().Address)
	for _, n := range []*Node{a, b, c} {
		eventually(t, 5*time.Second, "three members", func() bool { return len(n.Members()) == 3 })
	}
	got := make(chan Fact, 8)
	c.Subscribe("x/", func(f Fact) { got <- f })
	b.Publish("x/1", []byte("v"), 0)
	select {
	case f := <-got:
		must.Eq(t, "b", f.Origin)
		must.Eq(t, "v", string(f.Value))
	case <-time.After(2 * time.Second):
		t.Fatal("fact did not arrive")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	out, err := c.Call(ctx, "b", "echo", []byte("hi"))
	must.NoError(t, err)
	must.Eq(t, "c:hi", string(out))
	_, err = c.Call(ctx, "b", "echo", []byte("fail"))
	var remote *RemoteError
	must.True(t, errors.As(err, &remote))
	_, err = c.Call(ctx, "b", "none", nil)
	must.ErrorIs(t, err, ErrNoHandler)
	_, err = c.Call(ctx, "zz", "echo", nil)
	must.ErrorIs(t, err, ErrUnknownMember)
	b.Close()
	eventually(t, 2*time.Second, "b has left", func() bool { return len(a.Members()) == 2 && len(c.Members()) == 2 })
}

// Guards against the last message of a dialled connection that stays in memory after the connection has ended, such as the
// hello of a member that turns out to be connected already.
func TestWebSocket_DialledMessageIsFreed(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		_ = c.Write(r.Context(), websocket.MessageBinary, make([]byte, 100_000))
		_ = c.CloseNow()
	}))
	defer srv.Close()
	freed := make(chan struct{})
	func() {
		c, err := NewWebSocket().Dial(t.Context(), srv.Listener.Addr().String())
		must.NoError(t, err)
		b, err := c.Receive()
		must.NoError(t, err)
		must.Len(t, 100_000, b)
		runtime.AddCleanup(&b[0], func(struct{}) { close(freed) }, struct{}{})
		must.NoError(t, c.Close())
	}()
	eventually(t, 5*time.Second, "the message is freed", func() bool {
		runtime.GC()
		select {
		case <-freed:
			return true
		default:
			return false
		}
	})
}
