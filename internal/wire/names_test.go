package wire

import (
	"strings"
	"testing"
)

// TestEveryKindHasItsOwnName checks that each kind is decoded and has a unique name, and that
// undefined values of all enumerations are named "unknown".
func TestEveryKindHasItsOwnName(t *testing.T) {
	seen := map[string]Kind{}
	for k := KindClaim; k <= KindOriginReply; k++ {
		if _, err := decodeBody(k, nil); err != nil && strings.HasPrefix(err.Error(), "unknown message kind") {
			t.Errorf("kind %d is not decoded", k)
		}
		if other, ok := seen[k.String()]; ok || k.String() == unknownName {
			t.Errorf("kind %d has the name %q, as has kind %d", k, k, other)
		}
		seen[k.String()] = k
	}
	for _, name := range []string{Kind(0).String(), Kind(255).String(), LeaseResult(255).String(), RedeemResult(0).String(), ResourceKind(9).String()} {
		if name != unknownName {
			t.Errorf("an undefined value is named %q", name)
		}
	}
}
