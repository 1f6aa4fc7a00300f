package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// LeaseRequest asks the owner of an endpoint for permission to run one request there.
// The pair of sender and ID is idempotent. A granted lease allows one dispatch
// within LeaseReply.TTLMS and counts until it is released or DeadlineMS has passed.
type LeaseRequest struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Endpoint   fleet.EndpointID
	Priority   fleet.Priority
	WaitMS     uint32 // how long the owner may queue the request, 0: not at all
	DeadlineMS uint32
	Loads      []EndpointLoad // of the pool, as learnt from owners that refused
}

// LeaseResult is the owner's answer to a LeaseRequest.
type LeaseResult uint8

// The results of a lease request.
const (
	LeaseGranted      LeaseResult = iota + 1
	LeaseQueued                   // kept in the queue, a second reply follows
	LeaseAtLimit                  // the endpoint carries the bounded load
	LeaseCold                     // the endpoint is starting and carries what it can
	LeaseOutOfService             // the endpoint takes no new work
	LeaseNotOwner                 // the receiver does not own the endpoint
	LeaseNoQuorum                 // the receiver owns the endpoint without enough backing
	LeaseExpired                  // the wait or the deadline passed in the queue
	LeaseFailing                  // attempts at the endpoint failed of late
)

// LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64
	Result       LeaseResult
	TTLMS        uint32             // of a granted lease, counted from the sending of its request
	RetryAfterMS uint32             // of a refusal
	Load         uint32             // leases on the endpoint
	Incarnation  fleet.Incarnation  // of the endpoint as the owner knows it, 0: unknown
	Alternatives []fleet.EndpointID // endpoints of the pool with room, best first
	Loads        []EndpointLoad     // of the pool, with a refusal
	Owner        fleet.InstanceID   // with LeaseNotOwner: who owns the endpoint, "" when not known
}

// ObservedIncarnation is an incarnation of an endpoint that answered a request.
type ObservedIncarnation struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    fleet.EndpointID
	Incarnation fleet.Incarnation
}

// LeaseHandover tells the next owner of an endpoint what its owner so far admitted,
// when all listed instances backed that owner up to the sending.
type LeaseHandover struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    fleet.EndpointID
	Load        uint32 // leases and foreign load
	Limit       uint32 // that the capacity and the cold-start ramp allowed, 0: none
	Incarnation fleet.Incarnation
	Loads       []EndpointLoad // of the pool
}

// LeaseUpdate releases leases that the sender holds and tells what it saw of the endpoints.
type LeaseUpdate struct {
	_        struct{} `cbor:",toarray"`
	Released []uint64
	Failed   []uint64 // released because the endpoint broke off, refused or did not answer
	Unused   []uint64 // released without an attempt
	Observed []ObservedIncarnation
	Former   []FormerLease // ended leases that an earlier owner granted
}

// FormerLease is a lease of the sender that an earlier owner of the endpoint granted.
type FormerLease struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Endpoint fleet.EndpointID
}
