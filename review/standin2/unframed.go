package main

import (
	"sync"
	"time"
)

// Figures of the case.
const (
	unframedEngines = 4 // one of which is killed, a quarter of the service
	unframedStreams = 48
)

// unframed kills an engine while it answers streams that have neither a length nor chunks.
func unframed(log *record, trouble bool) (bool, error) {
	w, err := newWorld(log, 5)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.publish(newConfig())
	for range unframedEngines {
		if _, err := w.addEngineProcess(llm, 64); err != nil {
			return false, err
		}
	}
	if err := w.addMachines(4, 284); err != nil {
		return false, err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	var mu sync.Mutex
	whole, broken, short := 0, 0, 0
	var wg sync.WaitGroup
	for i := range unframedStreams {
		if i == unframedStreams/2 && trouble {
			w.processes[0].kill()
		}
		wg.Go(func() {
			c := newStream([]string{"/stream/hire/draft", "/stream/gate/chat"}[i%2], i, 10*time.Second)
			o := c.send(log, w.machines[i%len(w.machines)], 0)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case o.Status != 200 || !o.Complete:
				broken++
			case o.LastEvent < unframedEvents:
				short++
				log.write("the stream of %s ended as complete after event %d of %d", c.ID, o.LastEvent, unframedEvents)
			default:
				whole++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	log.write("%d streams whole, %d seen to be broken off, %d ended as complete before their last event", whole, broken, short)
	return short > 0, nil
}
