package fleet

import "time"

// Instance is an entry of the platform's instance list.
type Instance struct {
	ID         InstanceID   `cbor:"1,keyasint" json:"id"`
	DataCentre DataCentreID `cbor:"2,keyasint" json:"data_centre"`
	PeerAddr   string       `cbor:"3,keyasint" json:"peer_addr"`                   // IP:port of the QUIC listener
	Leaving    bool         `cbor:"4,keyasint,omitempty" json:"leaving,omitempty"` // about to stop; gets no ownership
}

// EndpointKind is the protocol of an endpoint.
type EndpointKind uint8

// The kinds of endpoint.
const (
	Engine  EndpointKind = iota + 1 // model engine that streams tokens
	Service                         // plain HTTP service
)

// Endpoint is an entry of the platform's endpoint list.
type Endpoint struct {
	ID          EndpointID   `cbor:"1,keyasint" json:"id"`
	DataCentre  DataCentreID `cbor:"2,keyasint" json:"data_centre"`
	Addr        string       `cbor:"3,keyasint" json:"addr"` // IP:port, HTTP
	Kind        EndpointKind `cbor:"4,keyasint" json:"kind"`
	Model       ModelID      `cbor:"5,keyasint,omitempty" json:"model,omitempty"`        // engines only
	Service     ServiceID    `cbor:"6,keyasint,omitempty" json:"service,omitempty"`      // services only
	Capacity    int          `cbor:"7,keyasint,omitempty" json:"capacity,omitempty"`     // concurrent requests, 0: unknown
	Leaving     bool         `cbor:"8,keyasint,omitempty" json:"leaving,omitempty"`      // draining, accepts no new requests
	ChecksFence bool         `cbor:"9,keyasint,omitempty" json:"checks_fence,omitempty"` // rejects requests with an outdated fencing token

	Incarnation   Incarnation   `cbor:"10,keyasint,omitempty" json:"incarnation,omitempty"` // 0: unknown
	ColdRemaining time.Duration `cbor:"11,keyasint,omitempty" json:"cold_for,omitempty"`    // remaining cold-start time when the entry was written

	// Version is the version of the endpoint's software, which is not that of a model's weights. A stream can
	// be resumed only at an endpoint of the version that began it.
	Version SoftwareVersion `cbor:"12,keyasint,omitempty" json:"version,omitempty"`
}

// Pool identifies a set of endpoints among which load is balanced: all that serve the
// same model, or the same service, in one region.
type Pool struct {
	Region  RegionID
	Model   ModelID
	Service ServiceID
}

// Workspace is an entry of the operators' list of workspaces and their plans.
type Workspace struct {
	ID        WorkspaceID `cbor:"1,keyasint"`
	Plan      PlanID      `cbor:"2,keyasint"`
	KeyHashes []string    `cbor:"3,keyasint"` // hex SHA-256 of each API key
}

// Limits are the quotas of one workspace over the whole fleet. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `cbor:"1,keyasint,omitempty"`
	TokensPerSecond   float64 `cbor:"2,keyasint,omitempty"`
	Concurrent        int     `cbor:"3,keyasint,omitempty"`
}

// Priority orders requests when capacity is scarce. Higher values are admitted first, unlike in
// routing.Route, where priority 0 is the most urgent.
type Priority uint8

// Plan lists the models and services that workspaces on the plan may use, and their quotas.
type Plan struct {
	ID       PlanID      `cbor:"1,keyasint"`
	Models   []ModelID   `cbor:"2,keyasint,omitempty"`
	Services []ServiceID `cbor:"3,keyasint,omitempty"`
	Priority Priority    `cbor:"4,keyasint,omitempty"`
	Limits   Limits      `cbor:"5,keyasint,omitempty"` // per workspace on the plan
}

// DataCentre is the service state of one data centre.
type DataCentre struct {
	ID           DataCentreID `cbor:"1,keyasint"`
	Region       RegionID     `cbor:"2,keyasint"`
	OutOfService bool         `cbor:"3,keyasint,omitempty"` // taken out of service by an operator
}

// Configuration is the operators' lists of workspaces and plans and the service state at one revision.
type Configuration struct {
	Revision              Revision
	Workspaces            map[WorkspaceID]Workspace
	Plans                 map[PlanID]Plan
	DataCentres           map[DataCentreID]DataCentre
	EndpointsOutOfService map[EndpointID]bool // endpoints taken out of service by an operator
}

// InstanceList is the platform's instance list at one revision.
type InstanceList struct {
	Revision  Revision
	Instances []Instance // sorted by ID
}

// EndpointList is the platform's endpoint list at one revision.
type EndpointList struct {
	Revision  Revision
	Endpoints []Endpoint // sorted by ID
}

// LoadReport is the load reported by an endpoint.
type LoadReport struct {
	Endpoint    EndpointID
	Incarnation Incarnation
	Running     int           // requests in progress
	Queued      int           // requests accepted and waiting
	Capacity    int           // concurrent requests at full speed, 0: unknown
	Age         time.Duration // from the measurement to its receipt
}
