package main

const (
	routeHost = "ficu95.example"
	keyOfW    = "n2ctnfzs989anu6wsjnb"
	tenantOfW = "hule930"
)

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service string
	public, resumable           bool
	attempts                    int
	timeoutMS, goalMS, gapMS    int
}

// config returns a configuration with one tenant and a service for each route.
func config(version int, routes ...route) map[string]any {
	var rs, ss []map[string]any
	named := map[string]bool{}
	for _, r := range routes {
		entry := map[string]any{
			"name": r.name, "host": routeHost, "prefix": r.prefix, "route_kind": r.kind, "timeout_ms": max(r.timeoutMS, 1200),
			"goal_latency_ms": max(r.goalMS, 150), "priority": 1, "service": r.service, "max_attempts": max(r.attempts, 1),
			"public": r.public, "sticky": false, "resumable": r.resumable,
		}
		if r.gapMS > 0 {
			entry["gap_aim_ms"] = r.gapMS
		}
		rs = append(rs, entry)
		if !named[r.service] {
			named[r.service] = true
			ss = append(ss, map[string]any{
				"name": r.service, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
			})
		}
	}
	return map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenantOfW, "api_keys": []string{keyOfW}, "priority": 1}},
	}
}
