package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fault"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/gossip"
	"github.com/dandelionvane/dandelionvane/internal/httpcall"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// pullTimeout limits a pull from a peer. After a failure, the next Status of a peer triggers
// another pull.
const pullTimeout = 2 * time.Second

func newRandomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// listenPeers opens the UDP socket for peer messages.
func (p *process) listenPeers(incarnation fleet.Incarnation) error {
	var err error
	p.peers, err = gossip.Listen(p.settings.Peers.Addr, p.settings.Instance, incarnation)
	return err
}

// handleMessage passes a message to the control state. One that makes it panic is dropped.
func (p *process) handleMessage(r gossip.Received) {
	fault.Contain("message", func() {
		p.loop.Do(func(s *control.State, now boottime.Instant) {
			s.Receive(now, r.From, r.Incarnation, r.Message)
		})
	}, "peer", r.From, "from", r.Addr.String(), "kind", r.Message.Kind())
}

// recordReceiveError records a malformed datagram or an error of the socket.
func recordReceiveError(from netip.AddrPort, err error) {
	event.LogFields(event.MessageUnreadable, "from", from.String(), "err", err.Error())
}

func (p *process) send(a control.Send) {
	if err := p.peers.Send(a.Addr, a.Message); err != nil {
		event.LogFields(event.PeerUnreachable, "peer", a.To, "addr", a.Addr, "err", err.Error())
	}
}

// newPeerHTTPClient returns a client of the control addresses of peers.
func newPeerHTTPClient() *http.Client {
	return httpcall.NewClient(&http.Transport{DisableKeepAlives: true})
}

// maxPulls bounds the pulls in progress. Each Status with a higher revision may start one.
const maxPulls = 32

// startPull starts a pull, unless maxPulls are in progress.
func (p *process) startPull(a control.PullItems) {
	select {
	case p.pulls <- struct{}{}:
	default:
		event.LogFields(event.PeerUnreachable, "peer", a.From, "addr", a.Control, "err", "too many pulls are in progress")
		return
	}
	p.start("pull", func() {
		defer func() { <-p.pulls }()
		p.pull(a)
	}, "peer", a.From)
}

// pull fetches the items that a peer has and this process lacks, and passes them to the control
// state.
func (p *process) pull(a control.PullItems) {
	sent := boottime.Now()
	items, age, err := p.fetchItems(a)
	p.countPull(items, err)
	if err != nil {
		event.LogFields(event.PeerUnreachable, "peer", a.From, "addr", a.Control, "err", err.Error())
		return
	}
	confirmedAt := sent.Add(-age) // not later than the actual time: the peer stated the age after this request was sent
	p.loop.Do(func(s *control.State, now boottime.Instant) { s.PullDone(now, a.From, items, confirmedAt) })
}

// fetchItems returns the response to a pull, and the age of the peer's copy of the store.
func (p *process) fetchItems(pull control.PullItems) (wire.StoreUpdate, time.Duration, error) {
	var update wire.StoreUpdate
	ctx, cancel := context.WithTimeout(p.ctx, pullTimeout)
	defer cancel()
	q := url.Values{"after": {strconv.FormatUint(uint64(pull.After), 10)}, "max_bytes": {strconv.Itoa(pull.MaxBytes)}, "key": {strconv.FormatUint(uint64(pull.Key), 10)}}
	resp, err := httpcall.Get(ctx, p.peerHTTPClient, "http://"+pull.Control+itemsPath+"?"+q.Encode(), wire.MaxFrameBytes)
	if err != nil {
		return update, 0, errors.Wrap(err, "gateway: pull")
	}
	if resp.Status != http.StatusOK {
		return update, 0, errors.Errorf("gateway: pull returned status %d", resp.Status)
	}
	ageMS, err := strconv.ParseInt(resp.Header.Get(snapshotAgeHeader), 10, 64)
	if err != nil || ageMS < 0 {
		return update, 0, errors.Errorf("gateway: pull without %s", snapshotAgeHeader)
	}
	age := time.Duration(min(ageMS, maxSnapshotAgeMS)) * time.Millisecond
	return update, age, errors.Wrap(cbor.Unmarshal(resp.Body, &update), "gateway: pull")
}

// controlHandler returns the handler of the control address, which serves other gateways.
func (p *process) controlHandler() http.Handler {
	r := chi.NewRouter()
	r.Post(membersPath, p.serveSeedQuery)
	r.Get(itemsPath, p.serveItems)
	r.Get(recordsPath, p.serveRecords)
	return r
}
