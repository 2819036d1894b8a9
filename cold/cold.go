// Package cold divides among the instances the requests that a cold endpoint tolerates: it limits them over all instances
// together, also while these can't reach each other and disagree on who is a member. It is pure: it has no clock and no
// network.
//
// A few designated instances of each endpoint have a share of its limit. They are the first ones by rendezvous hashing in a
// list of the members that the platform's store keeps. Two rules make the shares of all designated instances add up to no
// more than the limit, whatever each instance knows. An instance uses a share only by a list that was read at most
// MaxListAge ago, and only when its own entry in that list was confirmed at least MaxListAge ago. So each instance that uses
// a share is in every list that any instance uses, and no two use the same place. Missing or additional members only leave
// shares unused.
package cold

import (
	"math"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	// MaxListAge bounds the age of the list of members by which an instance uses a share. A starting instance waits as long
	// for its first share; endpoints are cold for several seconds.
	MaxListAge = 3 * time.Second
	// maxRenewalAge is the age up to which the latest renewal of an instance's entry shows that the lists of others still
	// include it. They drop entries that were not renewed for 10 minutes.
	maxRenewalAge = 5 * time.Minute
	// PermitTime is how long a permit for one request is valid: opening a connection takes 150 ms at most.
	PermitTime = 250 * time.Millisecond
	// arrivalJitter allows for requests that take longer to arrive than others.
	arrivalJitter = 50 * time.Millisecond
	// window is the time in which the permits of an endpoint are counted. Those that are used within one second were given
	// within this time.
	window = time.Second + PermitTime + arrivalJitter
	// maxDesignated is the number of instances that share the limit of an endpoint, so that one of them is lost without
	// consequence.
	maxDesignated = 3
)

// Limit is what a cold endpoint tolerates, over all instances.
type Limit struct {
	PerSecond float64 // requests a second; 0: the endpoints of the service are never cold
	Overage   float64 // the bound for any one second is PerSecond * Overage + Slack
	Slack     float64
}

// Total returns the permits in one window over all instances. Their mean rate is PerSecond, and all of them may be used
// within one second without exceeding the bound.
func (l Limit) Total() int {
	bound := math.Floor(l.PerSecond*max(1, l.Overage) + max(0, l.Slack))
	return int(min(bound, max(1, math.Floor(l.PerSecond*window.Seconds()))))
}

// Designated returns the number of instances that have a share.
func (l Limit) Designated() int { return min(maxDesignated, l.Total()) }

// Share returns the permits in one window of the designated instance with the given rank, 0 for the first one. It never
// grows with the rank, so that an instance that sees additional members ahead of it only loses.
func (l Limit) Share(rank int) int {
	n := l.Designated()
	if rank < 0 || rank >= n {
		return 0
	}
	share := l.Total() / n
	if rank < l.Total()%n {
		share++
	}
	return share
}

// Membership is what an instance knows of the members. It is not safe for concurrent use.
type Membership struct {
	Self      string
	Confirmed time.Time // since when the store has had this instance's entry without interruption; zero: it has not
	Renewed   time.Time // when the entry was last renewed

	members    []string // those of the latest list
	listed     time.Time
	isMember   bool // members has Self
	ranks      map[string]int
	designated map[string][]string
}

// RecordRenewed records that the store has confirmed the entry of this instance at now.
func (m *Membership) RecordRenewed(now time.Time) {
	if m.Confirmed.IsZero() || now.Sub(m.Renewed) > maxRenewalAge {
		m.Confirmed = now
	}
	m.Renewed = now
}

// RecordLost records that the store has lost the entry of this instance, so that lists of others may lack it.
func (m *Membership) RecordLost() { m.Confirmed = time.Time{} }

// SetMembers records a list whose reading began at listed.
func (m *Membership) SetMembers(members []string, listed time.Time) {
	if listed.Before(m.listed) {
		return
	}
	m.listed = listed
	if slices.Equal(members, m.members) {
		return
	}
	m.members, m.isMember = members, slices.Contains(members, m.Self)
	m.ranks, m.designated = map[string]int{}, map[string][]string{}
}

// Members returns the members of the latest list and when its reading began.
func (m *Membership) Members() ([]string, time.Time) { return m.members, m.listed }

// MayUse reports whether this instance may use shares at now.
func (m *Membership) MayUse(now time.Time) bool {
	return m.isMember && !m.Confirmed.IsZero() && now.Sub(m.Confirmed) >= MaxListAge && now.Sub(m.Renewed) <= maxRenewalAge &&
		now.Sub(m.listed) <= MaxListAge
}

// Share returns the permits in one window that this instance may give for an endpoint at now.
func (m *Membership) Share(endpoint string, l Limit, now time.Time) int {
	if !m.MayUse(now) {
		return 0
	}
	rank, known := m.ranks[endpoint]
	if !known {
		rank = len(rendezvous.Before(endpoint, m.members, m.Self))
		m.ranks[endpoint] = rank
	}
	return l.Share(rank)
}

// Designated returns the members that have a share of the limit of an endpoint, by a list that may be old.
func (m *Membership) Designated(endpoint string, l Limit) []string {
	top, known := m.designated[endpoint]
	if !known && len(m.members) > 0 {
		top = rendezvous.Top(endpoint, m.members, maxDesignated)
		m.designated[endpoint] = top
	}
	return top[:min(len(top), l.Designated())]
}

// Window counts the permits that an instance has given for an endpoint. It is not safe for concurrent use.
type Window struct{ given []time.Time }

// Next returns when the next permit of a share can be given: at now, or later. The zero time means never.
func (w *Window) Next(share int, now time.Time) time.Time {
	w.given = slices.DeleteFunc(w.given, func(at time.Time) bool { return now.Sub(at) >= window })
	switch {
	case share <= 0:
		return time.Time{}
	case len(w.given) < share:
		return now
	}
	return w.given[len(w.given)-share].Add(window)
}

// Take gives a permit and reports whether the share allowed it.
func (w *Window) Take(share int, now time.Time) bool {
	if !w.Next(share, now).Equal(now) {
		return false
	}
	w.given = append(w.given, now)
	return true
}
