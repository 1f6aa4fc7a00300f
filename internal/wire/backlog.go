package wire

import (
	"encoding/binary"
	"slices"

	"github.com/pkg/errors"
)

// Backlog is the outstanding work and the speed of endpoints, and the requests in flight of workspaces, of the sender of a
// Status. In a Status with a Summary it is the newest speed and the sums of the same gateways.
//
// Gateways of the version before it reject a Status or a LoadSummary with a further element, and ban the senders of unknown
// kinds of messages. They ignore a StoreUpdate with Revision 0, which is not later than any that they have. A Backlog is
// therefore encoded as the only item of such an update, under backlogKey.
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
	AgeMS    uint32 // since the report; encoded in steps of ageStepMS, up to 255 steps
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
	// ReadUnitMS is the unit of pending prefill times. Times of up to 635 ms are encoded in one byte.
	ReadUnitMS = 5
	// backlogKey is the key of the store item that holds a Backlog. Keys of the platform's store start with a slash.
	backlogKey = "backlog"
	speedStep  = 5
	ageStepMS  = 10
	// maxBacklogEntries bounds the entries of each kind that are decoded. A datagram holds fewer.
	maxBacklogEntries = 2048
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

// append appends the encoded Backlog: the digest, and each list with its length. All numbers but the digest, the
// workspaces, and the percentages and ages of speeds are unsigned varints. Positions are encoded as differences.
func (b *Backlog) append(out []byte) []byte {
	out = binary.BigEndian.AppendUint32(out, b.Digest)
	out = binary.AppendUvarint(out, uint64(len(b.Speeds)))
	last := uint32(0)
	for _, s := range b.Speeds {
		out = binary.AppendUvarint(out, uint64(s.Position-last))
		out = append(out, steps(uint32(s.Percent)+speedStep/2, speedStep), steps(s.AgeMS+ageStepMS-1, ageStepMS))
		last = s.Position
	}
	out = binary.AppendUvarint(out, uint64(len(b.Reads)))
	last = 0
	for _, r := range b.Reads {
		out = binary.AppendUvarint(out, uint64(r.Position-last))
		out = binary.AppendUvarint(out, uint64(r.Units))
		last = r.Position
	}
	out = binary.AppendUvarint(out, uint64(len(b.Workspaces)))
	for _, w := range b.Workspaces {
		out = binary.BigEndian.AppendUint32(out, w.Workspace)
		out = binary.AppendUvarint(out, uint64(w.Requests))
	}
	return out
}

func steps(n, step uint32) byte { return byte(min(n/step, 255)) }

// parseBacklog parses an encoded Backlog. Bytes after it are ignored.
func parseBacklog(in []byte) (Backlog, error) {
	r := backlogReader{in: in}
	b := Backlog{Digest: r.uint32()}
	position := uint32(0)
	for range r.count() {
		position += r.uvarint(maxPosition)
		s := EndpointSpeed{Position: position, Percent: uint16(r.byte()) * speedStep, AgeMS: uint32(r.byte()) * ageStepMS}
		if s.Percent > 0 {
			b.Speeds = append(b.Speeds, s)
		}
	}
	position = 0
	for range r.count() {
		position += r.uvarint(maxPosition)
		b.Reads = append(b.Reads, PendingRead{position, r.uvarint(1 << 31)})
	}
	for range r.count() {
		b.Workspaces = append(b.Workspaces, WorkspaceLoad{r.uint32(), r.uvarint(1 << 31)})
	}
	if r.malformed {
		return Backlog{}, errors.Wrap(ErrMalformed, "backlog")
	}
	return b, nil
}

// backlogReader reads an encoded Backlog. After an error it returns zeros.
type backlogReader struct {
	in        []byte
	malformed bool
}

func (r *backlogReader) take(n int) []byte {
	if r.malformed || len(r.in) < n {
		r.malformed = true
		return make([]byte, n)
	}
	b := r.in[:n]
	r.in = r.in[n:]
	return b
}

func (r *backlogReader) byte() byte { return r.take(1)[0] }

func (r *backlogReader) uint32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }

// uvarint reads a number up to limit.
func (r *backlogReader) uvarint(limit uint32) uint32 {
	n, size := binary.Uvarint(r.in)
	if r.malformed || size <= 0 || n > uint64(limit) {
		r.malformed = true
		return 0
	}
	r.in = r.in[size:]
	return uint32(n)
}

func (r *backlogReader) count() int {
	n := r.uvarint(maxBacklogEntries)
	if r.malformed {
		return 0
	}
	return int(n)
}

// SortPositions puts the entries in the order in which they are encoded.
func (b *Backlog) SortPositions() {
	slices.SortFunc(b.Speeds, func(x, y EndpointSpeed) int { return int(x.Position) - int(y.Position) })
	slices.SortFunc(b.Reads, func(x, y PendingRead) int { return int(x.Position) - int(y.Position) })
}
