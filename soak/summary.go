package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Result is the outcome of a run. Evidence is nil if Err is set.
type Result struct {
	Plan     Plan
	Evidence *Evidence
	Breaches []Breach
	Err      error // the run could not be made
}

// WriteSummary writes a table with a row for each run and a row of totals, and returns the number of runs that failed:
// those with a breach or an error.
func WriteSummary(out io.Writer, results []Result) (failed int, err error) {
	const row = "%10v %8v %10v %10v %8v  %s\n"
	var b strings.Builder
	fmt.Fprintf(&b, row, "seed", "faults", "requests", "runs", "breaches", "guarantees violated")
	faults, requests, runs, breaches := 0, 0, 0, 0
	for _, r := range results {
		if r.Err != nil || len(r.Breaches) > 0 {
			failed++
		}
		faults += len(r.Plan.Faults)
		if r.Err != nil {
			fmt.Fprintf(&b, row, r.Plan.Seed, len(r.Plan.Faults), "-", "-", "-", "error: "+r.Err.Error())
			continue
		}
		requests, runs, breaches = requests+len(r.Evidence.Attempts), runs+len(r.Evidence.Runs), breaches+len(r.Breaches)
		fmt.Fprintf(&b, row, r.Plan.Seed, len(r.Plan.Faults), len(r.Evidence.Attempts), len(r.Evidence.Runs), len(r.Breaches), countByGuarantee(r.Breaches))
	}
	fmt.Fprintf(&b, row, "total", faults, requests, runs, breaches, fmt.Sprintf("%d of %d runs failed", failed, len(results)))
	_, err = io.WriteString(out, b.String())
	return failed, err
}

// countByGuarantee returns the violated guarantees with their numbers of breaches.
func countByGuarantee(breaches []Breach) string {
	counts := map[string]int{}
	for _, b := range breaches {
		counts[b.Guarantee]++
	}
	var parts []string
	for _, guarantee := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", guarantee, counts[guarantee]))
	}
	return strings.Join(parts, ", ")
}
