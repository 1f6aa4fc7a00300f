package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/httpcall"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// recordsPath is the path at which a gateway serves the last readable items of the keys that the query names.
const recordsPath = "/v1/records"

// serveRecords serves the record pulls of peers.
func (p *process) serveRecords(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	signingKey, err := signingKeyOf(query)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var items wire.StoreUpdate
	p.loop.Do(func(s *control.State, now boottime.Instant) {
		items = s.ReadableItems(query["key"])
		s.SignItems(now, &items, signingKey)
	})
	body, err := compressItems(items)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	if _, err := w.Write(body); err != nil {
		event.LogFields(event.PeerUnreachable, "addr", r.RemoteAddr, "err", err.Error())
	}
}

// signingKeyParam is the query parameter with the ID of the key that should sign the response. Gateways of earlier versions send none.
const signingKeyParam = "signing_key"

func signingKeyOf(query url.Values) (uint32, error) {
	text := query.Get(signingKeyParam)
	if text == "" {
		return 0, nil
	}
	id, err := strconv.ParseUint(text, 10, 32)
	return uint32(id), errors.Wrap(err, "gateway: signing key")
}

// pullRecords fetches the records that this process cannot read from the store, and passes them to the control state.
func (p *process) pullRecords(a control.PullRecords) {
	items, err := p.fetchRecords(a)
	if err != nil {
		event.LogFields(event.PeerUnreachable, "peer", a.From, "addr", a.Control, "err", err.Error())
		return
	}
	p.loop.Do(func(s *control.State, now boottime.Instant) { s.RecordsPulled(now, a.From, items) })
}

func (p *process) fetchRecords(a control.PullRecords) (wire.StoreUpdate, error) {
	var items wire.StoreUpdate
	ctx, cancel := context.WithTimeout(p.ctx, pullTimeout)
	defer cancel()
	query := url.Values{"key": a.Keys, signingKeyParam: {strconv.FormatUint(uint64(a.SigningKey), 10)}}
	resp, err := httpcall.Get(ctx, p.peerHTTPClient, "http://"+a.Control+recordsPath+"?"+query.Encode(), wire.MaxFrameBytes)
	if err != nil {
		return items, errors.Wrap(err, "gateway: pull records")
	}
	if resp.Status != http.StatusOK {
		return items, errors.Errorf("gateway: pull of records returned status %d", resp.Status)
	}
	return items, errors.Wrap(cbor.Unmarshal(resp.Body, &items), "gateway: pull records")
}
