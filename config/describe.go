package config

import (
	"fmt"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/configcheck"
)

// Finding returns the problem as an error of a check.
func (p Problem) Finding() configcheck.Finding {
	return configcheck.Finding{Severity: configcheck.Error, File: p.File, Line: p.Line, Field: p.Field, Cause: p.Cause, Fix: p.Fix}
}

// Items returns a service, its routes and its workspaces for configcheck.Diff, with the names of a service file.
func (s *Service) Items() []configcheck.Item {
	versions := make([]string, len(s.Versions))
	for i, v := range s.Versions {
		versions[i] = v.Name
	}
	slices.Sort(versions)
	items := []configcheck.Item{{Type: "service", Name: s.Name, Fields: []configcheck.Field{
		field("kind", s.Kind), field("versions", versions), field("serve", s.ServingVersion), field("concurrency", s.Concurrency),
		field("checks", s.Checks.names()), field("move", s.Move.describe()),
	}}}
	for _, r := range s.Routes {
		items = append(items, configcheck.Item{Type: "route", Name: s.Name + "/" + r.Name, Fields: []configcheck.Field{
			field("path", r.Path), field("methods", slices.Sorted(slices.Values(r.Methods))), field("idempotent", r.Idempotent),
			field("priority", [...]string{"low", "normal", "high"}[r.Priority]), field("timeout", r.Timeout),
		}})
	}
	for _, w := range s.Workspaces {
		items = append(items, configcheck.Item{Type: "workspace", Name: s.Name + "/" + w.Name, Fields: []configcheck.Field{
			field("rate", w.Rate), field("burst", w.Burst), field("first_token", w.Targets.FirstToken),
			field("between_tokens", w.Targets.BetweenTokens), field("cost_per_thousand_tokens", w.Targets.CostPerThousandTokens),
		}})
	}
	return items
}

func field(name string, value any) configcheck.Field {
	return configcheck.Field{Name: name, Value: fmt.Sprint(value)}
}

func (c EndpointChecks) names() []string {
	names := []string{}
	for name, set := range map[string]bool{"fencing": c.Fencing, "idempotency_keys": c.IdempotencyKeys, "sender": c.Sender} {
		if set {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (m *Move) describe() string {
	if m == nil {
		return "none"
	}
	start := "at publish"
	if !m.StartAtPublish {
		start = m.Start.UTC().Format(time.RFC3339)
	}
	return fmt.Sprintf("%s from %s to %s, start %s, deadline %s, stages %v", m.ID, m.From, m.To, start, m.Deadline.UTC().Format(time.RFC3339), m.Stages)
}

// Warnings returns the limits of a valid service that contradict each other.
func (s *Service) Warnings() []configcheck.Finding {
	var longest time.Duration
	for _, r := range s.Routes {
		longest = max(longest, r.Timeout)
	}
	var findings []configcheck.Finding
	warn := func(i int, name, cause, fix string) {
		findings = append(findings, configcheck.Finding{
			Severity: configcheck.Warning, Field: fmt.Sprintf("workspaces[%d].%s", i, name), Cause: cause, Fix: fix,
		})
	}
	for i, w := range s.Workspaces {
		if w.Targets.FirstToken > longest {
			warn(i, "first_token", fmt.Sprintf("is above the longest timeout of a route, %s", longest), "lower it, or raise the timeout")
		}
		if w.Targets.BetweenTokens > longest {
			warn(i, "between_tokens", fmt.Sprintf("is above the longest timeout of a route, %s", longest), "lower it, or raise the timeout")
		}
		if w.Rate > 0 && w.Burst < 1 {
			warn(i, "burst", "is below 1, the cost of a request", "write 1 or more")
		}
	}
	return findings
}
