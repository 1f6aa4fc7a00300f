package coretest

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Endpoint is a simulated endpoint. Its service time grows with its load, it keeps prefixes in
// a bounded LRU cache, and its load reports lag by ReportLag.
type Endpoint struct {
	fleet.Endpoint
	Up          bool
	Incarnation fleet.Incarnation
	ReportLag   time.Duration
	Serve       func(e *Endpoint, d core.Dispatch, cached bool) time.Duration // service time
	Fail        func(e *Endpoint, d core.Dispatch) Failure                    // nil: never

	Running       int
	Peak          int // maximum of Running
	TotalAccepted int // requests accepted
	Refused       int // requests refused, by Fail or because the current capacity was used up
	Runs          map[fleet.RequestID]int
	LastAccepted  time.Time
	CacheSize     int // maximum number of cached prefixes

	w         *World
	coldSince time.Time
	coldFor   time.Duration
	reports   []loadSample
	cache     []uint64 // most recently used last
	inflight  map[attemptKey]*attemptRun
}

// Failure is an injected failure of an attempt.
type Failure uint8

// The failures of an attempt.
const (
	FailNone        Failure = iota
	FailConnect             // the connection cannot be established
	FailRefuse              // the endpoint refuses the request
	FailBeforeRun           // the connection breaks after the request was written; the request does not run
	FailAfterRun            // the connection breaks after the request ran
	FailDuringReply         // the connection breaks while the response is streamed
)

type attemptKey struct {
	id      fleet.RequestID
	node    fleet.InstanceID
	attempt uint32
}

// compare orders keys, so that a run does not depend on map iteration order.
func (k attemptKey) compare(o attemptKey) int {
	return cmp.Or(cmp.Compare(k.id, o.id), cmp.Compare(k.node, o.node), cmp.Compare(k.attempt, o.attempt))
}

type attemptRun struct {
	node        *Node
	incarnation fleet.Incarnation
}

type loadSample struct {
	at          time.Time
	running     int
	capacity    int
	incarnation fleet.Incarnation
}

// DefaultServe is the default service time: a prefill, mostly saved by a cached prefix,
// and a decoding time that grows with the load.
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
		inflight:    map[attemptKey]*attemptRun{},
	}
	w.Endpoints[e.ID] = x
	x.sample()
	return x
}

// Crash stops the endpoint and breaks the connections of its running requests.
func (e *Endpoint) Crash() {
	e.Up = false
	e.breakRunning()
}

// Restart starts a new incarnation with an empty cache, whose capacity ramps up over cold.
func (e *Endpoint) Restart(cold time.Duration) {
	e.breakRunning()
	e.Up = true
	e.Incarnation++
	e.cache = nil
	e.coldSince, e.coldFor = e.w.Now(), cold
	e.sample()
}

func (e *Endpoint) breakRunning() {
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

// CurrentCapacity returns the number of concurrent requests that the endpoint accepts now.
func (e *Endpoint) CurrentCapacity() int {
	if e.coldFor == 0 || !e.w.Now().Before(e.coldSince.Add(e.coldFor)) {
		return e.Capacity
	}
	done := float64(e.w.Now().Sub(e.coldSince)) / float64(e.coldFor)
	return 1 + int(done*float64(e.Capacity-1))
}

func (e *Endpoint) sample() {
	e.reports = append(e.reports, loadSample{e.w.Now(), e.Running, e.CurrentCapacity(), e.Incarnation})
	oldest := e.w.Now().Add(-2*e.ReportLag - time.Second)
	for len(e.reports) > 1 && e.reports[1].at.Before(oldest) {
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
	return fleet.LoadReport{Endpoint: e.ID, Incarnation: s.incarnation, Running: s.running, Capacity: s.capacity, Age: e.w.Now().Sub(at)}
}

func (e *Endpoint) touchPrefix(prefix uint64) bool {
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
