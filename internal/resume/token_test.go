package resume

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

func positionGen() *rapid.Generator[Position] {
	return rapid.Custom(func(t *rapid.T) Position {
		return Position{
			Endpoint: fleet.EndpointID(rapid.StringMatching(`[a-z0-9-]{1,40}`).Draw(t, "endpoint")),
			Stream:   rapid.StringMatching(`[0-9a-f]{32}`).Draw(t, "stream"),
			Offset:   rapid.Uint64().Draw(t, "offset"),
		}
	})
}

func TestTokenRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := positionGen().Draw(t, "position")
		c := NewCodec([]byte("secret"))
		got, err := c.Decode("k", c.Encode("k", p))
		if err != nil || got != p {
			t.Fatalf("Decode(Encode(%+v)) = %+v, %v", p, got, err)
		}
	})
}

func TestTokenForgeryIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := positionGen().Draw(t, "position")
		c := NewCodec([]byte("secret"))
		if _, err := NewCodec([]byte("other")).Decode("k", c.Encode("k", p)); err == nil {
			t.Fatal("a token of another secret was accepted")
		}
		if _, err := c.Decode("l", c.Encode("k", p)); err == nil {
			t.Fatal("a token of another owner was accepted")
		}
		prefix := []byte(c.Prefix("k", p))
		i := rapid.IntRange(0, len(prefix)-1).Draw(t, "byte")
		old := prefix[i]
		prefix[i] = rapid.SampledFrom([]byte("ABab01-_")).Draw(t, "value")
		if prefix[i] == old {
			return
		}
		if got, err := c.Decode("k", string(prefix)+".7"); err == nil {
			t.Fatalf("a modified token was accepted as %+v", got)
		}
	})
}

// FuzzOpen checks that a token that Decode accepts names an endpoint and a stream.
func FuzzOpen(f *testing.F) {
	c := NewCodec(nil)
	f.Add(c.Encode("k", Position{Endpoint: "e", Stream: "s", Offset: 3}))
	f.Add("AAAA.1")
	f.Add(".")
	f.Fuzz(func(t *testing.T, token string) {
		p, err := c.Decode("k", token)
		if err == nil && (p.Endpoint == "" || p.Stream == "") {
			t.Fatalf("Decode(%q) = %+v without an endpoint or a stream", token, p)
		}
	})
}
