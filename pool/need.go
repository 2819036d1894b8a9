package pool

import (
	"math"
	"time"
)

const (
	// growthFactor covers the rise of traffic between two plans and the error of yesterday's profile. Days of the same
	// kind differ by about a tenth.
	growthFactor = 1.15
	// maxRatio limits the ratio of today to yesterday in the forecast, so that a burst in an hour of little traffic
	// doesn't inflate the forecast of the peak.
	maxRatio = 1.5
	// ratioFloor is the fraction of yesterday's peak below which today isn't compared with yesterday.
	ratioFloor = 0.2
	// drainHorizon is how far ahead the forecast must stay low before capacity is drained, so that a short dip drains
	// none.
	drainHorizon = time.Hour
	// defaultUsable is the usable fraction of an instance's capacity without a latency target.
	defaultUsable = 0.7
	minUsable     = 0.3
	maxUsable     = 0.9
	// neededRate is the rate planned for a needed version without traffic. Any rate above zero results in an instance
	// in each of two failure domains.
	neededRate = 1e-6
)

// usable returns the fraction of an instance's capacity up to which the latency target is met. It assumes that latency
// grows with 1/(1-load), as in a queue with random arrivals.
func (d *Demand) usable() float64 {
	if d.Target <= 0 || d.Latency <= 0 {
		return defaultUsable
	}
	return min(max(1-float64(d.Latency)/float64(d.Target), minUsable), maxUsable)
}

// rate returns the highest rate expected for the version between now and now+ahead.
func (d *Demand) rate(now time.Time, ahead time.Duration) float64 {
	rate := d.RecentRate
	ratio := d.todayRatio(now)
	for at := now; ; at = at.Add(ProfileInterval) {
		if at.After(now.Add(ahead)) {
			at = now.Add(ahead)
		}
		rate = max(rate, ratio*d.Profile[profileStep(at)])
		if !at.Before(now.Add(ahead)) {
			break
		}
	}
	rate *= growthFactor * d.MaxShare
	if d.Needed {
		return max(rate, neededRate)
	}
	return rate
}

// todayRatio returns the ratio of today's rate to yesterday's, from 1 to maxRatio. It is 1 when yesterday had too
// little traffic at this hour to compare with.
func (d *Demand) todayRatio(now time.Time) float64 {
	peak := 0.0
	for _, r := range &d.Profile {
		peak = max(peak, r)
	}
	// The recent rate may have been measured in the previous step.
	yesterday := max(d.Profile[profileStep(now)], d.Profile[profileStep(now.Add(-ProfileInterval))])
	if yesterday == 0 || yesterday < ratioFloor*peak {
		return 1
	}
	return min(max(d.RecentRate/yesterday, 1), maxRatio)
}

func profileStep(at time.Time) int {
	at = at.UTC()
	minutes := at.Hour()*60 + at.Minute()
	return minutes / int(ProfileInterval/time.Minute)
}

// loadTime returns how long n instances of the version take to load one after the other at the weight store's rate.
func (in *Input) loadTime(d *Demand, n int) time.Duration {
	if in.WeightRate <= 0 {
		return 0
	}
	return time.Duration(float64(n) * d.WeightBytes / in.WeightRate * float64(time.Second))
}

// need returns the capacity that must remain after the loss of any failure domain. It covers the rate expected until an
// instance requested by the next plan can serve. The more instances are missing, the longer they take to load.
func (in *Input) need(now time.Time, d *Demand, have float64, instanceCapacity float64) float64 {
	lead := in.StartTime + ProfileInterval
	needed := 0.0
	for range 2 {
		needed = d.rate(now, lead) / d.usable()
		missing := max(0, int(math.Ceil((needed-have)/instanceCapacity)))
		lead = in.StartTime + ProfileInterval + in.loadTime(d, missing)
	}
	return d.rate(now, lead) / d.usable()
}
