package pool

import (
	"math"
	"time"
)

const (
	// growth covers the rise of traffic between two plans and the error of yesterday's profile: days of the same
	// kind differ by about a tenth.
	growth = 1.15
	// maxRatio bounds by how much today may exceed yesterday in the forecast, so that one burst at a quiet hour
	// doesn't multiply the peak.
	maxRatio = 1.5
	// ratioFloor is the share of the day's peak below which today isn't compared with yesterday.
	ratioFloor = 0.2
	// keepAhead is how far the forecast must stay low before capacity is drained, so that a short dip keeps it.
	keepAhead = time.Hour
	// defaultUsable is the usable share of an instance's capacity without a latency target.
	defaultUsable = 0.7
	minUsable     = 0.3
	maxUsable     = 0.9
	// neededRate is the rate planned for a version that is needed without traffic. Any rate above zero asks for an
	// instance in each of two failure domains.
	neededRate = 1e-6
)

// usable returns the share of an instance's capacity at which the latency target holds. Waiting grows with 1/(1-load),
// as in a queue with random arrivals.
func (d *Demand) usable() float64 {
	if d.Target <= 0 || d.Latency <= 0 {
		return defaultUsable
	}
	return min(max(1-float64(d.Latency)/float64(d.Target), minUsable), maxUsable)
}

// rate returns the highest rate of the version to expect until ahead from now.
func (d *Demand) rate(now time.Time, ahead time.Duration) float64 {
	rate := d.Recent
	ratio := d.ratio(now)
	for at := now; ; at = at.Add(ProfileInterval) {
		if at.After(now.Add(ahead)) {
			at = now.Add(ahead)
		}
		rate = max(rate, ratio*d.Profile[step(at)])
		if !at.Before(now.Add(ahead)) {
			break
		}
	}
	rate *= growth * d.Part
	if d.Needed {
		return max(rate, neededRate)
	}
	return rate
}

// ratio compares today with yesterday, as far as the hour has enough traffic for that.
func (d *Demand) ratio(now time.Time) float64 {
	peak := 0.0
	for _, r := range &d.Profile {
		peak = max(peak, r)
	}
	// The recent rate may come from the step before.
	yesterday := max(d.Profile[step(now)], d.Profile[step(now.Add(-ProfileInterval))])
	if yesterday == 0 || yesterday < ratioFloor*peak {
		return 1
	}
	return min(max(d.Recent/yesterday, 1), maxRatio)
}

func step(at time.Time) int {
	at = at.UTC()
	minutes := at.Hour()*60 + at.Minute()
	return minutes / int(ProfileInterval/time.Minute)
}

// loadTime returns how long n instances of the version take to load, one after the other at the store's rate.
func (in *Input) loadTime(d *Demand, n int) time.Duration {
	if in.WeightRate <= 0 {
		return 0
	}
	return time.Duration(float64(n) * d.WeightBytes / in.WeightRate * float64(time.Second))
}

// need returns the capacity that must remain after the loss of any failure domain: the rate expected until an
// instance requested at the next plan could serve. The more instances are missing, the longer their loading takes.
func (in *Input) need(now time.Time, d *Demand, have float64, unit float64) float64 {
	lead := in.StartTime + ProfileInterval
	needed := 0.0
	for range 2 {
		needed = d.rate(now, lead) / d.usable()
		missing := max(0, int(math.Ceil((needed-have)/unit)))
		lead = in.StartTime + ProfileInterval + in.loadTime(d, missing)
	}
	return d.rate(now, lead) / d.usable()
}
