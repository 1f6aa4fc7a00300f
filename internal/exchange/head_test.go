package exchange

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// sentWithoutEnd is how many bytes the endpoints of these tests send at most: many times what the
// buffers of a connection hold.
const sentWithoutEnd = 32 << 20

// sendWithoutEnd sends the response to a request: a beginning, and then a piece again and again
// until the connection is closed. It returns whether it was closed before sentWithoutEnd bytes.
func sendWithoutEnd(conn net.Conn, begin, piece string) bool {
	readHead(conn)
	_, _ = io.CopyN(io.Discard, conn, 4)
	_, _ = io.WriteString(conn, begin)
	many := strings.Repeat(piece, 16<<10/len(piece)+1)
	for sent := 0; sent < sentWithoutEnd; sent += len(many) {
		if _, err := io.WriteString(conn, many); err != nil {
			return true
		}
	}
	return false
}

// TestHeadWithoutEndIsCutOff checks that the connection is closed as soon as the head of a response
// exceeds a bound, and that the request counts as possibly sent.
func TestHeadWithoutEndIsCutOff(t *testing.T) {
	for name, tc := range map[string]struct {
		begin, piece string
		want         error
	}{
		"no line":           {"", "x", ErrHeadTooLarge},
		"status line":       {"HTTP/1.1 200 ", "x", ErrHeadTooLarge},
		"field name":        {"HTTP/1.1 200 OK\r\n", "x", ErrHeadTooLarge},
		"field value":       {"HTTP/1.1 200 OK\r\nX-One: ", "x", ErrHeadTooLarge},
		"continued field":   {"HTTP/1.1 200 OK\r\nX-One: x\r\n", " x\r\n", ErrHeadTooLarge},
		"fields":            {"HTTP/1.1 200 OK\r\n", "X-One: 1\r\n", ErrHeadTooLarge},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n", ErrTooManyInterim},
		"interim fields":    {"HTTP/1.1 103 Early Hints\r\n", "Link: <x>\r\n", ErrHeadTooLarge},
		"large interim responses": {
			"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", maxHeadBytes/4) + "\r\n\r\n", ErrHeadTooLarge,
		},
	} {
		t.Run(name, func(t *testing.T) {
			cut := make(chan bool, 1)
			addr := startEndpoint(t, func(conn net.Conn) { cut <- sendWithoutEnd(conn, tc.begin, tc.piece) })
			_, err := do(t, addr, request("body"))
			var e *Error
			if !errors.As(err, &e) || !errors.Is(err, tc.want) || !e.MaybeSent || e.ConnectFailed {
				t.Errorf("error %v, want %v", err, tc.want)
			}
			if !<-cut {
				t.Errorf("%d bytes were sent on an open connection", sentWithoutEnd)
			}
		})
	}
}

// headOf returns the head of a response without a body, of a size in bytes and with a number of
// fields.
func headOf(size, fields int) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")
	for i := 1; i < fields; i++ {
		fmt.Fprintf(&b, "X-%d: 1\r\n", i)
	}
	padding := size - b.Len() - len("Pad: \r\n\r\n")
	if padding >= 0 {
		b.WriteString("Pad: " + strings.Repeat("x", padding) + "\r\n")
	}
	return b.String() + "\r\n"
}

// TestBoundsOfTheHead checks that a head of exactly the bounds is received, also after as many
// interim responses as are allowed, and that a larger one is not.
func TestBoundsOfTheHead(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	allowed := strings.Repeat(interim, maxInterim)
	for name, tc := range map[string]struct {
		response string
		want     error
	}{
		"bytes":                 {headOf(maxHeadBytes, 1), nil},
		"a byte more":           {headOf(maxHeadBytes+1, 1), ErrHeadTooLarge},
		"fields":                {headOf(0, maxHeadFields), nil},
		"a field more":          {headOf(0, maxHeadFields+1), ErrHeadTooLarge},
		"interim":               {allowed + headOf(0, 1), nil},
		"an interim more":       {allowed + interim + headOf(0, 1), ErrTooManyInterim},
		"bytes with interim":    {allowed + headOf(maxHeadBytes-len(allowed), 1), nil},
		"a byte more in all":    {allowed + headOf(maxHeadBytes-len(allowed)+1, 1), ErrHeadTooLarge},
		"a body after the head": {strings.Replace(headOf(maxHeadBytes, 1), "Length: 0", "Length: 9", 1) + "body body", nil},
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := do(t, startEndpoint(t, func(conn net.Conn) {
				readHead(conn)
				_, _ = io.CopyN(io.Discard, conn, 4)
				_, _ = io.WriteString(conn, tc.response)
				_, _ = io.Copy(io.Discard, conn)
			}), request("body"))
			if !errors.Is(err, tc.want) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
			if resp != nil {
				if _, err := io.ReadAll(resp.Body); err != nil {
					t.Errorf("body: %v", err)
				}
				resp.Close()
			}
		})
	}
}

// TestErrorTextIsBounded checks that what an endpoint sends instead of a response does not end up
// in the log.
func TestErrorTextIsBounded(t *testing.T) {
	_, err := do(t, startEndpoint(t, func(conn net.Conn) {
		readHead(conn)
		_, _ = io.CopyN(io.Discard, conn, 4)
		_, _ = io.WriteString(conn, strings.Repeat("x", maxHeadBytes/2)+"\r\n\r\n")
	}), request("body"))
	if err == nil || len(err.Error()) > maxErrorBytes {
		t.Errorf("error of %d bytes: %v", len(err.Error()), err)
	}
}

// TestTransferCodingInABodyOfHTTP10 guards against a body of HTTP/1.0 whose text is taken for a field of its head.
func TestTransferCodingInABodyOfHTTP10(t *testing.T) {
	const text = "\r\nTransfer-Encoding: chunked\r\n"
	for _, framing := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", len(text))} {
		resp, err := do(t, startEndpoint(t, func(conn net.Conn) {
			readHead(conn)
			_, _ = io.CopyN(io.Discard, conn, 4)
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n"+framing+"\r\n"+text)
		}), request("body"))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); err != nil || string(got) != text {
			t.Errorf("%q: got %q, %v", framing, got, err)
		}
		resp.Close()
	}
}
