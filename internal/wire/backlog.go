package wire

import "slices"

// Backlog is the outstanding work and the speed of endpoints, and the requests in flight of workspaces, of the sender of a
// Status. In a Status with a Summary it is the newest speed and the sums of the same gateways.
//
// Gateways of the version before it drop a whole Status with a further element as malformed, and messages of unknown kinds. They
// ignore a StoreUpdate with Revision 0, which is not later than any that they have. A Backlog is therefore encoded as the only
// item of such an update, under backlogKey, and costs no further packets.
type Backlog struct {
	Digest     uint32          // of the short IDs of all endpoints, as in LoadSummary; a receiver with others ignores the endpoints
	Speeds     []EndpointSpeed // sorted by position
	Reads      []PendingRead   // sorted by position
	Workspaces []WorkspaceLoad // only while the sender has seen contention or queues lately
}

// EndpointSpeed is how long work takes at an endpoint, as it has reported.
type EndpointSpeed struct {
	Position uint32 // of the endpoint in the order of the short IDs
	Percent  uint16 // of the usual time; encoded in steps of speedStep, up to 255 steps
	AgeMS    uint32 // since the report; encoded in steps of ageStepMS, up to maxAgeSteps
}

// PendingRead is the prefill time for which requests at an endpoint still wait.
type PendingRead struct {
	Position uint32 // of the endpoint in the order of the short IDs
	Units    uint32 // of ReadUnitMS
}

// WorkspaceLoad is the number of a workspace's requests in flight.
type WorkspaceLoad struct {
	Workspace uint32 // low 32 bits of fleet.Hash of the workspace's ID
	Requests  uint32
}

const (
	// ReadUnitMS is the unit of pending prefill times. Times of up to 140 ms are encoded in half a byte.
	ReadUnitMS = 20
	// backlogKey is the key of the store item that holds a Backlog. It is short, since it is in thousands of messages a
	// second.
	backlogKey = "b"
	speedStep  = 5
	ageStepMS  = 32
	// MaxPalette is the number of different speeds up to which a speed and its age take one byte.
	MaxPalette  = 8
	maxAgeSteps = 31
	// maxBacklogEntries bounds the entries of each kind that are decoded, so that a false message takes little memory. Package
	// mesh sends fewer.
	maxBacklogEntries = 512
	maxPosition       = 1 << 17
)

// withCarrier returns the Status in the form in which it is encoded.
func (s Status) withCarrier() Status {
	if s.Backlog != nil && s.Update == nil {
		s.Update = &StoreUpdate{Items: []StoreItem{{Key: backlogKey, Value: s.Backlog.append(nil)}}}
	}
	return s
}

// takeBacklog moves the Backlog of a received Status to its field. A malformed one is dropped, so that a later version may
// change the format.
func (s *Status) takeBacklog() {
	u := s.Update
	if u == nil || u.Revision != 0 || len(u.Items) != 1 || u.Items[0].Key != backlogKey {
		return
	}
	s.Update = nil
	if b, err := parseBacklog(u.Items[0].Value); err == nil {
		s.Backlog = &b
	}
}

// SortPositions puts the entries in the order in which they are encoded.
func (b *Backlog) SortPositions() {
	slices.SortFunc(b.Speeds, func(x, y EndpointSpeed) int { return int(x.Position) - int(y.Position) })
	slices.SortFunc(b.Reads, func(x, y PendingRead) int { return int(x.Position) - int(y.Position) })
}
