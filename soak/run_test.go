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
	dir := t.TempDir()
	binary := filepath.Join(dir, "trefoillug")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/trefoillug").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	o := soak.Options{Plan: soak.NewPlan(9, 45*time.Second, 3), Binary: binary, Dir: dir}
	t.Log(o.Plan)
	evidence, err := soak.Run(t.Context(), o)
	must.NoError(t, err)
	breaches := evidence.Check()
	var report strings.Builder
	must.NoError(t, soak.Report(&report, o, evidence, breaches))
	t.Log(report.String())
	must.Len(t, 0, breaches)
}
