package main

import (
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	unframedEngines  = 4 // of each service; one of them is killed, a quarter of the service
	unframedRequests = 120
	unframedEach     = 25 * time.Millisecond // between two requests
)

// tally counts answers by how they reached their clients.
type tally struct {
	mu                   sync.Mutex
	whole, broken, short int
}

// unframed kills engines while they send answers that have neither a length nor chunks.
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
		if _, err := w.addEngineProcess(desk, 6); err != nil {
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
	var streams, plain tally
	var wg sync.WaitGroup
	for i := range unframedRequests {
		if i == unframedRequests/2 && trouble {
			w.processes[0].kill()
			w.processes[1].kill()
		}
		m := w.machines[i/4%len(w.machines)]
		switch i % 4 {
		case 0, 1:
			path := []string{"/stream/hire/draft", "/stream/gate/chat"}[i%2]
			wg.Go(func() { streams.count(log, newStream(path, i/4*2+i%2, 10*time.Second).send(log, m, 0), streamIsWhole) })
		default:
			c := call{ID: newRequestID(), Method: "POST", Path: []string{"/book/slot", "/look/yard"}[i%2], Deadline: 2500 * time.Millisecond, Body: "gate 4"}
			wg.Go(func() { plain.count(log, c.send(log, m, 0), answerIsWhole) })
		}
		time.Sleep(unframedEach)
	}
	wg.Wait()
	log.write("streams: %d whole, %d seen to be broken off, %d ended as complete before their last event", streams.whole, streams.broken, streams.short)
	log.write("plain answers: %d whole, %d others, %d complete for the client, but cut short", plain.whole, plain.broken, plain.short)
	return streams.short > 0, nil
}

func streamIsWhole(o outcome) bool { return o.LastEvent == unframedEvents }

func answerIsWhole(o outcome) bool { return strings.HasSuffix(o.Body, unframedLineEnd) }

// count counts an answer.
func (t *tally) count(log *record, o outcome, isWhole func(outcome) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case o.Status != 200 || !o.Complete:
		t.broken++
	case isWhole(o):
		t.whole++
	default:
		t.short++
		log.write("the answer %s looks complete, and is not", o.Header.Get("Response-Stamp"))
	}
}
