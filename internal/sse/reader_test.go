package sse

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/bytebudget"
)

// TestReaderRoundTripAndCut parses encoded events byte by byte, and truncated events, which must be reported as an
// unexpected end.
func TestReaderRoundTripAndCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Event{
			ID:   []byte(rapid.StringMatching(`[a-z0-9]{0,8}`).Draw(t, "id")),
			Name: []byte(rapid.StringMatching(`[a-z]{0,8}`).Draw(t, "name")),
			Data: []byte(rapid.StringMatching(`[a-z:\n ]{1,8}x[\n a-z]{0,4}`).Draw(t, "data")),
		}
		text := Append(nil, in)
		r := NewReader(iotest.OneByteReader(bytes.NewReader(text)))
		got, err := r.Next()
		if err != nil || !bytes.Equal(got.Data, bytes.TrimLeft(in.Data, "\n")) ||
			!bytes.Equal(got.ID, in.ID) || !bytes.Equal(got.Name, in.Name) || !bytes.Equal(got.Raw, text) {
			t.Fatalf("%q was parsed as %q, %v", text, got, err)
		}
		cut := rapid.IntRange(0, len(text)-1).Draw(t, "cut")
		want := io.ErrUnexpectedEOF
		if cut == 0 {
			want = io.EOF
		}
		if got, err := NewReader(bytes.NewReader(text[:cut])).Next(); !errors.Is(err, want) {
			t.Fatalf("%q truncated to %d bytes was parsed as %q, %v", text, cut, got, err)
		}
	})
}

func TestReaderSkipsCommentsAndBoundsEvents(t *testing.T) {
	ev, err := NewReader(strings.NewReader(": ping\r\n\r\n\n: ping\nid: 7\r\ndata: a\r\n\r\n")).Next()
	if err != nil || string(ev.ID) != "7" || string(ev.Data) != "a" {
		t.Fatalf("got %q, %v", ev, err)
	}
	for name, text := range map[string]string{
		"one line":   "data: " + strings.Repeat("x", MaxEventBytes) + "\n\n",
		"many lines": strings.Repeat("data: x\n", MaxEventBytes/4) + "\n",
		"no newline": strings.Repeat("x", 2*MaxEventBytes),
	} {
		if _, err := NewReader(strings.NewReader(text)).Next(); !errors.Is(err, ErrTooLarge) {
			t.Errorf("%s: error %v, want ErrTooLarge", name, err)
		}
	}
}

// TestLargeEventsAreReservedFromTheBudget checks that the memory of large events is reserved while they are read, that small ones need no
// reservation, and that an event for which there is no memory is an error.
func TestLargeEventsAreReservedFromTheBudget(t *testing.T) {
	large, small := "data: "+strings.Repeat("x", 4*freeRawBytes)+"\n\n", "data: "+strings.Repeat("x", freeRawBytes/2)+"\n\n"
	b := &bytebudget.Budget{Limit: 2 * MaxEventBytes}
	r := NewBudgetReader(strings.NewReader(small+large+small+large), b)
	for i, want := range []string{small, large, small, large} {
		ev, err := r.Next()
		if err != nil || string(ev.Raw) != want {
			t.Fatalf("event %d: %d bytes, %v", i, len(ev.Raw), err)
		}
		if reserved := b.Reserved(); (reserved > 0) != (want == large) || want == large && reserved < int64(2*(len(large)-freeRawBytes)) {
			t.Errorf("event %d of %d bytes: %d bytes are reserved", i, len(want), reserved)
		}
	}
	r.Release()
	r.Release()
	if b.Reserved() != 0 {
		t.Errorf("%d bytes are reserved after the release", b.Reserved())
	}

	b.Reserve(b.Limit)
	r = NewBudgetReader(strings.NewReader(small+large), b)
	if _, err := r.Next(); err != nil {
		t.Errorf("a small event without a budget: %v", err)
	}
	if _, err := r.Next(); !errors.Is(err, bytebudget.ErrExhausted) {
		t.Errorf("a large event without a budget: %v", err)
	}
	r.Release()
	if b.Reserved() != b.Limit {
		t.Errorf("%d bytes are reserved, want %d", b.Reserved(), b.Limit)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {}\n\n"))
	f.Add([]byte(":\n\r\n\ndata\ndata:x\n\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewReader(bytes.NewReader(text))
		for {
			ev, err := r.Next()
			if err != nil {
				return
			}
			if len(ev.Data)+len(ev.ID)+len(ev.Name) > len(text) {
				t.Fatalf("%q was parsed as a longer event %q", text, ev)
			}
		}
	})
}

// endless returns a piece of a stream again and again.
type endless struct {
	piece string
	left  string
	read  int
}

// Read implements io.Reader. It gives up after many times the bounds of the Reader.
func (e *endless) Read(b []byte) (int, error) {
	if e.read > 64*MaxEventBytes {
		return 0, io.ErrNoProgress
	}
	if e.left == "" {
		e.left = e.piece
	}
	n := copy(b, e.left)
	e.left = e.left[n:]
	e.read += n
	return n, nil
}

// TestBytesBetweenEventsWithoutEnd checks that a stream ends with an error when it sends comments,
// blank lines or fields of no event without end.
func TestBytesBetweenEventsWithoutEnd(t *testing.T) {
	for name, piece := range map[string]string{
		"comments":            ": ping\n\n",
		"long comments":       ": " + strings.Repeat("x", MaxEventBytes/2) + "\n\n",
		"blank lines":         "\n",
		"blank lines with CR": "\r\n",
		"unknown fields":      "retry: 1\n\n",
	} {
		src := &endless{piece: piece}
		if _, err := NewReader(src).Next(); !errors.Is(err, ErrTooMuchBetweenEvents) {
			t.Errorf("%s: error %v after %d bytes", name, err, src.read)
		}
		if src.read > MaxBytesBetweenEvents+MaxEventBytes+readBufferBytes {
			t.Errorf("%s: %d bytes were read", name, src.read)
		}
	}
}

// TestBytesBetweenEventsCountFromTheLastEvent checks that comments up to the bound are skipped
// before each event, however many there are in all.
func TestBytesBetweenEventsCountFromTheLastEvent(t *testing.T) {
	comment := ": " + strings.Repeat("x", MaxBytesBetweenEvents/4-4) + "\n\n"
	r := NewReader(strings.NewReader(strings.Repeat(strings.Repeat(comment, 4)+"data: a\n\n", 5)))
	for range 5 {
		if ev, err := r.Next(); err != nil || string(ev.Data) != "a" {
			t.Fatalf("got %q, %v", ev.Data, err)
		}
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}
