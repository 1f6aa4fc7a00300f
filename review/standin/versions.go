package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Times of the case "versions", from the start of the traffic.
const (
	versionsCutAt    = 6 * time.Second
	versionsCutFor   = 5 * time.Second
	versionsEnd      = 16 * time.Second
	streamsPerSecond = 60
	streamDeadline   = 12 * time.Second
	restartTime      = 300 * time.Millisecond  // an engine that crashes is back after this time
	firstCrash       = 200 * time.Millisecond  // after the cut
	secondCrash      = 2500 * time.Millisecond // after the restart
	versionsMost     = 2                       // streams that may hold events of two versions
)

const keyA = "n2ctnfzs989anu6wsjnb"

// playVersions parts four of twenty engines from the store. Behind the cut they crash, start again with another version of
// their software under their ids, crash once more, and start again.
func playVersions(w *world, trouble bool) ([]string, error) {
	if err := w.setUp(9, config(7, []tenant{{"hule930", []string{keyA}}})); err != nil {
		return nil, err
	}
	engines, err := w.addEngines("vane-llm", 20)
	if err != nil {
		return nil, err
	}
	if err := w.startGateways(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	start := time.Now()
	streams := startStreams(w, start.Add(versionsEnd))
	if trouble {
		time.Sleep(time.Until(start.Add(versionsCutAt)))
		if err := rebirth(engines[4:8]); err != nil {
			return nil, err
		}
	}
	return judgeVersions(w, <-streams), nil
}

// rebirth plays the disruption of some engines.
func rebirth(engines []*engine) error {
	healed := time.Now().Add(versionsCutFor)
	for _, e := range engines {
		e.setCut(true)
	}
	for _, life := range []time.Duration{firstCrash, secondCrash} {
		time.Sleep(life)
		for _, e := range engines {
			e.crash()
		}
		time.Sleep(restartTime)
		for _, e := range engines {
			if err := e.start("v2", time.Now()); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Until(healed))
	for _, e := range engines {
		e.setCut(false)
	}
	return nil
}

// stream is a stream over all tries of its client.
type stream struct {
	tries  []answer
	events []event
}

// startStreams sends streams to the gateways in turn until the end, and returns them once all have ended.
func startStreams(w *world, end time.Time) <-chan []stream {
	out := make(chan []stream, 1)
	go func() {
		var mu sync.Mutex
		var all []stream
		var wg sync.WaitGroup
		client := newClient()
		for n := 0; time.Now().Before(end); n++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				s := w.playStream(func() answer {
					return request(client, w.gateways[n%len(w.gateways)], "POST", streamPrefix+"2f", keyA, streamDeadline, "", 0)
				}, func(first string, after int) answer {
					return request(newClient(), w.gateways[rand.IntN(len(w.gateways))], "POST", streamPrefix+"2f", keyA, streamDeadline, first, after)
				})
				mu.Lock()
				defer mu.Unlock()
				all = append(all, s)
			}()
			time.Sleep(time.Second / streamsPerSecond)
		}
		wg.Wait()
		out <- all
	}()
	return out
}

// playStream sends a stream. If it is broken off, the client takes it up once.
func (w *world) playStream(begin func() answer, resume func(first string, after int) answer) stream {
	var s stream
	a := begin()
	s.add(w, a, "")
	if a.status == 200 && !a.complete && len(a.events) > 0 {
		s.add(w, resume(a.id, a.events[len(a.events)-1].number), a.id)
	}
	return s
}

func (s *stream) add(w *world, a answer, resumes string) {
	s.tries = append(s.tries, a)
	s.events = append(s.events, a.events...)
	w.record.printf("client: %s (resumes %q) answered %d, %d events, complete %t, versions %v", a.id, resumes, a.status, len(a.events), a.complete, versionsOf(a.events))
}

// versionsOf returns the versions of events, without repetition in a row.
func versionsOf(events []event) []string {
	var out []string
	for _, e := range events {
		out = append(out, e.version)
	}
	return slices.Compact(out)
}

func judgeVersions(w *world, streams []stream) []string {
	complete, mixed := 0, []string{}
	for _, s := range streams {
		last := s.tries[len(s.tries)-1]
		if last.complete && last.status == 200 {
			complete++
		}
		if v := versionsOf(s.events); len(v) > 1 {
			mixed = append(mixed, fmt.Sprintf("ORDER: the stream of %s holds events of the versions %v in %d tries", s.tries[0].id, v, len(s.tries)))
		}
	}
	w.record.printf("streams: %d, complete: %d, of two versions: %d", len(streams), complete, len(mixed))
	fmt.Printf("streams: %d, complete: %d, of two versions: %d\n", len(streams), complete, len(mixed))
	if len(mixed) <= versionsMost {
		return nil
	}
	return mixed
}
