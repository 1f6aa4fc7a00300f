package respcheck

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

var errReset = errors.New("reset")

// readBody reads the body of a response whose request was written with a result.
func readBody(t *testing.T, method, raw string, written error) (string, error) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	body := Body(resp, func() error { return written })
	text, err := io.ReadAll(body)
	if _, again := body.Read(make([]byte, 1)); again == nil || err != nil && again != err {
		t.Errorf("after the end, error %v: %v", err, again)
	}
	return string(text), err
}

// TestEndOfBody guards against the end of a connection that is taken for the end of a body although the request was not written whole,
// and against a body with an end of its own that is taken for broken.
func TestEndOfBody(t *testing.T) {
	for name, tc := range map[string]struct {
		method, raw string
		written     error
		complete    bool
	}{
		"ends with the connection":              {"POST", "HTTP/1.1 200 OK\r\n\r\ntext", nil, true},
		"ends with the connection, not read":    {"POST", "HTTP/1.1 200 OK\r\n\r\ntext", errReset, false},
		"empty, ends with the connection":       {"POST", "HTTP/1.1 200 OK\r\n\r\n", errReset, false},
		"failure that ends with the connection": {"POST", "HTTP/1.1 500 X\r\n\r\ntext", errReset, false},
		"HTTP/1.0":                              {"POST", "HTTP/1.0 200 OK\r\n\r\ntext", errReset, false},
		"length":                                {"POST", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext", errReset, true},
		"chunks":                                {"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n", errReset, true},
		"no content":                            {"POST", "HTTP/1.1 204 X\r\n\r\n", errReset, true},
		"head only":                             {"HEAD", "HTTP/1.1 200 OK\r\n\r\n", errReset, true},
	} {
		t.Run(name, func(t *testing.T) {
			text, err := readBody(t, tc.method, tc.raw, tc.written)
			if (err == nil) != tc.complete || !tc.complete && !errors.Is(err, errReset) {
				t.Errorf("%q, %v; want complete %t", text, err, tc.complete)
			}
		})
	}
}
