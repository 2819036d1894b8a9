package node

import (
	"context"
	"net/http"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/graceful"
	"github.com/trefoillug/trefoillug/intake"
)

// newMemory returns the memory for what is read from clients, on a machine with so many bytes; 0: without bound.
func (n *Node) newMemory(bytes int64) *intake.Memory {
	if bytes <= 0 {
		return nil
	}
	m := intake.New(intake.BoundFor(bytes))
	m.Report(n.log, n.metrics.scope)
	return m
}

// setMemory sets the bounds that follow from the machine's memory: of the Go runtime, and of what is read from clients.
func (n *Node) setMemory(bytes int64) {
	debug.SetMemoryLimit(int64(float64(bytes) * memoryShare))
	if n.memory != nil {
		n.memory.SetBound(intake.BoundFor(bytes))
	}
}

// reportMemory updates the gauge of the memory for what is read.
func (n *Node) reportMemory(context.Context) {
	if n.memory != nil {
		n.memory.ReportUse()
	}
}

// controlServer returns a server for peers, operators or readiness checks, which send no bodies.
func controlServer(h http.Handler) *http.Server {
	return &http.Server{Handler: intake.RefuseBodies(h), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxControlHeaderBytes}
}

// maxControlHeaderBytes bounds the headers of requests of peers, operators and readiness checks.
const maxControlHeaderBytes = 16 << 10

// boundConns bounds the connections of the listeners by the descriptors and the memory of the machine.
func (n *Node) boundConns(peers, ready, callers *graceful.Server) {
	bounds := intake.ConnBoundsFor(n.settings.MemoryBytes, n.settings.MaxFds)
	bounds.Apply(peers, bounds.Peers, nil)
	bounds.Apply(ready, bounds.Ready, nil)
	bounds.Apply(callers, bounds.Callers, n.memory)
	n.log.WithFields(logrus.Fields{"callers": bounds.Callers, "peers": bounds.Peers, "ready": bounds.Ready}).Info("connections are bounded")
}
