package burn

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/problem"
)

// KeyPrefix starts the keys of the objects that hold refusal minutes: burn/<day>/<process>.
const KeyPrefix = "burn/"

// dayLayout formats a UTC day in object keys.
const dayLayout = "2006-01-02"

// DayKey returns the key of the object in which a process stores its minutes of a UTC day.
func DayKey(day, process string) string { return KeyPrefix + day + "/" + process }

// Windows are the periods over which burn rates are reported, the shortest first. Comparing a short and a long window
// distinguishes a burst from a lasting fault.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// Line is the report on one subject.
type Line struct {
	Subject
	Served         uint64                  `json:"served"`
	Refused        map[problem.Kind]uint64 `json:"refused"`
	RefusalMinutes int                     `json:"refusal_minutes"`
	BurnRates      []Rate                  `json:"burn_rates"`
	MinuteStarts   []int64                 `json:"minute_starts"` // Unix time in minutes of each refusal minute
}

// Rate is the burn rate over a window. At a rate of 1 the error budget lasts exactly for the service level's period.
type Rate struct {
	Window string  `json:"window"`
	Rate   float64 `json:"rate"`
}

// Report lists the refusals and burn rates of all subjects for the time between From and To.
type Report struct {
	From      time.Time `json:"from"`
	To        time.Time `json:"to"`
	Objective float64   `json:"objective"` // wanted share of minutes without a refusal, below 1
	Lines     []Line    `json:"lines"`     // most refusal minutes first
}

// Read loads the minutes that all instances stored for the UTC days between from and to. It returns an error when the
// store can't be read or when an object doesn't decode as a list of minutes.
func Read(ctx context.Context, store objstore.Store, from, to time.Time) ([]Minute, error) {
	var all []Minute
	for day := from.UTC().Truncate(24 * time.Hour); !day.After(to); day = day.Add(24 * time.Hour) {
		objects, err := store.List(ctx, KeyPrefix+day.Format(dayLayout)+"/")
		if err != nil {
			return nil, fmt.Errorf("list refusal minutes of %s: %w", day.Format(dayLayout), err)
		}
		for _, o := range objects {
			var minutes []Minute
			if err := cbor.Unmarshal(o.Value, &minutes); err != nil {
				return nil, fmt.Errorf("decode object %q: %w", o.Key, err)
			}
			all = append(all, minutes...)
		}
	}
	return all, nil
}

// NewReport builds the report on the time between from and to out of the minutes of all instances. A minute counts once
// per subject, however many instances refused requests in it.
func NewReport(rows []Minute, from, to time.Time, objective float64) Report {
	lines := map[Subject]*Line{}
	minutes := map[Subject]map[int64]bool{}
	for _, m := range rows {
		if m.Start < from.Unix()/60 || m.Start > to.Unix()/60 {
			continue
		}
		line, ok := lines[m.Subject]
		if !ok {
			line = &Line{Subject: m.Subject, Refused: map[problem.Kind]uint64{}}
			lines[m.Subject], minutes[m.Subject] = line, map[int64]bool{}
		}
		line.Served += m.Served
		for k, n := range m.Refused {
			line.Refused[k] += n
			if !problem.AnswerFor(k).CallerError {
				minutes[m.Subject][m.Start] = true
			}
		}
	}
	report := Report{From: from, To: to, Objective: objective}
	for subject, line := range lines {
		line.MinuteStarts = slices.Sorted(maps.Keys(minutes[subject]))
		line.RefusalMinutes = len(line.MinuteStarts)
		line.BurnRates = burnRates(line.MinuteStarts, to, objective)
		report.Lines = append(report.Lines, *line)
	}
	slices.SortFunc(report.Lines, func(a, b Line) int {
		if a.RefusalMinutes != b.RefusalMinutes {
			return b.RefusalMinutes - a.RefusalMinutes
		}
		return strings.Compare(a.Service+"\x00"+a.Workspace, b.Service+"\x00"+b.Workspace)
	})
	return report
}

func burnRates(starts []int64, to time.Time, objective float64) []Rate {
	var rates []Rate
	for _, w := range Windows {
		first := to.Add(-w).Unix() / 60
		refused := 0
		for _, start := range starts {
			if start > first {
				refused++
			}
		}
		rates = append(rates, Rate{Window: w.String(), Rate: float64(refused) / w.Minutes() / (1 - objective)})
	}
	return rates
}
