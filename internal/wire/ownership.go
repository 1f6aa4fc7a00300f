package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// ResourceKind is the kind of a Resource.
type ResourceKind uint8

// Kinds of resources.
const (
	ResourceEndpoint  ResourceKind = iota + 1 // admission control of an endpoint
	ResourceWorkspace                         // the data centre's share of a workspace's quota
	ResourceKeySlot                           // a hash slot of idempotency keys
)

// Resource identifies a resource that has at most one owner in a data centre at a time.
// ID is the fleet.Hash of the endpoint or workspace, or the number of the key slot.
type Resource struct {
	_    struct{} `cbor:",toarray"`
	Kind ResourceKind
	ID   uint64
}

// Claim asks a router of the same data centre to vote for the sender as the owner of the
// resources. It also serves as a heartbeat.
type Claim struct {
	_            struct{} `cbor:",toarray"`
	Seq          uint64
	TTLMS        uint32 // validity of the votes granted in answer to this claim
	ListVersion  uint64 // version of the list of claimed resources
	Full         bool   // Resources holds the list; otherwise the list is the one that the receiver acknowledged
	Resources    []Resource
	Suspects     []fleet.InstanceID // instances that the sender suspects to have failed
	Released     []Resource         // resources that the sender no longer owns
	Leaving      bool               // the sender is stopping and grants no new votes
	StartingMS   uint32             // remaining time in which the starting sender grants no votes and owns nothing
	OtherVotesMS uint32             // if Leaving: remaining validity of votes for other owners of the resources
	Resend       bool               // reserved, always false
}

// HeldResource lists the slots of a workspace's quota that the sender of a ClaimAck has leased,
// from the claimant or from a former owner.
type HeldResource struct {
	_        struct{} `cbor:",toarray"`
	Resource Resource
	Leases   []HeldLease
}

// HeldLease is the lease of one slot of a workspace's quota. TTLMS is its remaining time.
type HeldLease struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	TTLMS uint32
}

// ClaimAck answers a Claim. Bit i of Granted reports whether the sender votes for the
// claimant as the owner of resource i of the claim's list, for the claim's TTL. The owner
// counts the TTL from the sending of the claim, the voter from its receipt.
type ClaimAck struct {
	_            struct{} `cbor:",toarray"`
	Seq          uint64
	Granted      []byte
	Held         []HeldResource // for the workspaces for which a vote was granted
	Leaving      bool           // the sender is stopping and grants no new votes
	StartingMS   uint32         // remaining time in which the starting sender grants no votes and owns nothing
	OtherVotesMS uint32         // if Leaving: remaining validity of votes for other owners of the resources
	Resend       bool           // the version of the list is unknown; the claim must be repeated with Full
}
