package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/respcheck"
)

var errNotAccepted = errors.New("not accepted")

// errInvalidHead stands for any *respcheck.HeadError.
var errInvalidHead = errors.New("invalid head")

func isError(err, want error) bool {
	var invalid *respcheck.HeadError
	return errors.Is(err, want) || want == errInvalidHead && errors.As(err, &invalid)
}

func acceptBody(want string) func(int, []byte) error {
	return func(status int, body []byte) error {
		if status != 200 || string(body) != want {
			return errNotAccepted
		}
		return nil
	}
}

// TestCheckGuardsTheRequest: the request reaches the endpoint after an accepted check, on the same connection, and not at all otherwise.
func TestCheckGuardsTheRequest(t *testing.T) {
	good := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7"
	for name, tc := range map[string]struct {
		reply string // to the check
		want  error  // nil: the request is sent
	}{
		"accepted":              {good, nil},
		"another result":        {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n8", errNotAccepted},
		"failure":               {"HTTP/1.1 500 Oops\r\nContent-Length: 1\r\n\r\n7", errNotAccepted},
		"closing":               {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n7", ErrCheckConnClosed},
		"second copy":           {good + good, ErrCheckExtraBytes},
		"body without end":      {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("7", 2*maxCheckBytes), ErrCheckTooLarge},
		"head without end":      {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("7", 2*maxHeadBytes), ErrHeadTooLarge},
		"broken off":            {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n7", io.ErrUnexpectedEOF},
		"closed without a byte": {"", io.ErrUnexpectedEOF},
		"status 000":            {"HTTP/1.1 000 X\r\n\r\n" + good, errInvalidHead},
		"blank in a name":       {"HTTP/1.1 200 OK\r\nX One: 1\r\nContent-Length: 1\r\n\r\n7", errInvalidHead},
	} {
		t.Run(name, func(t *testing.T) {
			heads := make(chan string, 2)
			addr := startEndpoint(t, func(conn net.Conn) {
				heads <- readHead(conn)
				_, _ = io.WriteString(conn, tc.reply)
				if tc.want != nil {
					return
				}
				heads <- readHead(conn)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			})
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			resp, err := NewClient(timeout).DoChecked(ctx, addr, Check{Target: "/check", Accept: acceptBody("7")}, request(""))
			if check := <-heads; !strings.HasPrefix(check, "GET /check HTTP/1.1\r\n") || strings.Contains(check, "close") {
				t.Errorf("the check is %q", check)
			}
			if tc.want == nil {
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Close()
				if head := <-heads; !strings.HasPrefix(head, "POST /a%2Fb?x=1&x=2 ") {
					t.Errorf("the request is %q", head)
				}
				return
			}
			var failed *Error
			if !isError(err, tc.want) || !errors.As(err, &failed) || failed.MaybeSent {
				t.Errorf("error %v, want %v, nothing sent", err, tc.want)
			}
		})
	}
}

func TestFetch(t *testing.T) {
	addr := startEndpoint(t, func(conn net.Conn) {
		head := readHead(conn)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%.8s", head)
	})
	status, body, err := NewClient(timeout).Fetch(t.Context(), addr, "/check")
	if err != nil || status != 200 || string(body) != "GET /che" {
		t.Errorf("got %d %q, %v", status, body, err)
	}
	if _, _, err := NewClient(timeout).Fetch(t.Context(), "127.0.0.1:1", "/check"); err == nil {
		t.Error("no error without an endpoint")
	}
}
