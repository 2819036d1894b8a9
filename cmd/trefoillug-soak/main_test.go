package main

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against flags that name no site or number of instances and are taken nevertheless.
func TestPlanner_Cases(t *testing.T) {
	for _, c := range []struct {
		site      string
		instances int
		planned   bool
		want      int    // instances
		err       string // part of the error; empty: none
		ofSite    string
	}{
		{site: "standard", want: 4, ofSite: "standard"},
		{site: "standard", instances: 6, planned: true, want: 6, ofSite: "standard"},
		{site: "wide", want: 7, ofSite: "wide"},
		{site: "deep", instances: 3, want: 3, ofSite: "deep"},
		{site: anySite, instances: 7, want: 7, ofSite: "wide"},
		{site: anySite, err: "needs --nodes"},
		{site: "tall", err: "must be one of any, deep, standard, wide"},
		{site: "wide", planned: true, err: "standard only"},
	} {
		newPlan, n, err := planner(c.site, c.instances, c.planned)
		if c.err != "" {
			must.ErrorContains(t, err, c.err)
			continue
		}
		must.NoError(t, err)
		must.Eq(t, c.want, n)
		must.Eq(t, c.ofSite, newPlan(1, time.Minute, n).Site.Name)
	}
}
