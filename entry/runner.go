package entry

import (
	"context"
	"time"

	"github.com/trefoillug/trefoillug/core"
)

// eventBuffer is the number of events that may wait for the core before the sender waits too.
const eventBuffer = 16384

// runner feeds the core from one goroutine and carries out its commands.
type runner struct {
	core   *core.Core
	events chan core.Event
	do     func(core.Command) // must not block
	after  func()             // called after each step
}

func newRunner(c *core.Core, do func(core.Command), after func()) *runner {
	return &runner{core: c, events: make(chan core.Event, eventBuffer), do: do, after: after}
}

// Post queues an event for the core.
func (r *runner) Post(e core.Event) { r.events <- e }

// run steps the core each tick, and at once after an urgent event, until ctx is done.
func (r *runner) run(ctx context.Context) error {
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	var waiting []core.Event
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-r.events:
			waiting = append(waiting, e)
			if !core.Urgent(e) {
				continue
			}
		case <-ticker.C:
		}
		for _, c := range r.core.Step(time.Now(), waiting...) {
			r.do(c)
		}
		r.after()
		waiting = waiting[:0]
	}
}
