package main

import (
	"fmt"
	"sync"
	"time"
)

// evac: the operator evacuates a zone. A few seconds later the store is away for a moment and comes back from a copy of before the
// evacuation; the operator writes it again some seconds after the return. Meanwhile no request may reach the zone's engines.
func evac(w *world, trouble bool) (int, error) {
	const (
		settled   = 4 * time.Second         // contact_ms and more
		contact   = 3 * time.Second         // contact_ms
		evacBound = 5 * time.Second         // evac_ms
		copyAge   = 500 * time.Millisecond  // from the copy to the evacuation
		away      = 3500 * time.Millisecond // from the evacuation to the store's absence
		awayFor   = time.Second
		rewritten = 10 * time.Second // from the store's return to the operator's second write
		gap       = 40 * time.Millisecond
	)
	var engines []*engine
	for i := range 4 {
		e, err := w.startEngine(fmt.Sprintf("i-desk-%d", i+1), "desk", i%2, 1+i, 20*time.Millisecond)
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
	time.Sleep(settled)
	older := w.store.copy()
	time.Sleep(copyAge)
	const evacuated, key = "zone-b", "op/evacuate/zone-b"
	w.store.put(key, map[string]any{})
	acknowledged := time.Now()
	w.note("the evacuation of %s is acknowledged", evacuated)
	end := acknowledged.Add(away + awayFor + rewritten)
	var wg sync.WaitGroup
	for n, g := range gateways {
		wg.Go(func() {
			c := client{g: g}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				r := request{id: fmt.Sprintf("%04x%012x", n, i), method: "POST", target: "/book/7", host: routeHost, key: keyOfW, body: "pad=3", deadline: 2500 * time.Millisecond}
				a := c.do(&r)
				w.note("client sends %s to %s: answer %d %v", r.id, g.name, a.status, a.err)
				time.Sleep(gap)
			}
		})
	}
	time.Sleep(time.Until(acknowledged.Add(away)))
	stable := acknowledged
	if trouble {
		w.store.setBusy(true)
		w.note("the store is away")
		time.Sleep(awayFor)
		w.store.restore(older)
		stable = time.Now()
		w.note("the store is back from the copy; Store-Era rises; it has no more trouble")
	}
	time.Sleep(time.Until(end))
	if trouble {
		w.store.put(key, map[string]any{})
		w.note("the operator has written the evacuation again")
	}
	wg.Wait()
	violations, elsewhere := 0, 0
	for i, e := range engines {
		for _, a := range e.takeArrivals() {
			switch {
			case i%2 == 0:
				elsewhere++
			case a.arrived.Sub(acknowledged) > evacBound && a.arrived.Sub(stable) > contact && a.arrived.Before(end):
				violations++
				w.note("EVAC: %s reaches engine %s of %s %.3f s after the evacuation was acknowledged, %.3f s after the store's return", a.id, e.id, evacuated,
					a.arrived.Sub(acknowledged).Seconds(), a.arrived.Sub(stable).Seconds())
			}
		}
	}
	w.note("%d requests ran in the other zone", elsewhere)
	if elsewhere < 50 {
		return 0, fmt.Errorf("only %d requests ran in the other zone", elsewhere)
	}
	return violations, nil
}
