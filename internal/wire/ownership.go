package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// ResourceKind says what a resource reference names.
type ResourceKind uint8

// The kinds of resource that one router at a time owns in a data centre.
const (
	ResourceEndpoint  ResourceKind = iota + 1 // admission to an endpoint
	ResourceWorkspace                         // the data centre's share of a workspace's limits
	ResourceKeySlot                           // a slice of the space of idempotency keys
)

// Resource names something that one router at a time owns in a data centre.
// ID is the fleet.Hash of the endpoint or workspace, or the number of the key slot.
type Resource struct {
	_    struct{} `cbor:",toarray"`
	Kind ResourceKind
	ID   uint64
}

// Claim asks a router of the same data centre to back the sender as the owner of
// the resources, and serves as heartbeat.
type Claim struct {
	_            struct{} `cbor:",toarray"`
	Seq          uint64
	TTLMS        uint32 // how long a backing given in answer to this claim lasts
	ListVersion  uint64 // number of the list of resources, which changes with it
	Full         bool   // Resources holds the list; else it is the one that the receiver acknowledged
	Resources    []Resource
	Suspects     []fleet.InstanceID // instances that the sender believes dead
	Released     []Resource         // resources that the sender owned and gives up
	Leaving      bool               // the sender is stopping and backs nobody anew
	StartingMS   uint32             // for which the sender backs nobody yet and takes no duties
	OtherVotesMS uint32             // of a leaving sender: for which it still backs another owner of a claimed resource
	Resend       bool               // the list of the claim is not known: claim in full
}

// HeldResource is what the sender of a ClaimAck still uses of a resource under an earlier owner.
type HeldResource struct {
	_        struct{} `cbor:",toarray"`
	Resource Resource
	Leases   []HeldLease
}

// HeldLease is one lease, or one slot of a workspace's limits, that its holder still uses.
type HeldLease struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	TTLMS uint32
}

// ClaimAck answers a Claim. Bit i of Backed says whether the sender backs
// resource i of the claim's list for the claim's TTL. The owner counts the TTL from
// the sending of the claim, the backer from its receipt.
type ClaimAck struct {
	_            struct{} `cbor:",toarray"`
	Seq          uint64
	Granted      []byte
	Held         []HeldResource // what the sender uses of backed workspaces
	Leaving      bool           // the sender is stopping and backs nobody anew
	StartingMS   uint32         // for which the sender backs nobody yet and takes no duties
	OtherVotesMS uint32         // of a leaving sender: for which it still backs another owner of a claimed resource
	Resend       bool           // the list of the claim is not known: claim in full
}
