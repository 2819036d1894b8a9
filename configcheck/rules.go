package configcheck

import (
	"fmt"
	"net"
	"slices"
	"strings"
)

func (k *checker) routes() {
	n := k.Names
	names := map[string]bool{}
	type place struct{ host, prefix string }
	taken := map[place]string{}
	for i, r := range k.Routes {
		path := at(n.Routes, i)
		k.name(path, r.Name, "route", names)
		k.host(path, r.Host)
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			k.fail(path+"."+n.Prefix, fmt.Sprintf("%q does not begin and end with a slash, so no request matches it", r.Prefix), "write it as /NAME/")
		}
		// The longest prefix of a request decides and a request for just the prefix has no longer one, so that only an
		// equal prefix takes all requests of a route. The later of two equal ones is in effect.
		p := place{strings.ToLower(r.Host), r.Prefix}
		if other, ok := taken[p]; ok {
			k.fail(path+"."+n.Prefix, fmt.Sprintf("%s has the same host and prefix, and so gets no requests", other), "give one of them another prefix, or remove it")
		}
		taken[p] = path
		if !slices.Contains(k.Kinds, r.Kind) {
			k.fail(path+"."+n.Kind, fmt.Sprintf("%q is not a kind of route", r.Kind), "write one of "+strings.Join(k.Kinds, ", "))
		} else if r.MaxAttempts > 1 && !r.MayRepeat {
			k.warn(path+"."+n.MaxAttempts, fmt.Sprintf("is %d, but requests of this route may run only once", r.MaxAttempts), "write 1, or a kind that may be repeated")
		}
		k.above(path, n.TargetLatency, r.TargetLatencyMs, n.Timeout, r.TimeoutMs)
		k.above(path, n.Gap, r.GapMs, n.Timeout, r.TimeoutMs)
		k.shares(path, &r)
		k.regions(path, r.Regions)
	}
}

// host warns of hosts that differ from those of requests, which are matched in lower case and without a port.
func (k *checker) host(path, host string) {
	field := path + "." + k.Names.Host
	if host == "" {
		k.warn(field, "is missing, so that only requests without a host match", "name the host")
		return
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		k.warn(field, fmt.Sprintf("%q has a port, so no request matches it", host), "write "+name)
	}
	if strings.ToLower(host) != host {
		k.warn(field, fmt.Sprintf("%q has upper-case letters; hosts are matched in lower case", host), "write "+strings.ToLower(host))
	}
}

func (k *checker) shares(path string, r *Route) {
	n := k.Names
	if len(r.Split) == 0 {
		if r.Service == "" {
			k.fail(path+"."+n.Service, "route without a service", fmt.Sprintf("set %s or %s", n.Service, n.Split))
		} else {
			k.known(path+"."+n.Service, r.Service)
		}
		return
	}
	if r.Service != "" {
		k.warn(path+"."+n.Service, "has no effect beside "+n.Split, "remove one of the two")
	}
	total := 0.0
	for i, s := range r.Split {
		share := at(path+"."+n.Split, i)
		k.known(share+"."+n.Service, s.Service)
		total += max(0, s.Weight) // negative weights are among the figures
	}
	if total == 0 {
		k.fail(path+"."+n.Split, "has no weight above 0", "give at least one service a weight above 0")
	}
}

func (k *checker) known(field, service string) {
	if !slices.ContainsFunc(k.Services, func(s Service) bool { return s.Name == service }) {
		k.fail(field, fmt.Sprintf("service %q is not in the list of services", service), "add it to "+k.Names.Services+", or correct the name")
	}
}

func (k *checker) services() {
	n := k.Names
	used := map[string]bool{}
	for _, r := range k.Routes {
		if len(r.Split) == 0 {
			used[r.Service] = true
		}
		for _, s := range r.Split {
			used[s.Service] = true
		}
	}
	names := map[string]bool{}
	for i, s := range k.Services {
		path := at(n.Services, i)
		k.name(path, s.Name, "service", names)
		if s.Name != "" && !used[s.Name] {
			k.warn(path+"."+n.Name, fmt.Sprintf("no route refers to service %q", s.Name), "add a route, or remove the service")
		}
		if s.ColdPerS > 0 && s.ColdS == 0 {
			k.warn(path+"."+n.ColdPerS, fmt.Sprintf("has no effect while %s is 0", n.ColdS), "set "+n.ColdS+", or remove it")
		}
		if s.Slots != nil && *s.Slots == 0 {
			k.fail(path+"."+n.Slots, "is 0", "write the number of requests that an engine runs at once")
		}
		if c := s.Scaling; c != nil && c.Min > c.Max {
			k.fail(path+"."+n.Min, fmt.Sprintf("is above %s (%d above %d)", n.Max, c.Min, c.Max), "lower it, or raise "+n.Max)
		}
	}
}

func (k *checker) workspaces() {
	n := k.Names
	needKeys := slices.ContainsFunc(k.Routes, func(r Route) bool { return !r.Public })
	names, owner := map[string]bool{}, map[string]string{}
	for i, w := range k.Workspaces {
		path := at(n.Workspaces, i)
		k.name(path, w.Name, "workspace", names)
		if len(w.Keys) == 0 && needKeys {
			k.warn(path+"."+n.Keys, "workspace without keys, to which no request can belong", "add a key, or remove the workspace")
		}
		for j, key := range w.Keys {
			field := at(path+"."+n.Keys, j)
			switch other, ok := owner[key]; {
			case key == "":
				k.fail(field, "is empty", "write the key, or remove the entry")
			case ok: // the key is a secret and not shown
				k.fail(field, other+" has the same key", "give one of them another key")
			}
			owner[key] = field
		}
		switch {
		case w.Rate > 0 && w.Burst == 0:
			k.fail(path+"."+n.Burst, fmt.Sprintf("is 0 while %s is above 0, so that the quota holds no request", n.Rate), "write at least the cost of the largest request")
		case w.Rate > 0 && w.Burst > 0 && w.Burst < w.PlainCost:
			k.warn(path+"."+n.Burst, fmt.Sprintf("is below the cost of a request without a token count (%v below %v)", w.Burst, w.PlainCost), "raise it, or lower "+n.PlainCost)
		}
		k.regions(path, w.Regions)
	}
}
