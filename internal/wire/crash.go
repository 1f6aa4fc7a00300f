package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// CrashNews tells other gateways which requests were broken off by the ends of endpoint processes. Requests are named
// by their fingerprints, see package crasher.
type CrashNews struct {
	_         struct{} `cbor:",toarray"`
	Ends      []CrashEnd
	Cleared   []ClearedRequest
	Refuted   []LiveProcess // whose ends were wrongly reported
	Trials    []CrashTrial  // that begin
	Blocked   []BlockedRequest
	Completed []CompletedTrait
	Ask       bool // the sender has started and asks for the evidence against strongly suspected requests
	Answer    bool // the end of an answer to such a question
}

// EndpointProcess identifies a process of an endpoint.
type EndpointProcess struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    uint32   // low 32 bits of fleet.Hash of the endpoint's ID
	Incarnation fleet.Incarnation
}

// LiveProcess is a process of an endpoint that showed a sign of life AgeMS ago.
type LiveProcess struct {
	_       struct{} `cbor:",toarray"`
	Process EndpointProcess
	AgeMS   uint32
}

// CrashTrial is an attempt of a suspected request that runs apart from other requests.
type CrashTrial struct {
	_        struct{} `cbor:",toarray"`
	Request  uint64
	Endpoint uint32 // low 32 bits of fleet.Hash of the endpoint's ID
}

// BlockedRequest is a request that the sender has blocked AgeMS ago and blocks for LeftMS more.
type BlockedRequest struct {
	_       struct{} `cbor:",toarray"`
	Request uint64
	AgeMS   uint32
	LeftMS  uint32
}

// CrashEnd is the end of an endpoint process, with the requests that it broke off.
type CrashEnd struct {
	_       struct{} `cbor:",toarray"`
	Process EndpointProcess
	Service uint32 // low 32 bits of fleet.Hash of the service's ID
	Version uint32 // low 32 bits of fleet.Hash of the software version
	AgeMS   uint32
	Broken  []BrokenRequest
	Cause   []Trait // that these requests share, if the sender puts the end down to them
}

// BrokenRequest is a request that the end of an endpoint process broke off.
type BrokenRequest struct {
	_        struct{} `cbor:",toarray"`
	Request  uint64
	Progress uint32 // number of the last event of its stream, 0: none
	RanMS    uint32 // since it was sent to the endpoint
	Caller   uint32 // low 32 bits of fleet.Hash of the workspace's ID
	Traits   []Trait
	Events   uint32 // of the response that had arrived
}

// Trait is a property that requests with different contents may share, see crasher.Trait.
type Trait struct {
	_    struct{} `cbor:",toarray"`
	Kind uint8
	ID   uint64
}

// CompletedTrait tells that a request with a trait completed AgeMS ago.
type CompletedTrait struct {
	_       struct{} `cbor:",toarray"`
	Trait   Trait
	Version uint32 // low 32 bits of fleet.Hash of the software version, 0: an operator's word for any
	AgeMS   uint32
}

// ClearedRequest is a request whose ends of endpoint processes until AgeMS ago don't count against it.
type ClearedRequest struct {
	_       struct{} `cbor:",toarray"`
	Request uint64
	Version uint32 // low 32 bits of fleet.Hash of the software version at which they don't count, 0: any
	AgeMS   uint32
}

// CrashEvidence carries an encoded CrashNews, signed for the receiver.
type CrashEvidence struct {
	_         struct{} `cbor:",toarray"`
	News      []byte
	Signature Signature
}

// Kind implements Message.
func (CrashEvidence) Kind() Kind { return KindCrashEvidence }

// EncodeCrashNews returns the CBOR encoding of news.
func EncodeCrashNews(n CrashNews) ([]byte, error) {
	b, err := cbor.Marshal(n)
	return b, errors.Wrap(err, "wire: encode crash news")
}

// DecodeCrashNews parses encoded news. All errors wrap ErrMalformed.
func DecodeCrashNews(b []byte) (CrashNews, error) {
	var n CrashNews
	if err := decMode.Unmarshal(b, &n); err != nil {
		return CrashNews{}, errors.Wrap(ErrMalformed, err.Error())
	}
	return n, nil
}
