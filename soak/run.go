package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Options are the options of a run.
type Options struct {
	Plan    Plan
	Program string // path of the program that runs as an instance
	// SoundContinuations makes endpoints answer all requests for the rest of a broken stream soundly.
	SoundContinuations bool
	Dir                string // existing directory for settings and logs; it is kept
}

const (
	// startTimeout bounds the time until all instances are ready.
	startTimeout = 15 * time.Second
	// maxDescriptors and maxMemoryKB are the limits of a machine of the users' platform.
	maxDescriptors = 4100 - 200
	maxMemoryKB    = 284 << 10
	// logLines is how many of an instance's last log lines before the first breach a report shows.
	logLines = 12
	// maxPrinted is how many breaches of each guarantee a report lists.
	maxPrinted = 12
	// maxTraced is how many of these have the log lines of their request.
	maxTraced = 3
)

// Run starts the instances, injects the faults of the plan under load, and returns the evidence. It returns an error if
// the instances can't be started or are not ready in time, or if ctx is done.
func Run(ctx context.Context, o Options) (e *Evidence, err error) {
	env, err := newEnvironment(o)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, env.close()) }()
	if o.SoundContinuations {
		env.oddities.ContinueSoundly()
	}
	for n := range o.Plan.Instances {
		if err := env.startInstance(fmt.Sprintf("n%02d", n+1)); err != nil {
			return nil, err
		}
	}
	if err := env.awaitReady(ctx); err != nil {
		return nil, err
	}
	env.runLoad(ctx, o.Plan)
	env.collectFinalState()
	return env.evidence, ctx.Err()
}

func (env *environment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, i := range env.instances {
		for !i.isReady() {
			if sleep(ctx, 20*time.Millisecond); ctx.Err() != nil {
				return fmt.Errorf("instance %s did not become ready in time", i.machine.Name)
			}
		}
	}
	return nil
}

// runLoad runs the callers and injects the faults at the same time.
func (env *environment) runLoad(ctx context.Context, p Plan) {
	ctx, cancel := context.WithTimeout(ctx, p.Length)
	defer cancel()
	var group sync.WaitGroup
	b := &balancer{rotation: env.instances}
	group.Go(func() { b.run(ctx, env.instances) })
	for n := range callersPerInstance * p.Instances {
		c := newCaller(env, n, p.Seed)
		if n%callersPerInstance == pipeliningCaller {
			group.Go(func() { (&pipeline{caller: c}).run(ctx, b) })
			continue
		}
		group.Go(func() { c.run(ctx, b) })
	}
	start := time.Now()
	env.evidence.update(func() { env.evidence.FaultEnd = start.Add(p.Length - CalmEnd) })
	var faults sync.WaitGroup
	for _, f := range p.Faults {
		if sleep(ctx, time.Until(start.Add(f.At))); ctx.Err() != nil {
			break
		}
		faults.Go(func() { env.inject(f) })
	}
	faults.Wait()
	group.Wait()
}

// collectFinalState adds the state of the endpoints, the platform and the processes at the end to the evidence.
func (env *environment) collectFinalState() {
	e := env.evidence
	runs, refusals, streams := env.allRequests()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.End = time.Now()
	e.Runs, e.Refusals, e.Streams, e.Oddities = runs, refusals, streams, env.oddities.Counts()
	e.Windows, e.APIViolations = env.api.Reports()
	for _, i := range env.instances {
		if !i.isReady() {
			e.NotReady = append(e.NotReady, i.machine.Name)
		}
		e.Leaks = append(e.Leaks, resourceLeaks(i)...)
	}
}

// resourceLeaks returns the limits on open descriptors and memory that a process exceeds.
func resourceLeaks(i *instance) []string {
	var found []string
	proc := fmt.Sprintf("/proc/%d/", i.pid())
	open, err := os.ReadDir(proc + "fd")
	if err != nil {
		return []string{err.Error()}
	}
	if len(open) > maxDescriptors {
		found = append(found, fmt.Sprintf("%s has %d descriptors open", i.machine.Name, len(open)))
	}
	status, err := os.ReadFile(proc + "status")
	if err != nil {
		return append(found, err.Error())
	}
	for line := range strings.Lines(string(status)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil && kb > maxMemoryKB {
			found = append(found, fmt.Sprintf("%s uses %d KB", i.machine.Name, kb))
		}
	}
	return found
}

// Report writes the counts, the breaches, and the log lines of each instance before the first breach.
func Report(out io.Writer, o Options, e *Evidence, breaches []Breach) error {
	if _, err := fmt.Fprintf(out, "%s%d faults injected, %d breaches\n", e.Counts(), len(o.Plan.Faults), len(breaches)); err != nil {
		return err
	}
	printed := map[string]int{}
	for _, b := range breaches {
		if printed[b.Guarantee]++; printed[b.Guarantee] > maxPrinted {
			continue
		}
		if _, err := fmt.Fprintf(out, "BREACH %s at %s: %s\n", b.Guarantee, b.At.Format(time.RFC3339Nano), b.Text); err != nil {
			return err
		}
		if b.Request == "" || printed[b.Guarantee] > maxTraced {
			continue
		}
		if err := logOf(out, o, b.Request); err != nil {
			return err
		}
	}
	if len(breaches) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(out, "BREACHES %s (the first %d of each are above)\n", countByGuarantee(breaches), maxPrinted); err != nil {
		return err
	}
	for n := range o.Plan.Instances {
		name := fmt.Sprintf("n%02d", n+1)
		if err := logBefore(out, filepath.Join(o.Dir, name+".log"), breaches[0].At); err != nil {
			return err
		}
	}
	return nil
}

// logOf copies the lines of all logs that name a request.
func logOf(out io.Writer, o Options, request string) error {
	for n := range o.Plan.Instances {
		name := fmt.Sprintf("n%02d", n+1)
		text, err := os.ReadFile(filepath.Join(o.Dir, name+".log"))
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, request) {
				continue
			}
			if _, err := fmt.Fprintf(out, "%s %s", name, line); err != nil {
				return err
			}
		}
	}
	return nil
}

// logBefore copies the last lines of a log that were written before a time. Each line contains its time in RFC 3339
// format.
func logBefore(out io.Writer, file string, at time.Time) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	var recent []string
	for lines := bufio.NewScanner(f); lines.Scan(); {
		_, rest, _ := strings.Cut(lines.Text(), `"time":"`)
		text, _, _ := strings.Cut(rest, `"`)
		if written, err := time.Parse(time.RFC3339Nano, text); err == nil && written.After(at) {
			break
		}
		if recent = append(recent, lines.Text()); len(recent) > logLines {
			recent = recent[1:]
		}
	}
	for _, line := range recent {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}
