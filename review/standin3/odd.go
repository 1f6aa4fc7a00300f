package main

import (
	"fmt"
	"sync"
	"time"
)

// odd: an engine leaves as planned: its entry is removed, it says in its answers that it leaves, and serves on. Later another
// writer's entry with a missing field comes under its key. No request may reach the engine any more.
func odd(w *world, trouble bool) (int, error) {
	const (
		settled = 4 * time.Second  // contact_ms and more
		drain   = 2 * time.Second  // drain_ms
		odd     = 5 * time.Second  // from the removal of the entry to that of the other writer
		length  = 10 * time.Second // from the removal, while the engine serves on
		gap     = 20 * time.Millisecond
		clients = 4 // at each machine
	)
	var engines []*engine
	for i := range 4 {
		e, err := w.startEngine(fmt.Sprintf("i-desk-%d", i+1), "desk", i%2, 1+i, 30*time.Millisecond)
		if err != nil {
			return 0, err
		}
		engines = append(engines, e)
	}
	w.store.put("op/config", config(1, route{name: "r-book", prefix: "/book/", kind: "non_idempotent", service: "desk"}))
	gateways, err := w.startGateways(2)
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	machines := map[string]string{} // by request
	var wg sync.WaitGroup
	began := time.Now()
	for n, g := range gateways {
		for k := range clients {
			wg.Go(func() {
				c := client{g: g}
				defer c.close()
				for i := 0; time.Since(began) < settled+length; i++ {
					r := request{id: fmt.Sprintf("%02x%02x%012x", n, k, i), method: "POST", target: "/book/7", host: routeHost, key: keyOfW, body: "pad=3", deadline: 2500 * time.Millisecond}
					mu.Lock()
					machines[r.id] = g.name
					mu.Unlock()
					a := c.do(&r)
					if a.header.Get("Server-Leaving") != "" {
						w.note("%s passes on an answer with Server-Leaving: %s, %d", g.name, r.id, a.status)
					}
					time.Sleep(gap)
				}
			})
		}
	}
	time.Sleep(settled)
	e := engines[0]
	e.leaving.Store(true)
	w.store.remove("servers/" + e.id)
	gone := time.Now()
	w.note("engine %s leaves: its entry is removed, which the store acknowledges; it serves on and says Server-Leaving", e.id)
	time.Sleep(odd)
	if trouble {
		w.store.put("servers/"+e.id, map[string]any{"service": e.service, "address": e.addr, "zone": "zone-a", "version": "v1", "slot_count": 6, "state": "ready", "cold_left_ms": 0, "seq": 1})
		w.note("another writer's entry comes under servers/%s: born is missing", e.id)
	}
	wg.Wait()
	violations, others := 0, 0
	for i, other := range engines {
		for _, a := range other.takeArrivals() {
			switch late := a.arrived.Sub(gone); {
			case i > 0:
				others++
			case late > drain:
				violations++
				w.note("DRAIN: %s reaches engine %s from %s %.3f s after its removal was acknowledged", a.id, e.id, machines[a.id], late.Seconds())
			}
		}
	}
	w.note("%d requests ran at the other engines", others)
	if others < 100 {
		return 0, fmt.Errorf("only %d requests ran at the other engines", others)
	}
	return violations, nil
}
