package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

const (
	// MaxFileBytes is the maximum size of a service file. It keeps the published form far below the limit of 1 MB for
	// an object.
	MaxFileBytes = 64 << 10
	// maxNameBytes is the maximum length of a name; names are used in object keys and metric tags.
	maxNameBytes = 63
	// maxConcurrency is more than any engine runs in one batch.
	maxConcurrency = 4096

	defaultConcurrency  = 8
	defaultModelTimeout = 2 * time.Minute  // long responses take more than a minute
	defaultPlainTimeout = 30 * time.Second // for application calls
	defaultWorkspace    = "default"
	modelPath           = "/v1/chat/completions"
)

// Suggested fixes used by several fields.
const (
	fixName     = "use up to 63 letters, digits, '.', '_' and '-', starting with a letter or digit"
	fixDuration = "write a number with a unit such as 60ms, 1.9s or 10m"
	fixTime     = "write a time such as 2026-12-04T18:30:00Z or 2026-12-04T18:30:00+01:00"
	fixRate     = "write a number with a unit such as 40/s, 90/min or 10/h; leave rate out for no limit"
)

// File is the content of a service file.
type File struct {
	Name string // shown in error messages
	Data []byte
}

// ReadFiles reads service files. The error is of type Problems and lists every file that can't be read.
func ReadFiles(paths []string) ([]File, error) {
	var files []File
	var problems Problems
	for _, path := range paths {
		data, err := readFile(path)
		if err != nil {
			problems = append(problems, Problem{File: path, Line: 1, Cause: err.Error(), Fix: "name a readable service file"})
			continue
		}
		files = append(files, File{Name: path, Data: data})
	}
	return files, problems.asError()
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
}

// DecodeFiles decodes and validates service files. Deadlines are compared with now. The error is of type Problems
// and lists every mistake in every file. The services are valid only when the error is nil.
func DecodeFiles(files []File, now time.Time) ([]Service, error) {
	var problems Problems
	services := make([]Service, 0, len(files))
	definedIn := map[string]string{}
	for _, f := range files {
		d := &decoder{file: f.Name}
		s, line := d.decode(f.Data, now)
		if other, duplicate := definedIn[s.Name]; duplicate && s.Name != "" {
			d.report(line, "service", fmt.Sprintf("%q is also described in %s", s.Name, other), "describe each service in one file")
		} else {
			definedIn[s.Name] = f.Name
		}
		services = append(services, s)
		problems = append(problems, d.problems...)
	}
	return services, problems.asError()
}

// Decode decodes and validates one service file; see DecodeFiles.
func Decode(f File, now time.Time) (Service, error) {
	d := &decoder{file: f.Name}
	s, _ := d.decode(f.Data, now)
	return s, d.problems.asError()
}

// decode returns the service and the line number of its name.
func (d *decoder) decode(data []byte, now time.Time) (Service, int) {
	if len(data) > MaxFileBytes {
		d.report(1, "", fmt.Sprintf("file is over %d bytes", MaxFileBytes), "split the service or shorten the file")
		return Service{}, 1
	}
	root, ok := d.parse(data)
	if !ok {
		return Service{}, 1
	}
	o := d.object(root, "", "service", "kind", "versions", "serve", "concurrency", "checks", "routes", "workspaces", "move")
	return d.service(o, now), o.lineOf("service")
}

var yamlLine = regexp.MustCompile(`line (\d+)`)

func (d *decoder) parse(data []byte) (*yaml.Node, bool) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc, next yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) || err == nil && len(doc.Content) == 0 {
		d.report(1, "service", "file is empty", "start it with service: NAME")
		return nil, false
	}
	if err == nil {
		if err = dec.Decode(&next); errors.Is(err, io.EOF) {
			return doc.Content[0], true
		}
		if err == nil {
			d.report(next.Line, "", "file holds several documents", "describe each service in its own file")
			return nil, false
		}
	}
	line := 1
	if m := yamlLine.FindStringSubmatch(err.Error()); m != nil {
		line, _ = strconv.Atoi(m[1])
	}
	d.report(line, "", strings.TrimPrefix(err.Error(), "yaml: "), "correct the YAML syntax")
	return nil, false
}

func (d *decoder) service(o *object, now time.Time) Service {
	var s Service
	s.Name, _ = required(o, "service", parseName, fixName)
	s.Kind, _ = required(o, "kind", parseKind, "write model or plain")
	s.Concurrency = optional(o, "concurrency", defaultConcurrency, parseConcurrency, fmt.Sprintf("write a number from 1 to %d", maxConcurrency))
	s.Checks = d.checks(o)
	s.Versions = d.versions(o)
	s.ServingVersion = d.serve(o, s.Versions)
	s.Routes = d.routes(o, s.Kind)
	s.Workspaces = d.workspaces(o)
	if n := o.fields["move"]; n != nil {
		m := d.object(n, "move", "id", "from", "to", "start", "deadline", "stages")
		s.Move = d.move(m, &s, now)
	}
	return s
}

func (d *decoder) checks(o *object) EndpointChecks {
	var c EndpointChecks
	known := map[string]*bool{"fencing": &c.Fencing, "idempotency_keys": &c.IdempotencyKeys, "sender": &c.Sender}
	parse := func(text string) (string, error) {
		if known[text] == nil {
			return "", fmt.Errorf("%q is not a check", text)
		}
		return text, nil
	}
	for _, name := range names(o, "checks", parse, "use fencing, idempotency_keys or sender") {
		*known[name] = true
	}
	return c
}

func (d *decoder) versions(o *object) []Version {
	var versions []Version
	for _, name := range names(o, "versions", parseName, fixName) {
		versions = append(versions, Version{Name: name})
	}
	if o.empty("versions") {
		o.report("versions", "lists no version", "list the versions, for example versions: [v1]")
	}
	return versions
}

// serve returns the serving version. The field may be omitted when the service has a single version.
func (d *decoder) serve(o *object, versions []Version) string {
	if !o.has("serve") && len(versions) == 1 {
		return versions[0].Name
	}
	if !o.has("serve") && len(versions) == 0 {
		return ""
	}
	serve, ok := required(o, "serve", parseName, "name the version that serves")
	if ok && !hasVersion(versions, serve) {
		o.report("serve", fmt.Sprintf("version %q is not listed", serve), "add it to versions or correct the name")
	}
	return serve
}

func hasVersion(versions []Version, name string) bool {
	return slices.Contains(versions, Version{Name: name})
}

func (d *decoder) workspaces(o *object) []Workspace {
	if !o.has("workspaces") {
		return []Workspace{{Name: defaultWorkspace}}
	}
	var workspaces []Workspace
	seen := map[string]bool{}
	for _, e := range o.list("workspaces") {
		f := d.object(e.node, e.path, "name", "rate", "burst", "first_token", "between_tokens", "cost_per_thousand_tokens")
		w := d.workspace(f)
		if w.Name != "" && seen[w.Name] {
			f.report("name", fmt.Sprintf("workspace %q is given twice", w.Name), "remove one of the two")
		}
		seen[w.Name] = true
		workspaces = append(workspaces, w)
	}
	return workspaces
}

func (d *decoder) workspace(o *object) Workspace {
	var w Workspace
	w.Name, _ = required(o, "name", parseName, fixName)
	w.Rate = optional(o, "rate", 0, parseRate, fixRate)
	w.Burst = optional(o, "burst", defaultBurst(w.Rate), parsePositive, "write a number of requests such as 80")
	if o.has("burst") && !o.has("rate") {
		o.report("burst", "has no effect without a rate", "add rate or remove burst")
	}
	w.Targets.FirstToken = optional(o, "first_token", 0, parseDuration, fixDuration)
	w.Targets.BetweenTokens = optional(o, "between_tokens", 0, parseDuration, fixDuration)
	w.Targets.CostPerThousandTokens = optional(o, "cost_per_thousand_tokens", 0, parsePositive, "write a price such as 0.02")
	return w
}

// defaultBurst returns the number of requests in one second at the rate, and at least 1. It returns 0 without a rate.
func defaultBurst(rate float64) float64 {
	if rate == 0 {
		return 0
	}
	return max(1, rate)
}
