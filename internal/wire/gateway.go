package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// InFlight is how many requests one gateway has at endpoints, by the low bits of
// fleet.Hash of their ids.
type InFlight map[uint32]uint16

// FailureReport says that a gateway could not reach an endpoint.
type FailureReport struct {
	_          struct{} `cbor:",toarray"`
	Endpoint   uint32   // low bits of fleet.Hash of the endpoint's id
	AgeMS      uint32   // since the failure
	NoResponse bool     // nothing came back, not even a refusal
}

// Status is a gateway's heartbeat to another one.
//
// Stamp and Echo let the receiver bound the age of what the sender knows without
// comparing clocks: whatever the sender knew EchoAgeMs after it received the stamp
// Echo, it knew later than the receiver's own clock showed Echo plus EchoAgeMs.
type Status struct {
	_               struct{} `cbor:",toarray"`
	Timestamp       uint64   // sender's clock, ms
	Echo            uint64   // last stamp that the sender received from the receiver, 0: none
	EchoAgeMS       uint64   // since it received that stamp
	Revision        fleet.Revision
	Confirmed       bool   // Revision was confirmed at some time
	AgeMS           uint64 // since the sending of the read of the store that last confirmed it
	Stopping        bool
	StoreUnreadable bool // the sender's last read of the store has failed a moment ago
	InFlight        InFlight
	FailureReports  []FailureReport
	Update          *StoreUpdate // the latest changes up to Revision, where they fit; nil: pull them
	Hello           *Hello       // for a receiver that was not heard yet; nil: it has been
}

// Hello says where the sender of a Status is, to a receiver that may not know it yet.
type Hello struct {
	_          struct{} `cbor:",toarray"`
	DataCentre fleet.DataCentreID
	Addr       string // of the sender's messages, IP:port
	Control    string // the sender's control address, IP:port
}

// StoreItem is one key of the platform's store.
type StoreItem struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision fleet.Revision
	Deleted  bool
}

// StoreUpdate is what the platform's store published after a revision.
type StoreUpdate struct {
	_        struct{}       `cbor:",toarray"`
	Revision fleet.Revision // up to which nothing is missing
	Snapshot bool           // Items hold everything there is, not only changes
	After    fleet.Revision // the changes after it
	TooLarge bool           // there is more than was wanted, and Items are left out
	Items    []StoreItem
}

// Kind implements Message.
func (Status) Kind() Kind { return KindStatus }
