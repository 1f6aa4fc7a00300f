package redeem

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

type redemptionState uint8

const (
	requesting redemptionState = iota + 1 // waiting for a reply
	holding                               // holds the execution right
	settling                              // the Settle is repeated until it is acknowledged
	lingering                             // ended; a late RedeemGranted is answered with a Settle
)

// redemption is the state of a request for the execution right.
type redemption struct {
	m         wire.Redeem
	state     redemptionState
	startedAt time.Time
	deadline  time.Time // of the current state
	sentAt    time.Time
	wait      time.Duration // from sentAt to the next message
	tries     int
	peer      fleet.InstanceID   // receiver of the last message
	notOwners []fleet.InstanceID // instances that answered RedeemNotOwner
	redirect  fleet.InstanceID   // instance named as owner by a reply, tried first
	settle    wire.Settle
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

// soleCandidateUnresponsive reports whether the only remaining candidate for a ticket has not answered
// soleCandidateTries messages. It is always false for a key, because the owner of the key's slot may
// change.
func (r *redemption) soleCandidateUnresponsive(routes Routes) bool {
	return r.m.Key == "" && r.tries >= soleCandidateTries && len(r.remainingCandidates(routes)) <= 1
}

// linger ends the redemption but keeps it for lingerDuration.
func (r *redemption) linger(now time.Time) {
	r.state = lingering
	r.deadline = now.Add(lingerDuration)
}

// finalOutcome returns the outcome of an ended redemption: the one that was settled, or SettleNotRun
// if the attempt never held the right.
func (r *redemption) finalOutcome() wire.SettleOutcome {
	if r.settle.Outcome != 0 {
		return r.settle.Outcome
	}
	return wire.SettleNotRun
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
