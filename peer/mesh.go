package peer

import (
	"io"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// drainTimeout is the longest wait of Close, on each connection, for queued messages to be sent.
const drainTimeout = 200 * time.Millisecond

func discardLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return l
}

// Self implements Mesh.
func (n *Node) Self() Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.m.self
}

// Members implements Mesh. The result is shared and must not be changed.
func (n *Node) Members() []Member { return *n.members.Load() }

// Publish implements Mesh. Values of more than 8 KiB, keys of more than 256 bytes, more than 512 keys of one member
// and keys that begin with "peer/" are not published; an error is logged. A fact ends with its process: the peers drop it when a
// later process of this member starts.
func (n *Node) Publish(key string, value []byte, ttl time.Duration) {
	value = slices.Clone(value)
	n.publish(n.id, key, value, func(m *machine, now time.Time) { m.publish(key, value, ttl, now) })
}

// PublishShared disseminates a fact that belongs to no member, so that it outlives this process: what is known of others
// than the member itself, such as crashes of endpoints. Each call publishes the next version for all members; of versions that
// members publish at the same time, the one with the highest rank counts. The limits are those of Publish, with 16384
// keys in all.
func (n *Node) PublishShared(key string, rank uint8, value []byte, ttl time.Duration) {
	value = slices.Clone(value)
	n.publish("", key, value, func(m *machine, now time.Time) { m.publishShared(key, rank, value, ttl, now) })
}

func (n *Node) publish(origin, key string, value []byte, publish func(m *machine, now time.Time)) {
	log := n.log.WithFields(logrus.Fields{"key": key, "bytes": len(value)})
	switch {
	case strings.HasPrefix(key, reservedPrefix):
		log.Error("fact has a reserved key and is not published")
		return
	case len(key) > maxKeyBytes || len(value) > maxValueBytes:
		log.Error("fact exceeds a limit and is not published")
		return
	}
	done, full := false, false
	n.do(func(m *machine, now time.Time) {
		publish(m, now)
		done, full = true, m.facts.byID[factID(origin, key)] == nil
	})
	switch {
	case !done:
		log.Info("this member has closed; the fact is not published")
	case full:
		log.Error("too many facts; the fact is not published")
	}
}

// Subscribe implements Mesh. Facts that are already stored are delivered too.
func (n *Node) Subscribe(keyPrefix string, fn func(Fact)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sub := &subscription{keyPrefix, fn}
	n.subs = append(slices.Clone(n.subs), sub)
	for _, f := range n.m.facts.byID {
		if f.Origin != n.id && (f.Origin != "" || f.isShared()) && f.Key != memberKey && strings.HasPrefix(f.Key, keyPrefix) {
			n.notify(event{fact: f.Fact, recipient: sub})
		}
	}
}

// Handle implements Mesh.
func (n *Node) Handle(kind string, h Handler) { n.handlers[kind] = h }

// UpdateMembers replaces the platform's list of instances. The list serves to discover members, not to remove them.
func (n *Node) UpdateMembers(list []Member) {
	n.do(func(m *machine, _ time.Time) { m.updateListed(list) })
}

// Leave announces that this member is leaving. It stays in the mesh until Close.
func (n *Node) Leave() {
	n.do(func(m *machine, now time.Time) { m.leave(statusLeaving, now) })
}

// Close announces that this member has left and closes all connections.
func (n *Node) Close() {
	n.do(func(m *machine, now time.Time) {
		m.leave(statusLeft, now)
		for _, l := range m.links {
			m.flush(l, now)
		}
	})
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.closed = true
	open := n.openSessions()
	n.mu.Unlock()
	for _, s := range open {
		s.drain(drainTimeout)
	}
	time.Sleep(5 * time.Millisecond) // an empty queue doesn't mean that its last message is written to the network
	n.shutdown(open)
}

// kill closes all connections without an announcement, as a crash does.
func (n *Node) kill() {
	n.mu.Lock()
	n.closed = true
	open := n.openSessions()
	n.mu.Unlock()
	n.shutdown(open)
}

// shutdown closes the open connections and waits for all goroutines.
func (n *Node) shutdown(open []*session) {
	n.cancel()
	for _, s := range open {
		s.close()
	}
	n.wg.Wait()
}

// openSessions returns all established connections. The caller must hold n.mu.
func (n *Node) openSessions() []*session {
	var open []*session
	for _, s := range n.sessions {
		open = append(open, s)
	}
	for s := range n.accepted {
		open = append(open, s)
	}
	for _, d := range n.direct {
		select {
		case <-d.done:
			if d.s != nil {
				open = append(open, d.s)
			}
		default:
		}
	}
	return open
}

// Stats returns the current counters.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := Stats{
		BytesSent: n.stats.bytesSent.Load(), BytesReceived: n.stats.bytesReceived.Load(),
		MessagesSent: n.stats.messagesSent.Load(), MessagesReceived: n.stats.messagesReceived.Load(),
		Connections: len(n.m.links), Facts: len(n.m.facts.byID),
	}
	for _, l := range n.m.links {
		if l.outbound {
			s.OutgoingConnections++
		}
	}
	return s
}

// leave announces that this member is leaving or has left. It can't be undone.
func (m *machine) leave(st status, now time.Time) {
	if st <= m.status {
		return
	}
	m.status = st
	m.self.Leaving = true
	m.publishSelf(now)
	m.refreshIfDue(now)
}
