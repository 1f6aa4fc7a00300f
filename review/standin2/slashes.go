package main

import (
	"fmt"
	"time"
)

// Figures of the case.
const (
	slashesRequests = 40
	configTime      = 2 * time.Second // config_ms
)

// slashes adds a route for all paths of a host to the configuration. Clients then ask for paths that begin with two slashes.
func slashes(log *record, trouble bool) (bool, error) {
	w, err := newWorld(log, 5)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.publish(newConfig())
	for range 3 {
		if _, err := w.addEngine(&engine{service: desk, version: "1.8.2", work: 5 * time.Millisecond, slots: 6}); err != nil {
			return false, err
		}
	}
	if err := w.addMachines(4, 284); err != nil {
		return false, err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	if trouble {
		c := newConfig()
		c.Version += 2
		c.Routes = append(c.Routes, route{"name": "rest", "host": host, "prefix": "/", "route_kind": "non_idempotent", "timeout_ms": 1200, "goal_latency_ms": 150, "priority": 2, "service": desk, "max_attempts": 1})
		w.publish(c)
		time.Sleep(configTime + 500*time.Millisecond)
	}
	sent := map[string]string{}
	for i := range slashesRequests {
		c := call{ID: newRequestID(), Method: "POST", Path: fmt.Sprintf("//yard/regina/%d", i), Deadline: time.Second, Body: "book"}
		sent[c.ID] = c.Path
		c.send(log, w.machines[i%len(w.machines)], 0)
	}
	return w.changed(sent), nil
}

// changed reports whether an engine ran a request with another target than its client sent.
func (w *world) changed(sent map[string]string) bool {
	ran, changed := 0, 0
	for _, r := range w.log.allRuns() {
		target, known := sent[r.ID]
		if !known {
			continue
		}
		ran++
		if r.Target != target {
			changed++
			w.log.write("%s was sent for %s; engine %s ran it for %s of host %s", r.ID, target, r.Engine, r.Path, r.Host)
		}
	}
	w.log.write("of %d requests engines ran %d, %d with another target", len(sent), ran, changed)
	return changed > 0
}
