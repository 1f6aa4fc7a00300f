package control

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/crasher"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

const (
	// breakRetention is how long a broken connection may belong to the end of its endpoint's process.
	breakRetention = 3 * time.Second
	// maxBreaks bounds the broken connections that are kept of one endpoint.
	maxBreaks = 256
	// aliveMargin is the time between a broken connection and an event of another one after which the event shows
	// that the endpoint's process has not ended.
	aliveMargin = 30 * time.Millisecond
	// maxProgress is the highest number of an event that evidence holds.
	maxProgress = 1 << 30
	// connectMargin is longer than it takes to connect to an endpoint.
	connectMargin = 200 * time.Millisecond
	// maxSurvivors bounds the attempts that are kept to show that an endpoint's process had not ended at a time.
	maxSurvivors = 8
	// endAskInterval is the time between two questions to an endpoint whether its process is still there.
	endAskInterval = 300 * time.Millisecond
)

// processEnd is what this process knows about the end of an endpoint's present process.
type processEnd struct {
	breaks  []brokenConnection // since its last sign of life
	askedAt boottime.Instant   // when it was last asked whether it is still there; 0: not since the first break
	ended   bool
	endedAt boottime.Instant
	// survivors are the latest attempts that ended with a complete response. Their connections were in use from
	// connectMargin after the start of the attempt to its end.
	survivors []survivor
}

type survivor struct{ sentAt, at boottime.Instant }

// brokenConnection is an attempt whose connection its endpoint has closed.
type brokenConnection struct {
	crasher.Broken
	at boottime.Instant
}

// ConnectionBroke records that the connection of an attempt ended before the response was complete. It must be called before
// AttemptEnded. progress is the number of the last event of the request's stream, whichever attempt has brought it.
//
// The connections of an endpoint whose process has ended are all closed, and the next one is refused. An endpoint that
// leaves, or is no longer listed, ends as planned.
func (s *State) ConnectionBroke(now boottime.Instant, a *Attempt, progress uint64) {
	e := a.endpoint
	if a.Incarnation != e.Incarnation || e.Leaving || e.announcedLeaving || !e.listed && !e.process.ended {
		return
	}
	b := brokenConnection{brokenBy(now, a, progress), now}
	if e.process.ended {
		if a.sentAt <= e.process.endedAt {
			s.addEnd(now, e, []brokenConnection{b}, true)
		}
		return
	}
	if len(e.process.breaks) < maxBreaks {
		e.process.breaks = append(e.process.breaks, b)
	}
	if s.suspectedAttempt(now, a) {
		s.askForEnd(now, e)
	}
}

// askForEnd asks an endpoint with broken connections whether its process is still there.
func (s *State) askForEnd(now boottime.Instant, e *endpoint) {
	p := &e.process
	if p.askedAt != 0 && now.Sub(p.askedAt) < endAskInterval {
		return
	}
	p.askedAt = now
	if e.Incarnation != 0 {
		s.emit(AskIncarnation{ID: e.ID, Addr: e.Addr})
		return
	}
	if !e.health.probing {
		s.probe(e)
	}
}

// tickBreaks asks an endpoint with broken connections whether its process is still there, unless it has shown a sign of life
// since.
func (s *State) tickBreaks(now boottime.Instant, e *endpoint) {
	p := &e.process
	if len(p.breaks) == 0 {
		return
	}
	first := p.breaks[0].at
	switch {
	case e.signOfLife() > first.Add(aliveMargin) || now.Sub(first) > breakRetention:
		e.processIsAlive(now)
	case now.Sub(first) > aliveMargin:
		s.askForEnd(now, e)
	}
}

// processIsAlive drops the connections that broke before a time at which the endpoint's process was still there.
func (e *endpoint) processIsAlive(at boottime.Instant) {
	p := &e.process
	p.breaks = slices.DeleteFunc(p.breaks, func(b brokenConnection) bool { return b.at < at })
	if len(p.breaks) == 0 {
		p.askedAt = 0
	}
}

// outlived returns the latest time at which a response arrived on a connection that had been in use at an earlier time, or 0.
// The process at its other end had not ended then.
func (e *endpoint) outlived(end boottime.Instant) boottime.Instant {
	latest := boottime.Instant(0)
	since := end.Add(-connectMargin)
	for _, s := range e.process.survivors {
		if s.sentAt < since {
			latest = max(latest, s.at)
		}
	}
	for a := range e.attempts {
		if a.sentAt < since {
			latest = max(latest, boottime.Instant(a.lastEvent.Load()))
		}
	}
	return latest
}

// noteSurvivor records an attempt that has ended with a complete response.
func (e *endpoint) noteSurvivor(now boottime.Instant, a *Attempt) {
	if a.Incarnation != e.Incarnation {
		return
	}
	s := append(e.process.survivors, survivor{a.sentAt, now})
	e.process.survivors = s[max(len(s)-maxSurvivors, 0):]
}

// signOfLife returns the time of the latest event or response of an endpoint's process to this one.
func (e *endpoint) signOfLife() boottime.Instant {
	latest := e.lastProgress
	for a := range e.attempts {
		latest = max(latest, boottime.Instant(a.lastEvent.Load()))
	}
	return latest
}

// noteProcessEnded records that the process of an endpoint has ended if it has broken connections: a connection was refused,
// its entry has gone, or there is another incarnation.
func (s *State) noteProcessEnded(now boottime.Instant, e *endpoint) {
	p := &e.process
	if p.ended || len(p.breaks) == 0 || e.Leaving || e.announcedLeaving {
		return
	}
	if e.signOfLife() > p.breaks[0].at.Add(aliveMargin) {
		return
	}
	breaks := p.breaks
	*p = processEnd{ended: true, endedAt: breaks[len(breaks)-1].at, survivors: p.survivors}
	s.addEnd(now, e, breaks, false)
}

// addEnd adds the end of an endpoint's process with requests that it broke off, and tells the other gateways. late says that the
// end itself was known.
func (s *State) addEnd(now boottime.Instant, e *endpoint, breaks []brokenConnection, late bool) {
	end := crasher.End{Process: e.processID(), Software: e.software(), At: breaks[0].at}
	for _, b := range breaks {
		end.Broken = append(end.Broken, b.Broken)
	}
	s.crashes.detector.Ended(now, end)
	s.crashes.outbox.addEnd(end)
	s.log(event.EndpointProcessEnded, "endpoint", e.ID, "incarnation", e.Incarnation, "service", e.Service, "version", e.Version,
		"broken_off", len(breaks), "late", late, "age_ms", now.Sub(end.At).Milliseconds())
	s.settleCrashes(now)
	s.flushCrashes(now)
}

func (e *endpoint) processID() crasher.Process {
	return crasher.Process{Endpoint: e.shortID(), Incarnation: e.Incarnation}
}

func (e *endpoint) software() crasher.Software {
	return crasher.Software{Service: e.serviceHash, Version: uint32(e.version)}
}

// ProcessEnded reports whether the endpoint process of an attempt has ended, as far as known.
func (s *State) ProcessEnded(a *Attempt) bool {
	e := a.endpoint
	return e.Incarnation != a.Incarnation || e.process.ended && a.sentAt <= e.process.endedAt
}

// AwaitsEnd reports whether it is not known yet if a broken connection of a suspected request belongs to the end of its
// endpoint's process.
func (s *State) AwaitsEnd(now boottime.Instant, a *Attempt) bool {
	e := a.endpoint
	return s.suspectedAttempt(now, a) && e.Incarnation == a.Incarnation && len(e.process.breaks) > 0
}
