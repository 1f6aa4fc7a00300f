package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Times of the case "takeups", from the start of the traffic.
const (
	greyAt        = 6 * time.Second
	greyFor       = 4 * time.Second
	greyShare     = 0.45                    // of their requests that the engines fail
	machinesDieAt = 7300 * time.Millisecond // some gateways are killed
	machinesDead  = 2 * time.Second         // until they start again
	takeupsEnd    = 14 * time.Second
	takeupStreams = 86 // a second
	deadMachines  = 4  // of nine
	leastTakeups  = 12 // from which the rule holds
)

// playTakeups has engines of two versions, which fail some of their requests, while some gateways are killed.
func playTakeups(w *world, trouble bool) ([]string, error) {
	if err := w.setUp(9, config(7, []tenant{{"hule930", []string{keyA}}})); err != nil {
		return nil, err
	}
	engines, err := w.addEngines("vane-llm", 6)
	if err != nil {
		return nil, err
	}
	for _, e := range engines[3:] {
		e.crash()
		if err := e.start("v2", time.Now().Add(-10*time.Minute)); err != nil {
			return nil, err
		}
	}
	if err := w.startGateways(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	start := time.Now()
	alive := w.gateways[deadMachines:]
	takeups := startTakeups(w, alive, start.Add(takeupsEnd))
	if trouble {
		time.Sleep(time.Until(start.Add(greyAt)))
		for _, e := range engines {
			e.fail(greyShare)
		}
	}
	time.Sleep(time.Until(start.Add(machinesDieAt)))
	for _, g := range w.gateways[:deadMachines] {
		g.kill()
	}
	time.Sleep(time.Until(start.Add(machinesDieAt + machinesDead)))
	for _, g := range w.gateways[:deadMachines] {
		if err := g.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(start.Add(greyAt + greyFor)))
	for _, e := range engines {
		e.fail(0)
	}
	return judgeTakeups(w, <-takeups, start), nil
}

// try is a stream that a client begins, or takes up.
type try struct {
	answer
	takeup  bool
	gateway int
}

func (t *try) goesOn() bool { return t.status == 200 && len(t.events) > 0 }

func startTakeups(w *world, alive []*gateway, end time.Time) <-chan []try {
	out := make(chan []try, 1)
	go func() {
		var mu sync.Mutex
		var all []try
		add := func(t try) {
			w.record.printf("client: %s (takes a stream up: %t) answered %d, %d events, complete %t, %s", t.id, t.takeup, t.status, len(t.events), t.complete, t.body)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, t)
		}
		var wg sync.WaitGroup
		client := newClient()
		for n := 0; time.Now().Before(end); n++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				g := n % len(w.gateways)
				a := request(client, w.gateways[g], "POST", streamPrefix+"2f", keyA, streamDeadline, "", 0)
				add(try{a, false, g})
				if a.status == 200 && !a.complete && len(a.events) > 0 {
					b := request(newClient(), alive[rand.IntN(len(alive))], "POST", streamPrefix+"2f", keyA, streamDeadline, a.id, a.events[len(a.events)-1].number)
					add(try{b, true, deadMachines})
				}
			}()
			time.Sleep(time.Second / takeupStreams)
		}
		wg.Wait()
		out <- all
	}()
	return out
}

// judgeTakeups compares the streams that were taken up, and those that began at gateways that weren't killed, while
// engines failed.
func judgeTakeups(w *world, tries []try, start time.Time) []string {
	var counts [2]struct{ all, on int }
	for _, t := range tries {
		at := t.sentAt.Sub(start)
		if at < machinesDieAt || at > greyAt+greyFor || t.gateway < deadMachines {
			continue
		}
		kind := 0
		if t.takeup {
			kind = 1
		}
		counts[kind].all++
		if t.goesOn() {
			counts[kind].on++
		}
	}
	begun, taken := counts[0], counts[1]
	text := fmt.Sprintf("new streams: %d of %d began; streams taken up: %d of %d went on", begun.on, begun.all, taken.on, taken.all)
	w.record.printf("%s", text)
	fmt.Println(text)
	if taken.all >= leastTakeups && float64(taken.on)/float64(taken.all) < float64(begun.on)/float64(begun.all)/2 {
		return []string{"LOST: " + text}
	}
	return nil
}
