package relay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/dispatch"
)

const (
	defaultBodyTimeout      = 10 * time.Second
	defaultWriteTimeout     = 10 * time.Second
	defaultRetentionTime    = time.Minute
	defaultMaxWaiting       = 4096
	defaultMaxRetainedBytes = 64 << 20
)

func (c Config) withDefaults() Config {
	if c.Post == nil {
		c.Post = func(core.Event) {}
	}
	if c.Dispatch == nil {
		c.Dispatch = dispatch.New(dispatch.Settings{})
	}
	if c.NewID == nil {
		c.NewID = func() string { return fmt.Sprintf("%016x", rand.Uint64()) }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	c.Limits = c.Limits.withDefaults()
	return c.withDefaultComponents()
}

func (c Config) withDefaultComponents() Config {
	if c.Chooser == nil {
		c.Chooser = LeastInFlight{}
	}
	if c.Admitter == nil {
		c.Admitter = AdmitAll{}
	}
	if c.Claimer == nil {
		c.Claimer = NoClaims{}
	}
	if c.Quarantine == nil {
		c.Quarantine = NoQuarantine{}
	}
	if c.RetryBudget == nil {
		c.RetryBudget = UnlimitedRetries{}
	}
	return c
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.BodyTimeout, defaultBodyTimeout)
	setDefault(&l.WriteTimeout, defaultWriteTimeout)
	setDefault(&l.RetentionTime, defaultRetentionTime)
	setDefault(&l.MaxWaiting, defaultMaxWaiting)
	setDefault(&l.MaxRetainedBytes, defaultMaxRetainedBytes)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
