package respcheck

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
)

// maxStatus is the largest valid status (RFC 9110, 15).
const maxStatus = 599

// HeadError reports a head that is not a valid one of a response, although net/http accepts it.
type HeadError struct{ Detail string }

// Error implements error.
func (e *HeadError) Error() string { return "invalid head of a response: " + e.Detail }

// Head returns a *HeadError if the head of a response is invalid. It accepts interim (1xx) responses.
func Head(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &HeadError{fmt.Sprintf("version %q", resp.Proto)}
	}
	if strings.ContainsFunc(resp.Status, isControl) {
		return &HeadError{fmt.Sprintf("reason %q", resp.Status)}
	}
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return &HeadError{fmt.Sprintf("status %03d", resp.StatusCode)}
	}
	for name := range resp.Header {
		if !validName(name) {
			return &HeadError{fmt.Sprintf("field name %q", name)}
		}
	}
	return nil
}

// isControl reports whether a character may not occur in a reason (RFC 9112, 4).
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// validName reports whether the name of a field is valid. net/http accepts blanks in it beyond what RFC 9110, 5.1, allows.
func validName(name string) bool { return name != "" && !strings.Contains(name, " ") }

// Framing returns a *HeadError if the framing of a response cannot be told, given the bytes that its head was read from: net/http drops
// the transfer coding of an HTTP/1.0 response, which would then be taken for a part of the body (RFC 9112, 6.1).
func Framing(resp *http.Response, head []byte) error {
	if !resp.ProtoAtLeast(1, 1) && transferCoding.Match(head) {
		return &HeadError{"a transfer coding in HTTP/1.0"}
	}
	return nil
}

// transferCoding matches the beginning of a field with a transfer coding.
var transferCoding = regexp.MustCompile(`(?i)\nTransfer-Encoding:`)
