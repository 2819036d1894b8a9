package standin

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Acceptance is what happens to new connections to a Forwarder.
type Acceptance int

// Ways to treat new connections.
const (
	Accepts Acceptance = iota
	Refuses            // they are refused
	Hangs              // nothing answers them
)

// maxFillers is above the number of connections that the queue of a listener without a backlog holds.
const maxFillers = 8

// SetAcceptance sets what happens to new connections from now on.
func (f *Forwarder) SetAcceptance(a Acceptance) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a == f.acceptance {
		return nil
	}
	f.closeListener()
	f.acceptance = a
	if a == Refuses {
		return nil
	}
	l, err := net.Listen("tcp", f.address)
	if err != nil {
		return err
	}
	f.listener = l
	if a == Accepts {
		go f.run(l)
		return nil
	}
	return f.fillQueue()
}

// closeListener closes the listener and what waits in its queue. Callers must hold f.mu.
func (f *Forwarder) closeListener() {
	if f.listener != nil {
		_ = f.listener.Close() // fails only if it is closed already
		f.listener = nil
	}
	for _, c := range f.fillers {
		_ = c.Close()
	}
	f.fillers = nil
}

// fillQueue fills the listener's queue of connections, so that the kernel drops the first packet of all others. Callers must
// hold f.mu.
func (f *Forwarder) fillQueue() error {
	raw, err := f.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), 0) }); err != nil || failed != nil {
		return errors.Join(err, failed)
	}
	for range maxFillers {
		c, err := net.DialTimeout("tcp", f.address, 20*time.Millisecond)
		var failed net.Error
		if errors.As(err, &failed) && failed.Timeout() {
			return nil
		}
		if err != nil {
			return err
		}
		f.fillers = append(f.fillers, c)
	}
	return fmt.Errorf("the queue of %s holds more than %d connections", f.address, maxFillers)
}

// LinkCut is a way in which the links from an instance to all workers are cut.
type LinkCut string

// Ways to cut links.
const (
	CutHangs      LinkCut = "hangs"       // nothing passes on open connections, and nothing answers new ones
	CutResets     LinkCut = "resets"      // open connections are reset and new ones are refused
	CutRefusesNew LinkCut = "refuses-new" // open connections live on and new ones are refused
)

// LinkCuts holds all ways to cut links.
var LinkCuts = []LinkCut{CutHangs, CutResets, CutRefusesNew}

// WorkerLinks are the links from one instance to the workers. They can be cut, while other instances still reach the workers
// and everything else still reaches the instance.
type WorkerLinks struct {
	mu    sync.Mutex
	links map[string]*Forwarder // by address of the worker
	cut   LinkCut               // empty: not cut
}

// NewWorkerLinks returns links that are not cut.
func NewWorkerLinks() *WorkerLinks { return &WorkerLinks{links: map[string]*Forwarder{}} }

// Address returns the address at which the instance reaches the worker at the given address.
func (l *WorkerLinks) Address(worker string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.links[worker]; f != nil {
		return f.Address(), nil
	}
	// Another process must not listen on the address while it is closed.
	f, err := NewForwarderAt(FreeAddress(), worker)
	if err != nil {
		return "", err
	}
	l.links[worker] = f
	return f.Address(), f.cutLink(l.cut)
}

// Cut cuts all links, also those to workers that start later.
func (l *WorkerLinks) Cut(how LinkCut) error { return l.set(how) }

// Restore ends a cut. What was held on open connections arrives.
func (l *WorkerLinks) Restore() error { return l.set("") }

func (l *WorkerLinks) set(how LinkCut) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = how
	var all error
	for _, f := range l.links {
		all = errors.Join(all, f.cutLink(how))
	}
	return all
}

// Accepted returns the number of connections opened so far over all links.
func (l *WorkerLinks) Accepted() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := int64(0)
	for _, f := range l.links {
		sum += f.Accepted()
	}
	return sum
}

// Close closes the links and their connections.
func (l *WorkerLinks) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.links {
		f.Close()
	}
}

// cutLink cuts a link; an empty how restores it.
func (f *Forwarder) cutLink(how LinkCut) error {
	f.Hold(how == CutHangs)
	switch how {
	case CutHangs:
		return f.SetAcceptance(Hangs)
	case CutResets:
		err := f.SetAcceptance(Refuses)
		f.CloseConnections()
		return err
	case CutRefusesNew:
		return f.SetAcceptance(Refuses)
	}
	return f.SetAcceptance(Accepts)
}
