package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/table"
)

// Status is the answer of GET /status.
type Status struct {
	Instance      string          `json:"instance"`
	FailureDomain string          `json:"failure_domain"`
	Ready         bool            `json:"ready"`
	Revision      uint64          `json:"revision"` // configuration in force here
	Members       []MemberStatus  `json:"members"`
	Services      []ServiceStatus `json:"services"`
	Admission     AdmissionStatus `json:"admission"`
}

// AdmissionStatus counts the admission decisions of this instance since its start, and the limits that fall back to an
// even split because no reports arrive from their owners.
type AdmissionStatus struct {
	Admitted   int64 `json:"admitted"`
	OverLimit  int64 `json:"over_limit"` // refused with limit_exceeded
	Overloaded int64 `json:"overloaded"` // refused with overloaded
	Waiting    int   `json:"waiting"`    // queued now
	Limited    int   `json:"limited"`    // workspaces with a share of a limit here
	EvenSplit  int   `json:"even_split"` // of these, workspaces that use the even split
}

// MemberStatus describes a live entry instance.
type MemberStatus struct {
	ID            string `json:"id"`
	HTTP          string `json:"http"` // host:port of its /status
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving,omitempty"`
	Isolated      bool   `json:"isolated,omitempty"` // can reach no endpoint
}

// ServiceStatus describes a configured service.
type ServiceStatus struct {
	Name      string           `json:"name"`
	Shares    []ShareStatus    `json:"shares"`
	Move      *MoveStatus      `json:"move,omitempty"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// ShareStatus is the share of a service's traffic that a version gets.
type ShareStatus struct {
	Version  string  `json:"version"`
	Fraction float64 `json:"part"` // 0 to 1
}

// MoveStatus describes the current or latest move of a service.
type MoveStatus struct {
	ID       string    `json:"id"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Deadline time.Time `json:"deadline"`
	State    string    `json:"state"` // waiting, running, aborted, decided, done, rolled_back or superseded
	Reason   string    `json:"reason,omitempty"`
}

// EndpointStatus describes an endpoint from the view of this instance.
type EndpointStatus struct {
	ID        string `json:"id"`
	Version   string `json:"version"`
	Condition string `json:"condition"`
	InFlight  int64  `json:"in_flight"` // requests from this instance
}

func (d *Daemon) status() Status {
	snap := d.core.Snapshot()
	st := Status{
		Instance: d.settings.ID, FailureDomain: d.settings.FailureDomain,
		Ready: d.ready.Load(), Revision: snap.Revision,
	}
	a := d.admission.Stats()
	st.Admission = AdmissionStatus{a.Admitted, a.OverLimit, a.Overloaded, a.Waiting, a.Workspaces, a.EvenSplitWorkspaces}
	for _, m := range d.node.Members() {
		st.Members = append(st.Members, MemberStatus{ID: m.ID, HTTP: m.Address, FailureDomain: m.FailureDomain, Leaving: m.Leaving, Isolated: d.links.isIsolated(m.ID)})
	}
	for _, name := range sortedKeys(snap.Services) {
		st.Services = append(st.Services, serviceStatus(name, snap.Services[name]))
	}
	return st
}

func serviceStatus(name string, svc *table.Service) ServiceStatus {
	st := ServiceStatus{Name: name}
	for _, s := range svc.Shares {
		st.Shares = append(st.Shares, ShareStatus{s.Version, s.Fraction})
	}
	if m := svc.Move; m != nil {
		st.Move = &MoveStatus{m.ID, m.From, m.To, m.Deadline, m.State, m.Reason}
	}
	for _, e := range svc.Endpoints {
		st.Endpoints = append(st.Endpoints, EndpointStatus{e.ID, e.Version, e.Condition.String(), e.Live.InFlight.Load()})
	}
	return st
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored: the client may have disconnected.
	_ = json.NewEncoder(w).Encode(d.status())
}
