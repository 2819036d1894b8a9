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

// Options of a run.
type Options struct {
	Plan   Plan
	Binary string // of trefoillug
	Dir    string // for settings and logs; kept
}

const (
	// readyTime bounds the start of all instances.
	readyTime = 15 * time.Second
	// maxDescriptors and maxMemory are what a machine of the users has.
	maxDescriptors = 4100 - 200
	maxMemoryKB    = 284 << 10
	// logLines is the number of lines of log that are shown around a breach, for each instance.
	logLines = 12
)

// Run plays a plan and returns what it has shown.
func Run(ctx context.Context, o Options) (e *Evidence, err error) {
	w, err := newWorld(o.Binary, o.Dir)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, w.close()) }()
	for n := range o.Plan.Instances {
		if err := w.start(fmt.Sprintf("n%02d", n+1)); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(ctx); err != nil {
		return nil, err
	}
	w.load(ctx, o.Plan)
	w.conclude()
	return w.evidence, ctx.Err()
}

func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for _, i := range w.instances {
		for !i.isReady() {
			if sleep(ctx, 20*time.Millisecond); ctx.Err() != nil {
				return fmt.Errorf("instance %s is not ready in time", i.machine.Name)
			}
		}
	}
	return nil
}

// load runs the callers and plays the faults beside them.
func (w *world) load(ctx context.Context, p Plan) {
	ctx, cancel := context.WithTimeout(ctx, p.Length)
	defer cancel()
	var group sync.WaitGroup
	b := &balancer{rotation: w.instances}
	group.Go(func() { b.run(ctx, w.instances) })
	for n := range callers * p.Instances {
		c := newCaller(w, n, p.Seed)
		group.Go(func() { c.run(ctx, b) })
	}
	began := time.Now()
	w.evidence.update(func() { w.evidence.FaultEnd = began.Add(p.Length - CalmEnd) })
	var faults sync.WaitGroup
	for _, f := range p.Faults {
		if sleep(ctx, time.Until(began.Add(f.At))); ctx.Err() != nil {
			break
		}
		faults.Go(func() { w.play(f) })
	}
	faults.Wait()
	group.Wait()
}

// conclude gathers what endpoints, platform and processes show at the end.
func (w *world) conclude() {
	e := w.evidence
	e.mu.Lock()
	defer e.mu.Unlock()
	e.End = time.Now()
	e.Runs = w.allRuns()
	e.Windows, e.Broken = w.api.Reports()
	for _, i := range w.instances {
		if !i.isReady() {
			e.Unready = append(e.Unready, i.machine.Name)
		}
		e.Leaks = append(e.Leaks, leaks(i)...)
	}
}

// leaks compares what a process holds with what its machine has.
func leaks(i *instance) []string {
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

// Report writes the verdict: counts, breaches, and the lines of log before the first one.
func Report(out io.Writer, o Options, e *Evidence, breaches []Breach) error {
	if _, err := fmt.Fprintf(out, "%s%d faults played, %d breaches\n", e.Counts(), len(o.Plan.Faults), len(breaches)); err != nil {
		return err
	}
	for _, b := range breaches {
		if _, err := fmt.Fprintf(out, "BREACH %s at %s: %s\n", b.Promise, b.At.Format(time.RFC3339Nano), b.Text); err != nil {
			return err
		}
	}
	if len(breaches) == 0 {
		return nil
	}
	for n := range o.Plan.Instances {
		name := fmt.Sprintf("n%02d", n+1)
		if err := logBefore(out, filepath.Join(o.Dir, name+".log"), breaches[0].At); err != nil {
			return err
		}
	}
	return nil
}

// logBefore copies the last lines of a log before a time. Each line holds its time as RFC 3339 text.
func logBefore(out io.Writer, file string, at time.Time) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	var last []string
	for lines := bufio.NewScanner(f); lines.Scan(); {
		_, rest, _ := strings.Cut(lines.Text(), `"time":"`)
		text, _, _ := strings.Cut(rest, `"`)
		if written, err := time.Parse(time.RFC3339Nano, text); err == nil && written.After(at) {
			break
		}
		if last = append(last, lines.Text()); len(last) > logLines {
			last = last[1:]
		}
	}
	for _, line := range last {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}
