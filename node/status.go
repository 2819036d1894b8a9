package node

import (
	"encoding/json"
	"net/http"
	"time"
)

// status is what an instance shows of its state under /status.
type status struct {
	Instance  string                    `json:"instance"`
	Process   string                    `json:"process"`
	Zone      string                    `json:"zone"`
	Ready     bool                      `json:"ready"`
	Version   uint64                    `json:"version"` // of the configuration; 0: none yet
	Evacuated []string                  `json:"evacuated_zones"`
	Isolated  bool                      `json:"isolated"`            // can reach no endpoint
	Reachable int                       `json:"reachable_instances"` // other instances that can reach endpoints
	Services  map[string]*serviceStatus `json:"services"`
}

// serviceStatus counts the listed endpoints of a service.
type serviceStatus struct {
	Endpoints int `json:"endpoints"`
	Leaving   int `json:"leaving"`
	Evacuated int `json:"evacuated"`
	Cold      int `json:"cold"`
}

func (n *Node) status() status {
	s := status{
		Instance: n.settings.Name, Process: n.process, Zone: n.settings.Zone, Ready: n.IsReady(), Evacuated: n.fleet.Evacuated(),
		Isolated: n.IsIsolated(), Reachable: len(n.reachableInstances()), Services: map[string]*serviceStatus{},
	}
	if t := n.table.Load(); t != nil {
		s.Version = t.Version
	}
	if s.Evacuated == nil {
		s.Evacuated = []string{}
	}
	now := time.Now()
	for _, e := range n.fleet.All() {
		counts := s.Services[e.Service]
		if counts == nil {
			counts = &serviceStatus{}
			s.Services[e.Service] = counts
		}
		counts.Endpoints++
		if e.IsLeaving() {
			counts.Leaving++
		}
		if e.IsEvacuated() {
			counts.Evacuated++
		}
		if n.cold.limit(e.Service).PerSecond > 0 && e.IsCold(now) {
			counts.Cold++
		}
	}
	return s
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.status()) // the reader may have gone
}
