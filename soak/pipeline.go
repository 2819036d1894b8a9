package soak

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

// pipeline is a caller that sends two requests in one segment and reads their responses in order. It never sends a
// request again.
type pipeline struct {
	*caller
	conn net.Conn
	in   *bufio.Reader
}

// dialTimeout is how long callers wait for a new connection.
const dialTimeout = time.Second

func (p *pipeline) run(ctx context.Context, b *balancer) {
	for ctx.Err() == nil {
		if p.target == nil || p.rng.Float64() < switchShare {
			p.close()
			p.target = b.pick(p.rng)
		}
		if !p.runPair(context.WithoutCancel(ctx)) {
			p.close()
			p.target = nil
		}
		sleep(ctx, time.Duration(p.rng.ExpFloat64()*float64(meanPause)))
	}
	p.close()
}

func (p *pipeline) close() {
	if p.conn != nil {
		_ = p.conn.Close() // no response is outstanding
		p.conn = nil
	}
}

// runPair sends two requests and reads their responses. It returns false if the connection can't be used again.
func (p *pipeline) runPair(ctx context.Context) bool {
	calls := []standin.PlatformCall{p.call(), p.call()}
	var segment bytes.Buffer
	requests := make([]*http.Request, len(calls))
	for n, call := range calls {
		var err error
		if requests[n], err = call.Request(ctx, p.target.machine.Front); err != nil {
			return false
		}
		if err := requests[n].Write(&segment); err != nil {
			return false
		}
	}
	sent := time.Now()
	readable := p.send(segment.Bytes()) == nil
	reusable, unowed := readable, false
	var turn time.Time
	for n, call := range calls {
		a := Attempt{Call: call, Instance: p.target.machine.Name, Sent: sent, Turn: turn, Unowed: unowed}
		last := false
		if readable {
			last = p.readResponse(requests[n], &a)
			readable = a.Complete && !last
		}
		a.Ended = time.Now()
		turn, unowed = a.Ended, !a.Complete || last
		p.env.evidence.addAttempt(a)
		reusable = reusable && !last && !a.endsVisit()
	}
	return reusable
}

// send writes a segment, on a new connection if none is open.
func (p *pipeline) send(segment []byte) error {
	if p.conn == nil {
		conn, err := net.DialTimeout("tcp", p.target.machine.Front, dialTimeout)
		if err != nil {
			return err
		}
		p.conn, p.in = conn, bufio.NewReader(conn)
	}
	if err := p.conn.SetDeadline(time.Now().Add(2*callDeadline + time.Second)); err != nil {
		return err
	}
	_, err := p.conn.Write(segment)
	return err
}

// readResponse reads the next response into an attempt and reports whether it says that the connection ends.
func (p *pipeline) readResponse(req *http.Request, a *Attempt) (last bool) {
	resp, err := http.ReadResponse(p.in, req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := readBody(resp.Body)
	a.setHead(resp)
	a.Body, a.Complete = string(body), err == nil
	return resp.Close
}
