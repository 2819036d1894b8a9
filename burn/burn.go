// Package burn records refusal minutes and reports how fast they use up a service level.
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

// Subject is what refusal minutes are counted for.
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

// Recorder counts served and refused requests of one instance. It is not safe for concurrent use.
type Recorder struct {
	rows    map[minuteKey]*Minute
	changed bool // a refusal was counted since the last flush
}

type minuteKey struct {
	start   int64
	subject Subject
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{rows: map[minuteKey]*Minute{}} }

// Served counts a served request.
func (r *Recorder) Served(now time.Time, s Subject) { r.row(now, s).Served++ }

// Refused counts a refused request.
func (r *Recorder) Refused(now time.Time, s Subject, k problem.Kind) {
	row := r.row(now, s)
	if row.Refused == nil {
		row.Refused = map[problem.Kind]uint64{}
	}
	row.Refused[k]++
	r.changed = true
}

// Changed reports whether a refusal was counted since the last call of Changed.
func (r *Recorder) Changed() bool {
	changed := r.changed
	r.changed = false
	return changed
}

// MarkChanged makes the next call of Changed report true, for example after a failed write.
func (r *Recorder) MarkChanged() { r.changed = true }

// Days returns the recorded minutes by UTC day in the form of object keys. Minutes without a refusal are merged
// into one row an hour, which keeps a day below the store's value limit.
func (r *Recorder) Days() map[string][]Minute {
	merged := map[string]map[minuteKey]Minute{}
	for _, row := range r.rows {
		day := dayOf(row.Start)
		if merged[day] == nil {
			merged[day] = map[minuteKey]Minute{}
		}
		addMinute(merged[day], *row)
	}
	days := make(map[string][]Minute, len(merged))
	for day, rows := range merged {
		days[day] = sortMinutes(rows)
	}
	return days
}

// Forget drops the minutes of a UTC day, once they are stored and over.
func (r *Recorder) Forget(day string) {
	maps.DeleteFunc(r.rows, func(key minuteKey, _ *Minute) bool { return dayOf(key.start) == day })
}

func dayOf(minute int64) string { return time.Unix(minute*60, 0).UTC().Format(dayLayout) }

func (r *Recorder) row(now time.Time, s Subject) *Minute {
	key := minuteKey{now.Unix() / 60, s}
	row, ok := r.rows[key]
	if !ok {
		row = &Minute{Start: key.start, Subject: s}
		r.rows[key] = row
	}
	return row
}

func addMinute(merged map[minuteKey]Minute, m Minute) {
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

func sortMinutes(rows map[minuteKey]Minute) []Minute {
	sorted := slices.Collect(maps.Values(rows))
	slices.SortFunc(sorted, func(a, b Minute) int {
		if a.Start != b.Start {
			return int(a.Start - b.Start)
		}
		return strings.Compare(a.Subject.Service+"\x00"+a.Subject.Workspace, b.Subject.Service+"\x00"+b.Subject.Workspace)
	})
	return sorted
}
