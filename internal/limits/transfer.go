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
	idleIncomingTTL      = 2 * time.Second // time after the last transfer request until unused incoming slots are returned
	localReserve         = time.Second     // time of local usage that the sender of a transfer reserves
	maxIncomingTransfers = 256             // concurrent incoming slot transfers of a workspace
	maxOutgoingTransfers = 1024            // concurrent outgoing slot transfers of a workspace
)

// transferRequest is a transfer request that awaits its reply.
type transferRequest struct {
	id   uint64
	peer fleet.InstanceID
	sent time.Time
}

// requestTransfers requests the shortfall from the owners in the other data centres.
func (o *Owner) requestTransfers(now time.Time, a *account, owners Owners, out *wire.Outbox) {
	if now.Sub(a.lastTransferRequest) < o.opt.TransferRequestInterval {
		return
	}
	peers := o.remoteOwners(a.ws, owners)
	if len(peers) == 0 {
		return
	}
	a.lastTransferRequest = now
	a.pendingTransfers = slices.DeleteFunc(a.pendingTransfers, func(req transferRequest) bool { return now.Sub(req.sent) >= o.opt.TransferTTL })
	for _, id := range peers {
		o.nextID++
		a.pendingTransfers = append(a.pendingTransfers, transferRequest{o.nextID, id, now})
		out.Send(id, wire.Transfer{
			ID:        o.nextID,
			Workspace: a.ws,
			Step:      wire.TransferRequest,
			Requests:  split(a.shortfall.requests, len(peers)),
			Tokens:    split(a.shortfall.tokens, len(peers)),
			Slots:     split(a.shortfall.slots, len(peers)),
			HoldMS:    ms(o.opt.transferHold()),
		})
	}
	a.shortfall = amounts{}
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

// OnTransfer handles one step of a transfer between data centres.
func (o *Owner) OnTransfer(now time.Time, from fleet.InstanceID, m wire.Transfer, owners Owners, out *wire.Outbox) {
	switch m.Step {
	case wire.TransferRequest:
		o.grantTransfer(now, from, &m, owners, out)
	case wire.TransferGrant:
		o.acceptTransfer(now, from, &m, owners, out)
	case wire.TransferReturn:
		if a := o.accounts[m.Workspace]; a != nil {
			delete(a.outgoing, messageKey{from, m.ID})
		}
	}
}

// grantTransfer answers a transfer request with the amounts that this data centre can spare.
// It is idempotent: a repeated request gets the same reply.
func (o *Owner) grantTransfer(now time.Time, from fleet.InstanceID, m *wire.Transfer, owners Owners, out *wire.Outbox) {
	a := o.account(now, m.Workspace, owners)
	if a == nil || owners.Owner(m.Workspace) != o.opt.Self {
		return
	}
	key := messageKey{from, m.ID}
	if old, ok := a.replies[key]; ok {
		out.Send(from, old.message)
		return
	}
	if len(a.replies) >= maxCachedReplies {
		return
	}
	reply := wire.Transfer{ID: m.ID, Workspace: m.Workspace, Step: wire.TransferGrant}
	reply.Requests = takeSpare(&a.requests, a.localUsage.rate.requests, m.Requests)
	reply.Tokens = takeSpare(&a.tokens, a.localUsage.rate.tokens, m.Tokens)
	reply.Slots = o.grantTransferSlots(now, a, key, m, owners)
	a.replies[key] = cachedReply{reply, now}
	if reply.Requests+reply.Tokens+reply.Slots > 0 {
		out.Send(from, reply)
	}
}

// takeSpare removes up to requested units from a bucket, leaving localReserve at the local rate.
func takeSpare(b *bucket, localRate float64, requested uint32) uint32 {
	available := max(b.level-localRate*localReserve.Seconds(), 0)
	n := uint32(min(float64(requested), math.Floor(available)))
	b.level -= float64(n)
	return n
}

func (o *Owner) grantTransferSlots(now time.Time, a *account, key messageKey, m *wire.Transfer, owners Owners) uint32 {
	lim := a.schedule.inForce(now)
	if lim.slots < 0 || m.Slots == 0 || len(a.outgoing) >= maxOutgoingTransfers {
		return 0
	}
	voteShare := owners.VoteShareSince(a.ws, now.Add(-o.opt.transferHold()))
	left := a.transferableSlots(lim, voteShare) - a.outgoingSlots(now)
	hold := min(time.Duration(m.HoldMS)*time.Millisecond, o.opt.transferHold())
	free := a.freeSlots(now, lim, now.Add(hold), owners, &o.opt) - a.incomingSlots(now, now)
	n := min(int(m.Slots), left, free)
	if n <= 0 {
		return 0
	}
	a.outgoing[key] = &outgoingTransfer{slots: n, expires: now.Add(hold)}
	return uint32(n)
}

// acceptTransfer adds the amounts of a reply, once. Slots of a reply that is no longer
// awaited are returned.
func (o *Owner) acceptTransfer(now time.Time, from fleet.InstanceID, m *wire.Transfer, owners Owners, out *wire.Outbox) {
	a := o.accounts[m.Workspace]
	if a == nil || a.hasIncoming(from, m.ID) {
		return
	}
	req, ok := a.removePendingTransfer(from, m.ID)
	if !ok || owners.Owner(a.ws) != o.opt.Self {
		if m.Slots > 0 {
			out.Send(from, wire.Transfer{ID: m.ID, Workspace: a.ws, Step: wire.TransferReturn})
		}
		return
	}
	a.refresh(now, owners, &o.opt)
	until := req.sent.Add(o.opt.TransferTTL)
	a.incomingRequests.add(float64(m.Requests), until)
	a.incomingTokens.add(float64(m.Tokens), until)
	if m.Slots > 0 && len(a.incoming) < maxIncomingTransfers {
		a.incoming = append(a.incoming, incomingTransfer{from, m.ID, int(m.Slots), req.sent.Add(o.opt.transferHold())})
	}
}

// removePendingTransfer removes and returns the request that a reply belongs to.
func (a *account) removePendingTransfer(peer fleet.InstanceID, id uint64) (transferRequest, bool) {
	i := slices.IndexFunc(a.pendingTransfers, func(req transferRequest) bool { return req.id == id && req.peer == peer })
	if i < 0 {
		return transferRequest{}, false
	}
	req := a.pendingTransfers[i]
	a.pendingTransfers = slices.Delete(a.pendingTransfers, i, i+1)
	return req, true
}

func (a *account) hasIncoming(sender fleet.InstanceID, id uint64) bool {
	return slices.ContainsFunc(a.incoming, func(t incomingTransfer) bool { return t.sender == sender && t.id == id })
}

// returnIdleTransfers returns unused incoming slots to their data centres.
func (o *Owner) returnIdleTransfers(now time.Time, owners Owners, out *wire.Outbox) {
	for _, a := range o.accountsWithIncoming() {
		lim := a.schedule.inForce(now)
		incomingInUse := a.lentSlots(now) - a.ownSlots(now, lim, owners, &o.opt) + a.outgoingSlots(now)
		kept := a.incoming[:0]
		for _, t := range a.incoming {
			idle := incomingInUse <= 0 && now.Sub(a.lastTransferRequest) > idleIncomingTTL
			incomingInUse -= t.slots
			if idle {
				out.Send(t.sender, wire.Transfer{ID: t.id, Workspace: a.ws, Step: wire.TransferReturn})
			}
			if !idle && t.expires.After(now) {
				kept = append(kept, t)
			}
		}
		a.incoming = kept
	}
}

func (o *Owner) accountsWithIncoming() []*account {
	var out []*account
	for _, a := range o.accounts {
		if len(a.incoming) > 0 {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b *account) int { return cmp.Compare(a.ws, b.ws) })
	return out
}
