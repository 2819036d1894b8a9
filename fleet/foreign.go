package fleet

import (
	"math"
	"sync"
	"time"
)

const (
	// foreignMeanWeight is the weight of the latest report in the mean of a service: the mean of some dozens of reports is
	// much more certain than each of them.
	foreignMeanWeight = 0.03
	// usualWeight is the weight of the latest report in the usual load of an endpoint.
	usualWeight = 0.25
	// usualHalfLife is the time in which the reports on the usual load of an endpoint lose half of their weight against
	// the mean of its service: an instance may see an endpoint once in ten seconds, and prompts are in fashion for longer.
	usualHalfLife = 30 * time.Second
	// usualPrior is the weight of the mean of the service, in reports. It is small since endpoints differ by the prompts
	// that they have cached: with 2, the busiest of 112 endpoints got 1.7 instead of 1.5 times its fair share.
	usualPrior = 0.25
	// clustering is the variance of the requests at an endpoint in relation to that of independent arrivals. Requests for
	// popular prompts come together, and the mean is an estimate itself.
	clustering = 2.0
	// maxUsualReports bounds the weight of the reports on one endpoint.
	maxUsualReports = 8.0
)

// ForeignLoad is the mean number of requests of other instances at an endpoint of a service, from load reports. In a large
// fleet an instance has no recent report of most endpoints. It is safe for concurrent use.
type ForeignLoad struct {
	mu    sync.Mutex
	known bool
	mean  float64
}

// Record records a report of an endpoint of the service.
func (f *ForeignLoad) Record(foreign float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		f.known, f.mean = true, foreign
	}
	f.mean += (foreign - f.mean) * foreignMeanWeight
}

// Mean returns the mean, 0 without reports.
func (f *ForeignLoad) Mean() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mean
}

// foreign holds what an endpoint has reported about the requests of other instances.
type foreign struct {
	latest   float64
	latestAt time.Time
	usual    float64
	reports  float64 // weight of usual
}

// record records the requests of other instances at a time.
func (f *foreign) record(n float64, now time.Time) {
	left := f.reportsAt(now)
	if left == 0 {
		f.usual = n
	}
	f.usual += (n - f.usual) * max(usualWeight, 1/(left+1))
	f.reports = min(left+1, maxUsualReports)
	f.latest, f.latestAt = n, now
}

func (f *foreign) reportsAt(now time.Time) float64 {
	if f.reports == 0 {
		return 0
	}
	return f.reports * math.Exp2(-max(0, float64(now.Sub(f.latestAt)))/float64(usualHalfLife))
}

// expected returns the requests of other instances that are expected now, and the standard deviation. mean is that of the
// service, stay the mean time that a request stays at an endpoint: as many of the reported ones have ended after it as of
// any others.
func (f *foreign) expected(mean float64, stay time.Duration, now time.Time) (n, deviation float64) {
	reports := f.reportsAt(now)
	if reports == 0 {
		return mean, math.Sqrt(clustering * mean)
	}
	usual := mean + (f.usual-mean)*reports/(reports+usualPrior)
	left := math.Exp(-max(0, float64(now.Sub(f.latestAt))) / float64(max(stay, time.Millisecond)))
	n = usual + (f.latest-usual)*left
	return n, math.Sqrt(clustering * n * (1 - left))
}

// ExpectedRunning returns the requests that are expected at the endpoint, and the standard deviation: this instance's own
// ones and an estimate of those of other instances. For mean and stay see foreign.expected.
func (s *Stats) ExpectedRunning(mean float64, stay time.Duration, now time.Time) (n, deviation float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, deviation = s.foreign.expected(mean, stay, now)
	return n + float64(s.running), deviation
}

// ReportedForeign returns the requests of other instances at the latest report, 0 without one.
func (s *Stats) ReportedForeign() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.foreign.latest
}

// AwaitFirst records that a request counted with Begin waits for its first event.
func (s *Stats) AwaitFirst(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waitsSince.IsZero() {
		s.waitsSince = now
	}
}

// Silence returns for how long the endpoint has answered none of the requests that wait for their first event; 0: none
// waits. An overloaded endpoint answers late, and the instances that wait for it get no report of its load.
func (s *Stats) Silence(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waitsSince.IsZero() {
		return 0
	}
	return max(0, now.Sub(s.waitsSince))
}
