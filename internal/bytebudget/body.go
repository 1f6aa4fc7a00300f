package bytebudget

import (
	"io"

	"github.com/pkg/errors"
)

// Errors of Budget.Read, besides those of the reader.
var (
	ErrTooLarge  = errors.New("the body is too large")
	ErrExhausted = errors.New("the memory for bodies is exhausted")
)

// Sizes of the chunks of a body, which grow with it.
const (
	minChunkBytes = 4 << 10
	maxChunkBytes = 32 << 10
)

// Bounds are the bounds on one body.
type Bounds struct {
	MaxBytes  int64 // a longer body is ErrTooLarge
	FreeBytes int64 // held without a reservation, so that small bodies do not depend on the budget
	Length    int64 // announced length, which may be wrong; <= 0: unknown
}

// Body is a body in memory, in chunks that are reserved from a budget until Release.
type Body struct {
	chunks   [][]byte
	budget   *Budget
	bounds   Bounds
	size     int64 // of all chunks, with the unused part of the last one
	reserved int64
}

// Read reads r to its end. Memory is reserved as bytes arrive, since an announced length may be
// wrong. It returns ErrExhausted if the body would hold more than half of what is then left of the
// budget. A single body can thus have a third of the budget, and those that grow without end are
// cut off first. Only a body shorter than FreeBytes never depends on others.
func (b *Budget) Read(r io.Reader, bounds Bounds) (*Body, error) {
	body := &Body{budget: b, bounds: bounds}
	if err := body.checkLength(); err != nil {
		return nil, err
	}
	for {
		err := body.readChunk(r)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			body.Release()
			return nil, err
		}
	}
}

// share returns how many bytes one body may hold now.
func (b *Budget) share() int64 { return (b.Limit - b.Reserved()) / 2 }

// checkLength rejects a body whose announced length does not fit.
func (b *Body) checkLength() error {
	if b.bounds.Length > b.bounds.MaxBytes {
		return ErrTooLarge
	}
	if b.bounds.Length-b.bounds.FreeBytes > b.budget.share() {
		return ErrExhausted
	}
	return nil
}

// readChunk reads one chunk. At the end of the body it returns io.EOF.
func (b *Body) readChunk(r io.Reader) error {
	size := b.nextChunkBytes()
	if !b.reserve(size) {
		return ErrExhausted
	}
	b.size += size
	chunk := make([]byte, size)
	n, err := readFull(r, chunk)
	b.chunks = append(b.chunks, chunk[:n])
	if b.Len() > b.bounds.MaxBytes {
		return ErrTooLarge
	}
	return err
}

// readFull reads until the chunk is full or the reader returns an error. Unlike io.ReadFull it
// returns that error unchanged, because io.ErrUnexpectedEOF means a truncated body.
func readFull(r io.Reader, chunk []byte) (int, error) {
	n := 0
	for n < len(chunk) {
		m, err := r.Read(chunk[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// nextChunkBytes returns the size of the next chunk: what is left of the announced length, and
// otherwise as much as there is already. One byte beyond the length lets the reader see the end.
func (b *Body) nextChunkBytes() int64 {
	if left := b.bounds.Length + 1 - b.size; b.bounds.Length > 0 && left > 0 {
		return min(left, maxChunkBytes)
	}
	return min(max(b.size, minChunkBytes), maxChunkBytes)
}

// reserve reserves what a further chunk exceeds the free bytes by.
func (b *Body) reserve(chunk int64) bool {
	n := max(b.size+chunk-b.bounds.FreeBytes, 0) - b.reserved
	if n == 0 {
		return true
	}
	if b.reserved+n > b.budget.share() || !b.budget.Reserve(n) {
		return false
	}
	b.reserved += n
	return true
}

// Len returns the length of the body.
func (b *Body) Len() int64 {
	var n int64
	for _, c := range b.chunks {
		n += int64(len(c))
	}
	return n
}

// Parts returns the chunks of the body, which must not be changed. A nil Body is empty.
func (b *Body) Parts() [][]byte {
	if b == nil {
		return nil
	}
	return b.chunks
}

// Release returns the reserved bytes. The parts must not be used any more.
func (b *Body) Release() {
	if b == nil {
		return
	}
	if b.reserved > 0 {
		b.budget.Release(b.reserved)
	}
	b.chunks, b.reserved = nil, 0
}
