package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/quota"
	"github.com/trefoillug/trefoillug/routing"
)

// configHandler applies configurations. The version in effect never decreases during the life of the process.
type configHandler struct{ n *Node }

func (h configHandler) Replace(objects []feed.Object, _ bool) {
	for _, o := range objects {
		h.update(o)
	}
}

func (h configHandler) Apply(e feed.Event, _ bool) {
	if !e.Deleted {
		h.update(e.Object)
	}
}

func (h configHandler) update(o feed.Object) {
	log := h.n.log.WithFields(logrus.Fields{"object": o.Name, "revision": o.Revision})
	table, err := h.n.platform.DecodeTable(o.Spec)
	if err != nil {
		log.WithError(err).Warn("configuration could not be decoded; the earlier one stays in effect")
		return
	}
	if old := h.n.table.Load(); old != nil && table.Version <= old.Version {
		if table.Version < old.Version {
			log.WithFields(logrus.Fields{"version": table.Version, "in_effect": old.Version}).Warn("older configuration ignored")
		}
		return
	}
	h.n.table.Store(table)
	h.n.setQuotaLimits(table)
	h.n.stateChanged.Store(true)
	h.n.limitConnections()
	log.WithField("version", table.Version).Info("configuration in effect")
}

// setQuotaLimits sets the limits of all workspaces, so that their quotas fill up before their first requests.
func (n *Node) setQuotaLimits(table *routing.Table) {
	limits := map[string]quota.Limit{}
	for i := range table.Workspaces {
		limits[table.Workspaces[i].Name] = quotaLimit(&table.Workspaces[i])
	}
	n.quotas.SetLimits(limits, time.Now())
}

// connectionShare is the share of an endpoint's connections that all instances use together, so that one additional
// instance does not reach the limit.
const connectionShare = 0.8

// limitConnections divides the connections that each endpoint accepts among the instances.
func (n *Node) limitConnections() {
	table := n.table.Load()
	if table == nil {
		return
	}
	instances := n.members.expected(time.Now())
	for _, e := range n.fleet.All() {
		if s := table.Services[e.Service]; s != nil && s.MaxConns > 0 {
			e.Pool.SetLimit(max(2, int(float64(s.MaxConns)*connectionShare)/instances))
		}
	}
}

// endpointHandler applies the list of endpoints.
type endpointHandler struct {
	n       *Node
	skipped map[string]uint64 // revisions of invalid entries by name
}

func (h *endpointHandler) Replace(objects []feed.Object, settled bool) {
	now := time.Now()
	var entries []fleet.Entry
	before := h.skipped
	h.skipped = nil
	for _, o := range objects {
		if e, ok := h.decode(o, now, before); ok {
			entries = append(entries, e)
		}
	}
	h.n.fleet.ReplaceAll(entries, settled, now)
	h.n.stateChanged.Store(true)
	h.n.limitConnections()
}

func (h *endpointHandler) Apply(e feed.Event, settled bool) {
	now := time.Now()
	h.n.stateChanged.Store(true)
	log := h.n.log.WithFields(logrus.Fields{"endpoint": e.Object.Name, "revision": e.Object.Revision})
	if e.Deleted {
		delete(h.skipped, e.Object.Name)
		log.WithField("settled", settled).Info("endpoint removed from the list")
		if startedMs, ok := h.n.fleet.StartedMs(e.Object.Name); ok && settled {
			h.n.announceLeaving(fleet.Entry{ID: e.Object.Name, StartedMs: startedMs}, now)
		}
		h.n.fleet.Remove(e.Object.Name, settled, now)
		return
	}
	entry, ok := h.decode(e.Object, now, h.skipped)
	if !ok {
		return
	}
	if entry.Draining {
		log.WithField("leaves_at", entry.LeavesAt).Info("endpoint is leaving")
		h.n.announceLeaving(entry, now)
	}
	entry.IsWritten = true
	h.n.fleet.Put(entry)
	h.n.cold.announce(entry, now)
	h.n.limitConnections()
}

// decode decodes an entry. It logs an invalid one, unless known holds its revision, since each list contains it again.
func (h *endpointHandler) decode(o feed.Object, now time.Time, known map[string]uint64) (fleet.Entry, bool) {
	e, err := h.n.platform.DecodeEndpoint(o.Name, o.Spec, now)
	if err == nil {
		delete(h.skipped, o.Name)
		e.Revision, e.Era = o.Revision, o.Era
		return e, true
	}
	if revision, ok := known[o.Name]; !ok || revision != o.Revision {
		h.n.log.WithError(err).WithFields(logrus.Fields{"endpoint": o.Name, "revision": o.Revision}).Warn("invalid entry of the endpoint list skipped")
	}
	if h.skipped == nil {
		h.skipped = map[string]uint64{}
	}
	h.skipped[o.Name] = o.Revision
	return fleet.Entry{}, false
}
