package bytebudget

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// endless is a body without end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(b []byte) (int, error) { return len(b), nil }

// TestReadWholeBodies reads bodies of any length, announced or not, from readers that return as
// many bytes as they like: the content is unchanged, no more than a chunk is reserved beyond the
// body, and nothing is reserved after Release.
func TestReadWholeBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := bytes.Repeat([]byte("0123456789a"), rapid.IntRange(0, 30<<10).Draw(t, "pieces"))
		free := rapid.SampledFrom([]int64{0, 10, 32 << 10}).Draw(t, "free")
		length := rapid.SampledFrom([]int64{-1, 0, 5, int64(len(text))}).Draw(t, "length")
		var r io.Reader = bytes.NewReader(text)
		if rapid.Bool().Draw(t, "halves") {
			r = iotest.HalfReader(r)
		}
		if rapid.Bool().Draw(t, "end with the data") {
			r = iotest.DataErrReader(r)
		}
		budget := &Budget{Limit: 2 << 20}
		b, err := budget.Read(r, Bounds{MaxBytes: max(int64(len(text)), length), FreeBytes: free, Length: length})
		if err != nil || !bytes.Equal(bytes.Join(b.Parts(), nil), text) || b.Len() != int64(len(text)) {
			t.Fatalf("read %d of %d bytes, %v", b.Len(), len(text), err)
		}
		if n := budget.Reserved(); n < int64(len(text))-free || n > int64(len(text))+maxChunkBytes {
			t.Fatalf("%d bytes are reserved for %d, %d of them free", n, len(text), free)
		}
		b.Release()
		b.Release()
		if budget.Reserved() != 0 {
			t.Fatalf("%d bytes are reserved after the release", budget.Reserved())
		}
	})
}

// TestReadErrors checks that nothing stays reserved after a body that is too large, truncated or
// over the budget, and that a truncated body is not taken for a whole one.
func TestReadErrors(t *testing.T) {
	truncated := func() io.Reader {
		return io.MultiReader(strings.NewReader(strings.Repeat("x", 100<<10)), iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	for name, tc := range map[string]struct {
		r      io.Reader
		limit  int64
		bounds Bounds
		want   error
	}{
		"too large":               {endless{}, 1 << 20, Bounds{MaxBytes: 200 << 10}, ErrTooLarge},
		"a byte too large":        {strings.NewReader(strings.Repeat("x", 101)), 1 << 20, Bounds{MaxBytes: 100}, ErrTooLarge},
		"too large by the length": {iotest.ErrReader(io.ErrNoProgress), 1 << 20, Bounds{MaxBytes: 100, Length: 101}, ErrTooLarge},
		"truncated":               {truncated(), 1 << 20, Bounds{MaxBytes: 1 << 20}, io.ErrUnexpectedEOF},
		"truncated at once":       {iotest.ErrReader(io.ErrUnexpectedEOF), 1 << 20, Bounds{MaxBytes: 1 << 20, Length: 9}, io.ErrUnexpectedEOF},
		"over the budget":         {endless{}, 100 << 10, Bounds{MaxBytes: 1 << 20}, ErrExhausted},
		"over by the length":      {iotest.ErrReader(io.ErrNoProgress), 100, Bounds{MaxBytes: 1 << 20, FreeBytes: 10, Length: 111}, ErrExhausted},
	} {
		budget := &Budget{Limit: tc.limit}
		if _, err := budget.Read(tc.r, tc.bounds); !errors.Is(err, tc.want) {
			t.Errorf("%s: error %v, want %v", name, err, tc.want)
		}
		if budget.Reserved() != 0 {
			t.Errorf("%s: %d bytes are reserved", name, budget.Reserved())
		}
	}
}

// TestBodiesWithoutEndLeaveSmallOnesAlone checks that a body without end gets no more than a third
// of the budget, and that small bodies are read whole however many of those there are.
func TestBodiesWithoutEndLeaveSmallOnesAlone(t *testing.T) {
	const limit, free, others = 8 << 20, 64 << 10, 200
	budget := &Budget{Limit: limit}
	for i := range others {
		b := &Body{budget: budget, bounds: Bounds{MaxBytes: limit, FreeBytes: free}}
		for b.readChunk(endless{}) == nil {
		}
		if b.reserved > limit/3 || budget.Reserved() > limit {
			t.Fatalf("body %d has %d bytes of the budget, all have %d of %d", i, b.reserved, budget.Reserved(), limit)
		}
		small, err := budget.Read(io.LimitReader(endless{}, free/2), Bounds{MaxBytes: limit, FreeBytes: free})
		if err != nil || small.Len() != free/2 {
			t.Fatalf("a small body beside %d large ones: %v", i+1, err)
		}
	}
}
