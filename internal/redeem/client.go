package redeem

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	firstReplyTimeout  = 200 * time.Millisecond // upper bound of the wait for a reply to the first message
	maxReplyTimeout    = 2 * time.Second        // upper bound of the wait for a reply to any message
	maxRedeemDuration  = 10 * time.Second       // maximum duration of a redemption, regardless of the request's deadline
	settleDuration     = 30 * time.Second       // how long an unacknowledged Settle is repeated
	lingerDuration     = 30 * time.Second       // how long a late RedeemGranted is answered with a Settle
	soleCandidateTries = 4                      // unanswered messages to the only candidate for a ticket, before the redemption is abandoned
	triesPerCandidate  = 2                      // unanswered messages to a candidate before trying the next one
	maxRedemptions     = 8192                   // redemptions in all states per Client
)

// Routes returns the instances that may hold the record of a ticket or key, in the order in
// which they are to be tried.
type Routes interface {
	Candidates(m *wire.Redeem) []fleet.InstanceID
}

// Result is the result of a redemption.
type Result struct {
	Request    fleet.RequestID
	Code       wire.RedeemResult // RedeemGranted: the request may run until RunBefore
	Abandoned  bool              // the Client abandoned the redemption without a final reply; Code is RedeemUnknown
	RunBefore  time.Time         // with RedeemGranted: the first byte must not be written to a connection after this
	RetryAfter time.Duration
	Response   *wire.StoredResponse
}

// NotRun reports whether the result proves that this request was not run. With RedeemMismatch, a
// different request with the same ticket or key may have run.
func (r *Result) NotRun() bool {
	switch r.Code {
	case wire.RedeemInvalid, wire.RedeemFull, wire.RedeemMismatch:
		return true
	default:
		return false
	}
}

// Client requests execution rights for the requests that one router receives from callers.
type Client struct {
	rng         *rand.Rand
	runValidity time.Duration
	byID        map[fleet.RequestID]*redemption
	order       []*redemption // oldest first
}

// NewClient returns a Client. A request may begin to run within Options.RunValidity of the call of
// Redeem.
func NewClient(opt Options, rng *rand.Rand) *Client {
	return &Client{rng: rng, runValidity: opt.RunValidity, byID: map[fleet.RequestID]*redemption{}}
}

// Redeem begins a redemption, which requests the execution right for m.Request until the deadline, but for
// at most maxRedeemDuration. If it returns true, the result is already final.
func (c *Client) Redeem(now time.Time, m wire.Redeem, deadline time.Time, routes Routes, out *wire.Outbox) (Result, bool) {
	if c.byID[m.Request] != nil || len(c.order) >= maxRedemptions {
		return abandonedResult(m.Request), true
	}
	r := &redemption{m: m, state: requesting, startedAt: now, deadline: earlier(deadline, now.Add(maxRedeemDuration))}
	if !c.send(now, r, routes, out) {
		return abandonedResult(m.Request), true
	}
	c.byID[m.Request] = r
	c.order = append(c.order, r)
	return Result{}, false
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func abandonedResult(id fleet.RequestID) Result {
	return Result{Request: id, Code: wire.RedeemUnknown, Abandoned: true}
}

// send sends the Redeem, or in state settling the Settle, to the next candidate. It returns false if
// there is no candidate.
func (c *Client) send(now time.Time, r *redemption, routes Routes, out *wire.Outbox) bool {
	peer := c.nextCandidate(r, routes)
	if peer == "" {
		return false
	}
	r.peer = peer
	r.sentAt = now
	r.tries++
	r.wait = c.backoff(r.tries)
	if r.state == settling {
		out.Send(peer, r.settle)
	} else {
		out.Send(peer, r.m)
	}
	return true
}

// nextCandidate returns the instance to send to. Candidates take turns, each for
// triesPerCandidate messages.
func (c *Client) nextCandidate(r *redemption, routes Routes) fleet.InstanceID {
	list := r.remainingCandidates(routes)
	if len(list) == 0 {
		return ""
	}
	return list[r.tries/triesPerCandidate%len(list)]
}

// backoff returns the wait for a reply to message n, counted from 1: a random duration between half
// of a bound and the bound. The bound doubles with n, up to maxReplyTimeout.
func (c *Client) backoff(n int) time.Duration {
	bound := min(firstReplyTimeout<<min(n-1, 8), maxReplyTimeout)
	return bound/2 + time.Duration(c.rng.Int64N(int64(bound)/2+1))
}

// OnReply processes a reply. If it returns true, the redemption ended with the result.
func (c *Client) OnReply(now time.Time, from fleet.InstanceID, m wire.RedeemReply, routes Routes, out *wire.Outbox) (Result, bool) {
	r := c.byID[m.Request]
	if r == nil {
		return Result{}, false
	}
	if r.state != requesting {
		c.onLateReply(now, from, r, &m, out)
		return Result{}, false
	}
	if now.After(r.deadline) {
		return c.abandon(now, r, routes, out), true
	}
	switch m.Result {
	case wire.RedeemNotOwner:
		return c.onNotOwner(now, from, r, m.Owner, routes, out)
	case wire.RedeemGranted:
		r.state = holding
		r.redirect = from
		return Result{Request: m.Request, Code: wire.RedeemGranted, RunBefore: r.startedAt.Add(c.runValidity)}, true
	}
	r.linger(now)
	return Result{
		Request:    m.Request,
		Code:       m.Result,
		RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
		Response:   m.Response,
	}, true
}

// onLateReply answers a RedeemGranted for an ended redemption with a Settle.
func (c *Client) onLateReply(now time.Time, from fleet.InstanceID, r *redemption, m *wire.RedeemReply, out *wire.Outbox) {
	if m.Result != wire.RedeemGranted || r.state == holding {
		return
	}
	if r.state == lingering {
		r.beginSettle(now, r.finalOutcome(), r.settle.Response)
	}
	r.redirect, r.peer = from, from
	r.sentAt = now
	out.Send(from, r.settle)
}

// onNotOwner continues with the owner named in the reply, or else with the next candidate, and ends the
// redemption if there is none. If no owner is named for a key, its candidates are not excluded, because
// the owner of its slot may change.
func (c *Client) onNotOwner(now time.Time, from fleet.InstanceID, r *redemption, owner fleet.InstanceID, routes Routes, out *wire.Outbox) (Result, bool) {
	if from != r.peer {
		return Result{}, false
	}
	if r.m.Key != "" && owner == "" {
		r.redirect = ""
		return Result{}, false
	}
	r.notOwners = append(r.notOwners, from)
	r.tries = 0
	r.redirect = ""
	if !slices.Contains(r.notOwners, owner) {
		r.redirect = owner
	}
	if c.send(now, r, routes, out) {
		return Result{}, false
	}
	r.linger(now)
	return abandonedResult(r.m.Request), true
}

// abandon ends a redemption without the execution right and settles the attempt as not run. Later
// replies do not permit it to run.
func (c *Client) abandon(now time.Time, r *redemption, routes Routes, out *wire.Outbox) Result {
	r.beginSettle(now, wire.SettleNotRun, nil)
	c.send(now, r, routes, out)
	return abandonedResult(r.m.Request)
}

// Cancel ends the redemption of a request whose caller has disconnected.
func (c *Client) Cancel(now time.Time, id fleet.RequestID, routes Routes, out *wire.Outbox) {
	if r := c.byID[id]; r != nil && r.state == requesting {
		c.abandon(now, r, routes, out)
	}
}

// Settle reports the outcome of a request that holds the execution right. SettleNotRun is allowed
// only if no byte of the request was or will be written to a connection.
func (c *Client) Settle(now time.Time, id fleet.RequestID, outcome wire.SettleOutcome, resp *wire.StoredResponse, routes Routes, out *wire.Outbox) {
	r := c.byID[id]
	if r == nil || r.state != holding {
		return
	}
	r.beginSettle(now, outcome, resp)
	c.send(now, r, routes, out)
}

// OnSettleAck ends the repetition of a Settle, or sends the Settle to the owner that the
// acknowledgement names.
func (c *Client) OnSettleAck(now time.Time, m wire.SettleAck, routes Routes, out *wire.Outbox) {
	r := c.byID[m.Request]
	if r == nil || r.state != settling {
		return
	}
	if m.Owner == "" {
		r.linger(now)
		return
	}
	if r.redirect != m.Owner {
		r.redirect = m.Owner
		r.tries = 0
		c.send(now, r, routes, out)
	}
}

// Tick repeats unanswered messages and returns the results of redemptions that ended without a
// reply.
func (c *Client) Tick(now time.Time, routes Routes, out *wire.Outbox) []Result {
	var ended []Result
	kept := c.order[:0]
	for _, r := range c.order {
		if res, ok := c.tick(now, r, routes, out); ok {
			ended = append(ended, res)
		}
		if r.state == lingering && now.After(r.deadline) {
			delete(c.byID, r.m.Request)
			continue
		}
		kept = append(kept, r)
	}
	clear(c.order[len(kept):])
	c.order = kept
	return ended
}

// tick sends the next message of a redemption if it is due. It returns true if the redemption ended
// with the result.
func (c *Client) tick(now time.Time, r *redemption, routes Routes, out *wire.Outbox) (Result, bool) {
	if r.state != requesting && r.state != settling {
		return Result{}, false
	}
	if now.After(r.deadline) {
		if r.state == requesting {
			return c.abandon(now, r, routes, out), true
		}
		r.linger(now)
		return Result{}, false
	}
	if now.Sub(r.sentAt) < r.wait {
		return Result{}, false
	}
	if r.state == requesting && r.soleCandidateUnresponsive(routes) {
		return c.abandon(now, r, routes, out), true
	}
	c.send(now, r, routes, out)
	return Result{}, false
}

// InFlight returns the number of redemptions in all states.
func (c *Client) InFlight() int { return len(c.order) }
