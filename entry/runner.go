package entry

import (
	"context"
	"time"

	"github.com/trefoillug/trefoillug/core"
)

// eventBuffer is the number of events that may be queued for the core before senders block.
const eventBuffer = 16384

// runner passes events to the core from one goroutine and executes its commands.
type runner struct {
	core      *core.Core
	events    chan core.Event
	execute   func(core.Command) // must not block
	afterStep func()             // called after each step
}

func newRunner(c *core.Core, execute func(core.Command), afterStep func()) *runner {
	return &runner{core: c, events: make(chan core.Event, eventBuffer), execute: execute, afterStep: afterStep}
}

// Post queues an event for the core.
func (r *runner) Post(e core.Event) { r.events <- e }

// run steps the core each tick, and at once after an urgent event, until ctx is done.
func (r *runner) run(ctx context.Context) error {
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	var pending []core.Event
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-r.events:
			pending = append(pending, e)
			if !core.Urgent(e) {
				continue
			}
		case <-ticker.C:
		}
		for _, c := range r.core.Step(time.Now(), pending...) {
			r.execute(c)
		}
		r.afterStep()
		pending = pending[:0]
	}
}
