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

// itemsPath is where a gateway hands on what the store published.
const itemsPath = "/v1/items"

// pullTimeout bounds a pull from a peer; its next Status leads to another one.
const pullTimeout = 2 * time.Second

func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// listenPeers opens the socket for messages of peers.
func (p *process) listenPeers(seed uint64) error {
	var err error
	p.peers, err = gossip.Listen(p.settings.Peers.Addr, p.settings.Instance, fleet.Incarnation(uint32(seed)))
	return err
}

func (p *process) receive(r gossip.Received) {
	p.loop.Do(func(s *control.State, now boottime.Instant) {
		s.Receive(now, r.From, r.Incarnation, r.Message)
	})
}

func unreadable(from netip.AddrPort, err error) {
	event.Record(event.MessageUnreadable, "from", from.String(), "err", err.Error())
}

func (p *process) send(a control.Send) {
	if err := p.peers.Send(a.Addr, a.Message); err != nil {
		event.Record(event.PeerUnreachable, "peer", a.To, "addr", a.Addr, "err", err.Error())
	}
}

// pull asks a peer's control address for items.
func (p *process) pull(a control.PullItems) {
	items, err := p.fetchItems(a)
	p.countPull(items, err)
	if err != nil {
		event.Record(event.PeerUnreachable, "peer", a.From, "addr", a.Control, "err", err.Error())
		return
	}
	p.loop.Do(func(s *control.State, now boottime.Instant) { s.PullDone(now, a.From, items) })
}

func (p *process) fetchItems(from control.PullItems) (wire.StoreUpdate, error) {
	var items wire.StoreUpdate
	ctx, cancel := context.WithTimeout(p.ctx, pullTimeout)
	defer cancel()
	q := url.Values{"after": {strconv.FormatUint(uint64(from.After), 10)}, "max_bytes": {strconv.Itoa(from.MaxBytes)}}
	a, err := httpcall.Get(ctx, p.controlClient, "http://"+from.Control+itemsPath+"?"+q.Encode(), wire.MaxFrameBytes)
	if err != nil {
		return items, errors.Wrap(err, "gateway: pull")
	}
	if a.Status != http.StatusOK {
		return items, errors.Errorf("gateway: pull answered with %d", a.Status)
	}
	return items, errors.Wrap(cbor.Unmarshal(a.Body, &items), "gateway: pull")
}

// serveItems answers a peer's pull.
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
	_, _ = io.Copy(w, bytes.NewReader(b)) // the peer may be gone
}

// controlHandler serves other gateways.
func (p *process) controlHandler() http.Handler {
	r := chi.NewRouter()
	r.Post(membersPath, p.serveMembers)
	r.Get(itemsPath, p.serveItems)
	return r
}
