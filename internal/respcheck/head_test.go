package respcheck

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// TestHead checks which heads are valid, by net/http and this package together.
func TestHead(t *testing.T) {
	for raw, valid := range map[string]bool{
		"HTTP/1.1 100 Continue\r\n\r\n": true,
		"HTTP/1.1 199 X\r\n\r\n":        true,
		"HTTP/1.1 200 OK\r\n\r\n":       true,
		"HTTP/1.1 200\r\n\r\n":          true,
		"HTTP/1.1 599 X\r\n\r\n":        true,
		"HTTP/1.1 000 X\r\n\r\n":        false,
		"HTTP/1.1 099 X\r\n\r\n":        false,
		"HTTP/1.1 +20 X\r\n\r\n":        false,
		"HTTP/1.1 -20 X\r\n\r\n":        false,
		"HTTP/1.1 600 X\r\n\r\n":        false,
		"HTTP/1.1 999 X\r\n\r\n":        false,
		"HTTP/1.1 2000 X\r\n\r\n":       false,
		"HTTP/1.1 20 X\r\n\r\n":         false,
		"HTTP/1.1 2x0 X\r\n\r\n":        false,
	} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
		if err == nil {
			err = Head(resp)
			var invalid *HeadError
			if err != nil && !errors.As(err, &invalid) {
				t.Errorf("%q: error of type %T", raw, err)
			}
		}
		if (err == nil) != valid {
			t.Errorf("%q: %v, want valid %t", raw, err, valid)
		}
	}
}
