package soak_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/soak"
)

// Guards against faults of real processes that violate a guarantee, in a short run with a fixed seed.
func TestRun_ShortSeededRun(t *testing.T) {
	mustHold(t, soak.Options{Plan: soak.NewPlan(9, 45*time.Second, 3)})
}

// Guards against a request that planned work interrupts, such as a stream that a stopping instance takes on a kept
// connection.
func TestRun_PlannedWork(t *testing.T) {
	mustHold(t, soak.Options{Plan: soak.NewPlannedWork(1, 40*time.Second, 4)})
}

// Guards against a deadly request that is sent again after a kill of all instances or a restore of the store, and against harmless
// ones that are refused for it.
func TestRun_RepeatedDeadlyRequests(t *testing.T) {
	p := soak.NewPlan(1, 36*time.Second, 3)
	p.AddRepeatedRequests()
	mustHold(t, soak.Options{Plan: p})
}

// Guards against a broken stream that is not continued where its caller is, by the instance or by the caller's resume.
func TestRun_ResumedStreams(t *testing.T) {
	mustHold(t, soak.Options{Plan: soak.NewSitePlan(1, resumeLength, 3, soak.Sites["wide"]), SoundContinuations: true})
}

// Guards against a stream that an odd answer to the request for its rest is made a part of.
func TestRun_OddContinuations(t *testing.T) {
	mustHold(t, soak.Options{Plan: soak.NewSitePlan(2, resumeLength, 3, soak.Sites["deep"])})
}

// resumeLength is the length of the runs with streams that break off.
const resumeLength = 36 * time.Second

// running bounds the runs at the same time, whose time bounds a machine that is too busy would break.
var running = make(chan struct{}, 2)

// mustHold makes a run with processes of the current code and fails the test for each breach.
func mustHold(t *testing.T, o soak.Options) {
	t.Helper()
	t.Parallel()
	running <- struct{}{}
	defer func() { <-running }()
	dir := t.TempDir()
	binary := filepath.Join(dir, "trefoillug")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/trefoillug").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	o.Program, o.Dir = binary, dir
	t.Log(o.Plan)
	evidence, err := soak.Run(t.Context(), o)
	must.NoError(t, err)
	breaches := evidence.Check()
	var report strings.Builder
	must.NoError(t, soak.Report(&report, o, evidence, breaches))
	t.Log(report.String())
	must.Len(t, 0, breaches)
}
