package wire

import (
	"encoding/binary"
	"slices"

	"github.com/pkg/errors"
)

// append appends the encoded Backlog: the digest, and each list with its length. Numbers are unsigned varints unless noted.
//
// The positions of a list come first, as differences or as a bitmap, whichever is shorter. Then follow the speeds: if there are at most
// MaxPalette different ones, these, and a byte for each entry that holds the index in three bits and the age in five; otherwise two
// bytes for each entry. Pending prefill times are in half bytes, of which each holds three bits, the lowest first, and whether more follow.
func (b *Backlog) append(out []byte) []byte {
	out = binary.BigEndian.AppendUint32(out, b.Digest)
	positions := make([]uint32, 0, max(len(b.Speeds), len(b.Reads)))
	for _, s := range b.Speeds {
		positions = append(positions, s.Position)
	}
	out = appendPositions(out, positions)
	out = b.appendSpeeds(out)
	positions = positions[:0]
	for _, r := range b.Reads {
		positions = append(positions, r.Position)
	}
	out = appendPositions(out, positions)
	out = b.appendReads(out)
	out = binary.AppendUvarint(out, uint64(len(b.Workspaces)))
	for _, w := range b.Workspaces {
		out = binary.BigEndian.AppendUint32(out, w.Workspace)
		out = binary.AppendUvarint(out, uint64(w.Requests))
	}
	return out
}

// appendPositions appends sorted positions. The lowest bit of their number tells a bitmap, which the highest position precedes.
func appendPositions(out []byte, positions []uint32) []byte {
	n := uint64(len(positions))
	differences := binary.AppendUvarint(nil, n<<1)
	last := uint32(0)
	for _, p := range positions {
		differences = binary.AppendUvarint(differences, uint64(p-last))
		last = p
	}
	bits := int(last)/8 + 1
	if repeated := len(slices.Compact(slices.Clone(positions))) < len(positions); repeated || len(differences) <= bits+3 {
		return append(out, differences...)
	}
	out = binary.AppendUvarint(out, n<<1|1)
	out = binary.AppendUvarint(out, uint64(last))
	bitmap := make([]byte, bits)
	for _, p := range positions {
		bitmap[p/8] |= 1 << (p % 8)
	}
	return append(out, bitmap...)
}

func percentSteps(percent uint16) byte {
	return byte(min(max((uint32(percent)+speedStep/2)/speedStep, 1), 255))
}

func ageSteps(ms uint32) byte { return byte(min((uint64(ms)+ageStepMS/2)/ageStepMS, maxAgeSteps)) }

func (b *Backlog) appendSpeeds(out []byte) []byte {
	if len(b.Speeds) == 0 {
		return out
	}
	var palette []byte
	for _, s := range b.Speeds {
		if p := percentSteps(s.Percent); !slices.Contains(palette, p) {
			palette = append(palette, p)
		}
	}
	if len(palette) > MaxPalette {
		out = append(out, 0)
		for _, s := range b.Speeds {
			out = append(out, percentSteps(s.Percent), ageSteps(s.AgeMS))
		}
		return out
	}
	out = append(out, byte(len(palette)))
	out = append(out, palette...)
	for _, s := range b.Speeds {
		out = append(out, byte(slices.Index(palette, percentSteps(s.Percent)))<<5|ageSteps(s.AgeMS))
	}
	return out
}

// HalfBytes returns the number of half bytes in which a pending prefill time is encoded.
func HalfBytes(units int) int {
	n := 1
	for ; units > 7; units >>= 3 {
		n++
	}
	return n
}

func (b *Backlog) appendReads(out []byte) []byte {
	half := false // the last byte has room for a half
	for _, r := range b.Reads {
		for units, more := r.Units, true; more; units >>= 3 {
			more = units > 7
			nibble := byte(units & 7)
			if more {
				nibble |= 8
			}
			if half {
				out[len(out)-1] |= nibble << 4
			} else {
				out = append(out, nibble)
			}
			half = !half
		}
	}
	return out
}

// parseBacklog parses an encoded Backlog. Bytes after it are ignored.
func parseBacklog(in []byte) (Backlog, error) {
	r := backlogReader{in: in}
	b := Backlog{Digest: r.uint32()}
	if positions := r.positions(); len(positions) > 0 {
		b.Speeds = r.speeds(positions)
	}
	if positions := r.positions(); len(positions) > 0 {
		b.Reads = r.reads(positions)
	}
	for range r.uvarint(maxBacklogEntries) {
		b.Workspaces = append(b.Workspaces, WorkspaceLoad{r.uint32(), r.uvarint(1 << 31)})
		if r.malformed {
			break
		}
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

// take returns the next n bytes, or nil.
func (r *backlogReader) take(n int) []byte {
	if r.malformed || len(r.in) < n {
		r.malformed = true
		return nil
	}
	b := r.in[:n]
	r.in = r.in[n:]
	return b
}

func (r *backlogReader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *backlogReader) uint32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

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

// positions reads the positions of a list.
func (r *backlogReader) positions() []uint32 {
	header := r.uvarint(2*maxBacklogEntries + 1)
	n := int(header >> 1)
	var out []uint32
	if header&1 == 1 {
		last := r.uvarint(maxPosition)
		for i, b := range r.take(int(last)/8 + 1) {
			for bit := range uint32(8) {
				if b>>bit&1 == 1 {
					out = append(out, uint32(i)*8+bit)
				}
			}
		}
		r.malformed = r.malformed || len(out) != n
		return out
	}
	if r.malformed || n > len(r.in) {
		r.malformed = true
		return nil
	}
	position := uint32(0)
	for range n {
		if position += r.uvarint(maxPosition); position > maxPosition {
			r.malformed = true
		}
		out = append(out, position)
	}
	return out
}

func (r *backlogReader) speeds(positions []uint32) []EndpointSpeed {
	n := int(r.byte())
	if n > MaxPalette {
		r.malformed = true
	}
	palette := r.take(n)
	out := make([]EndpointSpeed, 0, len(positions))
	for _, position := range positions {
		var percent, age byte
		if b := r.byte(); n == 0 {
			percent, age = b, r.byte()
		} else if int(b>>5) < len(palette) {
			percent, age = palette[b>>5], b&maxAgeSteps
		}
		r.malformed = r.malformed || percent == 0
		out = append(out, EndpointSpeed{position, uint16(percent) * speedStep, uint32(age) * ageStepMS})
	}
	return out
}

func (r *backlogReader) reads(positions []uint32) []PendingRead {
	out := make([]PendingRead, 0, len(positions))
	var rest byte // the second half of the last byte
	half := false
	for _, position := range positions {
		units := uint64(0)
		for shift, more := 0, true; more; shift += 3 {
			nibble := rest
			if half = !half; half {
				b := r.byte()
				nibble, rest = b&15, b>>4
			}
			units |= uint64(nibble&7) << shift
			more = nibble&8 != 0 && shift < 30
		}
		out = append(out, PendingRead{position, uint32(min(units, 1<<31))})
	}
	return out
}
