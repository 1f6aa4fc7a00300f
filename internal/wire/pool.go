package wire

// EndpointLoad is the load of one endpoint as its owner counts it.
type EndpointLoad struct {
	_              struct{} `cbor:",toarray"`
	ID             uint64   // fleet.Hash of the endpoint
	Version        uint64   // of this entry; a higher one replaces a lower one
	Load           uint32
	Limit          uint32 // concurrent requests that the endpoint could carry if the pool's mean allowed it
	Closed         bool   // the owner admits nothing at present
	IncarnationLow uint32 // low bits of the endpoint's incarnation
}

// Digest gossips the loads of the endpoints of one pool among their owners.
type Digest struct {
	_     struct{} `cbor:",toarray"`
	Loads []EndpointLoad
	Reply bool // answers a Digest and is not answered itself
}
