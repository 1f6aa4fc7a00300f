package main

import (
	"fmt"
	"sync"
	"time"
)

// tenant: clients of a tenant call a public route while the platform's store is down for 4.5 s. The engine must be told
// the tenant that holds the key.
func tenant(w *world, trouble bool) (int, error) {
	e, err := w.startEngine("i-desk-1", "desk", 0, 1, 5*time.Millisecond)
	if err != nil {
		return 0, err
	}
	w.store.put("op/config", config(1, route{name: "r-look", prefix: "/look/", kind: "idempotent", service: "desk", public: true, attempts: 2}))
	gateways, err := w.startGateways(2)
	if err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // contact_ms and more
	const (
		downFrom, downFor = 3 * time.Second, 4500 * time.Millisecond
		length, gap       = 14 * time.Second, 50 * time.Millisecond
	)
	began := time.Now()
	if trouble {
		time.AfterFunc(downFrom, func() { w.store.setBusy(true); w.note("the store is down: 503 to every call") })
		time.AfterFunc(downFrom+downFor, func() { w.store.setBusy(false); w.note("the store is up again") })
	}
	var wg sync.WaitGroup
	for n, g := range gateways {
		wg.Go(func() {
			c := client{g: g}
			defer c.close()
			for i := 0; time.Since(began) < length; i++ {
				r := request{id: fmt.Sprintf("%04x%012x", n, i), method: "GET", target: fmt.Sprintf("/look/%d", i), host: routeHost, key: keyOfW, deadline: 2500 * time.Millisecond}
				a := c.do(&r)
				w.note("client of tenant %s sends %s GET %s with its key to %s: answer %d %v", tenantOfW, r.id, r.target, g.name, a.status, a.err)
				time.Sleep(gap)
			}
		})
	}
	wg.Wait()
	violations := 0
	arrivals := e.takeArrivals()
	for _, a := range arrivals {
		if a.tenant != tenantOfW || a.hasKey {
			violations++
			w.note("UNASKED: at %.3f s engine %s runs %s with Tenant %q, its key is of %s", a.arrived.Sub(w.began).Seconds(), e.id, a.id, a.tenant, tenantOfW)
		}
	}
	w.note("%d requests ran", len(arrivals))
	if len(arrivals) < 100 {
		return 0, fmt.Errorf("only %d requests ran", len(arrivals))
	}
	return violations, nil
}
