package standin

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// rawTimeout bounds an exchange with a RawEndpoint.
const rawTimeout = 10 * time.Second

// RawEndpoint is an endpoint that answers with scripted bytes. It serves one request on each connection.
type RawEndpoint struct {
	script   func(c net.Conn, req *http.Request)
	listener *net.TCPListener
	running  sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// StartRawEndpoint starts an endpoint on a loopback address. It calls script with each request, whose body has been read,
// and closes the connection afterwards.
func StartRawEndpoint(script func(c net.Conn, req *http.Request)) (*RawEndpoint, error) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // a Multipath TCP socket takes no filter, see CutPath
	l, err := plain.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &RawEndpoint{script: script, listener: l.(*net.TCPListener), conns: map[net.Conn]struct{}{}}
	e.running.Go(e.accept)
	return e, nil
}

// Address returns the address of the endpoint.
func (e *RawEndpoint) Address() string { return e.listener.Addr().String() }

// CutPath makes the kernel drop the packets of new connections; RestorePath ends that.
func (e *RawEndpoint) CutPath() error { return CutPath(e.listener) }

// RestorePath ends the effect of CutPath.
func (e *RawEndpoint) RestorePath() error { return RestorePath(e.listener) }

// Close closes the listener and all connections, and waits for the scripts.
func (e *RawEndpoint) Close() {
	_ = e.listener.Close()
	e.mu.Lock()
	for c := range e.conns {
		_ = c.Close()
	}
	e.mu.Unlock()
	e.running.Wait()
}

func (e *RawEndpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = struct{}{}
		e.mu.Unlock()
		e.running.Go(func() { e.serve(c) })
	}
}

func (e *RawEndpoint) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	_ = c.SetDeadline(time.Now().Add(rawTimeout))
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	e.script(c, req)
}

// CloseConn closes a TCP connection, with a reset if reset is set.
func CloseConn(c net.Conn, reset bool) {
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
