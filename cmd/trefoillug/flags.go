package main

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// envVar returns the environment variable of a flag: `--log-level` is TREFOILLUG_LOG_LEVEL.
func envVar(flag string) cli.ValueSourceChain {
	return cli.EnvVars("TREFOILLUG_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

func stringFlag(name, usage, value string, dest *string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, Sources: envVar(name), Destination: dest}
}

func durationFlag(name, usage string, value time.Duration, dest *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Sources: envVar(name), Destination: dest}
}

func floatFlag(name, usage string, dest *float64) cli.Flag {
	return &cli.FloatFlag{Name: name, Usage: usage, Sources: envVar(name), Destination: dest}
}
