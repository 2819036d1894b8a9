package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is the way from one machine to the platform, which can be cut. Bytes of open connections are held up while it is, and
// lost if their sender resets the connection. A connection that is opened during a cut never carries anything.
type link struct {
	w       *world
	name    string
	address string // of this end
	target  string

	mu     sync.Mutex
	cut    bool
	cuts   int           // so far
	passes chan struct{} // closed while bytes pass
	after  time.Duration // from the end of a cut until held bytes are sent again
}

// newLink returns the address of a link to target.
func (w *world) newLink(name, target string, after time.Duration) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{w: w, name: name, address: listener.Addr().String(), target: target, passes: make(chan struct{}), after: after}
	close(l.passes)
	w.end = append(w.end, func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l, nil
}

// setCut cuts or heals the link.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.cut {
		return
	}
	l.cut = cut
	if cut {
		l.cuts++
		l.passes = make(chan struct{})
		return
	}
	passes := l.passes
	time.AfterFunc(l.after, func() { close(passes) })
}

// state returns whether the link is cut, and the number of cuts so far.
func (l *link) state() (cut bool, cuts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.cuts
}

// open is a closed channel.
var open = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// gate returns a channel that is closed once bytes of a connection pass that was opened after a number of cuts. Those that are
// opened after a cut pass at once.
func (l *link) gate(cuts int) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts == cuts {
		return open
	}
	return l.passes
}

// carry serves one connection of the machine.
func (l *link) carry(c net.Conn) {
	defer c.Close()
	cut, cuts := l.state()
	if cut {
		_, _ = io.Copy(io.Discard, c) // until the machine gives up
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer server.Close()
	back := make(chan struct{})
	go func() {
		defer close(back)
		_ = l.pass(c, server, cuts, "")
		_ = c.(*net.TCPConn).CloseWrite() // fails if the machine has closed
	}()
	if err := l.pass(server, c, cuts, l.name); errors.Is(err, syscall.ECONNRESET) {
		return // what was held is lost
	}
	_ = server.(*net.TCPConn).CloseWrite() // fails if the platform has closed
	<-back
}

// pass copies what arrives from one side to the other. While the link is cut, it holds the bytes, unless their sender resets
// the connection meanwhile. name, unless empty, is logged with bytes that were held.
func (l *link) pass(to, from net.Conn, cuts int, name string) error {
	type chunk struct {
		bytes []byte
		err   error
	}
	chunks := make(chan chunk, 64)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			chunks <- chunk{b[:n], err}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if passes := l.gate(cuts); len(c.bytes) > 0 {
			select {
			case <-passes:
			default:
				if name != "" {
					l.w.logf("%d bytes of %s are held up by the cut", len(c.bytes), name)
				}
				<-passes
				if len(chunks) > 0 {
					if next := <-chunks; errors.Is(next.err, syscall.ECONNRESET) {
						return next.err
					} else if next.err != nil {
						c.err = next.err
					} else {
						c.bytes = append(c.bytes, next.bytes...)
					}
				}
			}
			if _, err := to.Write(c.bytes); err != nil {
				return err
			}
		}
		if c.err != nil {
			return c.err
		}
	}
	return nil
}
