package redeem

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	firstReplyTimeout  = 200 * time.Millisecond // upper bound of the wait for the first reply
	maxReplyTimeout    = 2 * time.Second        // upper bound of the wait for any reply
	maxAskDuration     = 10 * time.Second       // maximum duration of a redemption, regardless of the request's deadline
	settleDuration     = 30 * time.Second       // for which an unacknowledged Settle is repeated
	lingerDuration     = 30 * time.Second       // for which a late RedeemGranted is answered with a Settle
	lastCandidateTries = 4                      // unanswered messages to the only candidate for a ticket, before giving up
	triesPerCandidate  = 2                      // unanswered messages to a candidate before trying the next one
	maxRedemptions     = 8192                   // redemptions in all states per Client
)

// Routes returns the instances that may hold the record of a ticket or key, in the order in
// which they are to be tried.
type Routes interface {
	Candidates(m *wire.Redeem) []fleet.InstanceID
}

// Result is the outcome of a request for the execution right.
type Result struct {
	Request    fleet.RequestID
	Code       wire.RedeemResult // RedeemGranted: the request may run
	GaveUp     bool              // the Client gave up without a final answer; Result is RedeemUnknown
	RunBefore  time.Time         // with RedeemGranted: the first byte must not be written to a connection after this
	RetryAfter time.Duration
	Response   *wire.StoredResponse
}

// NotRun reports whether the result proves that no attempt with the ticket or key ran.
func (r *Result) NotRun() bool {
	switch r.Code {
	case wire.RedeemInvalid, wire.RedeemFull, wire.RedeemMismatch:
		return true
	default:
		return false
	}
}

type askState uint8

const (
	asking    askState = iota + 1 // waiting for a reply
	holding                       // holds the execution right
	settling                      // repeating the Settle until it is acknowledged
	lingering                     // ended; a late grant is answered with a Settle
)

type redemption struct {
	m         wire.Redeem
	state     askState
	asked     time.Time
	deadline  time.Time // of the current state
	sent      time.Time
	wait      time.Duration // from sent to the next message
	tries     int
	peer      fleet.InstanceID   // receiver of the last message
	notOwners []fleet.InstanceID // instances that answered RedeemNotOwner
	redirect  fleet.InstanceID   // instance named as owner by a reply, tried first
	settle    wire.Settle
}

// Client requests execution rights for the requests that one router receives from callers.
type Client struct {
	rng         *rand.Rand
	runValidity time.Duration
	byID        map[fleet.RequestID]*redemption
	order       []*redemption // oldest first
}

// NewClient returns a Client. Requests may start to run for Options.RunValidity after the
// call of Ask.
func NewClient(opt Options, rng *rand.Rand) *Client {
	return &Client{rng: rng, runValidity: opt.RunValidity, byID: map[fleet.RequestID]*redemption{}}
}

// Redeem starts to request the execution right for m.Request, until the deadline or for
// maxAskDuration, whichever ends first. If it returns true, the result is already final.
func (c *Client) Redeem(now time.Time, m wire.Redeem, deadline time.Time, routes Routes, out *wire.Outbox) (Result, bool) {
	if c.byID[m.Request] != nil || len(c.order) >= maxRedemptions {
		return gaveUp(m.Request), true
	}
	r := &redemption{m: m, state: asking, asked: now, deadline: earlier(deadline, now.Add(maxAskDuration))}
	if !c.send(now, r, routes, out) {
		return gaveUp(m.Request), true
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

func gaveUp(id fleet.RequestID) Result {
	return Result{Request: id, Code: wire.RedeemUnknown, GaveUp: true}
}

// send sends the message of the redemption's state to the next candidate. It returns false if there
// is no candidate.
func (c *Client) send(now time.Time, r *redemption, routes Routes, out *wire.Outbox) bool {
	peer := c.nextCandidate(r, routes)
	if peer == "" {
		return false
	}
	r.peer = peer
	r.sent = now
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

// remainingCandidates returns the candidates that have not answered RedeemNotOwner, with the
// redirect first.
func (r *redemption) remainingCandidates(routes Routes) []fleet.InstanceID {
	var out []fleet.InstanceID
	if r.redirect != "" {
		out = append(out, r.redirect)
	}
	for _, id := range routes.Candidates(&r.m) {
		if id != r.redirect && !slices.Contains(r.notOwners, id) {
			out = append(out, id)
		}
	}
	return out
}

// issuerUnreachable reports whether the only candidate for a ticket does not answer. It is always
// false for a key, because the owner of the key's slot may change.
func (r *redemption) issuerUnreachable(routes Routes) bool {
	return r.m.Key == "" && r.tries >= lastCandidateTries && len(r.remainingCandidates(routes)) <= 1
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
	if r.state != asking {
		c.onLateReply(now, from, r, &m, out)
		return Result{}, false
	}
	if now.After(r.deadline) {
		return c.giveUp(now, r, routes, out), true
	}
	switch m.Result {
	case wire.RedeemNotOwner:
		return c.onNotOwner(now, from, r, m.Owner, routes, out)
	case wire.RedeemGranted:
		r.state = holding
		r.redirect = from
		return Result{Request: m.Request, Code: wire.RedeemGranted, RunBefore: r.asked.Add(c.runValidity)}, true
	}
	r.linger(now)
	return Result{
		Request:    m.Request,
		Code:       m.Result,
		RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
		Response:   m.Response,
	}, true
}

func (r *redemption) linger(now time.Time) {
	r.state = lingering
	r.deadline = now.Add(lingerDuration)
}

// onLateReply answers a right that is granted to an ended attempt with a Settle.
func (c *Client) onLateReply(now time.Time, from fleet.InstanceID, r *redemption, m *wire.RedeemReply, out *wire.Outbox) {
	if m.Result != wire.RedeemGranted || r.state == holding {
		return
	}
	if r.state == lingering {
		r.beginSettle(now, r.finalOutcome(), r.settle.Response)
	}
	r.redirect, r.peer = from, from
	r.sent = now
	out.Send(from, r.settle)
}

// finalOutcome returns the outcome of an ended redemption: the one reported before, or SettleNotRun
// if the attempt never held the right.
func (r *redemption) finalOutcome() wire.SettleOutcome {
	if r.settle.Outcome != 0 {
		return r.settle.Outcome
	}
	return wire.SettleNotRun
}

// onNotOwner continues with the instance named in the reply, or with the next candidate. A key
// without a named owner is retried with all candidates, because the owner of its slot may change.
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
	return gaveUp(r.m.Request), true
}

// giveUp ends a redemption without the right. The attempt never runs, whichever reply still arrives.
func (c *Client) giveUp(now time.Time, r *redemption, routes Routes, out *wire.Outbox) Result {
	r.beginSettle(now, wire.SettleNotRun, nil)
	c.send(now, r, routes, out)
	return gaveUp(r.m.Request)
}

// Cancel ends the redemption of a request whose caller has disconnected.
func (c *Client) Cancel(now time.Time, id fleet.RequestID, routes Routes, out *wire.Outbox) {
	if r := c.byID[id]; r != nil && r.state == asking {
		c.giveUp(now, r, routes, out)
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

func (r *redemption) beginSettle(now time.Time, outcome wire.SettleOutcome, resp *wire.StoredResponse) {
	r.state = settling
	r.deadline = now.Add(settleDuration)
	r.tries = 0
	r.notOwners = nil
	r.settle = wire.Settle{
		Ticket:    r.m.Ticket,
		Key:       r.m.Key,
		Workspace: r.m.Workspace,
		Request:   r.m.Request,
		Outcome:   outcome,
		Response:  resp,
	}
}

// OnSettleAck stops the repetition of a Settle, or sends the Settle to the new owner of the record.
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

func (c *Client) tick(now time.Time, r *redemption, routes Routes, out *wire.Outbox) (Result, bool) {
	if r.state != asking && r.state != settling {
		return Result{}, false
	}
	if now.After(r.deadline) {
		if r.state == asking {
			return c.giveUp(now, r, routes, out), true
		}
		r.linger(now)
		return Result{}, false
	}
	if now.Sub(r.sent) < r.wait {
		return Result{}, false
	}
	if r.state == asking && r.issuerUnreachable(routes) {
		return c.giveUp(now, r, routes, out), true
	}
	c.send(now, r, routes, out)
	return Result{}, false
}

// InFlight returns the number of redemptions in all states.
func (c *Client) InFlight() int { return len(c.order) }
