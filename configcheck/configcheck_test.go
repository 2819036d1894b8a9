package configcheck_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/configcheck"
)

// Guards against warnings that hide an error in the exit status, and against a status 0 with findings.
func TestExitStatus_Cases(t *testing.T) {
	failed, warned := configcheck.Finding{Severity: configcheck.Error}, configcheck.Finding{Severity: configcheck.Warning}
	must.Eq(t, 0, configcheck.ExitStatus(nil))
	must.Eq(t, 1, configcheck.ExitStatus([]configcheck.Finding{warned, failed, warned}))
	must.Eq(t, 2, configcheck.ExitStatus([]configcheck.Finding{warned, warned}))
}

// Guards against items of equal names and different types that are compared with each other, and against lists in
// another order that count as changes.
func TestDiff_ByTypeAndName(t *testing.T) {
	a, b := configcheck.Item{Type: "route", Name: "x"}, configcheck.Item{Type: "service", Name: "x"}
	must.SliceEmpty(t, configcheck.Diff([]configcheck.Item{a, b}, []configcheck.Item{b, a}))
	must.Eq(t, []configcheck.Change{
		{Change: "removed", Type: "route", Name: "x"}, {Change: "added", Type: "service", Name: "x"},
	}, configcheck.Diff([]configcheck.Item{a}, []configcheck.Item{b}))
}
