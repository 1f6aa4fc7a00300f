package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// LeaseRequest asks the owner of an endpoint for a lease to run one request there.
// It is idempotent by sender and ID. A granted lease permits one dispatch within
// LeaseReply.TTLMS and counts as load until it is released or DeadlineMS has passed.
type LeaseRequest struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Endpoint   fleet.EndpointID
	Priority   fleet.Priority
	WaitMS     uint32 // maximum time in the owner's queue, 0: no queueing
	DeadlineMS uint32
	Loads      []EndpointLoad // loads of the pool, from the refusals of other owners
}

// LeaseResult is the result of a LeaseRequest.
type LeaseResult uint8

// Results of a lease request.
const (
	LeaseGranted          LeaseResult = iota + 1
	LeaseQueued                       // queued; a second reply follows
	LeaseAtLimit                      // the endpoint is at its load limit
	LeaseAtColdStartLimit             // the endpoint is at the limit of its cold-start ramp
	LeaseOutOfService                 // the endpoint accepts no new requests
	LeaseNotOwner                     // the receiver does not own the endpoint
	LeaseNoQuorum                     // the receiver owns the endpoint but lacks the votes for another lease
	LeaseExpired                      // the wait time or the deadline passed in the queue
	LeaseFailing                      // recent attempts at the endpoint failed
)

// LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64
	Result       LeaseResult
	TTLMS        uint32             // of a granted lease, counted from the sending of the request
	RetryAfterMS uint32             // of a refusal
	Load         uint32             // leases of the owner on the endpoint, plus the load that other owners admitted
	Incarnation  fleet.Incarnation  // last incarnation of the endpoint seen by the owner, 0: unknown
	Alternatives []fleet.EndpointID // endpoints of the pool with free capacity, best first
	Loads        []EndpointLoad     // loads of the pool, with a refusal
	Owner        fleet.InstanceID   // with LeaseNotOwner: the owner of the endpoint, "" if unknown
}

// ObservedIncarnation is the incarnation of an endpoint, taken from its response to a request.
type ObservedIncarnation struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    fleet.EndpointID
	Incarnation fleet.Incarnation
}

// LeaseHandover passes the admission state of an endpoint from its owner to the next one.
// It is sent only by an owner that held the votes of all listed instances until shortly before,
// so that no other owner can have admitted requests in the meantime.
type LeaseHandover struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    fleet.EndpointID
	Load        uint32 // leases of this owner, plus an upper bound of the load that other owners admitted
	Limit       uint32 // by capacity and cold-start ramp, 0: no limit
	Incarnation fleet.Incarnation
	Loads       []EndpointLoad // loads of the pool
}

// LeaseUpdate releases leases of the sender and reports the incarnations of the endpoints.
type LeaseUpdate struct {
	_        struct{} `cbor:",toarray"`
	Released []uint64
	Failed   []uint64 // released because the endpoint aborted, refused or did not respond
	Unused   []uint64 // released without an attempt
	Observed []ObservedIncarnation
	Former   []FormerLease // released leases that were granted by a former owner
}

// FormerLease is a lease of the sender that was granted by a former owner of the endpoint.
type FormerLease struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Endpoint fleet.EndpointID
}
