package gateway

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// itemsPath is the path at which a gateway serves the items that it has read from the store.
const itemsPath = "/v1/items"

// snapshotAgeHeader is the response header with the age of the responder's copy of the store, in whole
// milliseconds, rounded up: the time since it sent the read that last confirmed the copy.
const snapshotAgeHeader = "Snapshot-Age-Ms"

// maxSnapshotAgeMS bounds the ages in responses. An older copy is of no use.
const maxSnapshotAgeMS = int64(24 * time.Hour / time.Millisecond)

// pullServeTime is the time in which a gateway can send the same response to all peers of its data centre
// over its link. Larger responses are refused as too large.
const pullServeTime = time.Second

// pullRequest identifies the response to a pull.
type pullRequest struct {
	after    fleet.Revision // changes after this revision
	revision fleet.Revision // of the responder
	maxBytes int
	key      uint32 // ID of the key that should sign, 0: none
}

// itemsCache holds the last compressed response to a pull, because all peers of a data centre pull the same
// changes at nearly the same time. It is safe for concurrent use.
type itemsCache struct {
	mu      sync.Mutex
	request pullRequest
	body    []byte
}

// get returns the response to a request. encode is called if it is not the last one.
func (c *itemsCache) get(r pullRequest, encode func() ([]byte, error)) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body != nil && c.request == r {
		return c.body, nil
	}
	body, err := encode()
	if err != nil {
		return nil, err
	}
	c.request, c.body = r, body
	return body, nil
}

// serveItems serves the pulls of peers.
func (p *process) serveItems(w http.ResponseWriter, r *http.Request) {
	after, errA := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	maxBytes, errB := strconv.Atoi(r.URL.Query().Get("max_bytes"))
	key, errC := strconv.ParseUint(r.URL.Query().Get("key"), 10, 32)
	if errA != nil || errB != nil || errC != nil {
		http.Error(w, "want after, max_bytes and key as numbers", http.StatusBadRequest)
		return
	}
	request := pullRequest{after: fleet.Revision(after), maxBytes: min(maxBytes, wire.MaxFrameBytes/2), key: uint32(key)}
	var peers int
	var age time.Duration
	p.loop.Do(func(s *control.State, now boottime.Instant) {
		request.revision = s.Revision()
		peers, age = s.LocalPeers(), s.SnapshotAge(now)
	})
	body, err := p.items.get(request, func() ([]byte, error) { return p.encodeItems(request, peers) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set(snapshotAgeHeader, strconv.FormatInt(min(age.Milliseconds()+1, maxSnapshotAgeMS), 10))
	if _, err := w.Write(body); err != nil {
		event.LogFields(event.PeerUnreachable, "addr", r.RemoteAddr, "err", err.Error())
	}
}

// encodeItems returns the compressed and signed response to a pull.
func (p *process) encodeItems(r pullRequest, peers int) ([]byte, error) {
	var items wire.StoreUpdate
	p.loop.Do(func(s *control.State, now boottime.Instant) {
		items = s.ItemsSince(r.after, r.maxBytes)
		s.SignItems(now, &items, r.key)
	})
	body, err := compressItems(items)
	if err != nil || !p.exceedsLink(len(body), peers) {
		return body, err
	}
	items.TooLarge, items.Items = true, nil
	p.loop.Do(func(s *control.State, now boottime.Instant) { s.SignItems(now, &items, r.key) })
	return compressItems(items)
}

// exceedsLink reports whether sending a response to a number of peers takes longer than pullServeTime.
func (p *process) exceedsLink(size, peers int) bool {
	const bitsPerByte = 8
	linkBytes := p.settings.LinkMbps * 1e6 / bitsPerByte * pullServeTime.Seconds()
	return linkBytes > 0 && float64(size)*float64(peers) > linkBytes
}

func compressItems(items wire.StoreUpdate) ([]byte, error) {
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: compress items")
	}
	if err := cbor.NewEncoder(z).Encode(items); err != nil {
		return nil, errors.Wrap(err, "gateway: encode items")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "gateway: compress items")
	}
	return b.Bytes(), nil
}
