package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxEventBytes bounds one event with all its lines.
const MaxEventBytes = 256 << 10

const readBufferBytes = 4 << 10

// ErrTooLarge reports an event longer than MaxEventBytes.
var ErrTooLarge = errors.New("sse: event too large")

// Event is one server-sent event. Its fields are valid until the next call of Next.
type Event struct {
	ID   []byte
	Name []byte
	Data []byte
	Raw  []byte // the bytes as they arrived, with the blank line at the end
}

// Reader parses a stream of server-sent events.
type Reader struct {
	r    *bufio.Reader
	line []byte
	ev   Event
	size int
	seen bool // the current event has a field
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next event that is complete. It returns io.EOF at the stream's end,
// and io.ErrUnexpectedEOF when the end cuts an event off.
func (r *Reader) Next() (Event, error) {
	r.reset()
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) && r.size > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			r.field(line)
			continue
		}
		if r.seen {
			return r.ev, nil
		}
		r.reset()
	}
}

func (r *Reader) reset() {
	r.ev.ID = r.ev.ID[:0]
	r.ev.Name = r.ev.Name[:0]
	r.ev.Data = r.ev.Data[:0]
	r.ev.Raw = r.ev.Raw[:0]
	r.size = 0
	r.seen = false
}

// readLine returns the next line without its end.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.r.ReadSlice('\n')
		r.size += len(part)
		if r.size > MaxEventBytes {
			return nil, ErrTooLarge
		}
		r.line = append(r.line, part...)
		r.ev.Raw = append(r.ev.Raw, part...)
		if err == nil {
			return bytes.TrimSuffix(r.line[:len(r.line)-1], []byte("\r")), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func (r *Reader) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		r.ev.ID = append(r.ev.ID[:0], value...)
	case "event":
		r.ev.Name = append(r.ev.Name[:0], value...)
	case "data":
		r.appendData(value)
	default:
		return
	}
	r.seen = true
}

func (r *Reader) appendData(value []byte) {
	if len(r.ev.Data) > 0 {
		r.ev.Data = append(r.ev.Data, '\n')
	}
	r.ev.Data = append(r.ev.Data, value...)
}
