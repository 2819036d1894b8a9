// Command trefoillug-soak runs instances as processes on stand-ins of the users' platform, injects faults by a plan
// derived from a seed, and checks the guarantees of the product.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

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
	var runs, parallel, instances int
	var length time.Duration
	var program, site string
	var planned, soundContinuations, drills, repeats bool
	return &cli.Command{
		Name:  "trefoillug-soak",
		Usage: "inject seeded faults into real processes and check the guarantees",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first run", Value: 1, Destination: &seed},
			&cli.IntFlag{Name: "runs", Usage: "number of runs, with consecutive seeds", Value: 1, Destination: &runs},
			&cli.IntFlag{Name: "parallel", Usage: "number of runs at the same time", Value: 1, Destination: &parallel},
			&cli.DurationFlag{Name: "for", Usage: "length of the load of a run", Value: time.Minute, Destination: &length},
			&cli.IntFlag{Name: "nodes", Usage: "number of instances; that of the site if 0", Destination: &instances},
			&cli.BoolFlag{Name: "planned", Usage: "planned work only, by which no request may be interrupted", Destination: &planned},
			&cli.BoolFlag{Name: "sound-continuations", Usage: "endpoints answer requests for the rest of a stream soundly", Destination: &soundContinuations},
			&cli.BoolFlag{Name: "drills", Usage: "the store also comes back from an older copy of itself", Destination: &drills},
			&cli.BoolFlag{Name: "repeats", Usage: "requests that crash endpoints also come again throughout, with harmless ones beside them", Destination: &repeats},
			&cli.StringFlag{Name: "program", Aliases: []string{"binary"}, Usage: "path of the program to run as an instance; built if empty", Destination: &program},
			&cli.StringFlag{Name: "site", Usage: "shape of the installation: " + strings.Join(siteNames(), ", "), Value: "standard", Destination: &site},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			newPlan, instances, err := planner(site, instances, planned)
			if err != nil {
				return err
			}
			if parallel < 1 || instances < 1 || instances*parallel > maxInstances {
				return fmt.Errorf("--nodes is %d and --parallel %d: both must be at least 1, and their product at most %d", instances, parallel, maxInstances)
			}
			dir, err := os.MkdirTemp("", "trefoillug-soak")
			if err != nil {
				return err
			}
			if program == "" {
				program = filepath.Join(dir, "trefoillug")
				if out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/trefoillug").CombinedOutput(); err != nil {
					return fmt.Errorf("build trefoillug: %w\n%s", err, out)
				}
			}
			plans := make([]soak.Options, runs)
			for n := range plans {
				s := seed + uint64(n)
				plans[n] = soak.Options{Plan: newPlan(s, length, instances), Program: program, Dir: filepath.Join(dir, fmt.Sprint(s)), SoundContinuations: soundContinuations}
				if drills {
					plans[n].Plan.AddDrills()
				}
				if repeats {
					plans[n].Plan.AddRepeatedRequests()
				}
			}
			results := runPlans(ctx, plans, parallel)
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

// anySite is the site that stands for one drawn by the seed of each run.
const anySite = "any"

func siteNames() []string {
	return slices.Sorted(slices.Values(append(slices.Collect(maps.Keys(soak.Sites)), anySite)))
}

// planner returns the function that makes plans of a site, and the number of instances, by default that of the site.
func planner(name string, instances int, planned bool) (newPlan func(uint64, time.Duration, int) soak.Plan, n int, err error) {
	site, ok := soak.Sites[name]
	switch {
	case !ok && name != anySite:
		return nil, 0, fmt.Errorf("--site is %q: must be one of %s", name, strings.Join(siteNames(), ", "))
	case planned && name != "standard":
		return nil, 0, errors.New("--planned is for the site standard only")
	case instances == 0 && name == anySite:
		return nil, 0, fmt.Errorf("--site %s needs --nodes", anySite)
	case instances == 0:
		instances = site.Instances
	}
	switch {
	case planned:
		return soak.NewPlannedWork, instances, nil
	case name == anySite:
		return soak.NewDrawnSitePlan, instances, nil
	case site.Resumes:
		return func(seed uint64, length time.Duration, instances int) soak.Plan {
			return soak.NewSitePlan(seed, length, instances, site)
		}, instances, nil
	default:
		return soak.NewPlan, instances, nil
	}
}

// runPlans runs plans, some of them at the same time, and returns their results in the order of the plans. It starts none
// once ctx is done.
func runPlans(ctx context.Context, plans []soak.Options, parallel int) []soak.Result {
	results := make([]soak.Result, len(plans))
	var group errgroup.Group
	group.SetLimit(parallel)
	var output sync.Mutex
	for n, o := range plans {
		group.Go(func() error {
			var report bytes.Buffer
			results[n] = runPlan(ctx, &report, o)
			output.Lock()
			defer output.Unlock()
			_, err := os.Stdout.Write(report.Bytes())
			results[n].Err = errors.Join(results[n].Err, err)
			return nil
		})
	}
	_ = group.Wait() // errors are in the results
	return results
}

// runPlan runs one plan and writes its plan and its report.
func runPlan(ctx context.Context, out io.Writer, o soak.Options) soak.Result {
	r := soak.Result{Plan: o.Plan}
	if r.Err = ctx.Err(); r.Err != nil {
		return r
	}
	if _, r.Err = fmt.Fprint(out, o.Plan); r.Err != nil {
		return r
	}
	if r.Err = os.MkdirAll(o.Dir, 0o700); r.Err != nil {
		return r
	}
	if r.Evidence, r.Err = soak.Run(ctx, o); r.Err != nil {
		return r
	}
	r.Breaches = r.Evidence.Check()
	r.Err = soak.Report(out, o, r.Evidence, r.Breaches)
	return r
}
