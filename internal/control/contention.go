package control

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/contention"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// serviceLoad is what this process knows about the load of one service.
type serviceLoad struct {
	contention      *contention.Controller
	queueLimit      float64          // load at which endpoints refuse requests, as a multiple of their slots; 0: not known
	contended       bool             // as of the last tick
	queueing        bool             // as of the last tick
	queuedAt        boottime.Instant // when it was last contended or queued requests; 0: never
	inFlight        map[uint32]int   // attempts of this process by workspace, see workspaceKey
	speedReportedAt boottime.Instant // last report of a speed by an endpoint; 0: none
}

// serviceLoadOf returns the state of a service's load.
func (s *State) serviceLoadOf(service fleet.ServiceID) *serviceLoad {
	l := s.serviceLoads[service]
	if l == nil {
		l = &serviceLoad{contention: contention.New(s.opts.RandomSeed ^ fleet.Hash(string(service))), inFlight: map[uint32]int{}}
		s.serviceLoads[service] = l
	}
	return l
}

// tickContention updates the contention of all services.
func (s *State) tickContention(now boottime.Instant) {
	if s.table == nil {
		return
	}
	leastUrgent := leastUrgentRoutes(s.table.Config().Routes)
	counts := s.mesh.InFlight(now) // not those kept for placements, which have no age
	s.reportWorkspaces(now)
	for _, id := range slices.Sorted(maps.Keys(s.serviceLoads)) {
		l := s.serviceLoads[id]
		if hold, r := s.costs.ServiceTime(id), leastUrgent[id]; r != nil && hold > 0 { // otherwise nothing says how long its requests may wait, or do
			load, slots := s.loadAndSlots(now, id, counts)
			l.contention.Update(now, load, slots, hold, l.longestWait(hold, r))
		}
		s.logContention(now, id, l)
		l.queueing = l.contention.Queueing(now)
		if l.contended || l.queueing {
			l.queuedAt = now
			l.contention.SetWorkspaceLoads(s.workspaceLoadsOf(now, id))
		}
		if len(l.inFlight) == 0 && s.table.Service(id) == nil && len(s.services[id]) == 0 {
			delete(s.serviceLoads, id)
		}
	}
}

const (
	// goalWaitFraction is the fraction of the latency goal of the least urgent requests that they may wait in endpoint
	// queues. More urgent requests do not wait, since endpoints order their queues.
	goalWaitFraction = 0.75
	// patienceWaitFraction is the same of the time for which callers wait for the first event of a stream. A late stream is better
	// for them than none, and they return only once.
	patienceWaitFraction = 0.5
	// queueFillFraction is the fraction of the load at which endpoints refuse requests up to which they are filled.
	queueFillFraction = 0.85
	// maxQueueLimit is the highest such load, as a multiple of the slots, that is believed.
	maxQueueLimit = 100
	// queueLimitWeight is the weight of the newest refusal in the moving average of that load.
	queueLimitWeight = 0.1
)

// longestWait returns the wait up to which requests queue at endpoints, given the service's least urgent route.
func (l *serviceLoad) longestWait(hold time.Duration, r *routing.Route) time.Duration {
	wait := time.Duration(goalWaitFraction * float64(r.GoalLatency))
	if r.Kind == routing.Streaming {
		options := contention.DefaultOptions()
		wait = max(wait, time.Duration(patienceWaitFraction*float64(options.Patience(r.GoalLatency, r.GoalEventGap))))
	}
	if l.queueLimit > 1 {
		wait = min(wait, time.Duration((queueFillFraction*l.queueLimit-1)*float64(hold)))
	}
	return wait
}

// noteRefusal records that an endpoint refused a request for lack of room.
func (s *State) noteRefusal(now boottime.Instant, e *endpoint) {
	load := e.reported.Running + e.reported.Waiting
	if e.Capacity <= 0 || load <= e.Capacity || now.Sub(e.reported.at) > loadReportTTL {
		return
	}
	l := s.serviceLoadOf(e.Service)
	level := min(float64(load)/float64(e.Capacity), maxQueueLimit)
	if l.queueLimit == 0 {
		l.queueLimit = level
	}
	l.queueLimit += queueLimitWeight * (level - l.queueLimit)
}

// leastUrgentRoutes returns the least urgent route with a latency goal of each service, of several the one with the shortest goal.
func leastUrgentRoutes(routes []routing.Route) map[fleet.ServiceID]*routing.Route {
	last := map[fleet.ServiceID]*routing.Route{}
	for i := range routes {
		r := &routes[i]
		for _, t := range r.Targets {
			if l := last[t.Service]; r.GoalLatency > 0 && (l == nil || r.Priority > l.Priority || r.Priority == l.Priority && r.GoalLatency < l.GoalLatency) {
				last[t.Service] = r
			}
		}
	}
	return last
}

// workspaceReportPeriod is how long after contention or queueing the requests of workspaces are reported to peers: queues that
// come and go do not make the fleet's sums incomplete.
const workspaceReportPeriod = 5 * time.Second

// reportWorkspaces reports the workspaces' requests in flight at services that are contended or queue requests to peers, and for
// a while after.
func (s *State) reportWorkspaces(now boottime.Instant) {
	var loads map[uint32]int
	for _, l := range s.serviceLoads {
		if l.queuedAt == 0 || now.Sub(l.queuedAt) > workspaceReportPeriod {
			continue
		}
		if loads == nil {
			loads = map[uint32]int{}
		}
		maps.Copy(loads, l.inFlight)
	}
	if loads != nil || s.reportsWorkspaces {
		s.SetWorkspaceLoads(loads)
	}
	s.reportsWorkspaces = loads != nil
}

// workspaceLoadsOf returns the fleet's requests in flight at a service by workspace.
func (s *State) workspaceLoadsOf(now boottime.Instant, service fleet.ServiceID) map[uint32]int {
	all, loads := s.WorkspaceLoads(now), map[uint32]int{}
	note := func(id fleet.WorkspaceID) {
		key := workspaceKey(service, id)
		if n := all[key]; n > 0 {
			loads[key] = n
		}
	}
	note("")
	for i := range s.table.Config().Workspaces {
		note(s.table.Config().Workspaces[i].ID)
	}
	return loads
}

// countWorkspace adds n to the requests in flight of an attempt's workspace.
func (s *State) countWorkspace(a *Attempt, n int) {
	inFlight := s.serviceLoadOf(a.endpoint.Service).inFlight
	if inFlight[a.workspace] += n; inFlight[a.workspace] <= 0 {
		delete(inFlight, a.workspace)
	}
}

// workspaceKey is the form of a workspace's ID at a service in messages to peers. Requests without a workspace share one.
func workspaceKey(service fleet.ServiceID, id fleet.WorkspaceID) uint32 {
	return uint32(fleet.Weight(fleet.Hash(string(id)), fleet.Hash(string(service))))
}

// loadAndSlots returns the fleet's requests at the endpoints of a service that take requests at their usual rate, and
// the sum of the slots there. Endpoints without a published number of slots are left out.
func (s *State) loadAndSlots(now boottime.Instant, service fleet.ServiceID, counts map[uint32]int) (load float64, slots int) {
	for _, e := range s.services[service] {
		if e.Capacity <= 0 || !s.usable(now, e) || e.health.down || now.Before(e.coldStart.until) || now.Before(e.noRequestsUntil) {
			continue
		}
		load += float64(e.loadAt(now, counts))
		slots += e.Capacity
	}
	return load, slots
}

// logContention logs the beginning and the end of contention.
func (s *State) logContention(now boottime.Instant, service fleet.ServiceID, l *serviceLoad) {
	st := l.contention.State(now)
	if st.Contended == l.contended {
		return
	}
	l.contended = st.Contended
	s.log(event.ContentionChanged, "service", service, "contended", st.Contended, "utilization", hundredths(st.Utilization),
		"target", hundredths(st.Target), "demand", hundredths(st.Demand), "hold_ms", s.costs.ServiceTime(service).Milliseconds(), "queue_limit", hundredths(l.queueLimit))
}

// hundredths rounds a number for a log line.
func hundredths(x float64) float64 { return math.Round(x*100) / 100 }

// contended reports whether a service has more requests than its endpoints can start within the latency goals.
func (s *State) contended(service fleet.ServiceID) bool {
	l := s.serviceLoads[service]
	return l != nil && l.contended
}

// admitUnderContention decides whether a request is admitted while its service is contended, and whether it is above its
// workspace's share while requests queue. A request that goes on with a stream that has begun is admitted: most of its work
// is done.
func (s *State) admitUnderContention(now boottime.Instant, req *AdmissionRequest, ad *Admission) contention.Decision {
	l := s.serviceLoadOf(ad.Service)
	s.noteTimeLimit(now, ad.Route, ad.Timeout)
	r := contentionRequest(ad, s.table.Workspace(req.APIKey), s.usualTimeLimit(now, ad.Route, ad.Timeout))
	d := l.contention.Admit(now, r)
	if req.Resumed && ad.Route.Kind == routing.Streaming {
		d.Admitted = true
	}
	return d
}

// contentionRequest returns what the decision under contention depends on. The workspace is nil if there is none.
func contentionRequest(ad *Admission, w *routing.Workspace, usualTimeLimit time.Duration) contention.Request {
	r := contention.Request{
		RoutePriority:  ad.Route.Priority,
		TimeLeft:       ad.Timeout,
		UsualTimeLimit: usualTimeLimit,
		Goal:           ad.Route.GoalLatency,
		PauseGoal:      ad.Route.GoalEventGap,
		Workspace:      workspaceKey(ad.Service, ad.Workspace),
	}
	if w != nil && w.HasPriority {
		r.WorkspacePriority, r.HasWorkspacePriority = w.Priority, true
	}
	return r
}

const (
	// timeLimitPeriod is how long the longest time limit of a route's callers is remembered, at least.
	timeLimitPeriod = 30 * time.Second
	// maxTimeLimits bounds the routes whose callers' time limits are remembered.
	maxTimeLimits = 4096
)

// callerTimeLimit is the longest time limit that callers of a route have given, in this period and in the one before.
type callerTimeLimit struct {
	current, previous time.Duration
	periodStart       boottime.Instant
}

// noteTimeLimit records the time limit of a request, which is at most its route's: one caller that gives a longer one must not make
// the others look as if they returned.
func (s *State) noteTimeLimit(now boottime.Instant, r *routing.Route, limit time.Duration) {
	l := s.timeLimits[r.Name]
	if l == nil {
		if len(s.timeLimits) >= maxTimeLimits {
			clear(s.timeLimits)
		}
		l = &callerTimeLimit{periodStart: now}
		s.timeLimits[r.Name] = l
	}
	if now.Sub(l.periodStart) >= timeLimitPeriod {
		l.previous, l.current, l.periodStart = l.current, 0, now
	}
	l.current = max(l.current, limit)
}

// usualTimeLimit returns the usual time limit of a route's callers with one more request: the longest of the last seconds. A
// caller that returns after a refusal gives the time that it has left. It has no effects.
func (s *State) usualTimeLimit(now boottime.Instant, r *routing.Route, limit time.Duration) time.Duration {
	l := s.timeLimits[r.Name]
	switch {
	case l == nil:
		return limit
	case now.Sub(l.periodStart) >= timeLimitPeriod:
		return max(limit, l.current)
	default:
		return max(limit, l.current, l.previous)
	}
}
