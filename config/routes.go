package config

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// safeMethods are the methods that can be repeated with any application. PUT and DELETE are idempotent by RFC 9110, but
// not in every application, so a route with them must set idempotent explicitly.
var safeMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

func (d *decoder) routes(o *object, kind ServiceKind) []Route {
	if !o.has("routes") && kind == KindModel {
		return []Route{{
			Name: "chat", Path: modelPath, Methods: []string{http.MethodPost}, Idempotent: true,
			Priority: PriorityNormal, Timeout: defaultModelTimeout,
		}}
	}
	if o.empty("routes") {
		o.report("routes", "the service has no route", "list its routes, for example routes: [{path: /orders}]")
	}
	var routes []Route
	for _, e := range o.list("routes") {
		f := d.object(e.node, e.path, "name", "path", "methods", "idempotent", "priority", "timeout")
		r := d.route(f, kind)
		d.checkOverlap(f, routes, r)
		routes = append(routes, r)
	}
	return routes
}

func (d *decoder) route(o *object, kind ServiceKind) Route {
	timeout := defaultPlainTimeout
	if kind == KindModel {
		timeout = defaultModelTimeout
	}
	var r Route
	r.Path, _ = required(o, "path", parsePath, "write the path below the service, for example /orders")
	r.Methods = names(o, "methods", parseMethod, "use GET, HEAD, OPTIONS, POST, PUT, PATCH or DELETE")
	r.Name = optional(o, "name", routeName(r.Path), parseName, fixName)
	r.Idempotent = optional(o, "idempotent", kind == KindModel || isSafe(r.Methods), parseBool, "write true or false")
	if kind == KindModel && !r.Idempotent {
		o.report("idempotent", "a model answer is generated from a seed and may always be repeated", "leave it out, or use kind: plain")
	}
	r.Priority = optional(o, "priority", PriorityNormal, parsePriority, "write low, normal or high")
	r.Timeout = optional(o, "timeout", timeout, parseDuration, fixDuration)
	return r
}

func (d *decoder) checkOverlap(o *object, others []Route, r Route) {
	for _, other := range others {
		if other.Name == r.Name && r.Name != "" {
			o.report("name", fmt.Sprintf("route %q is given twice", r.Name), "give one of them another name")
		}
		if r.Path != "" && other.Path == r.Path && sharesMethod(other.Methods, r.Methods) {
			o.report("path", fmt.Sprintf("route %q has the same path and method", other.Name), "give the routes different paths or methods")
		}
	}
}

func sharesMethod(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

func isSafe(methods []string) bool {
	unsafe := func(m string) bool { return !slices.Contains(safeMethods, m) }
	return len(methods) > 0 && !slices.ContainsFunc(methods, unsafe)
}

// routeName derives a route name from a path, for example v1-orders from /v1/orders/. It returns "root" if the result
// is not a valid name.
func routeName(path string) string {
	name := strings.ReplaceAll(strings.Trim(path, "/"), "/", "-")
	if _, err := parseName(name); err != nil {
		return "root"
	}
	return name
}
