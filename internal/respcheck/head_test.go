package respcheck

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// TestNoByteOutsideOfTokensIsInAName checks for every byte whether a name may have it, by net/http and this package together.
func TestNoByteOutsideOfTokensIsInAName(t *testing.T) {
	const tokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz" // RFC 9110, 5.6.2
	for b := range 256 {
		if b == ':' { // ends the name
			continue
		}
		raw := "HTTP/1.1 200 OK\r\nA" + string([]byte{byte(b)}) + "B: 1\r\n\r\n"
		valid := strings.IndexByte(tokenBytes, byte(b)) >= 0
		if err := readHead(raw); (err == nil) != valid {
			t.Errorf("byte %#x: %v, want valid %t", b, err, valid)
		}
	}
}

// readHead reads and checks a head.
func readHead(raw string) error {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
	if err != nil {
		return err
	}
	return Head(resp)
}

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

		"HTTP/1.0 200 OK\r\n\r\n":        true,
		"HTTP/1.7 200 OK\r\n\r\n":        true,
		"HTTP/1.1 200 \tO\xe9 K\r\n\r\n": true,
		"HTTP/0.9 200 OK\r\n\r\n":        false,
		"HTTP/2.0 200 OK\r\n\r\n":        false,
		"HTTP/1.1 200 O\x00K\r\n\r\n":    false,
		"HTTP/1.1 200 O\rK\r\n\r\n":      false,
		"HTTP/1.1 200 O\x7fK\r\n\r\n":    false,

		"HTTP/1.1 200 OK\r\nX-One: 1\r\n\r\n":                            true,
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: a blank\tand a tab\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nX-One:\r\n\r\n":                              true,
		"HTTP/1.1 200 OK\r\nX-One: 1\r\n 2\r\n\r\n":                      true,
		"HTTP/1.1 200 OK\r\nX One: 1\r\n\r\n":                            false,
		"HTTP/1.1 200 OK\r\nX-One : 1\r\n\r\n":                           false,
		"HTTP/1.1 200 OK\r\n : 1\r\n\r\n":                                false,
		"HTTP/1.1 200 OK\r\n: 1\r\n\r\n":                                 false,
		"HTTP/1.1 200 OK\r\nX-One\t: 1\r\n\r\n":                          false,
		"HTTP/1.1 200 OK\r\nX-One\r\n\r\n":                               false,
		"HTTP/1.1 200 OK\r\nX(One): 1\r\n\r\n":                           false,
		"HTTP/1.1 103 X\r\nX One: 1\r\n\r\n":                             false,
	} {
		if err := readHead(raw); (err == nil) != valid {
			t.Errorf("%q: %v, want valid %t", raw, err, valid)
		}
	}
}
