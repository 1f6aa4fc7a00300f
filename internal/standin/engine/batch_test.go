package engine

import (
	"fmt"
	"testing"
	"time"
)

func newStream(id string, priority int) *stream {
	return &stream{id: id, priority: priority, totalTokens: 50, readers: 1, changed: make(chan struct{})}
}

func TestQueueAdmitsByPriorityThenArrival(t *testing.T) {
	cfg := DefaultConfig("e1")
	cfg.Capacity = 1
	e := newEngine(cfg)
	now := time.Now()
	for i, p := range []int{0, 1, 3, 1, 3} {
		if !e.admit(newStream(fmt.Sprintf("%d", i), p), now) {
			t.Fatal("refused with room in the queue")
		}
	}
	var order string
	for len(e.batch) > 0 {
		order += e.batch[0].id
		e.cancel(e.batch[0])
		e.removeEnded(now)
	}
	if order != "02413" {
		t.Errorf("order %s", order)
	}
}

func TestTokensSlowDownWithLoad(t *testing.T) {
	e := newEngine(DefaultConfig("e1"))
	now := time.Now()
	var last time.Duration
	for i := range 5 {
		e.admit(newStream(fmt.Sprintf("%d", i), 0), now)
		interval, busy := e.generateStep(now)
		if !busy || interval <= last {
			t.Errorf("%d streams: interval %s after %s", i+1, interval, last)
		}
		last = interval
	}
}

func TestColdEngineCountsRequestsBeyondItsCapacity(t *testing.T) {
	cfg := DefaultConfig("e1")
	cfg.Capacity, cfg.ColdStartDuration = 11, 10*time.Second
	for _, tc := range []struct {
		age              time.Duration
		requests, excess int
	}{{0, 1, 0}, {0, 3, 2}, {5 * time.Second, 6, 0}, {5 * time.Second, 7, 1}, {10 * time.Second, 12, 0}} {
		e := newEngine(cfg)
		for i := range tc.requests {
			e.admit(newStream(fmt.Sprintf("%d", i), 0), e.coldStartedAt.Add(tc.age))
		}
		e.cancel(e.batch[0])
		e.removeEnded(e.coldStartedAt.Add(tc.age))
		e.admit(newStream("replacement of the first", 0), e.coldStartedAt.Add(tc.age))
		if s := e.stats; s.ColdExcess != tc.excess || s.Peak != tc.requests {
			t.Errorf("%+v: %+v", tc, s)
		}
	}
}

func TestLoadReportLags(t *testing.T) {
	cfg := DefaultConfig("e1")
	cfg.LoadReportDelay = 2 * time.Second
	e := newEngine(cfg)
	begin := time.Now()
	e.recordLoad(begin)
	e.admit(newStream("a", 0), begin.Add(time.Second))
	for _, tc := range []struct {
		after   time.Duration
		running int
	}{{1500 * time.Millisecond, 0}, {2900 * time.Millisecond, 0}, {3 * time.Second, 1}} {
		if r := e.loadReport(begin.Add(tc.after)); r.Running != tc.running || r.AgeMS != 2000 {
			t.Errorf("after %s: %+v", tc.after, r)
		}
	}
}

func TestCacheEventsAreDelayedAndDropped(t *testing.T) {
	c := newPrefixCache(2, 3)
	now := time.Now()
	text := fmt.Sprintf("%0*d", 4*blockBytes, 7)
	c.store(text, now) // stores four blocks, then evicts two; events 3 and 6 are lost
	if got := c.eventsAfter(0, now.Add(-time.Second)); len(got) != 0 {
		t.Errorf("events before their delay: %v", got)
	}
	var got string
	for _, e := range c.eventsAfter(1, now) {
		got += fmt.Sprintf("%d %s;", e.Seq, e.Kind)
	}
	if got != "2 stored;4 stored;5 evicted;" {
		t.Errorf("got %s", got)
	}
	if n := c.lookup(text); n != 2*blockTokens {
		t.Errorf("%d tokens cached: the blocks at the end of the chat must be evicted first", n)
	}
}
