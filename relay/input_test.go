package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/trefoillug/trefoillug/standin"
)

// Guards against invalid requests that get an unspecific error or reach an endpoint.
func TestInput_BadRequests(t *testing.T) {
	env := newTestEnv(t)
	a := env.startEngine("a", "fd1", standin.EngineConfig{})
	s := env.startService("s", standin.ServiceConfig{})
	_, url := env.startRelay(Config{Claimer: newMemoryClaims()})
	const path, ok = "/v1/chat/completions", `{"model":"wording","messages":[{"role":"user","content":"x"}]}`
	long := strings.Repeat("x", 17<<10)
	cases := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		kind                     string
	}{
		{"no JSON", "POST", path, "{", nil, 400, "invalid_request"},
		{"wrong type", "POST", path, `{"model":7}`, nil, 400, "invalid_request"},
		{"array", "POST", path, `[1]`, nil, 400, "invalid_request"},
		{"trailing data", "POST", path, ok + "{}", nil, 400, "invalid_request"},
		{"no messages", "POST", path, `{"model":"wording"}`, nil, 400, "invalid_request"},
		{"negative length", "POST", path, strings.Replace(ok, "{", `{"max_tokens":-1,`, 1), nil, 400, "invalid_request"},
		{"huge length", "POST", path, strings.Replace(ok, "{", `{"max_tokens":1000000,`, 1), nil, 400, "invalid_request"},
		{"large body", "POST", path, strings.Repeat(" ", MaxBodyBytes) + ok, nil, 413, "request_too_large"},
		{"large header", "POST", path, ok, []string{"X-Long", long}, 413, "request_too_large"},
		{"unknown service", "POST", path, ok, []string{"X-Service", "none"}, 404, "unknown_service"},
		{"unknown workspace", "POST", path, ok, []string{"X-Workspace", "none"}, 403, "unknown_workspace"},
		{"bad position", "POST", path, ok, []string{"Last-Event-ID", "nonsense"}, 400, "invalid_request"},
		{"negative position", "POST", path, ok, []string{"Last-Event-ID", "e1.1/-4"}, 400, "invalid_request"},
		{"unknown path", "GET", "/else", "", nil, 404, "unknown_route"},
		{"wrong method", "PUT", path, ok, nil, 404, "unknown_route"},
		{"model service as plain", "GET", "/services/wording/x", "", nil, 404, "unknown_route"},
		{"unknown plain service", "GET", "/services/none/x", "", nil, 404, "unknown_service"},
		{"long key", "POST", "/services/orders/book", "x", []string{"Idempotency-Key", strings.Repeat("k", 257)}, 400, "invalid_request"},
		{"unknown request", "GET", "/v1/requests/e9.1", "", nil, 404, "unknown_request"},
		{"other request", "GET", "/v1/requests/e9.1", "", []string{"Last-Event-ID", "e9.2/1"}, 400, "invalid_request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := send(c.method, url+c.path, c.body, c.header...)
			must.NoError(t, r.err)
			must.Eq(t, c.status, r.status, must.Sprint(r.body))
			must.StrContains(t, r.body, fmt.Sprintf(`"kind":%q`, c.kind))
		})
	}
	must.Eq(t, 431, send("GET", url+"/", "", "X-Long", strings.Repeat(long, 4)).status)
	must.Eq(t, 0, a.Counts().Runs+s.Counts().Runs)
}

// Guards against a caller that occupies a connection by never finishing its request body.
func TestInput_SlowSender(t *testing.T) {
	env := newTestEnv(t)
	_, url := env.startRelay(Config{Limits: Limits{BodyTimeout: 200 * time.Millisecond}})
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"model\"")
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	answer, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.StrContains(t, string(answer), "400 Bad Request")
	must.StrContains(t, string(answer), `"kind":"invalid_request"`)
}

func mustCancelRun(t *testing.T, e *standin.Engine) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		c := e.Counts()
		return c.Cancels == 1 && c.Running == 0
	}), wait.Timeout(2*time.Second), wait.Gap(10*time.Millisecond)))
}

// Guards against an engine that continues a stream after its caller has disconnected.
func TestInput_CallerDisconnects(t *testing.T) {
	env := newTestEnv(t)
	a := env.startEngine("a", "fd1", slowEngine)
	rl, url := env.startRelay(Config{})
	resp, err := http.Post(url+"/v1/chat/completions", "", strings.NewReader(chatBody("review", 2000, true)))
	must.NoError(t, err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	must.NoError(t, err)
	resp.Body.Close()
	mustCancelRun(t, a)
	must.Len(t, 0, rl.openSessions())
}

// smallBuffers is a listener whose connections have small write buffers.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	}
	return conn, err
}

// Guards against a caller that occupies an engine stream by not reading.
func TestInput_SlowReader(t *testing.T) {
	env := newTestEnv(t)
	a := env.startEngine("a", "fd1", standin.EngineConfig{DecodeStep: 100 * time.Microsecond})
	rl, _ := env.startRelay(Config{Limits: Limits{WriteTimeout: 200 * time.Millisecond}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	srv := NewServer(rl)
	go func() { _ = srv.Serve(smallBuffers{l}) }()
	defer srv.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	body := chatBody("review", MaxAnswerTokens, true)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	must.NoError(t, err)
	mustCancelRun(t, a)
	must.Len(t, 0, rl.openSessions())
}
