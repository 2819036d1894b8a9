package soak

import (
	"math/rand/v2"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

// Site is the shape of an installation and of its load.
type Site struct {
	Name        string
	Instances   int // default number
	Zones       int // instances and endpoints are in failure domains in turn
	Models      int // number of endpoints of the model service
	ModelSlots  int
	Orders      int // number of endpoints of the plain service
	OrderSlots  int
	EventTokens int // tokens that an event of a stream holds
	// Events of a stream that can't be resumed, of one that can, and of a short one that can't. 0: the default.
	DraftEvents, NotesEvents, ChatEvents int
	// Shares of the load that are streams (draft: long), and plain requests (book: not idempotent). The rest is idempotent.
	Draft, Chat, Notes, Book float64
	// EventAnswers is the share of the idempotent requests whose answers are events.
	EventAnswers float64
	// Resumes is set if callers resume broken streams.
	Resumes bool
}

// standardSite is the site of plans that name none.
var standardSite = Site{
	Name: "standard", Instances: 4, Zones: 1, Models: 4, ModelSlots: 8, Orders: 4, OrderSlots: 8, EventTokens: 5, Chat: 0.15, Notes: 0.25, Book: 0.3,
}

// Sites are the sites by name.
var Sites = map[string]Site{
	standardSite.Name: standardSite,
	"wide": {
		Name: "wide", Instances: 7, Zones: 4, Models: 12, ModelSlots: 64, Orders: 4, OrderSlots: 6, EventTokens: 6,
		DraftEvents: 64, NotesEvents: 49, ChatEvents: 4, Draft: 0.17, Chat: 0.33, Notes: 0.24, Book: 0.18, EventAnswers: 0.5, Resumes: true,
	},
	"deep": {
		Name: "deep", Instances: 8, Zones: 4, Models: 9, ModelSlots: 128, Orders: 4, OrderSlots: 6, EventTokens: 5,
		DraftEvents: 76, NotesEvents: 58, ChatEvents: 5, Draft: 0.17, Chat: 0.27, Notes: 0.3, Book: 0.18, EventAnswers: 0.5, Resumes: true,
	},
}

// zone returns the failure domain of the nth instance or endpoint.
func (s Site) zone(n int) string { return string(rune('a' + n%s.Zones)) }

// slots returns the number of requests that an endpoint of a service runs at the same time.
func (s Site) slots(service string) int {
	if service == standin.PlatformModels {
		return s.ModelSlots
	}
	return s.OrderSlots
}

// output returns the number of output tokens of a stream with a number of events. 0 events: the default.
func (s Site) output(events int) int {
	if events == 0 {
		return streamTokens
	}
	return events * s.EventTokens
}

const (
	// minBreaking and maxBreaking bound how long streams break at a time, and meanWhole is the mean time between.
	minBreaking = 3 * time.Second
	maxBreaking = 7 * time.Second
	meanWhole   = 1500 * time.Millisecond
	// rolloutShare is the share of plans with an order to move the model service to a new version.
	rolloutShare = 0.5
)

// siteKinds are the kinds drawn for the plan of a site whose callers resume streams.
var siteKinds = append([]Kind{
	WeightsChange, WeightsChange, EndpointCrash, EndpointReset, EndpointLeave, EndpointBreaksEvents, InstanceStop, InstanceKill,
}, kinds...)

// NewSitePlan returns the plan for a seed on a site. The same arguments give the same plan.
func NewSitePlan(seed uint64, length time.Duration, instances int, site Site) Plan {
	rng := rand.New(rand.NewPCG(seed, 2))
	p := Plan{Seed: seed, Length: length, Instances: instances, Site: site, Faults: drawFaults(rng, length, siteKinds)}
	breaking := calmStart
	if last := length - CalmEnd - 2*rolloutRamp; last > calmStart && rng.Float64() < rolloutShare {
		f := Fault{At: calmStart, For: 2 * rolloutRamp, Kind: RollOut}
		if rng.IntN(2) == 0 {
			f.At += time.Duration(rng.Int64N(int64(last - calmStart))) // many answers of both versions break off, so that it may be reverted
		} else {
			breaking += rolloutRamp
		}
		p.Faults = append(p.Faults, f)
	}
	for at := breaking; at < length-CalmEnd-minBreaking; {
		f := Fault{At: at, For: minBreaking + time.Duration(rng.Int64N(int64(maxBreaking-minBreaking))), Kind: StreamsBreak}
		f.For = min(f.For, length-CalmEnd-at)
		p.Faults = append(p.Faults, f)
		at += f.For + time.Duration(rng.ExpFloat64()*float64(meanWhole))
	}
	p.addDeadlyRequests(rng)
	p.addRepeatedRequests()
	p.addPlannedEnd(rng)
	return p
}

// NewDrawnSitePlan returns the plan for a seed on one of the sites whose callers resume streams, drawn by the seed.
func NewDrawnSitePlan(seed uint64, length time.Duration, instances int) Plan {
	return NewSitePlan(seed, length, instances, Sites[[]string{"deep", "wide"}[seed%2]])
}
