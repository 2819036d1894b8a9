package forward

import (
	"time"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/placement"
	"github.com/trefoillug/trefoillug/speed"
)

// Speed returns the estimated speed of a service's engines.
func (f *Forwarder) Speed(service string) speed.Speed { return f.speed(service).Speed() }

func (f *Forwarder) speed(service string) *speed.Estimator {
	if e, ok := f.speeds.Load(service); ok {
		return e.(*speed.Estimator)
	}
	e, _ := f.speeds.LoadOrStore(service, new(speed.Estimator))
	return e.(*speed.Estimator)
}

func (r *exchange) speed() *speed.Estimator { return r.f.speed(r.service.Name) }

func (r *exchange) recordWork(work time.Duration) { r.f.cfg.OnWork(r.service.Name, work) }

// measurableTokens returns the prompt tokens of a request whose time to the first event shows the speed of the engine:
// those that no other request shares. It returns 0 while requests wait at the engine.
func (r *exchange) measurableTokens(e *fleet.Endpoint, p placement.Request, now time.Time) float64 {
	v := e.Stats.Snapshot(now)
	if len(p.Blocks) == 0 || v.Prefill > 0 || v.Reported.Waiting > 0 {
		return 0
	}
	return float64(p.Blocks[len(p.Blocks)-1].Tokens)
}

// recordFirstEvent records the engine time that the prefill of a prompt took.
func (r *exchange) recordFirstEvent(e *fleet.Endpoint) {
	r.workCounted = true
	r.speed().RecordPrefill(r.measured, r.timeToFirst)
	r.recordFirstEventPace(e, r.measured)
	if p := r.req.Prompt; p != nil && r.service.Engine != nil {
		r.recordWork(r.speed().Speed().PrefillWork(float64(p.Input), r.standardWork(e, r.timeToFirst)))
	}
}

// recordTokens records the engine time that generating the events took, and their pace. last is when the event before
// them arrived, the zero time for none. It returns when the latest event arrived.
func (r *exchange) recordTokens(events []byte, last time.Time) time.Time {
	e := r.service.Engine
	n := countEvents(events)
	if e == nil || n == 0 || r.proxy.isCurrent {
		return last
	}
	now, tokens := time.Now(), n*e.EventTokens
	if !last.IsZero() {
		r.speed().RecordTokens(tokens, now.Sub(last))
		r.paceSample.add(tokens, now.Sub(last), now)
	}
	r.recordWork(time.Duration(tokens) * r.speed().Speed().TokenTime(e.Slots))
	return now
}

// recordUnserved records the engine time that a request would have taken that no engine began to work on. Without it,
// the load would seem to fall when the engines can't keep up with it.
func (r *exchange) recordUnserved() {
	if r.workCounted || r.req.Prompt == nil || r.service.Engine == nil {
		return
	}
	s := r.speed().Speed()
	own := 0.0
	if blocks := r.req.Prompt.Blocks; len(blocks) > 0 {
		own = float64(blocks[len(blocks)-1].Tokens)
	}
	r.recordWork(s.PrefillTime(own) + time.Duration(r.req.Prompt.Output)*s.TokenTime(r.service.Engine.Slots))
}
