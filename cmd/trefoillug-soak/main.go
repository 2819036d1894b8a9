// Command trefoillug-soak runs instances as processes on stand-ins of the users' platform, injects faults by a plan
// derived from a seed, and checks the guarantees of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/trefoillug/trefoillug/soak"
)

// maxInstances keeps a run within a few hundred processes and half of a small machine's memory.
const maxInstances = 60

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "trefoillug-soak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	var seed uint64
	var runs, instances int
	var length time.Duration
	var binary string
	return &cli.Command{
		Name:  "trefoillug-soak",
		Usage: "inject seeded faults into real processes and check the guarantees",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first run", Value: 1, Destination: &seed},
			&cli.IntFlag{Name: "runs", Usage: "number of runs, with consecutive seeds", Value: 1, Destination: &runs},
			&cli.DurationFlag{Name: "for", Usage: "length of the load of a run", Value: time.Minute, Destination: &length},
			&cli.IntFlag{Name: "nodes", Usage: "number of instances", Value: 4, Destination: &instances},
			&cli.StringFlag{Name: "binary", Usage: "path of the trefoillug binary; built if empty", Destination: &binary},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if instances < 1 || instances > maxInstances {
				return fmt.Errorf("--nodes is %d: must be 1 to %d", instances, maxInstances)
			}
			dir, err := os.MkdirTemp("", "trefoillug-soak")
			if err != nil {
				return err
			}
			if binary == "" {
				binary = filepath.Join(dir, "trefoillug")
				if out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/trefoillug").CombinedOutput(); err != nil {
					return fmt.Errorf("build trefoillug: %w\n%s", err, out)
				}
			}
			var results []soak.Result
			for n := range runs {
				o := soak.Options{Plan: soak.NewPlan(seed+uint64(n), length, instances), Binary: binary, Dir: filepath.Join(dir, fmt.Sprint(seed+uint64(n)))}
				results = append(results, runPlan(ctx, o))
				if ctx.Err() != nil {
					break
				}
			}
			failed, err := soak.WriteSummary(os.Stdout, results)
			if err != nil {
				return err
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d runs failed; logs are in %s", failed, len(results), dir)
			}
			return os.RemoveAll(dir)
		},
	}
}

// runPlan runs one plan and reports it.
func runPlan(ctx context.Context, o soak.Options) soak.Result {
	fmt.Print(o.Plan)
	r := soak.Result{Plan: o.Plan}
	if r.Err = os.MkdirAll(o.Dir, 0o700); r.Err != nil {
		return r
	}
	if r.Evidence, r.Err = soak.Run(ctx, o); r.Err != nil {
		return r
	}
	r.Breaches = r.Evidence.Check()
	r.Err = soak.Report(os.Stdout, o, r.Evidence, r.Breaches)
	return r
}
