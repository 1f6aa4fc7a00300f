package redeem

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// maxNotRunAttempts bounds the attempts that a record stores as not run; the newest ones are kept. A
// late repeat of a removed one would be granted the right but not run, because its Client has abandoned the
// redemption. The right would then be lost, but not used twice.
const maxNotRunAttempts = 16

// record is the redemption record of one ticket or key. It grants the execution right to at most
// one attempt at a time.
type record struct {
	workspace      fleet.WorkspaceID
	requestHash    uint64
	hasRequestHash bool // set by the first grant

	request    fleet.RequestID // the attempt that holds or held the right, "": none
	holder     fleet.InstanceID
	grantedAt  time.Time
	holderGone bool               // the holder ended or was removed from the instance list; it may still settle
	outcome    wire.SettleOutcome // of request, 0: pending
	response   *wire.StoredResponse

	notRunAttempts []fleet.RequestID // attempts that did not run and will never run
	grantDeadline  time.Time         // the right is not granted after this; zero: no limit
	retainUntil    time.Time         // the record is kept until this time
}

// redeem returns the reply to an attempt that requests the right.
func (r *record) redeem(now time.Time, from fleet.InstanceID, m *wire.Redeem, opt *Options) wire.RedeemReply {
	reply := wire.RedeemReply{Request: m.Request}
	switch {
	case r.hasRequestHash && r.requestHash != m.RequestHash:
		reply.Result = wire.RedeemMismatch
	case slices.Contains(r.notRunAttempts, m.Request):
		reply.Result = wire.RedeemUnknown
	case r.request != "":
		r.replyAfterGrant(now, from, m, opt, &reply)
	case r.grantExpired(now):
		reply.Result = wire.RedeemInvalid
	default:
		r.grant(now, from, m)
		reply.Result = wire.RedeemGranted
	}
	return reply
}

// grantExpired reports whether the deadline for grants of the right has passed.
func (r *record) grantExpired(now time.Time) bool {
	return !r.grantDeadline.IsZero() && now.After(r.grantDeadline)
}

func (r *record) grant(now time.Time, from fleet.InstanceID, m *wire.Redeem) {
	r.requestHash, r.hasRequestHash = m.RequestHash, true
	r.request, r.holder = m.Request, from
	r.grantedAt = now
	r.holderGone = false
	r.outcome = 0
}

// replyAfterGrant sets the reply to a Redeem if an attempt, which may be the same one, holds the right or
// has used it.
func (r *record) replyAfterGrant(now time.Time, from fleet.InstanceID, m *wire.Redeem, opt *Options, reply *wire.RedeemReply) {
	switch {
	case r.outcome == wire.SettleAnswered:
		reply.Result = wire.RedeemDone
		reply.Response = r.response
	case r.outcome == wire.SettleUnknown:
		reply.Result = wire.RedeemUnknown
	case r.request == m.Request && r.holder == from:
		reply.Result = wire.RedeemGranted
	case r.holderGone, now.Sub(r.grantedAt) > opt.PendingTimeout:
		reply.Result = wire.RedeemUnknown
	default:
		reply.Result = wire.RedeemPending
		reply.RetryAfterMS = uint32(opt.PendingRetryAfter / time.Millisecond)
	}
}

// markHolderGone sets holderGone if the given router is the holder.
func (r *record) markHolderGone(id fleet.InstanceID) {
	if r.request != "" && r.holder == id {
		r.holderGone = true
	}
}

// settle stores the outcome of an attempt and reports whether the record has changed. An attempt that
// does not hold the right can only settle as not run.
func (r *record) settle(from fleet.InstanceID, m *wire.Settle) bool {
	if r.request == "" || r.request != m.Request {
		return m.Outcome == wire.SettleNotRun && r.markNotRun(m.Request)
	}
	if r.outcome != 0 || r.holder != from {
		return false
	}
	if m.Outcome == wire.SettleNotRun {
		r.request, r.holder = "", ""
		return r.markNotRun(m.Request)
	}
	r.outcome = m.Outcome
	r.response = m.Response
	return true
}

// markNotRun stores that an attempt will not run, even if its Redeem has not arrived yet.
func (r *record) markNotRun(id fleet.RequestID) bool {
	if slices.Contains(r.notRunAttempts, id) {
		return false
	}
	if len(r.notRunAttempts) >= maxNotRunAttempts {
		r.notRunAttempts = slices.Delete(r.notRunAttempts, 0, 1)
	}
	r.notRunAttempts = append(r.notRunAttempts, id)
	return true
}

func responseBytes(resp *wire.StoredResponse) int {
	if resp == nil {
		return 0
	}
	return len(resp.Body) + len(resp.ContentType)
}

func (r *record) responseBytes() int { return responseBytes(r.response) }

// extendRetention extends the retention of the record to at least t.
func (r *record) extendRetention(t time.Time) {
	if t.After(r.retainUntil) {
		r.retainUntil = t
	}
}
