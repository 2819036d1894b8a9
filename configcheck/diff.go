package configcheck

import (
	"fmt"
	"slices"
	"strings"
)

// Item is a part of a configuration that Diff compares by type and name.
type Item struct {
	Type   string // such as route, service or workspace
	Name   string
	Fields []Field
}

// Field is a field of an item with its value in text form.
type Field struct {
	Name, Value string
	Secret      bool // the value is compared, but not shown
}

// Change is a difference between two configurations. The JSON names are part of the interface of `trefoillug check
// --json`.
type Change struct {
	File   string        `json:"file,omitempty"`
	Change string        `json:"change"` // added, removed or changed
	Type   string        `json:"type"`
	Name   string        `json:"name,omitempty"`
	Fields []FieldChange `json:"fields,omitempty"` // of changed items
}

// FieldChange is a field that differs. From and To are empty for secrets.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String returns the change in one line.
func (c Change) String() string {
	text := fmt.Sprintf("%s %s", c.Change, c.Type)
	if c.Name != "" {
		text += " " + c.Name
	}
	fields := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		fields[i] = f.Field
		if f.From != "" || f.To != "" {
			fields[i] = fmt.Sprintf("%s %s -> %s", f.Field, f.From, f.To)
		}
	}
	if len(fields) > 0 {
		text += ": " + strings.Join(fields, ", ")
	}
	return text
}

// Diff returns what is added, removed and changed from one list of items to another, sorted by type and name.
func Diff(from, to []Item) []Change {
	from, to = slices.SortedStableFunc(slices.Values(from), compareItems), slices.SortedStableFunc(slices.Values(to), compareItems)
	var changes []Change
	for len(from) > 0 || len(to) > 0 {
		var order int
		switch {
		case len(to) == 0:
			order = -1
		case len(from) == 0:
			order = 1
		default:
			order = compareItems(from[0], to[0])
		}
		switch {
		case order < 0:
			changes = append(changes, Change{Change: "removed", Type: from[0].Type, Name: from[0].Name})
			from = from[1:]
		case order > 0:
			changes = append(changes, Change{Change: "added", Type: to[0].Type, Name: to[0].Name})
			to = to[1:]
		default:
			if fields := diffFields(from[0].Fields, to[0].Fields); len(fields) > 0 {
				changes = append(changes, Change{Change: "changed", Type: to[0].Type, Name: to[0].Name, Fields: fields})
			}
			from, to = from[1:], to[1:]
		}
	}
	return changes
}

// diffFields compares two lists with the same fields in the same order.
func diffFields(from, to []Field) []FieldChange {
	var changes []FieldChange
	for i := range min(len(from), len(to)) {
		a, b := from[i], to[i]
		if a.Value == b.Value {
			continue
		}
		change := FieldChange{Field: b.Name}
		if !b.Secret {
			change.From, change.To = a.Value, b.Value
		}
		changes = append(changes, change)
	}
	return changes
}

// CheckVersion returns an error if the version of a configuration is not above that in effect.
func CheckVersion(inEffect, next *Config) []Finding {
	if next.Version == 0 || next.Version > inEffect.Version { // Check reports version 0
		return nil
	}
	return []Finding{{
		Severity: Error, Field: next.Names.Version, Cause: fmt.Sprintf("is %d, not above the %d in effect", next.Version, inEffect.Version),
		Fix: fmt.Sprintf("write %d or more", inEffect.Version+1),
	}}
}
