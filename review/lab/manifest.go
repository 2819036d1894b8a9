package lab

import "maps"

// Manifest returns a manifest with one tenant, the given routes and services.
func Manifest(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "open", "apiKeys": []string{Key}, "unit": "tokens", "plainTokens": 200, "ratePerS": 1e6, "burst": 1e6}},
	}
}

// Route returns a route of a manifest.
func Route(name, kind, service string, extra map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": Host, "pathPrefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": 800, "targetLatencyMs": 300,
		"priority": 2, "maxAttempts": 1,
	}
	maps.Copy(r, extra)
	return r
}

// Service returns a service of a manifest.
func Service(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 100}
}
