package published

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// Item is one key of the store as it was last written or deleted.
type Item struct {
	Key      string
	Value    []byte
	Revision fleet.Revision // of the write or deletion
	Deleted  bool
}

// Page is one answer of the store.
type Page struct {
	Items    []Item
	More     bool           // another page follows after the last key
	Revision fleet.Revision // of the store when it answered
}

// Record is the meaning of an item.
type Record interface{ record() }

// Config is a new configuration.
type Config struct{ Config *routing.Config }

// Endpoint is an endpoint's entry.
type Endpoint struct{ Endpoint fleet.Endpoint }

// EndpointGone says that an endpoint has no entry that can be used.
type EndpointGone struct{ ID fleet.EndpointID }

// Evacuation takes a data centre out of service, or back.
type Evacuation struct {
	DataCentre fleet.DataCentreID
	Ended      bool
}

func (Config) record()       {}
func (Endpoint) record()     {}
func (EndpointGone) record() {}
func (Evacuation) record()   {}

// Protocol is how the store is asked and understood.
type Protocol interface {
	// ListPath is the call for the items with keys after the given one, "" for all.
	ListPath(after string) string
	// ChangesPath is the call for what changed after a revision. The store answers at
	// once if anything did, else when something does or the wait is over.
	ChangesPath(after fleet.Revision, wait time.Duration) string
	DecodeList(body []byte) (Page, error)
	DecodeChanges(body []byte) (Page, error)
	// DecodeItem returns what an item publishes, or nil for one without meaning here.
	// With an error, the record says what is left to believe, if anything.
	DecodeItem(it Item) (Record, error)
}
