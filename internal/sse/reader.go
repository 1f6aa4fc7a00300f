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

// Next returns the next complete event. It returns io.EOF at the end of the stream,
// io.ErrUnexpectedEOF if the stream ends within an event, ErrTooLarge or ErrTooMuchBetweenEvents
// if it exceeds a bound, and bytebudget.ErrExhausted if there is no memory for a large event; nothing
// can be read after an error.
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
			r.parseField(line)
			continue
		}
		if r.hasField {
			return r.event, nil
		}
		if skipped += len(r.event.Raw); skipped > MaxBytesBetweenEvents {
			return Event{}, ErrTooMuchBetweenEvents
		}
		r.reset()
	}
}

// reset begins another event. The memory of a large one is returned.
func (r *Reader) reset() {
	r.hasField = false
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

func (r *Reader) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		r.event.ID = append(r.event.ID[:0], value...)
	case "event":
		r.event.Name = append(r.event.Name[:0], value...)
	case "data":
		r.appendData(value)
	default:
		return
	}
	r.hasField = true
}

func (r *Reader) appendData(value []byte) {
	if len(r.event.Data) > 0 {
		r.event.Data = append(r.event.Data, '\n')
	}
	r.event.Data = append(r.event.Data, value...)
}
