package redeem

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// maxSpent bounds the attempts that a register remembers as not run, the newest ones.
// A late repeat of one that it forgot would get the right and never run, because its
// asker has given up; the right would be stuck with it, but never used twice.
const maxSpent = 16

// register gives the right to run one request to one attempt at a time.
type register struct {
	workspace fleet.WorkspaceID
	digest    uint64
	bound     bool // digest is set

	request  fleet.RequestID // the attempt that has or had the right, "" for none
	holder   fleet.InstanceID
	granted  time.Time
	gone     bool               // the holder is not expected to settle any more
	outcome  wire.SettleOutcome // of request, 0: pending
	response *wire.StoredResponse

	spent  []fleet.RequestID // attempts that did not run and never will
	closes time.Time         // the right is not given after this, zero: always
	forget time.Time         // the register may be dropped after this
}

// redeem answers an attempt that asks for the right.
func (r *register) redeem(now time.Time, from fleet.InstanceID, m *wire.Redeem, opt *Options) wire.RedeemReply {
	reply := wire.RedeemReply{Request: m.Request}
	switch {
	case r.bound && r.digest != m.Digest:
		reply.Result = wire.RedeemMismatch
	case slices.Contains(r.spent, m.Request):
		reply.Result = wire.RedeemUnknown
	case r.request != "":
		r.repeat(now, from, m, opt, &reply)
	case r.closed(now):
		reply.Result = wire.RedeemInvalid
	default:
		r.grant(now, from, m)
		reply.Result = wire.RedeemGranted
	}
	return reply
}

// closed tells whether the right is not given to new attempts any more.
func (r *register) closed(now time.Time) bool {
	return !r.closes.IsZero() && now.After(r.closes)
}

func (r *register) grant(now time.Time, from fleet.InstanceID, m *wire.Redeem) {
	r.digest, r.bound = m.Digest, true
	r.request, r.holder = m.Request, from
	r.granted = now
	r.gone = false
	r.outcome = 0
}

// repeat answers while an attempt has or had the right.
func (r *register) repeat(now time.Time, from fleet.InstanceID, m *wire.Redeem, opt *Options, reply *wire.RedeemReply) {
	switch {
	case r.outcome == wire.SettleAnswered:
		reply.Result = wire.RedeemDone
		reply.Response = r.response
	case r.outcome == wire.SettleUnknown:
		reply.Result = wire.RedeemUnknown
	case r.request == m.Request && r.holder == from:
		reply.Result = wire.RedeemGranted
	case r.gone, now.Sub(r.granted) > opt.PendingTimeout:
		reply.Result = wire.RedeemUnknown
	default:
		reply.Result = wire.RedeemPending
		reply.RetryAfterMS = uint32(opt.PendingRetryAfter / time.Millisecond)
	}
}

// holderGone notes that a router is gone, if it has the right.
func (r *register) holderGone(id fleet.InstanceID) {
	if r.request != "" && r.holder == id {
		r.gone = true
	}
}

// settle records how an attempt ended. It returns false when that changes nothing.
func (r *register) settle(from fleet.InstanceID, m *wire.Settle) bool {
	if r.request == "" || r.request != m.Request {
		return m.Outcome == wire.SettleNotRun && r.spend(m.Request)
	}
	if r.outcome != 0 || r.holder != from {
		return false
	}
	if m.Outcome == wire.SettleNotRun {
		r.request, r.holder = "", ""
		return r.spend(m.Request)
	}
	r.outcome = m.Outcome
	r.response = m.Response
	return true
}

// spend remembers that an attempt never runs, also one that was not seen yet.
func (r *register) spend(id fleet.RequestID) bool {
	if slices.Contains(r.spent, id) {
		return false
	}
	if len(r.spent) >= maxSpent {
		r.spent = slices.Delete(r.spent, 0, 1)
	}
	r.spent = append(r.spent, id)
	return true
}

func responseBytes(resp *wire.StoredResponse) int {
	if resp == nil {
		return 0
	}
	return len(resp.Body) + len(resp.ContentType)
}

func (r *register) responseBytes() int { return responseBytes(r.response) }

// extend keeps the register until t at least.
func (r *register) extend(t time.Time) {
	if t.After(r.forget) {
		r.forget = t
	}
}
