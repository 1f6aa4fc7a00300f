package redeem

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	askResend     = 200 * time.Millisecond // bound of the first wait for a reply
	askResendMax  = 2 * time.Second        // bound of every wait for a reply
	askFor        = 10 * time.Second       // for which an answer is sought, whatever the deadline
	settleFor     = 30 * time.Second       // for which a Settle is repeated
	lingerFor     = 30 * time.Second       // for which a late RedeemRun is answered with a Settle
	lastTries     = 4                      // messages without reply to the last candidate for a ticket
	triesPerPeer  = 2                      // messages without reply, before the next candidate is asked
	maxRedemption = 8192                   // redemptions of all states that a Client keeps
)

// Routes names the instances that may answer for a ticket or key, in the order in
// which to ask them.
type Routes interface {
	Candidates(m *wire.Redeem) []fleet.InstanceID
}

// Result is how the asking for the right to run a request ended.
type Result struct {
	Request    fleet.RequestID
	Result     wire.RedeemResult // RedeemRun: the request may run
	GaveUp     bool              // nobody answered for the ticket or key: RedeemUnknown
	RunBefore  time.Time         // with RedeemRun: do not hand over the first byte after this
	RetryAfter time.Duration
	Response   *wire.StoredResponse
}

// NotRun tells whether the result says that no attempt under the ticket or key ran.
func (r *Result) NotRun() bool {
	switch r.Result {
	case wire.RedeemInvalid, wire.RedeemFull, wire.RedeemMismatch:
		return true
	default:
		return false
	}
}

type askState uint8

const (
	asking    askState = iota + 1 // waits for a reply
	holding                       // has the right to run
	settling                      // repeats its Settle until that is acknowledged
	lingering                     // ended without the right
)

type redemption struct {
	m        wire.Redeem
	state    askState
	asked    time.Time
	deadline time.Time // of the present state
	sent     time.Time
	wait     time.Duration // since sent, before the next message
	tries    int
	peer     fleet.InstanceID   // to which the last message went
	foreign  []fleet.InstanceID // that do not answer for the ticket or key
	redirect fleet.InstanceID   // named by one of them
	settle   wire.Settle
}

// Client asks for the right to run requests, on behalf of one entry router.
type Client struct {
	rng         *rand.Rand
	runValidity time.Duration
	byID        map[fleet.RequestID]*redemption
	order       []*redemption // by age
}

// NewClient returns a Client whose requests may run for Options.RunValidity after
// they were first asked for.
func NewClient(opt Options, rng *rand.Rand) *Client {
	return &Client{rng: rng, runValidity: opt.RunValidity, byID: map[fleet.RequestID]*redemption{}}
}

// Ask begins to ask for the right to run m.Request until the deadline, or for as long
// as a live router takes to answer. When it
// returns true, the result is final already.
func (c *Client) Ask(now time.Time, m wire.Redeem, deadline time.Time, routes Routes, out *wire.Outbox) (Result, bool) {
	if c.byID[m.Request] != nil || len(c.order) >= maxRedemption {
		return gaveUp(m.Request), true
	}
	r := &redemption{m: m, state: asking, asked: now, deadline: earlier(deadline, now.Add(askFor))}
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
	return Result{Request: id, Result: wire.RedeemUnknown, GaveUp: true}
}

// send sends the message of the redemption's state to the next candidate.
func (c *Client) send(now time.Time, r *redemption, routes Routes, out *wire.Outbox) bool {
	peer := c.choose(r, routes)
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

// choose returns the instance to ask: the one that was named by another, or the
// candidates in turn, each a few times.
func (c *Client) choose(r *redemption, routes Routes) fleet.InstanceID {
	list := r.left(routes)
	if len(list) == 0 {
		return ""
	}
	return list[r.tries/triesPerPeer%len(list)]
}

// left returns the candidates that have not declared the ticket or key foreign.
func (r *redemption) left(routes Routes) []fleet.InstanceID {
	var out []fleet.InstanceID
	if r.redirect != "" {
		out = append(out, r.redirect)
	}
	for _, id := range routes.Candidates(&r.m) {
		if id != r.redirect && !slices.Contains(r.foreign, id) {
			out = append(out, id)
		}
	}
	return out
}

// hopeless tells whether the only router that may answer for a ticket stays silent.
// The home of a key is waited for, because it may be about to change.
func (r *redemption) hopeless(routes Routes) bool {
	return r.m.Key == "" && r.tries >= lastTries && len(r.left(routes)) <= 1
}

// backoff returns the wait for a reply to message n: between one and two times a
// bound that doubles.
func (c *Client) backoff(n int) time.Duration {
	bound := min(askResend<<min(n-1, 8), askResendMax)
	return bound/2 + time.Duration(c.rng.Int64N(int64(bound)/2+1))
}

// OnReply takes in a reply. When it returns true, the asking ended with the result.
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
		return c.onForeign(now, from, r, m.Owner, routes, out)
	case wire.RedeemGranted:
		r.state = holding
		r.redirect = from
		return Result{Request: m.Request, Result: wire.RedeemGranted, RunBefore: r.asked.Add(c.runValidity)}, true
	}
	r.linger(now)
	return Result{
		Request:    m.Request,
		Result:     m.Result,
		RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
		Response:   m.Response,
	}, true
}

func (r *redemption) linger(now time.Time) {
	r.state = lingering
	r.deadline = now.Add(lingerFor)
}

// onLateReply returns a right that reaches an attempt which has given up.
func (c *Client) onLateReply(now time.Time, from fleet.InstanceID, r *redemption, m *wire.RedeemReply, out *wire.Outbox) {
	if m.Result != wire.RedeemGranted || r.state == holding {
		return
	}
	if r.state == lingering {
		r.beginSettle(now, r.ended(), r.settle.Response)
	}
	r.redirect, r.peer = from, from
	r.sent = now
	out.Send(from, r.settle)
}

// ended returns the outcome to report of a redemption that is over: as it was
// reported before, or not run when the attempt never had the right.
func (r *redemption) ended() wire.SettleOutcome {
	if r.settle.Outcome != 0 {
		return r.settle.Outcome
	}
	return wire.SettleNotRun
}

// onForeign goes on to the instance that was named, or to the next candidate. The
// home of a key may be about to change, so that its candidates are asked again.
func (c *Client) onForeign(now time.Time, from fleet.InstanceID, r *redemption, owner fleet.InstanceID, routes Routes, out *wire.Outbox) (Result, bool) {
	if from != r.peer {
		return Result{}, false
	}
	if r.m.Key != "" && owner == "" {
		r.redirect = ""
		return Result{}, false
	}
	r.foreign = append(r.foreign, from)
	r.tries = 0
	r.redirect = ""
	if !slices.Contains(r.foreign, owner) {
		r.redirect = owner
	}
	if c.send(now, r, routes, out) {
		return Result{}, false
	}
	r.linger(now)
	return gaveUp(r.m.Request), true
}

// giveUp ends the asking: this attempt never runs, whatever reply still arrives.
func (c *Client) giveUp(now time.Time, r *redemption, routes Routes, out *wire.Outbox) Result {
	r.beginSettle(now, wire.SettleNotRun, nil)
	c.send(now, r, routes, out)
	return gaveUp(r.m.Request)
}

// Cancel ends the asking of a request whose caller has gone.
func (c *Client) Cancel(now time.Time, id fleet.RequestID, routes Routes, out *wire.Outbox) {
	if r := c.byID[id]; r != nil && r.state == asking {
		c.giveUp(now, r, routes, out)
	}
}

// Settle reports how a request that got the right to run ended. SettleNotRun is
// allowed only when no byte of it was or will be handed to a connection.
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
	r.deadline = now.Add(settleFor)
	r.tries = 0
	r.foreign = nil
	r.settle = wire.Settle{
		Ticket:    r.m.Ticket,
		Key:       r.m.Key,
		Workspace: r.m.Workspace,
		Request:   r.m.Request,
		Outcome:   outcome,
		Response:  resp,
	}
}

// OnSettleAck ends the repeating of a Settle, or sends it to the instance that answers now.
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

// Tick repeats messages without reply and returns the askings that ended.
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
	if r.state == asking && r.hopeless(routes) {
		return c.giveUp(now, r, routes, out), true
	}
	c.send(now, r, routes, out)
	return Result{}, false
}

// InFlight returns the number of redemptions that the client keeps.
func (c *Client) InFlight() int { return len(c.order) }
