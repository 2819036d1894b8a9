package forward

import "math"

// Priority returns the priority of a request as far as its head tells, and the least urgent one if it has no route.
func (f *Forwarder) Priority(host, path, key string) int {
	table := f.cfg.Table()
	if table == nil {
		return math.MaxInt
	}
	route := table.Match(host, path)
	if route == nil {
		return math.MaxInt
	}
	r := exchange{route: route}
	if !route.Public {
		r.workspace = table.Workspace(key)
	}
	return r.priority()
}
