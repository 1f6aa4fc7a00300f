package gateway

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/crasher"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// serveBlocked lists the requests that are blocked or on trial, and what blocked requests share.
func (p *process) serveBlocked(w http.ResponseWriter, _ *http.Request) {
	var d control.CrashesDump
	p.loop.Do(func(s *control.State, now boottime.Instant) { d = s.DumpCrashes(now) })
	writeJSON(w, d)
}

// liftBlock lifts the block of a content, or of requests that share something, here and at the other gateways.
func (p *process) liftBlock(w http.ResponseWriter, r *http.Request) {
	lift, err := parseLift(chi.URLParam(r, "blocked"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	known := false
	p.loop.Do(func(s *control.State, now boottime.Instant) { known = lift(s, now) })
	if !known {
		http.Error(w, "nothing is known against it", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// parseLift returns what lifts a block, named by the fingerprint of a content or by a trait.
func parseLift(name string) (func(*control.State, boottime.Instant) bool, error) {
	if !strings.Contains(name, ":") {
		f, err := crasher.ParseFingerprint(name)
		return func(s *control.State, now boottime.Instant) bool { return s.Unblock(now, f) }, err
	}
	t, err := crasher.ParseTrait(name)
	return func(s *control.State, now boottime.Instant) bool { return s.LiftCause(now, t) }, err
}

// countEvent counts the events about requests that crash endpoints.
func (p *process) countEvent(l control.Log) {
	switch l.Event {
	case event.EndpointProcessEnded:
		if fieldOf(l, "late") == false {
			p.scope().Tagged(map[string]string{"service": fmt.Sprint(fieldOf(l, "service"))}).Counter("process_ends").Inc(1)
		}
	case event.RequestOnTrial:
		p.scope().Counter("requests_on_trial").Inc(1)
	case event.RequestBlockBegan:
		p.scope().Counter("blocks_began").Inc(1)
	case event.CrashCauseFound:
		p.scope().Counter("crash_causes_found").Inc(1)
	}
}

// fieldOf returns the value of a field of an event, or nil if there is none.
func fieldOf(l control.Log, name string) any {
	for i := 0; i+1 < len(l.Fields); i += 2 {
		if l.Fields[i] == name {
			return l.Fields[i+1]
		}
	}
	return nil
}
