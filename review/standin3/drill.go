package main

import (
	"fmt"
	"sync"
	"time"
)

// drill: the operator takes a key away. A few seconds later the store is away for a moment and comes back from a copy that is
// some seconds old and still has the key. While what was lost is written again, a machine is added to the system. No request
// with the key may run later than revoke_ms after the second acknowledgement of the configuration without it.
func drill(w *world, trouble bool) (int, error) {
	const (
		settled   = 4 * time.Second         // contact_ms and more
		copyAge   = 500 * time.Millisecond  // from the copy to the change that takes the key away
		away      = 3500 * time.Millisecond // from that change to the store's absence
		awayFor   = time.Second
		added     = away + awayFor + 500*time.Millisecond // the machine
		rewritten = away + awayFor + 2*time.Second        // by the operator
		revoke    = 5 * time.Second                       // revoke_ms
		length    = rewritten + revoke + 20*time.Second
		gap       = 100 * time.Millisecond
		routes    = 50 // of the configuration
	)
	e, err := w.startEngine("i-desk-1", "desk", 0, 1, 5*time.Millisecond)
	if err != nil {
		return 0, err
	}
	book := route{name: "r-book", prefix: "/book/", kind: "non_idempotent", service: "desk"}
	w.store.put("op/config", bigConfig(1, routes, book))
	if _, err = w.startGateways(2); err != nil {
		return 0, err
	}
	time.Sleep(settled)
	older := w.store.copy()
	w.note("the copy of the store is made")
	time.Sleep(copyAge)
	newest := withoutSecondKey(bigConfig(2, routes, book))
	w.store.put("op/config", newest)
	began := time.Now()
	w.note("version 2, without key %s, is acknowledged", secondKey)
	time.Sleep(time.Until(began.Add(away)))
	if trouble {
		w.store.setBusy(true)
		w.note("the store is away")
		time.Sleep(awayFor)
		w.store.restore(older)
		w.note("the store is back from the copy; Store-Era rises")
	}
	time.Sleep(time.Until(began.Add(added)))
	if _, err := w.startGateway(2, false); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(began.Add(rewritten)))
	if trouble {
		w.store.put("op/config", newest)
	}
	acknowledged := time.Now()
	w.note("version 2 is acknowledged again, if it was lost; the store has no more trouble")
	sent := w.sendWithSecondKey(began.Add(length), gap)
	violations, early := 0, 0
	for _, a := range e.takeArrivals() {
		late := sent[a.id].Sub(acknowledged)
		if late <= revoke {
			early++
			continue
		}
		violations++
		w.note("CONFIG: %s was sent %.3f s after the second acknowledgement and ran for tenant %s", a.id, late.Seconds(), a.tenant)
	}
	w.note("%d requests with the key ran until %v after it", early, revoke)
	return violations, nil
}

// sendWithSecondKey sends requests with the key that was taken away to each machine, until end. It returns when each was sent.
func (w *world) sendWithSecondKey(end time.Time, gap time.Duration) map[string]time.Time {
	sent := map[string]time.Time{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n, g := range w.gateways {
		wg.Go(func() {
			c := client{g: g}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				r := request{id: fmt.Sprintf("%04x%012x", n, i), method: "POST", target: "/book/7", host: routeHost, key: secondKey, body: "pad=3", deadline: time.Second}
				mu.Lock()
				sent[r.id] = time.Now()
				mu.Unlock()
				a := c.do(&r)
				w.note("%s is sent to %s with key %s: answer %d %v", r.id, g.name, secondKey, a.status, a.err)
				time.Sleep(gap)
			}
		})
	}
	wg.Wait()
	return sent
}
