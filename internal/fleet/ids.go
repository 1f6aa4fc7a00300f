package fleet

// InstanceID identifies a router instance in the platform's instance list. It stays the same
// across restarts of the process.
type InstanceID string

// EndpointID identifies an endpoint: a model engine or a replica of a plain HTTP service.
type EndpointID string

// DataCentreID identifies a data centre.
type DataCentreID string

// RegionID identifies a group of data centres with low latency between them.
type RegionID string

// WorkspaceID identifies a workspace, that is, a customer.
type WorkspaceID string

// PlanID identifies a Plan.
type PlanID string

// ModelID identifies a model served by engines.
type ModelID string

// ServiceID identifies a plain HTTP service.
type ServiceID string

// SoftwareVersion is a version of the software of endpoints. Versions are not ordered.
type SoftwareVersion string

// RequestID identifies one request of a caller. It is unique in the fleet (128 random bits, hex).
type RequestID string

// Incarnation distinguishes the runs of a process. A later run of a router or endpoint has a
// higher value. Gateways draw a random value, so only equality is meaningful for them.
type Incarnation uint64

// Revision orders the values of one feed of the platform, or the states of the platform's store.
// Zero means that none was adopted yet.
type Revision uint64
