package forward

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/placement"
	"github.com/trefoillug/trefoillug/routing"
	"github.com/trefoillug/trefoillug/speed"
)

// bestAt returns the endpoint with the least expected cost. The owners of the prompt are picked from all.
func (f *Forwarder) bestAt(p placement.Request, endpoints, all []*fleet.Endpoint, now time.Time) *fleet.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	describe, paced := f.describer(endpoints[0].Service)
	if paced {
		endpoints = rotated(endpoints, p.ID)
	}
	return lowestCost(describe, p, endpoints, all, now)
}

type describeFunc func(e *fleet.Endpoint, p placement.Request, rank int, now time.Time) placement.Candidate

// lowestCost returns the endpoint whose candidate has the lowest cost.
func lowestCost(describe describeFunc, p placement.Request, endpoints, all []*fleet.Endpoint, now time.Time) *fleet.Endpoint {
	owners := placement.Owners(p, endpointIDs(all))
	candidates := make([]placement.Candidate, len(endpoints))
	for i, e := range endpoints {
		candidates[i] = describe(e, p, slices.Index(owners, e.ID), now)
	}
	return endpoints[placement.Best(p, candidates)]
}

// rotated returns the endpoints in an order that depends on the request: of those with the same cost the first one is
// chosen, which must not be the same one for all requests and instances.
func rotated(endpoints []*fleet.Endpoint, requestID string) []*fleet.Endpoint {
	start := int(routing.HashFraction(requestID) * float64(len(endpoints)))
	return slices.Concat(endpoints[start:], endpoints[:start])
}

func endpointIDs(endpoints []*fleet.Endpoint) []string {
	ids := make([]string, len(endpoints))
	for i, e := range endpoints {
		ids[i] = e.ID
	}
	return ids
}

// describer returns the function that describes the endpoints of a service, and whether they report their pace. If they do,
// an endpoint without a recent report counts as usual for the service: as idle and of average speed it would attract the
// requests of all instances that know nothing about it.
func (f *Forwarder) describer(service string) (describe describeFunc, paced bool) {
	estimator := f.speed(service)
	if !estimator.ReportsPace() {
		return f.candidate, false
	}
	mean := f.foreignLoad(service).Mean()
	return func(e *fleet.Endpoint, p placement.Request, rank int, now time.Time) placement.Candidate {
		c := f.candidate(e, p, rank, now)
		stay := p.Speed.Answer
		if p.Input > 0 {
			stay = p.Speed.Generation
			c.Silence = e.Stats.Silence(now)
		}
		c.Running, c.Uncertainty = e.Stats.ExpectedRunning(mean, stay, now)
		c.Factor = estimator.Factor(&e.Stats.Speed, now)
		return c
	}, true
}

func (f *Forwarder) foreignLoad(service string) *fleet.ForeignLoad {
	if l, ok := f.foreign.Load(service); ok {
		return l.(*fleet.ForeignLoad)
	}
	l, _ := f.foreign.LoadOrStore(service, new(fleet.ForeignLoad))
	return l.(*fleet.ForeignLoad)
}

// recordLoad records a load that an endpoint has reported with an answer.
func (f *Forwarder) recordLoad(e *fleet.Endpoint, load fleet.Load, now time.Time) {
	e.Stats.RecordLoad(load, now)
	f.foreignLoad(e.Service).Record(e.Stats.ReportedForeign())
	if load.Pace > 0 && f.speed(e.Service).RecordPace(&e.Stats.Speed, load.Pace, now) {
		f.cfg.Log.WithFields(logrus.Fields{"service": e.Service, "endpoint": e.ID, "pace": load.Pace}).Info("endpoints report their pace; it decides on the choice")
	}
}

// UpdateSpeedMetrics updates the metrics of the services whose endpoints report their pace.
func (f *Forwarder) UpdateSpeedMetrics(now time.Time) {
	for service, estimator := range f.speeds.Range {
		name := service.(string)
		if pace := estimator.(*speed.Estimator).MeanPace(); pace > 0 {
			f.cfg.Metrics.recordSpeed(name, pace, f.MeanCapacity(name, now), f.foreignLoad(name).Mean())
		}
	}
}

// recordSpeed records the mean pace and the mean capacity of the endpoints of a service, and the mean number of requests
// of other instances at one of them.
func (m *Metrics) recordSpeed(service string, pace, capacity, foreign float64) {
	scope := m.scope.Tagged(map[string]string{"service": service})
	scope.Gauge("mean_pace").Update(pace)
	scope.Gauge("mean_capacity").Update(capacity)
	scope.Gauge("foreign_load").Update(foreign)
}

// MeanCapacity returns how much of the work of an endpoint at which Speed holds an average endpoint of the service does.
func (f *Forwarder) MeanCapacity(service string, now time.Time) float64 {
	all, estimator := f.cfg.Fleet.Service(service), f.speed(service)
	if len(all) == 0 || !estimator.ReportsPace() {
		return 1
	}
	sum := 0.0
	for _, e := range all {
		sum += 1 / estimator.Usual(&e.Stats.Speed, now)
	}
	return sum / float64(len(all))
}

// standardWork returns the time that work would have taken at an endpoint at which Speed holds.
func (r *exchange) standardWork(e *fleet.Endpoint, took time.Duration) time.Duration {
	return time.Duration(float64(took) / r.speed().Factor(&e.Stats.Speed, time.Now()))
}

// currentPace returns the pace that an endpoint has reported, if it probably still holds.
func currentPace(e *fleet.Endpoint, now time.Time) (pace float64, ok bool) {
	pace, age, ok := e.Stats.Speed.Pace(now)
	return pace, ok && speed.IsPaceFresh(age)
}

// recordRatio records a measurement of the speed of an endpoint, divided by the pace and, where the work differs, by the
// time that is expected for it.
func (r *exchange) recordRatio(e *fleet.Endpoint, kind speed.Kind, measured float64, now time.Time) {
	reported := e.Stats.Snapshot(now).Reported
	if reported.Waiting > 0 {
		return
	}
	fill := float64(reported.Running) / max(1, float64(reported.Slots))
	r.speed().RecordRatio(&e.Stats.Speed, kind, measured, fill, now)
}

// recordAnswerPace records the time to the answer of a plain service.
func (r *exchange) recordAnswerPace(e *fleet.Endpoint) {
	now := time.Now()
	if pace, ok := currentPace(e, now); ok {
		r.recordRatio(e, speed.Answer, r.timeToFirst.Seconds()/pace, now)
	}
}

// recordFirstEventPace records the time to the first event of a generation whose prompt has the given tokens to process.
func (r *exchange) recordFirstEventPace(e *fleet.Endpoint, tokens float64) {
	now, s := time.Now(), r.speed().Speed()
	if pace, ok := currentPace(e, now); ok && tokens > 0 {
		r.recordRatio(e, speed.FirstEvent, float64(r.timeToFirst)/float64(s.Base+s.PrefillTime(tokens))/pace, now)
	}
}

// paceSample sums up the events of a stream, while the pace of its endpoint is known.
type paceSample struct {
	endpoint *fleet.Endpoint
	tokens   int
	took     float64 // divided by the pace
}

func (s *paceSample) add(tokens int, took time.Duration, now time.Time) {
	if s.endpoint == nil {
		return
	}
	if pace, ok := currentPace(s.endpoint, now); ok {
		s.tokens, s.took = s.tokens+tokens, s.took+float64(took)/pace
	}
}

// minPaceTokens is the number of tokens below which their pace is not compared.
const minPaceTokens = 8

// endPaceSample records the pace of the events of an attempt.
func (r *exchange) endPaceSample() {
	s := r.paceSample
	r.paceSample = paceSample{}
	if s.tokens >= minPaceTokens {
		r.recordRatio(s.endpoint, speed.Events, s.took/float64(s.tokens), time.Now())
	}
}
