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
	// statusParallel bounds the requests at once; a fleet of 650 is asked in about 20 steps.
	statusParallel = 32
	maxStatusBytes = 4 << 20
	// refreshRounds is the number of rounds after which all members are asked again instead of only those that
	// lag; asking 650 members for their lists moves 40 MB.
	refreshRounds = 6
)

// statusAnswer is the part of an instance's GET /status that shows which configuration is in force where.
type statusAnswer struct {
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	Members  []struct {
		ID   string `json:"id"`
		HTTP string `json:"http"` // host:port
	} `json:"members"`
}

// MemberRevision is what is known of a member while a revision comes into force.
type MemberRevision struct {
	ID       string // empty for an entry address that has not answered
	Address  string // host:port of its HTTP listener
	Revision uint64 // 0 when not known
	Err      error  // why the last request failed; nil when it was answered
}

// String returns one line for operators.
func (m MemberRevision) String() string {
	name := strings.TrimSpace(m.ID + " " + m.Address)
	if m.Err != nil {
		return fmt.Sprintf("%s: no answer: %v", name, m.Err)
	}
	return fmt.Sprintf("%s: revision %d", name, m.Revision)
}

// InForceCheck asks the instances whether a revision is in force.
type InForceCheck struct {
	Client   *http.Client
	Entries  []string // host:port of some instances; the others are found through their members
	Revision uint64
}

// Await polls until the revision, or a later one, is in force on every live member, that is, on every member that
// the answering instances list. It returns what is known of all members, and false when ctx ended first.
func (c *InForceCheck) Await(ctx context.Context) ([]MemberRevision, bool) {
	known := view{}
	for i := 0; ; i++ {
		next := maps.Clone(known)
		if i%refreshRounds == 0 {
			// Starts anew, because members that nobody lists any more are gone and will never answer.
			next = view{}
		}
		c.round(ctx, next)
		if ctx.Err() != nil && len(known) > 0 {
			return known.members(), false
		}
		known = next
		if known.inForce(c.Revision) {
			return known.members(), true
		}
		if !pause(ctx, statusInterval) {
			return known.members(), false
		}
	}
}

// round asks the entries, the members not known to have the revision, and all members listed in the answers.
func (c *InForceCheck) round(ctx context.Context, v view) {
	next := slices.Clone(c.Entries)
	for address, m := range v {
		if m.Revision < c.Revision && !slices.Contains(next, address) {
			next = append(next, address)
		}
	}
	for len(next) > 0 {
		next = c.ask(ctx, next, v)
	}
	if v.answered() {
		// An entry that does not answer and that no member lists isn't live.
		maps.DeleteFunc(v, func(_ string, m MemberRevision) bool { return m.ID == "" && m.Err != nil })
	}
}

// ask requests the status of addresses, notes the answers and returns the addresses that were not known before.
func (c *InForceCheck) ask(ctx context.Context, addresses []string, v view) []string {
	var mu sync.Mutex // protects v and found
	var wg sync.WaitGroup
	var found []string
	slots := make(chan struct{}, statusParallel)
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
			found = append(found, v.list(s)...)
		})
	}
	wg.Wait()
	return slices.DeleteFunc(found, func(address string) bool { return slices.Contains(addresses, address) })
}

// view holds what is known of the members, by address.
type view map[string]MemberRevision

// list adds the members that an instance lists and returns the addresses that were not known.
func (v view) list(s *statusAnswer) []string {
	var found []string
	for _, m := range s.Members {
		// An instance may list itself under another address than the one that was asked.
		if m.ID == s.Instance {
			continue
		}
		known, ok := v[m.HTTP]
		if !ok {
			found = append(found, m.HTTP)
		}
		known.ID, known.Address = m.ID, m.HTTP
		v[m.HTTP] = known
	}
	return found
}

func (v view) answered() bool {
	for _, m := range v {
		if m.Err == nil {
			return true
		}
	}
	return false
}

func (v view) inForce(revision uint64) bool {
	members := v.members()
	for _, m := range members {
		if m.Err != nil || m.Revision < revision {
			return false
		}
	}
	return len(members) > 0
}

// members returns the members by ID. Of a member that is known under several addresses it keeps the highest
// revision.
func (v view) members() []MemberRevision {
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

func (c *InForceCheck) status(ctx context.Context, address string) (*statusAnswer, error) {
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
	var s statusAnswer
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s)
	return &s, err
}
