package resume

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// MaxTokenBytes is the maximum length of an encoded token.
const MaxTokenBytes = 1 << 10

const macBytes = 16 // truncated HMAC-SHA256

// ErrInvalid is returned for a token that is malformed or was not issued to the owner by this fleet.
var ErrInvalid = errors.New("resume: invalid token")

// Position is a position in the event stream of one chat response.
type Position struct {
	_        struct{} `cbor:",toarray"`
	Endpoint fleet.EndpointID
	Stream   string
	Offset   uint64 `cbor:"-"` // number of events that the caller has received
}

// Codec encodes, decodes and authenticates tokens. All routers of a fleet use the same secret.
type Codec struct{ macKey []byte }

// NewCodec returns a codec for the fleet's secret, which may be empty.
func NewCodec(secret []byte) *Codec {
	key := sha256.Sum256(append([]byte("dandelionvane resume token\x00"), secret...))
	return &Codec{macKey: key[:]}
}

// Prefix returns the authenticated part of a token, which is the same for all offsets of a
// stream. A token is valid only for the owner that it was issued to, identified by the hash of
// an API key. The offset is not authenticated: a caller that changes it only reads another part
// of its own stream.
func (c *Codec) Prefix(owner string, position Position) string {
	body, err := cbor.Marshal(position)
	if err != nil {
		panic(errors.Wrap(err, "resume: encode position"))
	}
	return base64.RawURLEncoding.EncodeToString(append(body, c.mac(owner, body)...))
}

// AppendToken appends the token of an offset in the stream of a prefix to b.
func AppendToken(b []byte, prefix string, offset uint64) []byte {
	b = append(b, prefix...)
	b = append(b, '.')
	return strconv.AppendUint(b, offset, 10)
}

// Encode returns the token of a position for an owner (see Prefix).
func (c *Codec) Encode(owner string, position Position) string {
	return string(AppendToken(nil, c.Prefix(owner, position), position.Offset))
}

// Decode authenticates a token and returns its position. All errors are ErrInvalid.
func (c *Codec) Decode(owner, token string) (Position, error) {
	if len(token) > MaxTokenBytes {
		return Position{}, ErrInvalid
	}
	prefix, offsetText, ok := strings.Cut(token, ".")
	if !ok {
		return Position{}, ErrInvalid
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(prefix)
	if err != nil || len(raw) <= macBytes {
		return Position{}, ErrInvalid
	}
	body, mac := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !hmac.Equal(mac, c.mac(owner, body)) {
		return Position{}, ErrInvalid
	}
	return decodePosition(body, offsetText)
}

func decodePosition(body []byte, number string) (Position, error) {
	var p Position
	if err := cbor.Unmarshal(body, &p); err != nil {
		return Position{}, ErrInvalid
	}
	offset, err := strconv.ParseUint(number, 10, 64)
	if err != nil || p.Endpoint == "" || p.Stream == "" {
		return Position{}, ErrInvalid
	}
	p.Offset = offset
	return p, nil
}

func (c *Codec) mac(owner string, body []byte) []byte {
	h := hmac.New(sha256.New, c.macKey)
	h.Write([]byte(owner))
	h.Write([]byte{0})
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}
