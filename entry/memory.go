package entry

import (
	"context"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/graceful"
	"github.com/trefoillug/trefoillug/intake"
)

const (
	// DefaultMemoryMB is the assumed memory of the machine of an instance, in MB.
	DefaultMemoryMB = 512
	// DefaultMaxFds is the assumed number of descriptors that an instance may open.
	DefaultMaxFds = 4096
	// memoryShare is the share of the machine's memory that the Go runtime may use before it collects more
	// aggressively; the rest is for kernel buffers, which count too.
	memoryShare = 0.6
)

// newMemory bounds the memory of the Go runtime and returns that for what is read from clients. It returns nil for no bound.
func (d *Daemon) newMemory() *intake.Memory {
	bytes := int64(d.settings.MemoryMB * (1 << 20))
	if bytes <= 0 {
		return nil
	}
	debug.SetMemoryLimit(int64(float64(bytes) * memoryShare))
	m := intake.New(intake.BoundFor(bytes))
	m.Report(d.log, d.metrics.scope)
	return m
}

// reportMemory updates the gauge of the memory for what is read.
func (d *Daemon) reportMemory(context.Context) {
	if d.memory != nil {
		d.memory.ReportUse()
	}
}

// boundConns bounds the connections of the listeners by the descriptors and the memory of the machine.
func (d *Daemon) boundConns(peers, callers *graceful.Server) {
	bounds := intake.ConnBoundsFor(int64(d.settings.MemoryMB*(1<<20)), d.settings.MaxFds)
	bounds.Apply(peers, bounds.Peers, nil)
	bounds.Apply(callers, bounds.Callers, d.memory)
	d.log.WithFields(logrus.Fields{"callers": bounds.Callers, "peers": bounds.Peers}).Info("connections are bounded")
}
