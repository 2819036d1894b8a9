package config

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	statusTimeout  = 2 * time.Second
	statusInterval = 500 * time.Millisecond
	// maxStatusRequests is the maximum number of concurrent status requests. A fleet of 650 is asked in about 20
	// batches.
	maxStatusRequests = 32
	maxStatusBytes    = 4 << 20
	// refreshRounds is the number of polls after which all members are asked again. The polls in between ask only
	// the entries and the members that lag, because the responses of 650 members, with their member lists, add up to
	// 40 MB.
	refreshRounds = 6
)

// statusResponse holds the fields of an instance's GET /status that are used here: its revision and its members.
type statusResponse struct {
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	Members  []struct {
		ID   string `json:"id"`
		HTTP string `json:"http"` // host:port
	} `json:"members"`
}

// MemberRevision is the last observed configuration revision of a member.
type MemberRevision struct {
	ID       string // empty for an entry address that has not responded
	Address  string // host:port of its HTTP listener
	Revision uint64 // 0 if unknown
	Err      error  // error of the last status request; nil if it succeeded
}

// String returns a one-line description for operators.
func (m MemberRevision) String() string {
	name := strings.TrimSpace(m.ID + " " + m.Address)
	if m.Err != nil {
		return fmt.Sprintf("%s: no answer: %v", name, m.Err)
	}
	return fmt.Sprintf("%s: revision %d", name, m.Revision)
}

// InForceCheck checks through the status of the instances whether a revision is in force on all of them.
type InForceCheck struct {
	Client   *http.Client
	Entries  []string // host:port of some instances, whose member lists give the others
	Revision uint64
}

// Await polls until the revision, or a later one, is in force on every live member. The live members are the instances
// that respond and those they list. It returns the last observed state of all members, and false if ctx ended first.
func (c *InForceCheck) Await(ctx context.Context) ([]MemberRevision, bool) {
	view := fleetView{}
	for i := 0; ; i++ {
		updated := maps.Clone(view)
		if i%refreshRounds == 0 {
			// Start with an empty view, because members that are no longer listed would never respond.
			updated = fleetView{}
		}
		c.poll(ctx, updated)
		if ctx.Err() != nil && len(view) > 0 {
			return view.members(), false
		}
		view = updated
		if view.inForce(c.Revision) {
			return view.members(), true
		}
		if !pause(ctx, statusInterval) {
			return view.members(), false
		}
	}
}

// poll asks the entries, the members not yet observed at the revision, and all members listed in the responses.
func (c *InForceCheck) poll(ctx context.Context, v fleetView) {
	next := slices.Clone(c.Entries)
	for address, m := range v {
		if m.Revision < c.Revision && !slices.Contains(next, address) {
			next = append(next, address)
		}
	}
	for len(next) > 0 {
		next = c.queryStatus(ctx, next, v)
	}
	if v.anyAnswered() {
		// An entry that does not respond and that no member lists is not live.
		maps.DeleteFunc(v, func(_ string, m MemberRevision) bool { return m.ID == "" && m.Err != nil })
	}
}

// queryStatus requests the status of addresses, stores the results in v and returns newly discovered addresses.
func (c *InForceCheck) queryStatus(ctx context.Context, addresses []string, v fleetView) []string {
	var mu sync.Mutex // protects v and found
	var wg sync.WaitGroup
	var found []string
	slots := make(chan struct{}, maxStatusRequests)
	for _, address := range addresses {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			s, err := c.status(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				v[address] = MemberRevision{ID: v[address].ID, Address: address, Err: err}
				return
			}
			v[address] = MemberRevision{ID: s.Instance, Address: address, Revision: s.Revision}
			found = append(found, v.addListed(s)...)
		})
	}
	wg.Wait()
	return slices.DeleteFunc(found, func(address string) bool { return slices.Contains(addresses, address) })
}

// fleetView holds the observed state of the members, by address.
type fleetView map[string]MemberRevision

// addListed adds the members that an instance lists and returns the addresses that are new to the view.
func (v fleetView) addListed(s *statusResponse) []string {
	var found []string
	for _, m := range s.Members {
		// An instance may list itself under a different address than the one the request was sent to.
		if m.ID == s.Instance {
			continue
		}
		member, ok := v[m.HTTP]
		if !ok {
			found = append(found, m.HTTP)
		}
		member.ID, member.Address = m.ID, m.HTTP
		v[m.HTTP] = member
	}
	return found
}

func (v fleetView) anyAnswered() bool {
	for _, m := range v {
		if m.Err == nil {
			return true
		}
	}
	return false
}

func (v fleetView) inForce(revision uint64) bool {
	members := v.members()
	for _, m := range members {
		if m.Err != nil || m.Revision < revision {
			return false
		}
	}
	return len(members) > 0
}

// members returns the members, sorted by ID. For a member with several addresses it returns the entry with the highest
// revision.
func (v fleetView) members() []MemberRevision {
	best := map[string]MemberRevision{}
	for address, m := range v {
		key := cmp.Or(m.ID, address)
		if old, ok := best[key]; !ok || m.Revision > old.Revision {
			best[key] = m
		}
	}
	list := slices.Collect(maps.Values(best))
	slices.SortFunc(list, func(a, b MemberRevision) int { return cmp.Compare(a.ID+" "+a.Address, b.ID+" "+b.Address) })
	return list
}

func (c *InForceCheck) status(ctx context.Context, address string) (*statusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var s statusResponse
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s)
	return &s, err
}
