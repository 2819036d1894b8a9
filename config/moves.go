package config

import (
	"fmt"
	"strings"
	"time"
)

// move decodes a move. Without a start field, the move starts when the file is published. Publisher keeps the start of
// a move that is already published.
func (d *decoder) move(o *object, s *Service, now time.Time) *Move {
	m := &Move{}
	m.To, _ = required(o, "to", parseName, "name the version that takes over")
	m.From = optional(o, "from", s.ServingVersion, parseName, fixName)
	m.Start = optional(o, "start", now.UTC(), parseTime, fixTime)
	m.StartAtPublish = !o.has("start")
	deadline, ok := required(o, "deadline", parseTime, fixTime)
	m.Deadline = deadline
	m.Stages = d.stages(o)
	m.ID = optional(o, "id", moveID(m), parseName, fixName)
	d.checkVersions(o, s, m)
	if ok {
		d.checkTimes(o, m, now)
	}
	return m
}

// moveID derives the ID of a move from its versions and deadline. The abort of a move stays recorded under its ID, so a
// new move after a rollback needs another ID. It gets one because its deadline differs.
func moveID(m *Move) string {
	id := fmt.Sprintf("%s-%s-%s", m.From, m.To, m.Deadline.Format("20060102T150405Z"))
	return strings.TrimLeft(id[max(0, len(id)-maxNameBytes):], "._-")
}

func (d *decoder) checkVersions(o *object, s *Service, m *Move) {
	if m.To != "" && m.From == m.To {
		o.report("to", fmt.Sprintf("moves from %q to itself", m.To), "name two different versions")
	}
	if m.To != "" && !hasVersion(s.Versions, m.To) {
		o.report("to", fmt.Sprintf("version %q is not listed", m.To), "add it to versions or correct the name")
	}
	if !o.has("from") {
		return
	}
	switch {
	case !hasVersion(s.Versions, m.From):
		o.report("from", fmt.Sprintf("version %q is not listed", m.From), "add it to versions or correct the name")
	case s.ServingVersion != "" && m.From != s.ServingVersion:
		o.report("from", fmt.Sprintf("version %q does not serve, %q does", m.From, s.ServingVersion), "move from the version in serve")
	}
}

func (d *decoder) checkTimes(o *object, m *Move, now time.Time) {
	if !m.Deadline.After(now) {
		o.report("deadline", "is in the past", "set a later deadline, or remove the move and set serve")
		return
	}
	if !m.Start.Before(m.Deadline) {
		o.report("start", "is not before the deadline", "set an earlier start or a later deadline")
		return
	}
	var total time.Duration
	for _, stage := range m.Stages {
		total += stage.MinTime
	}
	if available := m.Deadline.Sub(m.Start); total > available {
		cause := fmt.Sprintf("need %s, but start and deadline are %s apart", total, available.Round(time.Second))
		o.report("stages", cause, "shorten the stages or set a later deadline")
	}
}

func (d *decoder) stages(o *object) []Stage {
	var stages []Stage
	last := 0.0
	for _, e := range o.list("stages") {
		f := d.object(e.node, e.path, "share", "for")
		share, ok := required(f, "share", parsePercent, "write a percentage such as 5%")
		if ok && share <= last {
			f.report("share", "is not above the share of the stage before", "let the shares rise")
		}
		last = max(last, share)
		minTime, _ := required(f, "for", parseDuration, fixDuration)
		stages = append(stages, Stage{Share: share, MinTime: minTime})
	}
	return stages
}
