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

// MaxTokenBytes bounds an encoded token.
const MaxTokenBytes = 1 << 10

const macBytes = 16

// ErrInvalid reports a token that this fleet did not issue.
var ErrInvalid = errors.New("resume: invalid token")

// Position is a position in the stream of one chat answer.
type Position struct {
	_        struct{} `cbor:",toarray"`
	Endpoint fleet.EndpointID
	Stream   string
	Offset   uint64 `cbor:"-"` // events that the caller has
}

// Codec seals and opens tokens. All routers of a fleet share its secret.
type Codec struct{ secret []byte }

// NewCodec returns a codec for the fleet's secret, which may be empty.
func NewCodec(secret []byte) *Codec {
	key := sha256.Sum256(append([]byte("dandelionvane resume token\x00"), secret...))
	return &Codec{secret: key[:]}
}

// Prefix returns the part of a place's token that all offsets of its stream share.
// Only the owner that it is issued to, the hash of a bearer key, can open the token.
// The offset stays outside the authenticated part: a caller that changes it reads
// another part of its own stream.
func (c *Codec) Prefix(owner string, p Position) string {
	body, err := cbor.Marshal(p)
	if err != nil {
		panic(errors.Wrap(err, "resume: encode place"))
	}
	return base64.RawURLEncoding.EncodeToString(append(body, c.mac(owner, body)...))
}

// AppendToken appends the token of an offset to b.
func AppendToken(b []byte, prefix string, offset uint64) []byte {
	b = append(b, prefix...)
	b = append(b, '.')
	return strconv.AppendUint(b, offset, 10)
}

// Seal returns the token of a place.
func (c *Codec) Seal(owner string, p Position) string {
	return string(AppendToken(nil, c.Prefix(owner, p), p.Offset))
}

// Open returns the place that a token names. All failures are ErrInvalid.
func (c *Codec) Open(owner, token string) (Position, error) {
	if len(token) > MaxTokenBytes {
		return Position{}, ErrInvalid
	}
	prefix, number, ok := strings.Cut(token, ".")
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
	return decode(body, number)
}

func decode(body []byte, number string) (Position, error) {
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
	h := hmac.New(sha256.New, c.secret)
	h.Write([]byte(owner))
	h.Write([]byte{0})
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}
