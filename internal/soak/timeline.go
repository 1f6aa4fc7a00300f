package soak

import (
	"slices"
	"sync"
	"time"
)

// span is a time during which a circumstance held.
type span struct {
	cause    cause
	subject  string // name of a gateway, ID of an endpoint, serviceSubject or routeSubject; "" for all
	detail   string // service of a route, for spans of routeTargets
	from, to time.Time
}

// serviceSubject is the subject of circumstances of a service.
func serviceSubject(service string) string { return "service " + service }

// routeSubject is the subject of circumstances of a route.
func routeSubject(route string) string { return "route " + route }

// timeline records when which circumstance held for which process.
type timeline struct {
	mu    sync.Mutex
	spans []*span
}

// begin records that a circumstance holds from now on, until the returned function is called.
func (t *timeline) begin(c cause, subject string) (end func()) {
	s := &span{cause: c, subject: subject, from: time.Now()}
	t.add(s)
	return func() { t.endAt(s, time.Now()) }
}

func (t *timeline) add(s *span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans = append(t.spans, s)
}

// endAt ends a span unless it has ended before.
func (t *timeline) endAt(s *span, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.to.IsZero() || at.Before(s.to) {
		s.to = at
	}
}

// endAll ends the spans of a circumstance now.
func (t *timeline) endAll(c cause) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, s := range t.spans {
		if s.cause == c && (s.to.IsZero() || now.Before(s.to)) {
			s.to = now
		}
	}
}

// mark records that a circumstance holds from now on for a duration.
func (t *timeline) mark(c cause, subject string, d time.Duration) {
	now := time.Now()
	t.add(&span{cause: c, subject: subject, from: now, to: now.Add(d)})
}

// between returns the circumstances that held for one of the subjects, or for all, at some time from start to end.
func (t *timeline) between(start, end time.Time, subjects ...string) cause {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out cause
	for _, s := range t.spans {
		if s.overlaps(start, end) && s.concerns(subjects) {
			out |= s.cause
		}
	}
	return out
}

// beginsOf returns when one of some circumstances began to hold, in order.
func (t *timeline) beginsOf(c cause) []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []time.Time
	for _, s := range t.spans {
		if s.cause&c != 0 {
			out = append(out, s.from)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// servicesOf returns the services to which a route may have led from start to end.
func (t *timeline) servicesOf(route string, start, end time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []string{route}
	for _, s := range t.spans {
		if s.detail != "" && s.subject == routeSubject(route) && s.overlaps(start, end) {
			out = append(out, s.detail)
		}
	}
	return out
}

func (s *span) overlaps(start, end time.Time) bool {
	if s.to.IsZero() {
		return !s.from.After(end)
	}
	return !s.from.After(end) && !s.to.Before(start) && !s.to.Before(s.from)
}

func (s *span) concerns(subjects []string) bool {
	for _, sub := range subjects {
		if s.subject == sub {
			return true
		}
	}
	return s.subject == ""
}
