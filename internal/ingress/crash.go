package ingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/crasher"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

const (
	// processEndTimeout limits how long a suspected request waits until it is known whether its endpoint's process has ended, and
	// until it is decided whether it may run. It is many times a round trip between data centres of a region.
	processEndTimeout = 100 * time.Millisecond
	// processEndPoll is the time between two checks.
	processEndPoll = 2 * time.Millisecond
)

// fingerprintHeaders are the headers of a request, besides those of its metadata, that its fingerprint covers.
var fingerprintHeaders = []string{"Accept", "Accept-Language", "Content-Encoding", "Content-Type", "Range"}

// computeFingerprint returns the fingerprint of the request's content.
func (c *call) computeFingerprint() crasher.Fingerprint {
	headers := make([]string, len(fingerprintHeaders))
	for i, name := range fingerprintHeaders {
		headers[i] = strings.Join(c.r.Header.Values(name), ", ")
	}
	return crasher.FingerprintOf(crasher.Content{
		Workspace: c.admission.Workspace,
		Method:    c.r.Method,
		Host:      c.r.Host,
		Target:    c.r.URL.RequestURI(),
		Model:     c.meta.Model,
		Headers:   headers,
		Prompt:    c.partIDs(),
		Body:      c.body.Parts(),
	})
}

func (c *call) partIDs() []uint64 {
	ids := make([]uint64, len(c.meta.Prompt))
	for i, part := range c.meta.Prompt {
		ids[i] = part.ID
	}
	return ids
}

// findShares returns what the request may have in common with requests of other contents.
func (c *call) findShares() crasher.Shares {
	return crasher.SharesOf(c.admission.Workspace, c.meta.Model, c.partIDs())
}

// connectionBroke reports whether an attempt failed because its connection ended before the response was complete.
func connectionBroke(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// minSurvivedEvents is the number of events of an attempt after which it counts as having survived what its request shares with
// others, again after each doubling.
const minSurvivedEvents = 16

// noteSurvived records that the endpoint's process goes on after a number of events of the attempt.
func (a *attempt) noteSurvived() {
	if a.events < minSurvivedEvents || a.events&(a.events-1) != 0 {
		return
	}
	a.s.control.Do(func(st *control.State, now boottime.Instant) { st.AttemptSurvived(now, a.placed, uint32(a.events)) })
}

// noteProgress records an event of a suspected request that brings it further than its endpoints got before they ended.
func (a *attempt) noteProgress(n uint64) {
	if !a.placed.Suspected || n <= a.placed.SuspectedProgress {
		return
	}
	a.placed.Suspected = false
	a.s.control.Do(func(st *control.State, now boottime.Instant) { st.RequestProgressed(now, a.placed, n) })
}

// awaitProcessEnd waits until it is known whether the endpoint process of an attempt of a suspected request has ended, and
// counts the attempts of which that is known.
func (c *call) awaitProcessEnd(ctx context.Context, placed *control.Attempt) {
	ctx, cancel := context.WithTimeout(ctx, processEndTimeout)
	defer cancel()
	for {
		waiting := false
		c.s.control.Do(func(st *control.State, now boottime.Instant) {
			waiting = c.attempts.lastResult == control.ResponseBroken && st.AwaitsEnd(now, placed)
			c.attempts.countProcessEnds(st)
		})
		if !waiting {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(processEndPoll):
		}
	}
}

// awaitEvidence holds a request while a gateway that has just started does not know yet what its peers block.
func (c *call) awaitEvidence(ctx context.Context) {
	for hold := c.admission.Hold; hold; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(processEndPoll):
		}
		hold = false // if the event loop has ended
		c.s.control.Do(func(st *control.State, now boottime.Instant) { hold = st.AwaitsEvidence(now) })
	}
}

// placeSettled places an attempt. While it is about to be decided whether a suspected request may run, it waits.
func (c *call) placeSettled(place func(*control.State, boottime.Instant) control.Placement) control.Placement {
	giveUpAt := time.Now().Add(processEndTimeout)
	for {
		// The result if the event loop has ended.
		p := control.Placement{Reason: control.ReasonNoEndpoint, RetryAfter: endedRetryAfter}
		c.s.control.Do(func(st *control.State, now boottime.Instant) { p = place(st, now) })
		if !p.Pending || !time.Now().Before(giveUpAt) {
			return p
		}
		time.Sleep(processEndPoll)
	}
}

// countProcessEnds counts the attempts that were ended by the end of their endpoint's process.
func (a *attemptHistory) countProcessEnds(st *control.State) {
	a.processEnds = 0
	for _, placed := range a.broken {
		if st.ProcessEnded(placed) {
			a.processEnds++
		}
	}
}

// respondBlocked ends a request whose content crashes the endpoints that run it. The response is final: no later attempt would
// fare better.
func (c *call) respondBlocked() {
	var cause *crasher.Cause
	var v crasher.Decision
	var evidence string
	c.s.control.Do(func(st *control.State, now boottime.Instant) {
		if cause = st.CrashCause(now, c.shares, c.admission.Service); cause != nil {
			evidence = st.CauseEvidence(now, cause)
			return
		}
		v = st.CrashDecision(now, c.fingerprint, c.admission.Service)
		evidence = st.CrashEvidence(now, &v)
	})
	if cause != nil {
		c.respondBlockedByCause(cause, evidence)
		return
	}
	c.response.status = http.StatusInternalServerError
	event.LogFields(event.RequestBlocked, "request", c.meta.ID, "fingerprint", c.fingerprint, "workspace", c.admission.Workspace, "route", c.admission.Route.Name,
		"ends", len(v.Ends), "evidence", evidence, "chance", v.Chance, "blocked_for_ms", v.Length.Milliseconds(),
		"sends", c.attempts.count, "may_have_run", c.attempts.mayHaveRunCount, "cut", c.response.started, "elapsed_ms", c.elapsed())
	c.endBlocked("blocked: this request has crashed the endpoints that ran it (fingerprint " + c.fingerprint.String() + ")")
}

// respondBlockedByCause ends a request that shares with others what has crashed the endpoints that ran them.
func (c *call) respondBlockedByCause(cause *crasher.Cause, evidence string) {
	c.response.status = http.StatusInternalServerError
	event.LogFields(event.RequestBlocked, "request", c.meta.ID, "fingerprint", c.fingerprint, "cause", cause.String(), "workspace", c.admission.Workspace,
		"route", c.admission.Route.Name, "ends", len(cause.Ends), "evidence", evidence, "chance", cause.Chance, "blocked_for_ms", cause.Length.Milliseconds(),
		"sends", c.attempts.count, "may_have_run", c.attempts.mayHaveRunCount, "cut", c.response.started, "elapsed_ms", c.elapsed())
	c.endBlocked("blocked: requests with " + cause.String() + " have crashed the endpoints that ran them")
}

// endBlocked sends the final answer to a request that must not run.
func (c *call) endBlocked(detail string) {
	c.s.meter.requestEnded(c, "blocked")
	if c.response.started {
		c.cut(EndBlocked)
	}
	c.writeError(http.StatusInternalServerError, detail)
}
