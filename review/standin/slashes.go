package main

import (
	"fmt"
	"time"
)

const (
	slashRequests = 20
	plainTarget   = "/yard/regina/7?day=2"
	slashedTarget = "//yard/regina/7?day=2"
)

// playSlashes sends requests to a route of the prefix "/". With trouble, their paths begin with two slashes.
func playSlashes(w *world, trouble bool) ([]string, error) {
	c := config(7, []tenant{{"hule930", []string{keyA}}})
	c["routes"] = append(c["routes"].([]any), map[string]any{"name": "r-all", "host": host, "prefix": "/", "route_kind": "idempotent",
		"timeout_ms": 2500, "goal_latency_ms": 150, "priority": 2, "service": "yard-desk", "max_attempts": 2, "public": false, "sticky": false, "resumable": false})
	if err := w.setUp(3, c); err != nil {
		return nil, err
	}
	if _, err := w.addEngines("yard-desk", 4); err != nil {
		return nil, err
	}
	if err := w.startGateways(); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	target := plainTarget
	if trouble {
		target = slashedTarget
	}
	var violations []string
	client := newClient()
	for n := range slashRequests {
		a := request(client, w.gateways[n%len(w.gateways)], "GET", target, keyA, 2500*time.Millisecond, "", 0)
		w.record.printf("client: GET %s as %s answered %d", target, a.id, a.status)
		for _, r := range w.runsOf(a.id) {
			if r.target != target {
				violations = append(violations, fmt.Sprintf("UNASKED: %s was sent with the target %s and ran with %s", a.id, target, r.target))
			}
		}
	}
	return violations, nil
}
