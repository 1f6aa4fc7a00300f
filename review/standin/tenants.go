package main

import (
	"fmt"
	"time"
)

const (
	tenantGoneAt = time.Second // after the first requests: the operator takes the only tenant away
	tenantsEnd   = 12 * time.Second
	strangeKey   = "qq7r2wkxzd04c1mbe8yu" // no configuration ever held it
)

// playTenants takes the only tenant of a deployment away, with its keys.
func playTenants(w *world, trouble bool) ([]string, error) {
	if err := w.setUp(3, config(7, []tenant{{"hule930", []string{keyA, keyB}}})); err != nil {
		return nil, err
	}
	if _, err := w.addEngines("yard-desk", 4); err != nil {
		return nil, err
	}
	if err := w.startGateways(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	start := time.Now()
	sent := w.sendBookings([]string{keyB, strangeKey}, start.Add(tenantsEnd))
	time.Sleep(tenantGoneAt)
	var acked time.Time
	if trouble {
		w.store.put("op/config", config(9, []tenant{}), 0)
		acked = time.Now()
		w.record.printf("operator: version 9 without the tenant and its keys is acknowledged")
	}
	return judgeTenants(w, <-sent, acked), nil
}

func judgeTenants(w *world, sent []booking, acked time.Time) []string {
	var violations []string
	if !acked.IsZero() {
		violations = judgeRevoked(w, sent, acked)
	}
	for _, b := range sent {
		if b.key != strangeKey {
			continue
		}
		for _, r := range w.runsOf(b.id) {
			violations = append(violations, fmt.Sprintf("ROUTE: %s with the key %s, which no configuration ever held, ran at engine %s, tenant %q", b.id, b.key, r.engine, r.tenant))
		}
	}
	return violations
}
