package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/trefoillug/trefoillug/entry"
	"github.com/trefoillug/trefoillug/pool"
)

func entryCommand() *cli.Command {
	var s entry.Settings
	return &cli.Command{
		Name:  "entry",
		Usage: "run the daemon of an entry instance",
		Flags: []cli.Flag{
			stringFlag("id", "unique name of this instance", "", &s.ID),
			stringFlag("failure-domain", "failure domain of this instance", "", &s.FailureDomain),
			stringFlag("region", "region of the failure domain", "", &s.Region),
			stringFlag("listen", "host:port for callers", "127.0.0.1:8080", &s.Listen),
			stringFlag("peer-listen", "host:port for peers and operators", "127.0.0.1:8081", &s.PeerListen),
			stringFlag("advertise", "host:port under which peers reach this instance; empty: --peer-listen", "", &s.Advertise),
			&cli.StringSliceFlag{Name: "peers", Usage: "host:port of the peer listeners of some instances to join",
				Sources: cli.EnvVars("TREFOILLUG_PEERS"), Destination: &s.Peers},
			stringFlag("store", "base URL of the object API", "", &s.StoreURL),
			stringFlag("platform", "base URL of the instance list and reclaim notices", "", &s.PlatformURL),
			stringFlag("log-level", "debug, info, warning or error", "info", &s.LogLevel),
			durationFlag("balancer-delay", "time the balancer takes to notice that /readyz is false", 3*time.Second, &s.BalancerDelay),
			durationFlag("shutdown-limit", "longest planned stop; streams still open then are handed over", 10*time.Minute, &s.ShutdownLimit),
			&cli.BoolFlag{Name: "pool", Usage: "size the pool of endpoints while holding its lease; off if the platform does it",
				Sources: envVar("pool"), Destination: &s.Pool},
			durationFlag("pool-start-time", "time from the request of an instance until it is listed", pool.DefaultStartTime, &s.PoolStartTime),
			floatFlag("weight-rate", "rate limit of the weight store in bytes a second; 0: no limit", &s.WeightRate),
			floatFlag("weight-bytes", "size of a version's weights in bytes, to pace loading them", &s.WeightBytes),
			&cli.FloatFlag{Name: "memory-mb", Usage: "memory of the machine in MB; 0: no bound", Value: entry.DefaultMemoryMB,
				Sources: envVar("memory-mb"), Destination: &s.MemoryMB},
			&cli.IntFlag{Name: "max-fds", Usage: "descriptors that the process may open, 200 of them for files; 0: no bound",
				Value: entry.DefaultMaxFds, Sources: envVar("max-fds"), Destination: &s.MaxFds},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if err := s.Validate(); err != nil {
				return fmt.Errorf("invalid settings:\n%w", err)
			}
			return runEntry(ctx, s)
		},
	}
}

func runEntry(ctx context.Context, s entry.Settings) error {
	log, err := newLog(os.Stderr, s.LogLevel)
	if err != nil {
		return err
	}
	d, err := entry.New(s, log)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
