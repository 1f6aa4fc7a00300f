package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxEventBytes is the maximum size of an event as received, with all its lines.
const MaxEventBytes = 256 << 10

const readBufferBytes = 4 << 10

// MaxBytesBetweenEvents is the maximum size of what may stand before an event: comments, blank lines
// and fields of no event.
const MaxBytesBetweenEvents = 256 << 10

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
	src        *bufio.Reader
	line       []byte
	event      Event
	eventBytes int
	hasField   bool // the current event has a field
}

// NewReader returns a Reader that parses src.
func NewReader(src io.Reader) *Reader {
	return &Reader{src: bufio.NewReaderSize(src, readBufferBytes)}
}

// Next returns the next complete event. It returns io.EOF at the end of the stream,
// io.ErrUnexpectedEOF if the stream ends within an event, and ErrTooLarge or
// ErrTooMuchBetweenEvents if it exceeds a bound; nothing can be read after an error.
func (r *Reader) Next() (Event, error) {
	r.reset()
	skipped := 0 // bytes since the last event
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) && r.eventBytes > 0 {
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
		if skipped += r.eventBytes; skipped > MaxBytesBetweenEvents {
			return Event{}, ErrTooMuchBetweenEvents
		}
		r.reset()
	}
}

func (r *Reader) reset() {
	r.event.ID = r.event.ID[:0]
	r.event.Name = r.event.Name[:0]
	r.event.Data = r.event.Data[:0]
	r.event.Raw = r.event.Raw[:0]
	r.eventBytes = 0
	r.hasField = false
}

// readLine returns the next line without its line terminator.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.src.ReadSlice('\n')
		r.eventBytes += len(part)
		if r.eventBytes > MaxEventBytes {
			return nil, ErrTooLarge
		}
		r.line = append(r.line, part...)
		r.event.Raw = append(r.event.Raw, part...)
		if err == nil {
			return bytes.TrimSuffix(r.line[:len(r.line)-1], []byte("\r")), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
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
