// Package vtime implements a discrete-event scheduler with a virtual clock for tests. Events
// run in the order of virtual time, in the goroutine that calls Run.
package vtime

import (
	"container/heap"
	"time"
)

// Timeline is a virtual clock that starts at zero, with a queue of scheduled events. The zero
// value is ready to use.
type Timeline struct {
	now   time.Duration
	queue events
	seq   uint64
}

// Elapsed returns the virtual time since the start.
func (t *Timeline) Elapsed() time.Duration { return t.now }

// After schedules f to run after d. Events that are due at the same time run in the order in
// which they were scheduled.
func (t *Timeline) After(d time.Duration, f func()) {
	t.seq++
	heap.Push(&t.queue, event{at: t.now + d, seq: t.seq, run: f})
}

// Run advances the clock by d and runs the events that become due.
func (t *Timeline) Run(d time.Duration) {
	end := t.now + d
	for len(t.queue) > 0 && t.queue[0].at <= end {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.run()
	}
	t.now = end
}

// event is a scheduled function.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// events is a min-heap by time and then by sequence number.
type events []event

// Len implements heap.Interface.
func (q events) Len() int { return len(q) }

// Less implements heap.Interface.
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
