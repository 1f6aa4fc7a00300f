package admission

import (
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// waiter is a queued lease request.
type waiter struct {
	key        leaseKey
	priority   fleet.Priority
	deadline   time.Time
	since      time.Time
	expires    time.Time
	deadlineMS uint32
}

// before orders waiters by descending priority, then deadline, then arrival.
func (w waiter) before(o waiter) bool {
	if w.priority != o.priority {
		return w.priority > o.priority
	}
	if !w.deadline.Equal(o.deadline) {
		return w.deadline.Before(o.deadline)
	}
	return w.since.Before(o.since)
}

func (e *endpoint) isQueued(key leaseKey) bool {
	for _, w := range e.queue {
		if w.key == key {
			return true
		}
	}
	return false
}

func (e *endpoint) dequeue(key leaseKey) {
	for i, w := range e.queue {
		if w.key == key {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return
		}
	}
}

// enqueue queues a request. If the queue is full, its last entry, which may be the new one, is refused.
func (s *State) enqueue(now time.Time, e *endpoint, key leaseKey, r wire.LeaseRequest, out *wire.Outbox) {
	w := waiter{
		key:        key,
		priority:   r.Priority,
		deadline:   now.Add(time.Duration(r.DeadlineMS) * time.Millisecond),
		since:      now,
		expires:    now.Add(time.Duration(r.WaitMS) * time.Millisecond),
		deadlineMS: r.DeadlineMS,
	}
	i := sort.Search(len(e.queue), func(i int) bool { return w.before(e.queue[i]) })
	e.queue = append(e.queue, waiter{})
	copy(e.queue[i+1:], e.queue[i:])
	e.queue[i] = w
	if len(e.queue) > s.opts.MaxQueue {
		last := e.queue[len(e.queue)-1]
		e.queue = e.queue[:len(e.queue)-1]
		if last.key != key {
			s.stats.Displaced++
		}
		s.refuse(now, e, last.key, wire.LeaseAtLimit, out)
		if last.key == key {
			return
		}
	}
	s.stats.Queued++
	out.Send(key.holder, wire.LeaseReply{ID: key.id, Result: wire.LeaseQueued})
}

func (s *State) expireQueue(now time.Time, e *endpoint, out *wire.Outbox) {
	kept := e.queue[:0]
	for _, w := range e.queue {
		if w.expires.After(now) {
			kept = append(kept, w)
			continue
		}
		s.refuse(now, e, w.key, wire.LeaseExpired, out)
	}
	e.queue = kept
}

// admitQueued admits queued requests in order while they are admissible, or refuses all of them if the
// endpoint is unavailable.
func (s *State) admitQueued(now time.Time, e *endpoint, out *wire.Outbox) {
	if len(e.queue) == 0 {
		return
	}
	if reason, ok := s.checkAvailable(now, e); !ok {
		for _, w := range e.queue {
			s.refuse(now, e, w.key, reason, out)
		}
		e.queue = e.queue[:0]
		return
	}
	for len(e.queue) > 0 && s.admissible(now, e) {
		w := e.queue[0]
		e.queue = append(e.queue[:0], e.queue[1:]...)
		s.grant(now, e, w.key, w.deadlineMS)
		out.Send(w.key.holder, s.grantReply(e, w.key, now.Sub(w.since)))
	}
}
