package published

import (
	"net/http"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// Item is a write or deletion of one key of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision fleet.Revision // revision of the write or deletion
	Created  fleet.Revision // revision at which the key was created; 0: not known
	Deleted  bool
}

// Page is one response of the store.
type Page struct {
	Items    []Item
	More     bool           // another page follows after the last key
	Revision fleet.Revision // revision of the store when it responded
}

// Record is the decoded content of an Item.
type Record interface{ record() }

// Config is a configuration of the routes.
type Config struct{ Config *routing.Config }

// Endpoint is the registration of an endpoint.
type Endpoint struct{ Endpoint fleet.Endpoint }

// EndpointGone reports that an endpoint has no valid registration.
type EndpointGone struct{ ID fleet.EndpointID }

// Evacuation reports that the operator took a data centre out of service, or returned it to service
// (Ended).
type Evacuation struct {
	DataCentre fleet.DataCentreID
	Ended      bool
}

func (Config) record()       {}
func (Endpoint) record()     {}
func (EndpointGone) record() {}
func (Evacuation) record()   {}

// Protocol defines the requests to the store and the decoding of its responses.
type Protocol interface {
	// ListPath returns the request path for the items with keys after the given one, "" for all.
	ListPath(after string) string
	// ChangesPath returns the request path for the writes after a revision. The store responds as
	// soon as there is one, or when the wait time has passed.
	ChangesPath(after fleet.Revision, wait time.Duration) string
	// ReadEra returns the number of times that the store had returned from an older copy when it responded, or 0
	// if the response does not tell. It rises by one each time.
	ReadEra(h http.Header) uint64
	DecodeList(body []byte) (Page, error)
	DecodeChanges(body []byte) (Page, error)
	// DecodeItem returns the record of an item, or nil if the key has none. If the item is
	// unreadable, it returns an error and either the record that replaces the key's previous one
	// (EndpointGone for an endpoint), or nil if the previous one stays valid.
	DecodeItem(it Item) (Record, error)
}
