package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
)

const (
	streamCallerCount = 8
	maxStreamTries    = 3
	// minResumes is the number of resumed streams from which their share is compared.
	minResumes = 12
	// maxMixedStreams is how many streams may hold events of two software versions.
	maxMixedStreams = 0
)

// streamText is what a caller has received of a stream.
type streamText struct {
	last      uint64          // number of the last event
	versions  map[string]bool // software versions of the endpoints that wrote the events
	violation string
}

// parseStream parses the events of a response to a request for the events after a number.
func parseStream(id, body string, after uint64) streamText {
	out := streamText{last: after, versions: map[string]bool{}}
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		if !strings.HasSuffix(event, "\n\n") {
			break // the response was truncated
		}
		var n uint64
		var owner, version string
		if _, err := fmt.Sscanf(event, "id: %d\ndata: %s %s\n\n", &n, &owner, &version); err != nil || owner != id {
			out.violation = fmt.Sprintf("event of another request: %.60q", event)
			return out
		}
		if n != out.last+1 {
			out.violation = fmt.Sprintf("event %d follows event %d", n, out.last)
			return out
		}
		out.last = n
		out.versions[version] = true
	}
	return out
}

// checkStream returns the violation in a response with a whole stream, or "".
func checkStream(text streamText, complete bool) string {
	switch {
	case text.violation != "":
		return text.violation
	case len(text.versions) > 1:
		return "response with events of two versions"
	case complete && text.last != streamEvents:
		return fmt.Sprintf("complete response ends after event %d of %d", text.last, streamEvents)
	default:
		return ""
	}
}

// streamLedger counts the streams whose callers resume them, as these callers see them.
type streamLedger struct {
	mu             sync.Mutex
	started, began int // new streams at undisturbed gateways, and those of them that began
	resumed        int // requests to undisturbed gateways that resume a stream of a version with two sound endpoints
	wentOn         int // those of them that brought an event
	mixed          []Violation
}

// report returns the violations: streams of two versions, and too few resumed streams that went on.
func (l *streamLedger) report() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Violation
	if len(l.mixed) > maxMixedStreams {
		out = append(out, l.mixed...)
	}
	if l.resumed >= minResumes && 2*l.wentOn*l.started < l.resumed*l.began {
		out = append(out, Violation{"resumes", fmt.Sprintf("%d of %d resumed streams went on, but %d of %d new ones began", l.wentOn, l.resumed, l.began, l.started)})
	}
	return out
}

// runStreamCaller starts one resumable stream after the other until ctx is done, leaves some of them in the middle, and
// resumes what it left or lost at a random gateway.
func (r *run) runStreamCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(1000+n)))
	p := newPool(r)
	defer p.close()
	for ctx.Err() == nil {
		st := &callerStream{run: r, rng: rng, pool: p, versions: map[string]bool{}}
		for try := 0; try < maxStreamTries && st.last < streamEvents && ctx.Err() == nil; try++ {
			st.request(ctx)
		}
		r.streams.record(st)
		ctxtime.Sleep(ctx, delayAfterFailure)
	}
}

// callerStream is one stream of a caller over several requests.
type callerStream struct {
	run      *run
	rng      *rand.Rand
	pool     *pool
	origin   string // ID of the request that brought the first event
	last     uint64
	versions map[string]bool
}

func (l *streamLedger) record(st *callerStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(st.versions) > 1 {
		l.mixed = append(l.mixed, Violation{"two versions", fmt.Sprintf("stream %s holds events of two versions", st.origin)})
	}
}

// request sends one request for the rest of the stream to a random gateway. Every third time, the caller
// disconnects after a few events.
func (st *callerStream) request(ctx context.Context) {
	r := st.run
	g := r.fleet.gateways[st.rng.IntN(len(r.fleet.gateways))]
	q := outgoing{gateway: g, kind: "resumable", key: r.currentKey(), origin: st.origin, lastEvent: st.last}
	if st.rng.IntN(3) == 0 {
		q.limit = int64(len(streamEvent(r.nextID(), 1, "v1.1")) * (1 + st.rng.IntN(3)))
	}
	resumes, offered, sentAt := st.last > 0, r.versionOffered(st.versions), time.Now()
	o := r.send(ctx, st.pool, q)
	if o.id == "" {
		return // no connection
	}
	text := streamText{last: st.last}
	if o.status == http.StatusOK {
		text = parseStream(o.id, o.text, st.last)
	}
	goesOn := text.last > st.last || (o.complete && o.status == http.StatusOK)
	if !resumes && goesOn {
		st.origin = o.id
	}
	st.last = text.last
	for v := range text.versions {
		st.versions[v] = true
	}
	if g.undisturbedSince(sentAt) && g.undisturbed() {
		r.streams.count(resumes, offered, goesOn)
	}
}

func (l *streamLedger) count(resumes, offered, goesOn bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := 0
	if goesOn {
		one = 1
	}
	switch {
	case !resumes:
		l.started++
		l.began += one
	case offered:
		l.resumed++
		l.wentOn += one
	}
}

// versionOffered reports whether resumable streams are at their own service, and two of its sound endpoints have the
// version of a stream.
func (r *run) versionOffered(versions map[string]bool) bool {
	if r.operator.isMoved("resumable") {
		return false
	}
	n := 0
	for _, e := range r.endpoints {
		if e.kind == "resumable" && versions[e.soundVersion()] {
			n++
		}
	}
	return n >= 2
}
