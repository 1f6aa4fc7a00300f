package gateway

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
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
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/gossip"
	"github.com/dandelionvane/dandelionvane/internal/httpcall"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// itemsPath is the path at which a gateway serves the items that it has read from the store.
const itemsPath = "/v1/items"

// pullTimeout limits a pull from a peer. After a failure, the next Status of a peer triggers
// another pull.
const pullTimeout = 2 * time.Second

func newRandomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// listenPeers opens the gossip socket.
func (p *process) listenPeers(seed uint64) error {
	var err error
	p.peers, err = gossip.Listen(p.settings.Peers.Addr, p.settings.Instance, fleet.Incarnation(uint32(seed)))
	return err
}

func (p *process) handleMessage(r gossip.Received) {
	p.loop.Do(func(s *control.State, now boottime.Instant) {
		s.Receive(now, r.From, r.Incarnation, r.Message)
	})
}

func recordUnreadable(from netip.AddrPort, err error) {
	event.LogFields(event.MessageUnreadable, "from", from.String(), "err", err.Error())
}

func (p *process) send(a control.Send) {
	if err := p.peers.Send(a.Addr, a.Message); err != nil {
		event.LogFields(event.PeerUnreachable, "peer", a.To, "addr", a.Addr, "err", err.Error())
	}
}

// pull fetches the items that a peer has and this process lacks, and passes them to the control
// state.
func (p *process) pull(a control.PullItems) {
	items, err := p.fetchItems(a)
	p.countPull(items, err)
	if err != nil {
		event.LogFields(event.PeerUnreachable, "peer", a.From, "addr", a.Control, "err", err.Error())
		return
	}
	p.loop.Do(func(s *control.State, now boottime.Instant) { s.PullDone(now, a.From, items) })
}

func (p *process) fetchItems(pull control.PullItems) (wire.StoreUpdate, error) {
	var update wire.StoreUpdate
	ctx, cancel := context.WithTimeout(p.ctx, pullTimeout)
	defer cancel()
	q := url.Values{"after": {strconv.FormatUint(uint64(pull.After), 10)}, "max_bytes": {strconv.Itoa(pull.MaxBytes)}}
	resp, err := httpcall.Get(ctx, p.controlClient, "http://"+pull.Control+itemsPath+"?"+q.Encode(), wire.MaxFrameBytes)
	if err != nil {
		return update, errors.Wrap(err, "gateway: pull")
	}
	if resp.Status != http.StatusOK {
		return update, errors.Errorf("gateway: pull returned status %d", resp.Status)
	}
	return update, errors.Wrap(cbor.Unmarshal(resp.Body, &update), "gateway: pull")
}

// serveItems serves the pulls of peers.
func (p *process) serveItems(w http.ResponseWriter, r *http.Request) {
	after, errA := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	maxBytes, errB := strconv.Atoi(r.URL.Query().Get("max_bytes"))
	if errA != nil || errB != nil {
		http.Error(w, "want after and max_bytes as numbers", http.StatusBadRequest)
		return
	}
	var items wire.StoreUpdate
	p.loop.Do(func(s *control.State, _ boottime.Instant) {
		items = s.ItemsSince(fleet.Revision(after), min(maxBytes, wire.MaxFrameBytes/2))
	})
	b, err := cbor.Marshal(items)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = io.Copy(w, bytes.NewReader(b)) // fails only if the peer has disconnected
}

// controlHandler returns the handler of the control address, which serves other gateways.
func (p *process) controlHandler() http.Handler {
	r := chi.NewRouter()
	r.Post(membersPath, p.serveMembers)
	r.Get(itemsPath, p.serveItems)
	return r
}
