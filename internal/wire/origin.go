package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// StreamOrigin states at which software version a stream began. Versions and IDs are sent as hashes.
type StreamOrigin struct {
	_           struct{} `cbor:",toarray"`
	Stream      uint64   // fleet.Hash of the ID of the request that brought the first event
	Version     uint32   // low 32 bits of fleet.Hash of the version; 0: not known
	Endpoint    uint32   // low 32 bits of fleet.Hash of the endpoint's ID
	Incarnation fleet.Incarnation
	AgeMS       uint32 // since the request was sent to the endpoint
	Certain     bool   // the version was certain to be that of the endpoint's process
	LeftMS      uint32 // until the caller cannot resume the stream any more
}

// StreamOrigins replicates origins to gateways that others will ask for them.
type StreamOrigins struct {
	_       struct{} `cbor:",toarray"`
	Origins []StreamOrigin
}

// OriginQuery asks a gateway where a stream began.
type OriginQuery struct {
	_        struct{} `cbor:",toarray"`
	Query    uint32   // number that the reply repeats
	Stream   uint64
	Services []uint32 // low 32 bits of fleet.Hash of the IDs of the services that may serve the stream
}

// OriginReply is the reply to an OriginQuery.
type OriginReply struct {
	_           struct{} `cbor:",toarray"`
	Query       uint32
	Recorded    bool   // the sender has a record of the stream
	Version     uint32 // that began the stream, if it is recorded; 0: not certain
	SoleVersion uint32 // the only one of the services for as long as a stream may last, as far as the store was read; 0: there is none
	AgeMS       uint32 // of the sender's copy of the store, rounded up
	// Unproven holds the record of the stream if the endpoint may have been restarted before it got the request, as
	// far as the sender knows.
	Unproven []StreamOrigin
}
