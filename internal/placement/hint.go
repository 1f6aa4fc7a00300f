package placement

import (
	"encoding/base64"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// HintTTL is how long a hint is preferred over the rank. A prefix that was not
	// used for longer has probably been evicted.
	HintTTL = time.Hour

	maxHintBytes = 512
)

// ErrHint reports a hint that cannot be read.
var ErrHint = errors.New("placement: malformed hint")

// Hint names the endpoint that served a chat's last turn.
type Hint struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    fleet.EndpointID
	Incarnation fleet.Incarnation
	Issued      int64 // Unix seconds
}

// Format returns the opaque text of a hint.
func (h Hint) Format() string {
	b, err := cbor.Marshal(h)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return base64.RawURLEncoding.EncodeToString(b)
}

// ParseHint reads the text of a hint.
func ParseHint(s string) (Hint, error) {
	if len(s) > maxHintBytes {
		return Hint{}, ErrHint
	}
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return Hint{}, ErrHint
	}
	var h Hint
	if err := cbor.Unmarshal(b, &h); err != nil {
		return Hint{}, ErrHint
	}
	return h, nil
}

// Fresh tells whether the hint is preferred over the rank at now.
func (h Hint) Fresh(now time.Time) bool {
	age := now.Sub(time.Unix(h.Issued, 0))
	return age < HintTTL && age > -HintTTL
}
