// Package configcheck checks a configuration before it is sent: mistakes, entries that can never match, limits that
// contradict each other, and differences from another configuration. It does no I/O and holds no field names of a
// platform; the Names of a configuration supply those for messages.
package configcheck

import (
	"cmp"
	"fmt"
)

// Severity says whether a finding makes the configuration wrong.
type Severity string

// Severities.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one mistake. The JSON names are part of the interface of `trefoillug check --json`.
type Finding struct {
	Severity Severity `json:"severity"`
	File     string   `json:"file,omitempty"`
	Line     int      `json:"line,omitempty"` // 1 is the first line; 0: not known
	Field    string   `json:"field,omitempty"`
	Cause    string   `json:"cause"`
	Fix      string   `json:"fix"` // how to correct the mistake
}

// String returns the finding in one line that begins with file and line, so that editors find the place.
func (f Finding) String() string {
	place := ""
	if f.File != "" {
		place = f.File + ": "
		if f.Line > 0 {
			place = fmt.Sprintf("%s:%d: ", f.File, f.Line)
		}
	}
	if f.Field != "" {
		place += f.Field + ": "
	}
	return fmt.Sprintf("%s%s; %s [%s]", place, f.Cause, f.Fix, f.Severity)
}

// ExitStatus returns 0 without findings, 1 with errors and 2 with warnings only.
func ExitStatus(findings []Finding) int {
	status := 0
	for _, f := range findings {
		if f.Severity == Error {
			return 1
		}
		status = 2
	}
	return status
}

// Config is a configuration in the form that the rules read. Times are in milliseconds.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
	Kinds      []string // known kinds of routes
	Figures    []Figure // that must not be negative
	Items      []Item   // for Diff
	Names      Names
}

// Route is a route by host and path prefix.
type Route struct {
	Name, Host, Prefix, Kind          string
	MayRepeat                         bool // a request may run more than once
	TimeoutMs, TargetLatencyMs, GapMs float64
	MaxAttempts                       int
	Service                           string  // set unless Split is
	Split                             []Share // takes precedence over Service
	Public                            bool
	Regions                           []string
}

// Share is a service's share of the traffic of a route.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of endpoints.
type Service struct {
	Name            string
	ColdS, ColdPerS float64
	Slots           *int // nil unless the service has an engine
	Scaling         *Scaling
}

// Scaling bounds the endpoints of a service.
type Scaling struct{ Min, Max int }

// Workspace is a tenant.
type Workspace struct {
	Name        string
	Keys        []string
	Rate, Burst float64
	PlainCost   float64 // of a request without a token count
	Regions     []string
}

// Limits bound what a caller may send; 0 means no limit.
type Limits struct{ HeaderTimeoutMs, IdleTimeoutMs float64 }

// Figure is a number at a place.
type Figure struct {
	Field string
	Value float64
}

// Names are the names of fields and lists in messages. Nested fields have dots.
type Names struct {
	Version, Routes, Services, Workspaces, Limits                          string
	Name, Host, Prefix, Kind, Timeout, TargetLatency, Gap, MaxAttempts     string
	Service, Split, Regions, Keys, Rate, Burst, PlainCost, ColdS, ColdPerS string
	Slots, Min, Max, HeaderTimeout, IdleTimeout                            string
}

type checker struct {
	*Config
	findings []Finding
}

// Check returns what is wrong with a configuration.
func Check(c *Config) []Finding {
	k := &checker{Config: c}
	if c.Version == 0 {
		k.fail(c.Names.Version, "is missing or 0", "write a version above that of the configuration in effect")
	}
	for _, f := range c.Figures {
		if f.Value < 0 {
			k.fail(f.Field, "is negative", "write 0 or more")
		}
	}
	k.routes()
	k.services()
	k.workspaces()
	n := c.Names
	if l := c.Limits; l.IdleTimeoutMs > 0 && l.HeaderTimeoutMs > l.IdleTimeoutMs {
		k.warn(n.Limits+"."+n.HeaderTimeout, fmt.Sprintf("is above %s (%v above %v)", n.IdleTimeout, l.HeaderTimeoutMs, l.IdleTimeoutMs), "lower it, or raise "+n.IdleTimeout)
	}
	return k.findings
}

func (k *checker) fail(field, cause, fix string) { k.add(Error, field, cause, fix) }
func (k *checker) warn(field, cause, fix string) { k.add(Warning, field, cause, fix) }

func (k *checker) add(s Severity, field, cause, fix string) {
	k.findings = append(k.findings, Finding{Severity: s, Field: field, Cause: cause, Fix: fix})
}

// above warns if a figure is above a limit that is set.
func (k *checker) above(path, name string, value float64, limitName string, limit float64) {
	if limit > 0 && value > limit {
		k.warn(path+"."+name, fmt.Sprintf("is above %s (%v above %v)", limitName, value, limit), fmt.Sprintf("lower it, or raise %s", limitName))
	}
}

// name reports an entry without a name, or with the name of an earlier entry.
func (k *checker) name(path, name, what string, seen map[string]bool) {
	field := path + "." + k.Names.Name
	switch {
	case name == "":
		k.fail(field, what+" without a name", "give it a name of its own")
	case seen[name]:
		k.fail(field, fmt.Sprintf("%s %q is given twice", what, name), "give one of them another name, or remove it")
	}
	seen[name] = true
}

// regions warns of empty names, which no region has.
func (k *checker) regions(path string, regions []string) {
	for i, r := range regions {
		if r == "" {
			k.warn(fmt.Sprintf("%s.%s[%d]", path, k.Names.Regions, i), "names no region", "write the name of a region, or remove the entry")
		}
	}
}

func at(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

// compareItems sorts by type and name.
func compareItems(a, b Item) int {
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Name, b.Name))
}
