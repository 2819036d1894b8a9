package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/trefoillug/trefoillug/burn"
	"github.com/trefoillug/trefoillug/objstore"
)

// reportTimeout bounds reading all refusal minutes.
const reportTimeout = time.Minute

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:     "report",
		Usage:    "report on the service level",
		Commands: []*cli.Command{burnCommand()},
	}
}

func burnCommand() *cli.Command {
	var store, format string
	var since time.Duration
	var objective float64
	return &cli.Command{
		Name:  "burn",
		Usage: "refusal minutes and burn rates for each service and workspace",
		Flags: []cli.Flag{
			stringFlag("store", "base URL of the object API", "", &store),
			stringFlag("format", "text, json or html", "text", &format),
			durationFlag("since", "how far back the report goes", 24*time.Hour, &since),
			&cli.FloatFlag{Name: "objective", Usage: "share of minutes without a refusal", Value: 0.999,
				Sources: envVar("objective"), Destination: &objective},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if objective <= 0 || objective >= 1 {
				return fmt.Errorf("--objective: %v is not between 0 and 1; give for example 0.999", objective)
			}
			if since <= 0 {
				return fmt.Errorf("--since: %s is not above 0; give for example 24h", since)
			}
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			now := time.Now()
			rows, err := burn.Read(ctx, objstore.NewClient(store, http.DefaultClient), now.Add(-since), now)
			if err != nil {
				return err
			}
			return writeReport(burn.NewReport(rows, now.Add(-since), now, objective), format)
		},
	}
}

func writeReport(r burn.Report, format string) error {
	switch format {
	case "text":
		return r.WriteText(os.Stdout)
	case "json":
		return json.NewEncoder(os.Stdout).Encode(r)
	case "html":
		return r.WriteHTML(os.Stdout)
	default:
		return fmt.Errorf("--format: %q is not known; use text, json or html", format)
	}
}
