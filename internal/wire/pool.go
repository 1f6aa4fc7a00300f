package wire

// EndpointLoad is the load of one endpoint, counted by its owner.
type EndpointLoad struct {
	_              struct{} `cbor:",toarray"`
	ID             uint64   // fleet.Hash of the endpoint
	Version        uint64   // of this entry; a higher version replaces a lower one
	Load           uint32
	Limit          uint32 // maximum of concurrent requests, ignoring the bound given by the mean load of the pool
	Closed         bool   // the owner currently admits no requests
	IncarnationLow uint32 // low 32 bits of the endpoint's incarnation
}

// LoadGossip exchanges the loads of the endpoints of one pool between their owners by gossip.
type LoadGossip struct {
	_     struct{} `cbor:",toarray"`
	Loads []EndpointLoad
	Reply bool // is an answer to a LoadGossip and is not answered itself
}
