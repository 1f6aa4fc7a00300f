package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/bytebudget"
)

// MaxEventBytes is the maximum size of an event as received, with all its lines.
const MaxEventBytes = 256 << 10

const readBufferBytes = 4 << 10

// MaxBytesBetweenEvents is the maximum size of what may stand before an event: comments, blank lines
// and fields of no event.
const MaxBytesBetweenEvents = 256 << 10

// Memory of an event in bytes. Its raw bytes and its fields, which are copies of them, may take it twice.
const (
	minRawBytes  = 1 << 10  // initial capacity for raw bytes
	freeRawBytes = 16 << 10 // of raw bytes, held without a reservation from the budget
)

// Errors of streams that exceed a bound.
var (
	ErrTooLarge             = errors.New("sse: event too large")
	ErrTooMuchBetweenEvents = errors.New("sse: too many bytes between events")
)

// ErrForeignLine reports a line that is not part of any event, in a stream that is read by a strict Reader.
var ErrForeignLine = errors.New("sse: a line is not part of an event")

// Event is one server-sent event. Its fields are valid until the next call of Next.
type Event struct {
	ID   []byte
	Name []byte
	Data []byte
	Raw  []byte // the bytes as received, including the blank line at the end
}

// Reader parses a stream of server-sent events.
type Reader struct {
	src      *bufio.Reader
	event    Event
	hasField bool // the current event has a field
	strict   bool // see NewStrictReader
	unknown  bool // the current event has a field that this package does not know
	budget   *bytebudget.Budget
	reserved int64 // of the budget
}

// NewReader returns a Reader that parses src.
func NewReader(src io.Reader) *Reader {
	return &Reader{src: bufio.NewReaderSize(src, readBufferBytes)}
}

// NewBudgetReader returns a Reader that reserves the memory of large events from a budget. Release must be called.
func NewBudgetReader(src io.Reader, b *bytebudget.Budget) *Reader {
	r := NewReader(src)
	r.budget = b
	return r
}

// NewStrictReader returns a NewBudgetReader for a stream whose events are passed on as they are. The format has a reader skip the
// fields that it does not know. In a strict stream they may only begin an event: anything else is likely another response, or text,
// that its sender has written into the stream.
func NewStrictReader(src io.Reader, b *bytebudget.Budget) *Reader {
	r := NewBudgetReader(src, b)
	r.strict = true
	return r
}

// Next returns the next complete event. It returns io.EOF at the end of the stream,
// io.ErrUnexpectedEOF if the stream ends within an event, ErrTooLarge or ErrTooMuchBetweenEvents
// if it exceeds a bound, bytebudget.ErrExhausted if there is no memory for a large event, and
// ErrForeignLine from a strict Reader; nothing can be read after an error.
func (r *Reader) Next() (Event, error) {
	r.reset()
	skipped := 0 // bytes since the last event
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) && len(r.event.Raw) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			if known := r.parseField(line); !known && r.isForeign(line) {
				return Event{}, ErrForeignLine
			}
			continue
		}
		if r.hasField {
			return r.event, nil
		}
		if r.strict && r.unknown {
			return Event{}, ErrForeignLine
		}
		if skipped += len(r.event.Raw); skipped > MaxBytesBetweenEvents {
			return Event{}, ErrTooMuchBetweenEvents
		}
		r.reset()
	}
}

// reset begins another event. The memory of a large one is returned.
func (r *Reader) reset() {
	r.hasField, r.unknown = false, false
	if cap(r.event.Raw) > freeRawBytes {
		r.Release()
		return
	}
	r.event.ID = r.event.ID[:0]
	r.event.Name = r.event.Name[:0]
	r.event.Data = r.event.Data[:0]
	r.event.Raw = r.event.Raw[:0]
}

// Release returns the memory of the current event, whose fields must not be used any more.
func (r *Reader) Release() {
	r.event = Event{}
	if r.reserved > 0 {
		r.budget.Release(r.reserved)
		r.reserved = 0
	}
}

// readLine returns the next line without its line terminator, after it has appended the line to the raw bytes of the event.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.event.Raw)
	for {
		part, err := r.src.ReadSlice('\n')
		if len(r.event.Raw)+len(part) > MaxEventBytes {
			return nil, ErrTooLarge
		}
		if !r.grow(len(part)) {
			return nil, bytebudget.ErrExhausted
		}
		r.event.Raw = append(r.event.Raw, part...)
		if err == nil {
			line := r.event.Raw[start : len(r.event.Raw)-1]
			return bytes.TrimSuffix(line, []byte("\r")), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// grow makes room for n more raw bytes of the event, which then has at most MaxEventBytes, and returns false if there is no memory for them.
func (r *Reader) grow(n int) bool {
	raw := r.event.Raw
	if len(raw)+n <= cap(raw) {
		return true
	}
	size := min(max(2*cap(raw), len(raw)+n, minRawBytes), MaxEventBytes)
	if !r.reserve(size) {
		return false
	}
	r.event.Raw = append(make([]byte, 0, size), raw...)
	return true
}

// reserve reserves what an event with a capacity for raw bytes exceeds the free memory by.
func (r *Reader) reserve(rawBytes int) bool {
	n := 2*int64(max(rawBytes-freeRawBytes, 0)) - r.reserved
	if r.budget == nil || n <= 0 {
		return true
	}
	if !r.budget.Reserve(n) {
		return false
	}
	r.reserved += n
	return true
}

// parseField adds the field of a line to the event, and reports whether the format knows the line.
func (r *Reader) parseField(line []byte) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		r.event.ID = append(r.event.ID[:0], value...)
	case "event":
		r.event.Name = append(r.event.Name[:0], value...)
	case "data":
		r.appendData(value)
	case "", "retry": // a comment, and the time after which a reader may reconnect
		return true
	default:
		r.unknown = true
		return false
	}
	r.hasField = true
	return true
}

// isForeign reports whether a line that the format does not know can't be in a strict stream: it is no field, or does not begin an event.
func (r *Reader) isForeign(line []byte) bool {
	return r.strict && (r.hasField || !hasFieldName(line))
}

// hasFieldName reports whether a line begins with the name of a field, of letters, digits, hyphens and underscores, and a colon.
func hasFieldName(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	isOther := func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_'
	}
	return found && !bytes.ContainsFunc(name, isOther)
}

func (r *Reader) appendData(value []byte) {
	if len(r.event.Data) > 0 {
		r.event.Data = append(r.event.Data, '\n')
	}
	r.event.Data = append(r.event.Data, value...)
}
