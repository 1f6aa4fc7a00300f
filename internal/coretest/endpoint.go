package coretest

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Endpoint is a fake back end: it takes time to answer, more under load, remembers
// prefixes in a limited cache, and reports its load late.
type Endpoint struct {
	fleet.Endpoint
	Up          bool
	Incarnation fleet.Incarnation
	ReportLag   time.Duration
	Serve       func(e *Endpoint, d core.Dispatch, cached bool) time.Duration // service time
	Fail        func(e *Endpoint, d core.Dispatch) Failure                    // nil: never

	Running       int
	Peak          int // most requests at once
	TotalAccepted int // requests taken
	Refused       int // requests above the capacity of the moment
	Runs          map[fleet.RequestID]int
	LastAccepted  time.Time
	CacheSize     int // prefixes

	w        *World
	coldAt   time.Time
	coldFor  time.Duration
	reports  []loadSample
	cache    []uint64 // most recently used last
	inflight map[attemptKey]*inflight
}

// Failure is what goes wrong with an attempt.
type Failure uint8

// The failures.
const (
	FailNone        Failure = iota
	FailConnect             // no connection
	FailRefuse              // the endpoint says that it did not take the request
	FailBeforeRun           // the connection breaks after the request was handed over, it does not run
	FailAfterRun            // the connection breaks after the request ran
	FailDuringReply         // the connection breaks while the answer arrives
)

type attemptKey struct {
	id      fleet.RequestID
	node    fleet.InstanceID
	attempt uint32
}

// compare orders keys, so that a run does not depend on the order of a map.
func (k attemptKey) compare(o attemptKey) int {
	return cmp.Or(cmp.Compare(k.id, o.id), cmp.Compare(k.node, o.node), cmp.Compare(k.attempt, o.attempt))
}

type inflight struct {
	node *Node
	inc  fleet.Incarnation
}

type loadSample struct {
	at      time.Time
	running int
	cap     int
	inc     fleet.Incarnation
}

// DefaultServe is the service time of a fake endpoint: a prefill that a cached prefix
// saves, and tokens that come slower under load.
func DefaultServe(e *Endpoint, d core.Dispatch, cached bool) time.Duration {
	prefill := 400 * time.Millisecond
	if cached {
		prefill = 50 * time.Millisecond
	}
	load := float64(e.Running) / float64(max(1, e.Capacity))
	return prefill + time.Duration(float64(4*time.Second)*(0.5+load))
}

// AddEndpoint adds a warm endpoint.
func (w *World) AddEndpoint(e fleet.Endpoint) *Endpoint {
	x := &Endpoint{
		Endpoint:    e,
		Up:          true,
		Incarnation: 1,
		ReportLag:   time.Second,
		Serve:       DefaultServe,
		Runs:        map[fleet.RequestID]int{},
		CacheSize:   64,
		w:           w,
		inflight:    map[attemptKey]*inflight{},
	}
	w.Endpoints[e.ID] = x
	x.sample()
	return x
}

// Crash ends the endpoint; its running requests break off.
func (e *Endpoint) Crash() {
	e.Up = false
	e.breakAll()
}

// Restart begins a new run that is cold for d.
func (e *Endpoint) Restart(cold time.Duration) {
	e.breakAll()
	e.Up = true
	e.Incarnation++
	e.cache = nil
	e.coldAt, e.coldFor = e.w.Now(), cold
	e.sample()
}

func (e *Endpoint) breakAll() {
	keys := slices.SortedFunc(maps.Keys(e.inflight), attemptKey.compare)
	for _, key := range keys {
		node := e.inflight[key].node
		delete(e.inflight, key)
		e.w.After(0, func() {
			node.step(core.AttemptLost{ID: key.id, Attempt: key.attempt, Cause: core.CauseReset})
		})
	}
	e.Running = 0
	e.sample()
}

// CurrentCapacity returns how many requests the endpoint can run at once now.
func (e *Endpoint) CurrentCapacity() int {
	if e.coldFor == 0 || !e.w.Now().Before(e.coldAt.Add(e.coldFor)) {
		return e.Capacity
	}
	done := float64(e.w.Now().Sub(e.coldAt)) / float64(e.coldFor)
	return 1 + int(done*float64(e.Capacity-1))
}

func (e *Endpoint) sample() {
	e.reports = append(e.reports, loadSample{e.w.Now(), e.Running, e.CurrentCapacity(), e.Incarnation})
	cut := e.w.Now().Add(-2*e.ReportLag - time.Second)
	for len(e.reports) > 1 && e.reports[1].at.Before(cut) {
		e.reports = e.reports[1:]
	}
}

// report returns the load as it was ReportLag ago.
func (e *Endpoint) report() fleet.LoadReport {
	at := e.w.Now().Add(-e.ReportLag)
	s := e.reports[0]
	for _, x := range e.reports {
		if x.at.After(at) {
			break
		}
		s = x
	}
	if s.at.After(at) {
		at = s.at
	}
	return fleet.LoadReport{Endpoint: e.ID, Incarnation: s.inc, Running: s.running, Capacity: s.cap, Age: e.w.Now().Sub(at)}
}

func (e *Endpoint) touch(prefix uint64) bool {
	for i, p := range e.cache {
		if p == prefix {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), prefix)
			return true
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.CacheSize {
		e.cache = e.cache[1:]
	}
	return false
}
