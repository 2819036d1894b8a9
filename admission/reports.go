package admission

import "time"

// Load is what an endpoint reports.
type Load struct{ Running, Waiting, Slots int }

// Usage returns the usage of an endpoint: the share of its slots that is in use, and above 1 the requests that wait. An
// engine may let requests wait for memory while it has free slots.
func (l Load) Usage() float64 {
	switch {
	case l.Slots <= 0:
		return 0
	case l.Waiting > 0:
		return 1 + float64(l.Waiting)/float64(l.Slots)
	}
	return float64(l.Running) / float64(l.Slots)
}

const (
	// reportAge is the age from which a report counts for nothing.
	reportAge = time.Second
	// maxUsage bounds the usage of one endpoint in the mean: a long queue at one leaves the others their room.
	maxUsage = 2.5
	// usualUsage with priorWeight, in reports, stands for the endpoints of which there is no report: one busy endpoint is no
	// shortage.
	usualUsage  = 0.7
	priorWeight = 1.0
	// answeredUsage and rejectedUsage stand for the usage of endpoints that report no load. A tenth of rejections among the
	// answers is a usage of 1.4.
	answeredUsage = 0.9
	rejectedUsage = 6.0
	// firstRejection is the usage of an endpoint that rejects a request when none has rejected one in the last reportAge: one
	// rejection, as by an endpoint that stops, is no shortage. An instance with little traffic has no report besides it.
	firstRejection = 1.0
	outcomeWeight  = 0.1
)

// Reports holds the latest load reports of the endpoints of a service. The zero value is empty.
type Reports struct {
	byEndpoint map[string]report
	rejectedAt time.Time // latest rejection
	outcomes   float64   // mean of answeredUsage and rejectedUsage over the latest answers
}

type report struct {
	usage float64
	at    time.Time
}

// RecordAnswer records an answer of an endpoint. hasLoad is false if it reports no load.
func (r *Reports) RecordAnswer(endpoint string, l Load, hasLoad bool, now time.Time) {
	r.recordOutcome(answeredUsage)
	if hasLoad && l.Slots > 0 {
		r.record(endpoint, l.Usage(), now)
	}
}

// RecordRejection records that an endpoint has rejected a request for lack of room.
func (r *Reports) RecordRejection(endpoint string, now time.Time) {
	r.recordOutcome(rejectedUsage)
	usage := maxUsage
	if now.Sub(r.rejectedAt) >= reportAge {
		usage = firstRejection
	}
	r.rejectedAt = now
	if len(r.byEndpoint) == 0 {
		return
	}
	if old := r.byEndpoint[endpoint]; now.Sub(old.at) < reportAge {
		usage = max(usage, old.usage)
	}
	r.record(endpoint, usage, now)
}

func (r *Reports) recordOutcome(usage float64) {
	if r.outcomes == 0 {
		r.outcomes = answeredUsage
	}
	r.outcomes += outcomeWeight * (usage - r.outcomes)
}

func (r *Reports) record(endpoint string, usage float64, now time.Time) {
	if r.byEndpoint == nil {
		r.byEndpoint = map[string]report{}
	}
	r.byEndpoint[endpoint] = report{min(usage, maxUsage), now}
}

// Usage returns the mean usage of the endpoints by their reports of the last second. Older ones are dropped. Without any
// report it follows from the rejections among the answers. cautious is closer to the usual usage, the fewer reports there
// are.
func (r *Reports) Usage(now time.Time) (usage, cautious float64) {
	sum, weights := 0.0, 0.0
	for id, latest := range r.byEndpoint {
		age := now.Sub(latest.at)
		if age >= reportAge {
			delete(r.byEndpoint, id)
			continue
		}
		weight := 1 - float64(age)/float64(reportAge)
		sum += weight * weight * latest.usage
		weights += weight * weight
	}
	if weights == 0 {
		return r.outcomes, r.outcomes
	}
	return sum / weights, (sum + priorWeight*usualUsage) / (weights + priorWeight)
}
