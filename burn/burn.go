// Package burn records refusal minutes and reports how fast they use up the error budget of a service level.
//
// A refusal minute is a minute in which at least one caller of a service and workspace was refused for a reason
// that is not the caller's own error.
package burn

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/problem"
)

// Subject is a service and workspace for which refusal minutes are counted.
type Subject struct {
	Service   string `cbor:"1,keyasint" json:"service"`
	Workspace string `cbor:"2,keyasint" json:"workspace"`
}

// Minute holds the counts of one subject in one minute.
type Minute struct {
	Start   int64                   `cbor:"1,keyasint"` // Unix time in minutes
	Subject Subject                 `cbor:"2,keyasint"`
	Served  uint64                  `cbor:"3,keyasint"`
	Refused map[problem.Kind]uint64 `cbor:"4,keyasint,omitempty"`
}

// Recorder counts the served and refused requests of one instance by minute. It is not safe for concurrent use.
type Recorder struct {
	minutes      map[minuteKey]*Minute
	refusalAdded bool // since the last call of Changed
}

type minuteKey struct {
	start   int64
	subject Subject
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{minutes: map[minuteKey]*Minute{}} }

// Served counts a served request.
func (r *Recorder) Served(now time.Time, s Subject) { r.minute(now, s).Served++ }

// Refused counts a refused request.
func (r *Recorder) Refused(now time.Time, s Subject, k problem.Kind) {
	minute := r.minute(now, s)
	if minute.Refused == nil {
		minute.Refused = map[problem.Kind]uint64{}
	}
	minute.Refused[k]++
	r.refusalAdded = true
}

// Changed reports whether a refusal was counted since the last call of Changed.
func (r *Recorder) Changed() bool {
	changed := r.refusalAdded
	r.refusalAdded = false
	return changed
}

// MarkChanged makes the next call of Changed report true, for example after a failed write.
func (r *Recorder) MarkChanged() { r.refusalAdded = true }

// Days returns the recorded minutes by UTC day, formatted as in object keys (2006-01-02). Minutes without a refusal
// are merged into one entry an hour, which keeps a day below the store's value limit.
func (r *Recorder) Days() map[string][]Minute {
	merged := map[string]map[minuteKey]Minute{}
	for _, minute := range r.minutes {
		day := dayOf(minute.Start)
		if merged[day] == nil {
			merged[day] = map[minuteKey]Minute{}
		}
		mergeMinute(merged[day], *minute)
	}
	days := make(map[string][]Minute, len(merged))
	for day, minutes := range merged {
		days[day] = sortMinutes(minutes)
	}
	return days
}

// DropDay drops the minutes of a UTC day. It is called when the day is over and its minutes are stored.
func (r *Recorder) DropDay(day string) {
	maps.DeleteFunc(r.minutes, func(key minuteKey, _ *Minute) bool { return dayOf(key.start) == day })
}

func dayOf(minute int64) string { return time.Unix(minute*60, 0).UTC().Format(dayLayout) }

func (r *Recorder) minute(now time.Time, s Subject) *Minute {
	key := minuteKey{now.Unix() / 60, s}
	minute, ok := r.minutes[key]
	if !ok {
		minute = &Minute{Start: key.start, Subject: s}
		r.minutes[key] = minute
	}
	return minute
}

func mergeMinute(merged map[minuteKey]Minute, m Minute) {
	if len(m.Refused) == 0 {
		m.Start -= m.Start % 60
	}
	key := minuteKey{m.Start, m.Subject}
	sum := merged[key]
	sum.Start, sum.Subject = m.Start, m.Subject
	sum.Served += m.Served
	if len(m.Refused) > 0 {
		refused := maps.Clone(sum.Refused)
		if refused == nil {
			refused = map[problem.Kind]uint64{}
		}
		for k, n := range m.Refused {
			refused[k] += n
		}
		sum.Refused = refused
	}
	merged[key] = sum
}

func sortMinutes(minutes map[minuteKey]Minute) []Minute {
	sorted := slices.Collect(maps.Values(minutes))
	slices.SortFunc(sorted, func(a, b Minute) int {
		if a.Start != b.Start {
			return int(a.Start - b.Start)
		}
		return strings.Compare(a.Subject.Service+"\x00"+a.Subject.Workspace, b.Subject.Service+"\x00"+b.Subject.Workspace)
	})
	return sorted
}
