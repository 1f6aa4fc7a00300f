package placement

import (
	"encoding/base64"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// HintTTL is how long a hint takes precedence over the ranking. A prefix that was not used for
	// longer has probably been evicted from the endpoint's cache.
	HintTTL = time.Hour

	maxHintBytes = 512
)

// ErrHint is returned for a malformed hint.
var ErrHint = errors.New("placement: malformed hint")

// Hint names the endpoint that served a chat's last turn.
type Hint struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    fleet.EndpointID
	Incarnation fleet.Incarnation
	Issued      int64 // Unix seconds
}

// Format encodes a hint as opaque text.
func (h Hint) Format() string {
	b, err := cbor.Marshal(h)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return base64.RawURLEncoding.EncodeToString(b)
}

// ParseHint decodes the text of a hint. The hint is not authenticated.
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

// Fresh reports whether the hint takes precedence over the ranking at now: its time of issue is less
// than HintTTL ago, or less than HintTTL ahead because of clock skew.
func (h Hint) Fresh(now time.Time) bool {
	age := now.Sub(time.Unix(h.Issued, 0))
	return age < HintTTL && age > -HintTTL
}
