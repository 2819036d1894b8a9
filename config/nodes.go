package config

import (
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// decoder decodes the YAML nodes of one file and collects problems.
type decoder struct {
	file     string
	problems Problems
}

func (d *decoder) report(line int, field, cause, fix string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: max(1, line), Field: field, Cause: cause, Fix: fix})
}

// object is a YAML mapping with known fields.
type object struct {
	d      *decoder
	path   string // prefix of field paths, with a trailing dot unless empty
	line   int
	fields map[string]*yaml.Node
}

// object converts a mapping node whose fields must all be in known. It never returns nil: for a node of another kind it
// reports a problem and returns an object without fields.
func (d *decoder) object(n *yaml.Node, path string, known ...string) *object {
	o := &object{d: d, line: n.Line, fields: map[string]*yaml.Node{}}
	if path != "" {
		o.path = path + "."
	}
	if n.Kind != yaml.MappingNode {
		d.report(n.Line, path, "is not a mapping", "write the fields "+strings.Join(known, ", "))
		return o
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		switch {
		case !slices.Contains(known, key.Value):
			d.report(key.Line, o.path+key.Value, "unknown field", "use one of "+strings.Join(known, ", "))
		case o.fields[key.Value] != nil:
			d.report(key.Line, o.path+key.Value, "field given twice", "remove one of the two")
		default:
			o.fields[key.Value] = value
		}
	}
	return o
}

func (o *object) has(name string) bool { return o.fields[name] != nil }

// empty reports whether a list field is missing or has no elements.
func (o *object) empty(name string) bool {
	n := o.fields[name]
	return n == nil || n.Kind == yaml.SequenceNode && len(n.Content) == 0
}

// lineOf returns the line of a field, and the line of the object when the field is missing.
func (o *object) lineOf(name string) int {
	if n := o.fields[name]; n != nil {
		return n.Line
	}
	return o.line
}

func (o *object) report(name, cause, fix string) {
	o.d.report(o.lineOf(name), o.path+name, cause, fix)
}

// list returns the elements of a sequence field with their field paths.
func (o *object) list(name string) []element {
	n := o.fields[name]
	if n == nil {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		o.report(name, "is not a list", "write a list, also for a single element")
		return nil
	}
	elements := make([]element, len(n.Content))
	for i, c := range n.Content {
		elements[i] = element{node: c, path: fmt.Sprintf("%s%s[%d]", o.path, name, i)}
	}
	return elements
}

// element is an element of a YAML sequence with its field path.
type element struct {
	node *yaml.Node
	path string
}

// scalar converts a scalar node with parse. On failure it reports a problem with the given fix and returns false.
func scalar[T any](d *decoder, n *yaml.Node, path string, parse func(string) (T, error), fix string) (T, bool) {
	var zero T
	if n.Kind == yaml.AliasNode {
		d.report(n.Line, path, "is an alias", "write the value itself")
		return zero, false
	}
	if n.Kind != yaml.ScalarNode || n.ShortTag() == "!!null" {
		d.report(n.Line, path, "is not a single value", fix)
		return zero, false
	}
	v, err := parse(n.Value)
	if err != nil {
		d.report(n.Line, path, err.Error(), fix)
		return zero, false
	}
	return v, true
}

// optional converts a field. It returns def if the field is missing or invalid.
func optional[T any](o *object, name string, def T, parse func(string) (T, error), fix string) T {
	n := o.fields[name]
	if n == nil {
		return def
	}
	v, ok := scalar(o.d, n, o.path+name, parse, fix)
	if !ok {
		return def
	}
	return v
}

// required converts a field that must be present. It reports a problem if the field is missing or invalid.
func required[T any](o *object, name string, parse func(string) (T, error), fix string) (T, bool) {
	n := o.fields[name]
	if n == nil {
		var zero T
		o.report(name, "is missing", fix)
		return zero, false
	}
	return scalar(o.d, n, o.path+name, parse, fix)
}

// names converts a list of distinct scalars. It reports and drops duplicates.
func names[T comparable](o *object, name string, parse func(string) (T, error), fix string) []T {
	var values []T
	for _, e := range o.list(name) {
		v, ok := scalar(o.d, e.node, e.path, parse, fix)
		switch {
		case !ok:
		case slices.Contains(values, v):
			o.d.report(e.node.Line, e.path, fmt.Sprintf("%v is given twice", v), "remove one of the two")
		default:
			values = append(values, v)
		}
	}
	return values
}
