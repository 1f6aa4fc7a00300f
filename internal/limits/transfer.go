package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	idleTaken  = 2 * time.Second // for which unused taken slots are kept
	reserveFor = time.Second     // of its own use that a giver keeps
	maxTaken   = 256             // transfers of slots in use at a time
	maxGiven   = 1024
)

// ask is a transfer that was asked for.
type ask struct {
	id   uint64
	peer fleet.InstanceID
	sent time.Time
}

// ask asks the owners in the other data centres for what was refused here.
func (o *Owner) ask(now time.Time, a *account, owners Owners, out *wire.Outbox) {
	if now.Sub(a.asked) < o.opt.TransferRequestInterval {
		return
	}
	peers := o.remoteOwners(a.ws, owners)
	if len(peers) == 0 {
		return
	}
	a.asked = now
	a.asks = slices.DeleteFunc(a.asks, func(k ask) bool { return now.Sub(k.sent) >= o.opt.TransferTTL })
	for _, id := range peers {
		o.nextID++
		a.asks = append(a.asks, ask{o.nextID, id, now})
		out.Send(id, wire.Transfer{
			ID:        o.nextID,
			Workspace: a.ws,
			Step:      wire.TransferRequest,
			Requests:  split(a.want.requests, len(peers)),
			Tokens:    split(a.want.tokens, len(peers)),
			Slots:     split(a.want.slots, len(peers)),
			HoldMS:    ms(o.opt.transferHold()),
		})
	}
	a.want = amounts{}
}

func split(x float64, n int) uint32 { return uint32(math.Ceil(x / float64(n))) }

func (o *Owner) remoteOwners(ws fleet.WorkspaceID, owners Owners) []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, dc := range o.dcs {
		if dc == o.opt.DataCentre {
			continue
		}
		if id := owners.RemoteOwner(ws, dc); id != "" {
			out = append(out, id)
		}
	}
	return out
}

// OnTransfer takes in a step of a transfer between data centres.
func (o *Owner) OnTransfer(now time.Time, from fleet.InstanceID, m wire.Transfer, owners Owners, out *wire.Outbox) {
	switch m.Step {
	case wire.TransferRequest:
		o.give(now, from, &m, owners, out)
	case wire.TransferGrant:
		o.take(now, from, &m, owners, out)
	case wire.TransferReturn:
		if a := o.accounts[m.Workspace]; a != nil {
			delete(a.given, loanKey{from, m.ID})
		}
	}
}

// give subtracts what this data centre can spare and sends it.
func (o *Owner) give(now time.Time, from fleet.InstanceID, m *wire.Transfer, owners Owners, out *wire.Outbox) {
	a := o.account(now, m.Workspace, owners)
	if a == nil || owners.Owner(m.Workspace) != o.opt.Self {
		return
	}
	key := loanKey{from, m.ID}
	if old, ok := a.answered[key]; ok {
		out.Send(from, old.message)
		return
	}
	if len(a.answered) >= maxAnswered {
		return
	}
	reply := wire.Transfer{ID: m.ID, Workspace: m.Workspace, Step: wire.TransferGrant}
	reply.Requests = spare(&a.requests, a.own.rate.requests, m.Requests)
	reply.Tokens = spare(&a.tokens, a.own.rate.tokens, m.Tokens)
	reply.Slots = o.giveSlots(now, a, key, m, owners)
	a.answered[key] = answer{reply, now}
	if reply.Requests+reply.Tokens+reply.Slots > 0 {
		out.Send(from, reply)
	}
}

// spare takes up to asked out of a bucket, beyond what its own callers use.
func spare(b *bucket, use float64, asked uint32) uint32 {
	have := max(b.level-use*reserveFor.Seconds(), 0)
	n := uint32(min(float64(asked), math.Floor(have)))
	b.level -= float64(n)
	return n
}

func (o *Owner) giveSlots(now time.Time, a *account, key loanKey, m *wire.Transfer, owners Owners) uint32 {
	p := a.schedule.at(now)
	if p.slots < 0 || m.Slots == 0 || len(a.given) >= maxGiven {
		return 0
	}
	share := owners.VoteShareSince(a.ws, now.Add(-o.opt.transferHold()))
	left := a.lendableSlots(p, share) - a.givenSlots(now)
	hold := min(time.Duration(m.HoldMS)*time.Millisecond, o.opt.transferHold())
	free := a.freeSlots(now, p, now.Add(hold), owners, &o.opt) - a.takenUntil(now, now)
	n := min(int(m.Slots), left, free)
	if n <= 0 {
		return 0
	}
	a.given[key] = &loan{slots: n, until: now.Add(hold)}
	return uint32(n)
}

// take adds what was given, once. Slots that come too late go back.
func (o *Owner) take(now time.Time, from fleet.InstanceID, m *wire.Transfer, owners Owners, out *wire.Outbox) {
	a := o.accounts[m.Workspace]
	if a == nil || a.hasTaken(from, m.ID) {
		return
	}
	k, ok := a.answeredAsk(from, m.ID)
	if !ok || owners.Owner(a.ws) != o.opt.Self {
		if m.Slots > 0 {
			out.Send(from, wire.Transfer{ID: m.ID, Workspace: a.ws, Step: wire.TransferReturn})
		}
		return
	}
	a.refresh(now, owners, &o.opt)
	until := k.sent.Add(o.opt.TransferTTL)
	a.extraRequests.add(float64(m.Requests), until)
	a.extraTokens.add(float64(m.Tokens), until)
	if m.Slots > 0 && len(a.taken) < maxTaken {
		a.taken = append(a.taken, takenSlots{from, m.ID, int(m.Slots), k.sent.Add(o.opt.transferHold())})
	}
}

// answeredAsk removes and returns the ask that a reply answers.
func (a *account) answeredAsk(peer fleet.InstanceID, id uint64) (ask, bool) {
	i := slices.IndexFunc(a.asks, func(k ask) bool { return k.id == id && k.peer == peer })
	if i < 0 {
		return ask{}, false
	}
	k := a.asks[i]
	a.asks = slices.Delete(a.asks, i, i+1)
	return k, true
}

func (a *account) hasTaken(giver fleet.InstanceID, id uint64) bool {
	return slices.ContainsFunc(a.taken, func(t takenSlots) bool { return t.giver == giver && t.id == id })
}

// returnTaken sends back taken slots that are not in use, oldest account first.
func (o *Owner) returnTaken(now time.Time, owners Owners, out *wire.Outbox) {
	for _, a := range o.withTaken() {
		p := a.schedule.at(now)
		busy := a.lent(now) - a.ownSlots(now, p, owners, &o.opt) + a.givenSlots(now)
		kept := a.taken[:0]
		for _, t := range a.taken {
			idle := busy <= 0 && now.Sub(a.asked) > idleTaken
			busy -= t.slots
			if idle {
				out.Send(t.giver, wire.Transfer{ID: t.id, Workspace: a.ws, Step: wire.TransferReturn})
			}
			if !idle && t.until.After(now) {
				kept = append(kept, t)
			}
		}
		a.taken = kept
	}
}

func (o *Owner) withTaken() []*account {
	var out []*account
	for _, a := range o.accounts {
		if len(a.taken) > 0 {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b *account) int { return cmp.Compare(a.ws, b.ws) })
	return out
}
