package publishedtest

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// Keys of the store.
const (
	configKey      = "config"
	endpointPrefix = "endpoint/"
	outPrefix      = "out/"
)

// Protocol is the published.Protocol of a Store.
type Protocol struct{}

// ListPath implements published.Protocol.
func (Protocol) ListPath(after string) string {
	return "/list?" + url.Values{"after": {after}}.Encode()
}

// ChangesPath implements published.Protocol.
func (Protocol) ChangesPath(after fleet.Revision, wait time.Duration) string {
	return "/changes?" + url.Values{
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {wait.String()},
	}.Encode()
}

// eraHeader is the header with the store's era.
const eraHeader = "X-Era"

// ReadEra implements published.Protocol.
func (Protocol) ReadEra(h http.Header) uint64 {
	era, err := strconv.ParseUint(h.Get(eraHeader), 10, 64)
	if err != nil {
		return 0
	}
	return era
}

// DecodeList implements published.Protocol.
func (Protocol) DecodeList(body []byte) (published.Page, error) { return decodePage(body) }

// DecodeChanges implements published.Protocol.
func (Protocol) DecodeChanges(body []byte) (published.Page, error) { return decodePage(body) }

func decodePage(body []byte) (published.Page, error) {
	var p published.Page
	err := json.Unmarshal(body, &p)
	return p, errors.Wrap(err, "publishedtest: decode page")
}

// DecodeItem implements published.Protocol.
func (Protocol) DecodeItem(it published.Item) (published.Record, error) {
	if it.Key == configKey {
		c := &routing.Config{}
		if err := json.Unmarshal(it.Value, c); err != nil {
			return nil, errors.Wrap(err, it.Key)
		}
		return published.Config{Config: c}, nil
	}
	if dc, ok := strings.CutPrefix(it.Key, outPrefix); ok {
		return published.Evacuation{DataCentre: fleet.DataCentreID(dc), Ended: it.Deleted}, nil
	}
	if id, ok := strings.CutPrefix(it.Key, endpointPrefix); ok {
		return decodeEndpoint(fleet.EndpointID(id), it)
	}
	return nil, nil
}

func decodeEndpoint(id fleet.EndpointID, it published.Item) (published.Record, error) {
	if it.Deleted {
		return published.EndpointGone{ID: id}, nil
	}
	var e endpointValue
	if err := json.Unmarshal(it.Value, &e); err != nil || e.ID != id {
		return published.EndpointGone{ID: id}, errors.Errorf("%s: %q", it.Key, it.Value)
	}
	return published.Endpoint{Endpoint: e.Endpoint}, nil
}

// endpointValue is the registration that an endpoint writes. Each heartbeat increments Heartbeat,
// which is not part of the decoded record.
type endpointValue struct {
	fleet.Endpoint
	Heartbeat int
}

// Config returns the item of a configuration.
func Config(c *routing.Config) published.Item { return newItem(configKey, c) }

// Endpoint returns the item of an endpoint's n-th heartbeat.
func Endpoint(e fleet.Endpoint, n int) published.Item {
	return newItem(endpointPrefix+string(e.ID), endpointValue{Endpoint: e, Heartbeat: n})
}

// EndpointGone returns an item that deletes an endpoint's registration.
func EndpointGone(id fleet.EndpointID) published.Item {
	return published.Item{Key: endpointPrefix + string(id), Deleted: true}
}

// Evacuation returns the item that takes a data centre out of service.
func Evacuation(dc fleet.DataCentreID) published.Item { return newItem(outPrefix+string(dc), true) }

// EvacuationEnd returns the item that deletes an Evacuation item.
func EvacuationEnd(dc fleet.DataCentreID) published.Item {
	return published.Item{Key: outPrefix + string(dc), Deleted: true}
}

func newItem(key string, v any) published.Item {
	b, err := json.Marshal(v)
	if err != nil {
		panic("publishedtest: " + err.Error())
	}
	return published.Item{Key: key, Value: b}
}
