package main

import (
	"fmt"
	"sync"
	"time"
)

// streamTime is the longest time of a stream, timeout_ms of its route.
const streamTime = 12 * time.Second

// brokenStream is a stream whose connection has ended.
type brokenStream struct {
	call *call
	sent time.Time
	got  outcome
}

// streamSet is a number of streams that run at the same time.
type streamSet struct {
	log     *record
	left    chan struct{} // closed when the clients end their connections
	running sync.WaitGroup
	mu      sync.Mutex
	broken  []brokenStream
}

// beginStreams begins streams at some machines.
func (w *world) beginStreams(n int, at []*machine) *streamSet {
	s := &streamSet{log: w.log, left: make(chan struct{})}
	for i := range n {
		s.running.Go(func() {
			b := brokenStream{call: newStream("/stream/hire/draft", i, streamTime), sent: time.Now()}
			b.call.Left = s.left
			b.got = b.call.send(w.log, at[i%len(at)], 0)
			s.mu.Lock()
			defer s.mu.Unlock()
			if !b.got.Complete && b.got.LastEvent > 0 {
				s.broken = append(s.broken, b)
			}
		})
	}
	return s
}

// leave ends the clients' connections.
func (s *streamSet) leave() { close(s.left) }

// takeUp takes the streams that were broken off up at some machines, and begins as many new ones there. It returns how many of each bring
// an event, and the number of the former.
func (s *streamSet) takeUp(at []*machine) (goesOn, began, all int) {
	s.running.Wait()
	var wg sync.WaitGroup
	for i, b := range s.broken {
		m := at[i%len(at)]
		wg.Go(func() {
			again := newStream(b.call.Path, i, streamTime-time.Since(b.sent))
			again.Header["Resumes"], again.Header["Last-Event-Id"] = b.call.ID, fmt.Sprint(b.got.LastEvent)
			s.count(&goesOn, again.send(s.log, m, 1))
		})
		wg.Go(func() { s.count(&began, newStream("/stream/hire/other", i, streamTime).send(s.log, m, 1)) })
	}
	wg.Wait()
	s.log.write("of %d streams that were taken up, %d go on; of as many new ones, %d begin", len(s.broken), goesOn, began)
	return goesOn, began, len(s.broken)
}

// count counts a stream that has brought an event.
func (s *streamSet) count(n *int, o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.LastEvent > 0 {
		*n++
	}
}

// lost reports whether the rule LOST is broken by streams that were taken up.
func lost(goesOn, began, all int) bool {
	const fewest = 12
	return all >= fewest && 2*goesOn < began
}
