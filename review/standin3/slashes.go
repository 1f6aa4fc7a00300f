package main

import (
	"fmt"
	"time"
)

// slashes: a client whose paths begin with two slashes. The engine must run each request with the path that the client
// sent.
func slashes(w *world, trouble bool) (int, error) {
	e, err := w.startEngine("i-desk-1", "desk", 0, 1, 5*time.Millisecond)
	if err != nil {
		return 0, err
	}
	w.store.put("op/config", config(1, route{name: "r-desk", prefix: "/", kind: "non_idempotent", service: "desk"}))
	gateways, err := w.startGateways(2)
	if err != nil {
		return 0, err
	}
	sent := map[string]string{}
	const requests = 20
	for i := range requests {
		c := client{g: gateways[i%len(gateways)]}
		r := request{id: fmt.Sprintf("%016x", 0xa000+i), method: "POST", host: routeHost, key: keyOfW, body: "slot=7", deadline: 2500 * time.Millisecond}
		r.target = fmt.Sprintf("/archive/book/%d?pad=3", i)
		if trouble {
			r.target = "/" + r.target
		}
		sent[r.id] = r.target
		a := c.do(&r)
		c.close()
		w.note("client sends %s POST %s, Host %s: answer %d %q %v", r.id, r.target, r.host, a.status, a.body, a.err)
	}
	violations, ran := 0, 0
	for _, a := range e.takeArrivals() {
		ran++
		w.note("engine %s runs %s: request target %s (host %s, path %s)", e.id, a.id, a.target, a.host, a.path)
		if a.target != sent[a.id] {
			violations++
			w.note("UNASKED: %s was sent with target %s and ran with %s", a.id, sent[a.id], a.target)
		}
	}
	if ran < requests/2 && violations == 0 {
		return 0, fmt.Errorf("only %d of %d requests ran", ran, requests)
	}
	return violations, nil
}
