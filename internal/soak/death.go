package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

const (
	maxQueriesOfDeath = 3 // of a run, which has at least one
	deathTries        = 3 // attempts of a caller with one, as long as they get no final answer
	minDeathDelay     = 5 * time.Millisecond
	maxDeathDelay     = 60 * time.Millisecond
	minRestartDelay   = 200 * time.Millisecond
	maxRestartDelay   = time.Second
	deathInterval     = 300 * time.Millisecond // mean interval between the requests of a caller
)

// queryOfDeath is a content that ends the process of an endpoint that runs it, or a part of prompts that does so whatever else a request
// holds.
type queryOfDeath struct {
	content             // of a part: only the workspace and the kind of route with which it is sent
	part         string // its ID, "" for a content
	name         string
	delay        time.Duration // from the begin of the run to the end of the process
	begins       bool          // its streams begin before
	restartDelay time.Duration // from the end of a process to the start of the next one
}

// sharedContents are the contents of a run that several callers send.
type sharedContents struct {
	deaths map[content]*queryOfDeath
	parts  []*queryOfDeath
	list   []*queryOfDeath // the deaths and the parts
	sound  []content       // popular ones, twins of the deaths, and ones with the other parts of prompts
}

// of returns the query of death that a content is or has, or nil.
func (s *sharedContents) of(c content) *queryOfDeath {
	if d := s.deaths[c]; d != nil {
		return d
	}
	for _, d := range s.parts {
		if strings.Contains(c.prompt, d.part+":") {
			return d
		}
	}
	return nil
}

// newSharedContents returns the contents of a seed.
func newSharedContents(seed uint64, m mix) sharedContents {
	out := sharedContents{deaths: map[content]*queryOfDeath{}}
	if m.soundCallers == 0 {
		return out
	}
	out.sound = popularContents()
	if m.deathCallers == 0 {
		return out
	}
	rng := rand.New(rand.NewPCG(seed, 11))
	kinds := []string{"resumable", "idempotent", "non-idempotent"}
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	for n, kind := range kinds[:1+rng.IntN(maxQueriesOfDeath)] {
		d := newQueryOfDeath(rng, kind, []string{workspace, otherWorkspace}[n%2])
		out.deaths[d.content] = d
		out.list = append(out.list, d)
		out.sound = append(out.sound, d.twins()...)
	}
	for range m.deadlyParts {
		out.addDeadlyPart(rng)
	}
	return out
}

// addDeadlyPart adds a part of prompts that ends processes, and sound contents with the other parts of its requests.
func (s *sharedContents) addDeadlyPart(rng *rand.Rand) {
	d := newQueryOfDeath(rng, "resumable", workspace)
	d.content = content{workspace: workspace, kind: "resumable"}
	d.part = fmt.Sprintf("dead%x", rng.Uint32())
	d.name = "part " + d.part
	s.parts, s.list = append(s.parts, d), append(s.list, d)
	for _, first := range firstParts {
		s.sound = append(s.sound, content{workspace: workspace, kind: d.kind, body: "sound", prompt: first + ":400,50:20"})
	}
}

// firstParts are the IDs of the parts that begin the prompts of requests with a deadly part, and of sound ones.
var firstParts = []string{"a1", "a2", "a3"}

// request returns the content of the next request with the query of death. Those with a part differ in all else.
func (d *queryOfDeath) request(rng *rand.Rand) content {
	if d.part == "" {
		return d.content
	}
	c := d.content
	c.prompt = fmt.Sprintf("%s:400,%s:300,%x:20", firstParts[rng.IntN(len(firstParts))], d.part, rng.Uint64()|1<<63)
	c.body = fmt.Sprint("body ", rng.Uint64())
	return c
}

func newQueryOfDeath(rng *rand.Rand, kind, workspace string) *queryOfDeath {
	d := &queryOfDeath{
		name:         fmt.Sprintf("%s of %s", kind, workspace),
		content:      content{workspace: workspace, kind: kind, query: fmt.Sprint("q=", rng.Uint32()), body: fmt.Sprint("body ", rng.Uint64())},
		delay:        minDeathDelay + time.Duration(rng.Int64N(int64(maxDeathDelay-minDeathDelay))),
		restartDelay: minRestartDelay + time.Duration(rng.Int64N(int64(maxRestartDelay-minRestartDelay))),
		begins:       rng.IntN(2) == 0,
	}
	if isStream(kind) {
		d.prompt = fmt.Sprintf("%x:100,%x:20", rng.Uint32(), rng.Uint32())
	}
	return d
}

// deathOf returns the query of death that a request is, or nil.
func (e *endpoint) deathOf(r *http.Request, f platformtest.Forwarded) *queryOfDeath {
	if e.contents == nil || len(e.contents.deaths)+len(e.contents.parts) == 0 {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil // the gateway has closed the connection
	}
	return e.contents.of(contentOf(r, f, body))
}

// die runs a query of death, which ends the process unless the gateway closes the connection before.
func (p *process) die(w http.ResponseWriter, r *http.Request, f platformtest.Forwarded, d *queryOfDeath, arrived time.Time) {
	ctx, cancel := context.WithTimeout(r.Context(), d.delay)
	defer cancel()
	if d.begins && isStream(d.kind) {
		platformtest.StampResponse(w.Header(), f.ID)
		p.endpoint.stream(ctx, w, f, modeHealthy)
	}
	<-ctx.Done()
	if r.Context().Err() == nil {
		p.end(end{death: d, request: f.ID, arrived: arrived}, d.restartDelay)
	}
	panic(http.ErrAbortHandler)
}

// runSoundCaller sends one request with a sound shared content after the other to random gateways until ctx is done.
func (r *run) runSoundCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(4000+n)))
	p := newPool(r)
	defer p.close()
	for ctx.Err() == nil {
		q := outgoing{gateway: r.fleet.gateways[rng.IntN(len(r.fleet.gateways))]}
		q.send(r, r.contents.sound[rng.IntN(len(r.contents.sound))])
		if o := r.send(ctx, p, q); o.status != http.StatusOK {
			ctxtime.Sleep(ctx, delayAfterFailure)
		}
	}
}

// runDeathCaller sends queries of death now and then until ctx is done.
func (r *run) runDeathCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(3000+n)))
	p := newPool(r)
	defer p.close()
	for ctx.Err() == nil {
		r.sendDeath(ctx, rng, p, r.contents.list[rng.IntN(len(r.contents.list))])
		ctxtime.Sleep(ctx, time.Duration(rng.Int64N(int64(2*deathInterval))))
	}
}

// sendDeath sends a query of death to random gateways until it gets a final answer, a few times at most. A stream that has
// begun is resumed.
func (r *run) sendDeath(ctx context.Context, rng *rand.Rand, p *pool, d *queryOfDeath) {
	var q outgoing
	c := d.request(rng)
	for try := 0; try < deathTries && ctx.Err() == nil; try++ {
		q.gateway = r.fleet.gateways[rng.IntN(len(r.fleet.gateways))]
		q.send(r, c)
		o := r.send(ctx, p, q)
		if o.outcome() == Answered || o.outcome() == Blocked {
			return
		}
		if text := parseStream(o.id, o.text, q.lastEvent); isStream(d.kind) && text.last > q.lastEvent {
			if q.lastEvent == 0 {
				q.origin = o.id
			}
			q.lastEvent = text.last
		}
		ctxtime.Sleep(ctx, delayAfterFailure)
	}
}
