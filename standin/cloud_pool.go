package standin

import (
	"net/http"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/cloud"
)

// cloudPool is the state with which a Cloud starts instances.
type cloudPool struct {
	offers    []cloud.Offer
	startTime time.Duration // from a start request until the instance is on the list
	onStart   func(cloud.Instance) cloud.Instance
	starting  map[string]bool // by instance ID
}

// SetOffers sets which instances can be started and how long a start takes. onStart, which may be nil, runs an
// endpoint for a new instance and returns the instance with its address.
func (c *Cloud) SetOffers(offers []cloud.Offer, startTime time.Duration, onStart func(cloud.Instance) cloud.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool.offers, c.pool.startTime, c.pool.onStart = offers, startTime, onStart
}

func (c *Cloud) registerPoolRoutes() {
	c.pool.starting = map[string]bool{}
	c.mux.HandleFunc("GET /offers", c.getOffers)
	c.mux.HandleFunc("POST /starts", c.postStart)
}

func (c *Cloud) getOffers(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	writeJSON(w, c.pool.offers)
}

func (c *Cloud) postStart(w http.ResponseWriter, r *http.Request) {
	var req cloud.StartRequest
	if !decode(w, r, &req) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.pool.offers, func(o cloud.Offer) bool { return o.ID == req.Offer })
	if i < 0 {
		http.Error(w, "no such offer", http.StatusNotFound)
		return
	}
	offer := c.pool.offers[i]
	if slices.Contains(c.faults.RefuseStarts, offer.ID) || slices.Contains(c.faults.RefuseStarts, offer.FailureDomain) {
		http.Error(w, "no capacity", http.StatusConflict)
		return
	}
	if _, exists := c.instances[req.ID]; !exists && !c.pool.starting[req.ID] {
		c.pool.starting[req.ID] = true
		time.AfterFunc(c.pool.startTime, func() { c.finishStart(req, offer) })
	}
	if c.faults.LoseStarts {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

// finishStart puts a started instance on the list unless it was removed in the meantime.
func (c *Cloud) finishStart(req cloud.StartRequest, offer cloud.Offer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pool.starting[req.ID] {
		return
	}
	delete(c.pool.starting, req.ID)
	in := cloud.Instance{
		ID: req.ID, FailureDomain: offer.FailureDomain, Region: offer.Region, Role: cloud.RoleEndpoint,
		Class: offer.Class, Price: offer.Price, Reclaimable: offer.Reclaimable, Service: req.Service,
		Assigned: req.Version, State: cloud.StateLive,
	}
	if c.pool.onStart != nil {
		in = c.pool.onStart(in)
	}
	c.instances[req.ID] = in
	c.record()
}
