package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// Counts is a number of requests for each endpoint, keyed by the low 32 bits of fleet.Hash of the endpoint's
// ID.
type Counts map[uint32]uint16

// FailureReport reports that a gateway could not reach an endpoint.
type FailureReport struct {
	_          struct{} `cbor:",toarray"`
	Endpoint   uint32   // low 32 bits of fleet.Hash of the endpoint's ID
	AgeMS      uint32   // since the failure
	NoResponse bool     // there was no response at all, not even a refused connection
}

// Status is the heartbeat between gateways.
//
// Timestamp and Echo let the receiver bound the staleness of the sender's state without
// synchronized clocks. Echo is a timestamp of the receiver, returned by the sender. The sender
// read its state EchoAgeMS after it had received that timestamp, which was not before Echo plus
// EchoAgeMS on the receiver's clock.
type Status struct {
	_               struct{} `cbor:",toarray"`
	Timestamp       uint64   // sender's clock, in ms
	Echo            uint64   // last Timestamp that the sender received from the receiver, 0: none
	EchoAgeMS       uint64   // since the sender received Echo
	Revision        fleet.Revision
	Confirmed       bool   // a read of the store has confirmed Revision
	ConfirmedAgeMS  uint64 // since the sender issued its last read of the store that confirmed Revision
	Stopping        bool
	StoreUnreadable bool   // the sender's last read of the store failed recently
	InFlight        Counts // requests in flight at endpoints
	FailureReports  []FailureReport
	Update          *StoreUpdate // latest changes up to Revision; nil: they do not fit, the receiver pulls them
	Hello           *Hello       // set unless the sender has received a message from the receiver lately
	Failed          Counts       // results of requests that were failures of endpoints, in the last seconds
	Summary         *LoadSummary // from an aggregator: requests in flight of its data centre, or of the fleet for its data centre
	Backlog         *Backlog     `cbor:"-"` // nil: nothing to report; encoded in the place of Update, and only if that is nil
}

// LoadSummary is a part of the sums of requests in flight at endpoints over several gateways. The endpoints
// are in the order of their short IDs, the low 32 bits of fleet.Hash of their IDs.
type LoadSummary struct {
	_        struct{} `cbor:",toarray"`
	Digest   uint32   // of the short IDs of all endpoints, in order
	Gateways uint32   // number of gateways whose requests are counted
	Offset   uint32   // position of the first endpoint of Counts
	Counts   []byte   // requests at each endpoint, 255: 255 or more
	Failed   Counts   // sum of Status.Failed
}

// Hello gives the location and addresses of the sender of a Status to a receiver that may not
// have them yet.
type Hello struct {
	_          struct{} `cbor:",toarray"`
	DataCentre fleet.DataCentreID
	Addr       string // address of the sender's messages, IP:port
	Control    string // control address of the sender, IP:port
	CPUMillis  uint32 // processor share of the sender in thousandths of a core, 0: unknown
}

// StoreItem is one key of the platform's store.
type StoreItem struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision fleet.Revision
	Deleted  bool
}

// StoreUpdate holds the changes of the platform's store after a revision, or a snapshot of it.
type StoreUpdate struct {
	_        struct{}       `cbor:",toarray"`
	Revision fleet.Revision // up to which the update is complete
	Snapshot bool           // Items is the full contents, not only the changes
	After    fleet.Revision // revision after which the changes start
	TooLarge bool           // the update exceeds the requested size and Items is omitted
	Items    []StoreItem

	Signature *Signature // of AppendSigned; nil: the sender has no key
}
