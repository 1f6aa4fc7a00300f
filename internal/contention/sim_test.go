package contention

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// simulation is a service with its fleet of gateways in virtual time. Endpoints have slots and a bounded
// first-in, first-out queue; service times are lognormal. Each gateway knows the load with a
// delay of its own between 0.1 and 0.5 s and updates its controller every 40 ms.
type simulation struct {
	gateways, endpoints, slots, queue int
	hold                              time.Duration
	goal                              time.Duration
	rate                              func(at time.Duration) float64 // offered, in multiples of the capacity
	next                              func(s *simulation) Request    // the properties of a request
	returns                           bool                           // rejected callers return once, after their Retry-After
	urgency                           func(*result) int              // endpoints start the requests with the least first; nil: in the order of arrival
	noLoads                           bool                           // the loads of workspaces are not distributed
	restart                           func(at time.Duration, gateway int) bool

	rng         *rand.Rand
	now         time.Duration
	events      eventHeap
	sequence    int
	ends        []endpointQueue
	controllers []*Controller
	delays      []time.Duration
	loads       []float64 // by step of 10 ms
	running     []map[uint32]int
	current     map[uint32]int
	busy        int
	results     []*result
}

type endpointQueue struct {
	running int
	waiting []*result
}

// result is what became of one request.
type result struct {
	Request
	at, started  time.Duration
	gateway, try int
	d            Decision
	refused      bool // by endpoints with full queues
}

type simEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

const (
	simTick = 40 * time.Millisecond
	simStep = 10 * time.Millisecond
)

func (s *simulation) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.now + d, s.sequence, do})
}

// run simulates the given time and returns the busy slots, as a part of all, by step.
func (s *simulation) run(seed uint64, length time.Duration) []float64 {
	s.rng = rand.New(rand.NewPCG(seed, 1))
	s.ends, s.current = make([]endpointQueue, s.endpoints), map[uint32]int{}
	for g := range s.gateways {
		s.controllers = append(s.controllers, New(seed*1000+uint64(g)))
		s.delays = append(s.delays, time.Duration(100+s.rng.IntN(401))*time.Millisecond)
		s.after(time.Duration(s.rng.Int64N(int64(simTick))), func() { s.tick(g) })
	}
	var busy []float64
	var step func()
	step = func() {
		load, running := 0, map[uint32]int{}
		for i := range s.ends {
			load += s.ends[i].running + len(s.ends[i].waiting)
		}
		for w, n := range s.current {
			running[w] = n
		}
		s.loads, s.running = append(s.loads, float64(load)), append(s.running, running)
		busy = append(busy, float64(s.busy)/float64(s.endpoints*s.slots))
		s.after(simStep, step)
	}
	step()
	s.arrive()
	for s.now < length {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return busy
}

func (s *simulation) instant() boottime.Instant { return boottime.Instant(time.Hour).Add(s.now) }

func (s *simulation) tick(g int) {
	s.after(simTick, func() { s.tick(g) })
	if s.restart != nil && s.restart(s.now, g) {
		s.controllers[g] = New(uint64(s.sequence))
	}
	i := int((s.now - s.delays[g]) / simStep)
	if s.now < s.delays[g] {
		return
	}
	if !s.noLoads {
		s.controllers[g].SetWorkspaceLoads(s.running[i])
	}
	s.controllers[g].Update(s.instant(), s.loads[i], s.endpoints*s.slots, s.hold, s.goal/4)
}

func (s *simulation) arrive() {
	capacity := float64(s.endpoints*s.slots) / s.hold.Seconds()
	const most = 6 // multiple of the capacity; arrivals are thinned to the rate
	s.after(time.Duration(s.rng.ExpFloat64()/(most*capacity)*float64(time.Second)), s.arrive)
	if s.rng.Float64() < s.rate(s.now)/most {
		s.offer(s.next(s), s.rng.IntN(s.gateways), 0)
	}
}

func (s *simulation) offer(r Request, g, try int) {
	res := &result{Request: r, at: s.now, gateway: g, try: try, started: -1}
	res.d = s.controllers[g].Admit(s.instant(), r)
	if res.d.Admitted {
		s.place(res)
	} else if s.returns && try == 0 {
		again := r
		again.TimeLeft -= res.d.RetryAfter
		if r.UsualTimeLimit > 0 {
			again.TimeLeft = min(again.TimeLeft, r.UsualTimeLimit*7/10)
		}
		s.after(res.d.RetryAfter, func() { s.offer(again, s.rng.IntN(s.gateways), 1) })
	}
	s.results = append(s.results, res)
}

// place sends a request to the less loaded of two random endpoints.
func (s *simulation) place(res *result) {
	a, b := s.rng.IntN(s.endpoints), s.rng.IntN(s.endpoints)
	if s.ends[b].running+len(s.ends[b].waiting) < s.ends[a].running+len(s.ends[a].waiting) {
		a = b
	}
	e := &s.ends[a]
	switch {
	case e.running < s.slots:
		s.start(e, res)
	case len(e.waiting) < s.queue:
		e.waiting = append(e.waiting, res)
	default:
		res.refused = true
		return
	}
	s.current[res.Workspace]++
}

func (s *simulation) start(e *endpointQueue, res *result) {
	e.running++
	s.busy++
	res.started = s.now
	const sigma = 0.6
	d := s.hold.Seconds() * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2)
	s.after(time.Duration(d*float64(time.Second)), func() {
		e.running--
		s.busy--
		s.current[res.Workspace]--
		if len(e.waiting) > 0 {
			s.start(e, s.take(e))
		}
	})
}

// take removes the next request to start from a queue.
func (s *simulation) take(e *endpointQueue) *result {
	first := 0
	if s.urgency != nil {
		for i, r := range e.waiting {
			if s.urgency(r) < s.urgency(e.waiting[first]) {
				first = i
			}
		}
	}
	next := e.waiting[first]
	e.waiting = slices.Delete(e.waiting, first, first+1)
	return next
}
