package controltest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/origin"
)

const (
	firstEventDelay = 100 * time.Millisecond // from the arrival of a stream's request at an endpoint
	streamTimeout   = 12 * time.Second       // how long a caller of a stream waits, over all its requests
	lookupPoll      = time.Millisecond
)

// Stream is a stream of a caller, over one or several requests.
type Stream struct {
	ID       fleet.RequestID                // of the request that brought the first event
	Versions map[fleet.SoftwareVersion]bool // of the endpoints that sent events of it
	StartAt  time.Duration                  // virtual time of its first request
}

// NewStream returns a stream without events whose first request has an ID.
func (w *World) NewStream(id fleet.RequestID) *Stream {
	return &Stream{ID: id, Versions: map[fleet.SoftwareVersion]bool{}, StartAt: w.Elapsed()}
}

// OpenStream requests a stream from a gateway: from its start if it has no events yet, otherwise the caller resumes
// it. It calls done when an event has arrived, or when the gateway refuses the request. A gateway whose process ends
// before does not call it.
func (n *Node) OpenStream(r Request, st *Stream, done func(goesOn bool, reason control.Reason)) {
	w := n.World
	n.run(func() {
		ad := n.State.Admit(w.Now(), control.AdmissionRequest{Host: r.Host, Path: r.Path, APIKey: r.Key, Affinity: r.Affinity})
		if ad.Reason != control.ReasonNone {
			done(false, ad.Reason)
			return
		}
		req := control.PlacementRequest{Service: ad.Service, Affinity: r.Affinity}
		if len(st.Versions) == 0 {
			n.placeStream(req, st, done)
			return
		}
		n.awaitOrigin(n.State.LookUpOrigin(w.Now(), st.ID, ad.Route), req, st, done)
	})
}

func (n *Node) awaitOrigin(l *origin.Lookup, req control.PlacementRequest, st *Stream, done func(bool, control.Reason)) {
	process := n.incarnation
	switch {
	case !l.Ended():
		n.World.After(lookupPoll, func() {
			if n.incarnation == process {
				n.run(func() { n.awaitOrigin(l, req, st, done) })
			}
		})
	case l.Version == 0:
		done(false, control.ReasonOriginUnknown)
	default:
		req.Version = l.Version
		n.placeStream(req, st, done)
	}
}

func (n *Node) placeStream(req control.PlacementRequest, st *Stream, done func(bool, control.Reason)) {
	w, process := n.World, n.incarnation
	p := n.State.Place(w.Now(), req)
	if p.Reason != control.ReasonNone {
		done(false, p.Reason)
		return
	}
	req.Tried = append(req.Tried, p.Attempt.Endpoint)
	e := w.Endpoints[p.Attempt.Endpoint]
	delay := networkDelay
	if p.Attempt.ConfirmIncarnation {
		delay = 3 * networkDelay // the endpoint's report, and the request
	}
	askedAt := w.Now()
	w.After(delay, func() {
		if e.Down || w.partitioned(string(n.ID), string(e.ID)) {
			n.endAttempt(process, p.Attempt, control.ConnectionRefused, func() { n.placeStream(req, st, done) })
			return
		}
		// The report and the request share a connection, so they reach the same process.
		if inc := e.Incarnation; p.Attempt.ConfirmIncarnation && inc != p.Attempt.Incarnation {
			n.endAttempt(process, p.Attempt, control.IncarnationUnproven, func() {
				n.State.IncarnationReported(w.Now(), e.ID, inc, askedAt)
				n.placeStream(req, st, done)
			})
			return
		}
		n.runStream(e, p.Attempt, req, st, done)
	})
}

// runStream simulates a stream at an endpoint: its first event, and its end or the crash of the endpoint.
func (n *Node) runStream(e *Endpoint, a *control.Attempt, req control.PlacementRequest, st *Stream, done func(bool, control.Reason)) {
	w, process, version := n.World, n.incarnation, e.Version
	ended, begun := false, false
	e.onCrash = append(e.onCrash, func() {
		if ended {
			return
		}
		ended = true
		w.After(networkDelay, func() {
			n.endAttempt(process, a, control.ResponseBroken, func() {
				if !begun {
					n.placeStream(req, st, done)
				}
			})
		})
	})
	w.After(firstEventDelay, func() {
		if n.incarnation != process || ended {
			return
		}
		begun = true
		n.run(func() {
			n.State.StreamStarted(w.Now(), st.ID, a, streamTimeout-(w.Elapsed()-st.StartAt))
			st.Versions[version] = true
			done(true, control.ReasonNone)
		})
		w.After(e.ServiceTime, func() {
			if !ended {
				ended = true
				n.endAttempt(process, a, control.ResponseComplete, func() {})
			}
		})
	})
}

func (n *Node) endAttempt(process fleet.Incarnation, a *control.Attempt, r control.AttemptResult, then func()) {
	if n.incarnation != process {
		return
	}
	n.run(func() {
		n.State.AttemptEnded(n.World.Now(), a, r)
		then()
	})
}
