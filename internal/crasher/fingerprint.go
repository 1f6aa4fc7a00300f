package crasher

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Fingerprint identifies the content of a request: the start of a SHA-256 hash. It is the same for all attempts of a
// request and all gateways. Zero stands for none.
//
// It covers the workspace, so that no caller can make a request of another workspace look like a deadly request, and the
// content, so that requests that only share a prompt's prefix, a path or a body are told apart. Requests without a
// workspace share one scope.
type Fingerprint uint64

// fingerprintDigits is the length of a fingerprint in text.
const fingerprintDigits = 16

// Content is what decides how endpoints run a request, without what differs between its attempts.
type Content struct {
	Workspace fleet.WorkspaceID // "" for a request without a key
	Method    string
	Host      string
	Target    string // path and query
	Model     string
	Headers   []string // values of further headers that change what an endpoint does
	Prompt    []uint64 // IDs of the prompt's parts
	Body      [][]byte
}

// FingerprintOf returns the fingerprint of a content, which is never 0.
func FingerprintOf(c Content) Fingerprint {
	h := sha256.New()
	texts := append([]string{string(c.Workspace), c.Method, strings.ToLower(c.Host), c.Target, c.Model}, c.Headers...)
	writeNumber(h, uint64(len(texts)))
	for _, s := range texts {
		writeNumber(h, uint64(len(s)))
		h.Write([]byte(s))
	}
	writeNumber(h, uint64(len(c.Prompt)))
	for _, id := range c.Prompt {
		writeNumber(h, id)
	}
	for _, chunk := range c.Body {
		h.Write(chunk)
	}
	return max(Fingerprint(binary.BigEndian.Uint64(h.Sum(nil))), 1)
}

func writeNumber(h hash.Hash, n uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	h.Write(b[:])
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string {
	s := strconv.FormatUint(uint64(f), 16)
	return strings.Repeat("0", fingerprintDigits-len(s)) + s
}

// ParseFingerprint parses the result of String.
func ParseFingerprint(s string) (Fingerprint, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || n == 0 || len(s) != fingerprintDigits {
		return 0, errors.Errorf("fingerprint %q: want 16 hexadecimal digits", s)
	}
	return Fingerprint(n), nil
}
