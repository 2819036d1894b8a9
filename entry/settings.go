// Package entry combines the systems into the daemon that runs on each entry instance.
package entry

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/sirupsen/logrus"
)

// Settings holds the start settings of a daemon. All other configuration comes from published service files.
type Settings struct {
	ID            string   // unique name of this instance
	FailureDomain string   // failure domain of this instance
	Region        string   // region of the failure domain
	Listen        string   // host:port for callers
	PeerListen    string   // host:port for peers and operators
	Advertise     string   // host:port under which peers reach PeerListen; empty: PeerListen
	Peers         []string // host:port of some other members' peer listeners
	StoreURL      string   // base URL of the object API
	PlatformURL   string   // base URL of the instance list and the reclaim notices
	LogLevel      string   // logrus level
	// BalancerDelay is how long the balancer may take to stop sending requests after /readyz turns false.
	BalancerDelay time.Duration
	// ShutdownLimit bounds a planned stop; streams still open then are handed over.
	ShutdownLimit time.Duration
	// Pool makes this instance a candidate for sizing the pool of endpoints.
	Pool          bool
	PoolStartTime time.Duration // from the request of an instance until it is listed
	WeightRate    float64       // rate limit of the weight store in bytes a second; 0: no limit
	WeightBytes   float64       // size of a version's weights in bytes
	MemoryMB      float64       // memory of the machine
	MaxFds        int           // descriptors that the process may open, of which 200 are for files
}

// Validate returns an error that lists all problems of the settings, each with its flag, or nil.
func (s Settings) Validate() error {
	return errors.Join(
		checkRequired("--id", s.ID),
		checkRequired("--failure-domain", s.FailureDomain),
		checkHostPort("--listen", s.Listen),
		checkHostPort("--peer-listen", s.PeerListen),
		checkOptionalHostPort("--advertise", s.Advertise),
		checkHostPorts("--peers", s.Peers),
		checkBaseURL("--store", s.StoreURL),
		checkBaseURL("--platform", s.PlatformURL),
		checkLogLevel("--log-level", s.LogLevel),
		checkNotNegative("--balancer-delay", s.BalancerDelay),
		checkNotNegative("--shutdown-limit", s.ShutdownLimit),
		checkNotNegative("--pool-start-time", s.PoolStartTime),
		checkNotNegative("--weight-rate", s.WeightRate),
		checkNotNegative("--weight-bytes", s.WeightBytes),
		checkNotNegative("--memory-mb", s.MemoryMB),
		checkNotNegative("--max-fds", s.MaxFds),
	)
}

// advertised returns the address under which peers reach this instance.
func (s Settings) advertised() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.PeerListen
}

func checkRequired(flag, v string) error {
	if v == "" {
		return fmt.Errorf("%s is empty; give it a value", flag)
	}
	return nil
}

func checkHostPort(flag, v string) error {
	if _, _, err := net.SplitHostPort(v); err != nil {
		return fmt.Errorf("%s: %q is not host:port; give for example 127.0.0.1:8080", flag, v)
	}
	return nil
}

func checkOptionalHostPort(flag, v string) error {
	if v == "" {
		return nil
	}
	return checkHostPort(flag, v)
}

func checkHostPorts(flag string, vs []string) error {
	var errs []error
	for _, v := range vs {
		errs = append(errs, checkHostPort(flag, v))
	}
	return errors.Join(errs...)
}

func checkBaseURL(flag, v string) error {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("%s: %q is not an http or https URL; give for example http://127.0.0.1:7000", flag, v)
	}
	return nil
}

func checkLogLevel(flag, v string) error {
	if _, err := logrus.ParseLevel(v); err != nil {
		return fmt.Errorf("%s: %q is not a level; use debug, info, warning or error", flag, v)
	}
	return nil
}

func checkNotNegative[T time.Duration | float64 | int](flag string, v T) error {
	if v < 0 {
		return fmt.Errorf("%s: %v is negative; use 0 or more", flag, v)
	}
	return nil
}
