package fleet

import "time"

// Instance is one router of the platform's instance list.
type Instance struct {
	ID         InstanceID   `cbor:"1,keyasint" json:"id"`
	DataCentre DataCentreID `cbor:"2,keyasint" json:"data_centre"`
	PeerAddr   string       `cbor:"3,keyasint" json:"peer_addr"` // IP:port of the QUIC listener
	Leaving    bool         `cbor:"4,keyasint,omitempty" json:"leaving,omitempty"`
}

// EndpointKind says which protocol an endpoint speaks.
type EndpointKind uint8

// The kinds of endpoint.
const (
	Engine  EndpointKind = iota + 1 // model engine, streams tokens
	Service                         // plain HTTP service
)

// Endpoint is one back end of the platform's endpoint list.
type Endpoint struct {
	ID          EndpointID   `cbor:"1,keyasint" json:"id"`
	DataCentre  DataCentreID `cbor:"2,keyasint" json:"data_centre"`
	Addr        string       `cbor:"3,keyasint" json:"addr"` // IP:port, HTTP
	Kind        EndpointKind `cbor:"4,keyasint" json:"kind"`
	Model       ModelID      `cbor:"5,keyasint,omitempty" json:"model,omitempty"`        // engines only
	Service     ServiceID    `cbor:"6,keyasint,omitempty" json:"service,omitempty"`      // services only
	Capacity    int          `cbor:"7,keyasint,omitempty" json:"capacity,omitempty"`     // concurrent requests, 0: unknown
	Leaving     bool         `cbor:"8,keyasint,omitempty" json:"leaving,omitempty"`      // drains, takes no new work
	ChecksFence bool         `cbor:"9,keyasint,omitempty" json:"checks_fence,omitempty"` // refuses orders with an old fencing number

	Incarnation   Incarnation   `cbor:"10,keyasint,omitempty" json:"incarnation,omitempty"` // 0: not told
	ColdRemaining time.Duration `cbor:"11,keyasint,omitempty" json:"cold_for,omitempty"`    // how much longer it is cold, as of the entry's writing
}

// Pool is the set of endpoints among which load is balanced: all that serve the
// same model, or the same service, in one region.
type Pool struct {
	Region  RegionID
	Model   ModelID
	Service ServiceID
}

// Workspace is one customer of the customers' plans list.
type Workspace struct {
	ID        WorkspaceID `cbor:"1,keyasint"`
	Plan      PlanID      `cbor:"2,keyasint"`
	KeyHashes []string    `cbor:"3,keyasint"` // hex SHA-256 of each bearer key
}

// Limits bounds what one workspace may use over the whole deployment. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `cbor:"1,keyasint,omitempty"`
	TokensPerSecond   float64 `cbor:"2,keyasint,omitempty"`
	Concurrent        int     `cbor:"3,keyasint,omitempty"`
}

// Priority orders requests for scarce capacity. A higher value goes first.
type Priority uint8

// Plan is one entry of the list of what each plan may use.
type Plan struct {
	ID       PlanID      `cbor:"1,keyasint"`
	Models   []ModelID   `cbor:"2,keyasint,omitempty"`
	Services []ServiceID `cbor:"3,keyasint,omitempty"`
	Priority Priority    `cbor:"4,keyasint,omitempty"`
	Limits   Limits      `cbor:"5,keyasint,omitempty"` // of each workspace on the plan
}

// DataCentre is one data centre of the service state.
type DataCentre struct {
	ID           DataCentreID `cbor:"1,keyasint"`
	Region       RegionID     `cbor:"2,keyasint"`
	OutOfService bool         `cbor:"3,keyasint,omitempty"` // taken out of service by operators
}

// Configuration is the operators' two lists and the service state at one revision.
type Configuration struct {
	Revision              Revision
	Workspaces            map[WorkspaceID]Workspace
	Plans                 map[PlanID]Plan
	DataCentres           map[DataCentreID]DataCentre
	EndpointsOutOfService map[EndpointID]bool // endpoints taken out of service by operators
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

// LoadReport is the load that an endpoint reports about itself.
type LoadReport struct {
	Endpoint    EndpointID
	Incarnation Incarnation
	Running     int           // requests in progress
	Queued      int           // requests accepted and waiting
	Capacity    int           // concurrent requests at full speed, 0: unknown
	Age         time.Duration // time between the measurement and its arrival here
}
