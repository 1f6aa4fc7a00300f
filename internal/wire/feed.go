package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// Feed identifies one of the versioned key-value sets that the platform publishes.
type Feed uint8

// The platform's feeds.
const (
	FeedConfig Feed = iota + 1
	FeedInstances
	FeedEndpoints
)

// Record is one entry of a feed. Value is CBOR-encoded.
type Record struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
}

// Delta changes a feed from revision From to revision To. With From 0 it is a full
// snapshot. With From equal to To it is empty and only reports the sender's revision.
type Delta struct {
	_       struct{} `cbor:",toarray"`
	Feed    Feed
	From    fleet.Revision
	To      fleet.Revision
	Hash    uint64 // content hash at To: the sum of the hashes of all records
	Upserts []Record
	Removes []string
}

// FeedPull requests the changes of a feed since revision From. Every pull is answered
// with a FeedPush. Feed 0 requests an empty answer, as a probe.
type FeedPull struct {
	_    struct{} `cbor:",toarray"`
	Feed Feed
	From fleet.Revision
	Hash uint64 // content hash of the sender's records at From
}

// FeedPush carries the changes of a feed.
type FeedPush struct {
	_     struct{} `cbor:",toarray"`
	Delta Delta
	Ready bool // the sender is serving: it has compared its revisions with its peers
}
