package memory

import "testing"

// Sizes of the crowds. The body limit times the body crowd is above the memory of the machine, and the connection crowd is
// above its descriptors.
const (
	nodeBodyCrowd   = 60
	entryBodyCrowd  = 200
	connectionCrowd = 600
	answerCrowd     = 500
	peerCrowd       = 100
)

type crowdCase struct {
	name   string
	size   int
	kindOf func(i int) client
}

func bodyCases(size int) []crowdCase {
	return []crowdCase{
		{"large_chunks", size, all(largeChunks)},
		{"one_byte_chunks", size, all(oneByteChunks)},
		{"far_over_sent", size, all(farOverSent)},
		{"far_over_announced", size, all(farOverAnnounced)},
		{"stops_short", size, all(stopsShort)},
		{"mixed", size, alternate(bodyClients)},
	}
}

var connectionCases = []crowdCase{
	{"heads_stop_short", connectionCrowd, all(headStopsShort)},
	{"silent", connectionCrowd, all(silent)},
}

// Guards against a node that is killed for its memory, or runs out of descriptors, because a crowd of callers sends bodies or
// heads that are too large or stop short.
func TestNode_Callers(t *testing.T) {
	for _, c := range append(bodyCases(nodeBodyCrowd), connectionCases...) {
		t.Run(c.name, func(t *testing.T) {
			p, front, _, _ := startNode(t, smallFds)
			sendCrowd(t, front, c.size, c.kindOf)
			p.settle()
			p.eventuallyOK("an ordinary request is served", front.ordinary)
			p.check()
		})
	}
}

// Guards against a node that is killed for the memory of answers that endpoints have sent most of.
func TestNode_HeldAnswers(t *testing.T) {
	p, front, _, _ := startNode(t, largeFds)
	sendCrowd(t, front, answerCrowd, all(heldAnswer))
	p.settle()
	p.eventuallyOK("an ordinary request is served", front.ordinary)
	p.check()
}

// Guards against a way around the limits of the callers' listener through the listener for readiness checks.
func TestNode_Readiness(t *testing.T) {
	for _, c := range append(connectionCases, crowdCase{"mixed_bodies", nodeBodyCrowd, alternate(bodyClients)}) {
		t.Run(c.name, func(t *testing.T) {
			p, front, ready, _ := startNode(t, smallFds)
			sendCrowd(t, ready, c.size, c.kindOf)
			p.settle()
			p.eventuallyOK("the readiness check is answered", ready.ordinary)
			p.eventuallyOK("an ordinary request is served", front.ordinary)
			p.check()
		})
	}
}

// Guards against a way around the limits of the callers' listener through the listener for peers.
func TestNode_Control(t *testing.T) {
	for _, c := range append(connectionCases, crowdCase{"mixed_bodies", nodeBodyCrowd, alternate(bodyClients)}) {
		t.Run(c.name, func(t *testing.T) {
			p, front, _, control := startNode(t, smallFds)
			sendCrowd(t, control, c.size, c.kindOf)
			p.settle()
			p.eventuallyOK("the health check is answered", control.ordinary)
			p.eventuallyOK("an ordinary request is served", front.ordinary)
			p.check()
		})
	}
}

// Guards against a node that is killed for the memory of messages that clients of the listener for peers don't complete.
func TestNode_PeerMessages(t *testing.T) {
	p, front, _, control := startNode(t, smallFds)
	sendPeerMessages(t, control, peerCrowd)
	p.settle()
	p.eventuallyOK("the health check is answered", control.ordinary)
	p.eventuallyOK("an ordinary request is served", front.ordinary)
	p.check()
}

// entryCase is a crowd with the entry instance that it is for.
type entryCase struct {
	crowdCase
	p              *process
	callers, peers target
}

// startEntries starts the instances of all cases at once, since each waits for seconds for peers before it serves. Those whose
// turn has not come are idle.
func startEntries(t *testing.T, cases []crowdCase) []entryCase {
	var started []entryCase
	for _, c := range cases {
		p, callers, peers := startEntry(t)
		started = append(started, entryCase{c, p, callers, peers})
	}
	return started
}

// run runs a case; the crowd comes to the listener to.
func (c entryCase) run(t *testing.T, to target) {
	t.Run(c.name, func(t *testing.T) {
		c.p.t = t
		c.p.eventuallyOK("an ordinary request is served", c.callers.ordinary)
		sendCrowd(t, to, c.size, c.kindOf)
		c.p.settle()
		c.p.eventuallyOK("the listener answers", to.ordinary)
		c.p.eventuallyOK("an ordinary request is served", c.callers.ordinary)
		c.p.check()
	})
}

// Guards against an entry instance that is killed for its memory, or runs out of descriptors, because a crowd of callers sends
// bodies or heads that are too large or stop short.
func TestEntry_Callers(t *testing.T) {
	for _, c := range startEntries(t, append(bodyCases(entryBodyCrowd), connectionCases...)) {
		c.run(t, c.callers)
	}
}

// Guards against a way around the limits of the callers' listener through the listener for peers.
func TestEntry_Peers(t *testing.T) {
	for _, c := range startEntries(t, append(connectionCases, crowdCase{"mixed_bodies", entryBodyCrowd, alternate(bodyClients)})) {
		c.run(t, c.peers)
	}
}

// Guards against an entry instance that is killed for the memory of messages that clients of the listener for peers don't
// complete.
func TestEntry_PeerMessages(t *testing.T) {
	p, callers, peers := startEntry(t)
	p.eventuallyOK("an ordinary request is served", callers.ordinary)
	sendPeerMessages(t, peers, peerCrowd)
	p.settle()
	p.eventuallyOK("the health check is answered", peers.ordinary)
	p.eventuallyOK("an ordinary request is served", callers.ordinary)
	p.check()
}
