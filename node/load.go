package node

import (
	"sync"
	"time"
)

const (
	// loadAveragingTime is the time over which an instance's load is averaged.
	loadAveragingTime = 4 * time.Second
	// peerLoadLifetime is the age at which a peer's load report is dropped.
	peerLoadLifetime = 3 * time.Second
)

// loadMeter measures the load of each service at this instance and records the loads that peers report. A load is the
// number of endpoints that it keeps busy.
type loadMeter struct {
	mu         sync.Mutex
	busy       map[string]time.Duration // endpoint time used since the last measurement
	averages   map[string]float64       // in endpoints
	measuredAt time.Time
	others     map[string]peerLoad
}

type peerLoad struct {
	loads map[string]uint32
	at    time.Time
}

func newLoadMeter() loadMeter {
	return loadMeter{busy: map[string]time.Duration{}, averages: map[string]float64{}, others: map[string]peerLoad{}, measuredAt: time.Now()}
}

func (m *loadMeter) add(service string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy[service] += d
}

// measure updates the averages and returns them in thousandths of an endpoint.
func (m *loadMeter) measure(now time.Time) map[string]uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.measuredAt)
	if elapsed <= 0 {
		return nil
	}
	m.measuredAt = now
	weight := min(1, float64(elapsed)/float64(loadAveragingTime))
	out := map[string]uint32{}
	for service, busy := range m.busy {
		m.averages[service] += (float64(busy)/float64(elapsed) - m.averages[service]) * weight
		m.busy[service] = 0
		out[service] = uint32(m.averages[service] * 1000)
	}
	return out
}

func (m *loadMeter) receive(origin string, loads map[string]uint32, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.others[origin] = peerLoad{loads, now}
}

// total returns the load of a service over all instances, in endpoints.
func (m *loadMeter) total(service string, now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := m.averages[service]
	for origin, load := range m.others {
		if now.Sub(load.at) > peerLoadLifetime {
			delete(m.others, origin)
			continue
		}
		sum += float64(load.loads[service]) / 1000
	}
	return sum
}
