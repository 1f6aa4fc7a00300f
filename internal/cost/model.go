package cost

import (
	"math"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/lru"
)

const (
	maxServices  = 256
	maxRoutes    = 2048 // pairs of service and route
	maxNameBytes = 256  // requests with a longer name are not learned from
	// learnedAfter is the number of observations from which an estimate counts as learned.
	learnedAfter = 8
	// maxTime is the longest time that is believed and estimated: streams may last minutes.
	maxTime = 10 * time.Minute
	// maxTokens is the largest number of tokens that is believed.
	maxTokens = 1 << 24
	maxEvents = 1 << 24

	// Priors: time per event, and time of a request without token counts.
	priorPerEvent    = 0.020
	priorRequestTime = 0.030
)

// Request is what is known about a request before it is placed. 0 means unknown, in every figure.
type Request struct {
	Service         fleet.ServiceID
	Route           string
	PromptTokens    int // of the whole prompt
	SharedTokens    int // of the prompt's prefix, without the request's own last part
	MaxOutputTokens int
	LengthHint      int // the caller's estimate of output tokens
}

// Estimate is the cost of a request at an otherwise idle endpoint of usual speed.
type Estimate struct {
	ReadCached   time.Duration // until the first event, if the shared prefix is cached
	ReadUncached time.Duration // the same if nothing is cached
	Hold         time.Duration // for which the request holds a slot, with ReadCached
	Learned      bool          // from observations; otherwise the prior

	fixed       time.Duration // part of the reads that does not depend on the prompt
	serviceTime time.Duration
	prefills    bool // an engine prefills the prompt, one at a time; otherwise slots are independent
}

// Observation is a completed request. Its fields describe the moment at which it was sent.
type Observation struct {
	Request
	Cached      bool          // the shared prefix was assumed to be cached
	Speed       float64       // of the endpoint: 1 is usual, 2.5 is 2.5 times as long; 0: unknown
	Waited      bool          // the request waited in the endpoint's queue
	PendingRead time.Duration // estimated prefill time outstanding at the endpoint before the request
	First       time.Duration // from the send to the first event, or to the response's header
	Total       time.Duration // from the send to the end of the response
	Events      int
	Stream      bool
}

// Model learns the cost of requests.
type Model struct {
	services *lru.Table[fleet.ServiceID, serviceModel]
	routes   *lru.Table[routeKey, routeModel]
}

type routeKey struct {
	service fleet.ServiceID
	route   string
}

type serviceModel struct {
	read         readFit
	perEvent     robustMean // logarithm of seconds
	output       outputModel
	times        timeModel
	hold         decayedMean // seconds
	errors       errorHistogram
	observations uint64
}

type routeModel struct {
	stream bool // the last response was a stream
	output outputModel
	times  timeModel
}

// timeModel holds logarithms of seconds of requests that the prefill line does not describe: those
// without token counts, and those that do not stream, whose first byte follows the whole output.
type timeModel struct{ first, total robustMean }

// unobserved holds the priors. It is never changed.
var unobserved = serviceModel{read: newReadFit()}

// New returns a model without observations.
func New() *Model {
	return &Model{
		services: lru.New[fleet.ServiceID](maxServices, serviceModel{}),
		routes:   lru.New[routeKey](maxRoutes, routeModel{}),
	}
}

// Estimate returns the cost of a request.
func (m *Model) Estimate(r Request) Estimate {
	r.sanitize()
	svc, route := m.services.Peek(r.Service), m.routes.Peek(routeKey{r.Service, r.Route})
	if svc == nil {
		svc = &unobserved
	}
	e := Estimate{serviceTime: svc.serviceTime(), prefills: r.PromptTokens > 0}
	var output *outputModel
	if route != nil {
		e.prefills, output = route.stream, &route.output
	}
	if !r.fitsLine(e.prefills) {
		first, total := svc.times.estimate(route)
		e.ReadCached, e.Hold = toDuration(first), toDuration(max(first, total))
		e.ReadUncached, e.fixed = e.ReadCached, e.ReadCached
		e.Learned = svc.times.first.n >= learnedAfter
		return e
	}
	cached := svc.read.at(r.PromptTokens - r.SharedTokens)
	perEvent, _ := svc.perEvent.refine(math.Log(priorPerEvent), 0)
	e.ReadCached, e.ReadUncached = toDuration(cached), toDuration(svc.read.at(r.PromptTokens))
	e.Hold = toDuration(cached + predictEvents(&r, &svc.output, output)*math.Exp(perEvent))
	e.fixed = toDuration(svc.read.fixed)
	e.Learned = svc.read.count >= learnedAfter
	return e
}

// fitsLine reports whether the prefill line describes the request's time to the first event.
func (r *Request) fitsLine(stream bool) bool { return stream && r.PromptTokens > 0 }

// estimate returns seconds to the first event and to the end. Route may be nil.
func (t *timeModel) estimate(route *routeModel) (first, total float64) {
	prior := math.Log(priorRequestTime)
	first, _ = t.first.refine(prior, 0)
	total, _ = t.total.refine(prior, 0)
	if route != nil {
		first, _ = route.times.first.refine(first, 0)
		total, _ = route.times.total.refine(total, 0)
	}
	return math.Exp(first), math.Exp(total)
}

// ServiceTime returns the mean time for which a request holds a slot, 0 if it is unknown.
func (m *Model) ServiceTime(service fleet.ServiceID) time.Duration {
	if svc := m.services.Peek(service); svc != nil {
		return svc.serviceTime()
	}
	return 0
}

func (s *serviceModel) serviceTime() time.Duration {
	if s.hold.n < learnedAfter {
		return 0
	}
	return toDuration(s.hold.mean)
}

// Observe learns from a completed request. It returns the relative error of the estimated time to
// the first event, for a histogram. The result is false if the request waited, which the
// estimate does not cover, or if the observation is absurd.
func (m *Model) Observe(o Observation) (relativeError float64, ok bool) {
	o.sanitize()
	if o.First <= 0 || o.First > maxTime || len(o.Service) > maxNameBytes || len(o.Route) > maxNameBytes {
		return 0, false
	}
	speed := plausibleSpeed(o.Speed)
	estimate := m.Estimate(o.Request)
	svc, route := m.entries(&o.Request)
	svc.observations++
	route.stream = o.Stream

	pending := 0.0
	if o.fitsLine(o.Stream) {
		pending = max(o.PendingRead, 0).Seconds()
	}
	read, tokens := estimate.ReadUncached, o.PromptTokens
	if o.Cached {
		read, tokens = estimate.ReadCached, o.PromptTokens-o.SharedTokens
	}
	first := o.First.Seconds()
	if !o.Waited {
		relativeError, ok = math.Abs((read.Seconds()+pending)*speed-first)/first, true
		svc.errors.add(relativeError)
	}
	svc.learnTotal(&o, route, read.Seconds()*speed, speed)
	if o.Waited {
		return relativeError, ok
	}
	usual := first / speed
	switch {
	case !o.fitsLine(o.Stream):
		svc.times.first.add(math.Log(usual))
		route.times.first.add(math.Log(usual))
	case pending < usual/2: // otherwise the difference tells more about the other prompts
		svc.read.add(tokens, usual-pending)
	}
	return relativeError, ok
}

// learnTotal learns from what follows the first event. Read is the estimated time to the first event
// at the endpoint's speed.
func (s *serviceModel) learnTotal(o *Observation, route *routeModel, read, speed float64) {
	if o.Stream && o.Events > 0 {
		s.output.add(&o.Request, o.Events)
		route.output.add(&o.Request, o.Events)
	}
	if o.Total < o.First || o.Total > maxTime {
		return
	}
	switch rest := o.Total - o.First; {
	case !o.Waited:
		s.hold.add(o.Total.Seconds())
	case o.Stream:
		s.hold.add(read + rest.Seconds()) // without the time in the queue
	}
	if rest := o.Total - o.First; o.Stream && o.Events > 1 && rest > 0 {
		perEvent := rest.Seconds() / meanSpeed(speed, o.First, o.Total) / float64(o.Events-1)
		s.perEvent.add(math.Log(perEvent))
	}
	if !o.Waited && !o.fitsLine(o.Stream) {
		total := math.Log(o.Total.Seconds() / meanSpeed(speed, 0, o.Total))
		s.times.total.add(total)
		route.times.total.add(total)
	}
}

// entries returns the models of the request's service and route, new ones if there are none.
func (m *Model) entries(r *Request) (*serviceModel, *routeModel) {
	key := routeKey{r.Service, r.Route}
	if m.routes.Peek(key) == nil { // the names may be parts of a larger string, which an entry must not retain
		key = routeKey{fleet.ServiceID(strings.Clone(string(r.Service))), strings.Clone(r.Route)}
	}
	svc := m.services.Touch(key.service)
	if svc.read.count == 0 && svc.read.perToken == 0 {
		svc.read = newReadFit()
	}
	return svc, m.routes.Touch(key)
}

// sanitize replaces absurd figures by 0 or by the largest that is believed.
func (r *Request) sanitize() {
	r.PromptTokens = min(max(r.PromptTokens, 0), maxTokens)
	r.SharedTokens = min(max(r.SharedTokens, 0), r.PromptTokens)
	r.MaxOutputTokens = min(max(r.MaxOutputTokens, 0), maxTokens)
	r.LengthHint = min(max(r.LengthHint, 0), maxTokens)
}

func (o *Observation) sanitize() {
	o.Request.sanitize()
	o.Events = min(max(o.Events, 0), maxEvents)
}

// toDuration converts seconds to a time between 0 and maxTime.
func toDuration(seconds float64) time.Duration {
	if !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxTime.Seconds()) * float64(time.Second))
}
