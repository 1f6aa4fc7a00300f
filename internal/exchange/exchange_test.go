package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const timeout = 5 * time.Second

// startEndpoint starts an endpoint that serves one connection with serve, and returns its
// address.
func startEndpoint(t *testing.T, serve func(conn net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		serve(conn)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String()
}

// readHead reads the head of a request, byte by byte so as not to consume the body.
func readHead(conn net.Conn) string {
	var b []byte
	one := make([]byte, 1)
	for !strings.HasSuffix(string(b), "\r\n\r\n") {
		if _, err := conn.Read(one); err != nil {
			return string(b)
		}
		b = append(b, one[0])
	}
	return string(b)
}

func request(body string) *Request {
	return &Request{Method: http.MethodPost, Target: "/a%2Fb?x=1&x=2", Host: "desk.test", Header: http.Header{"X-One": {"1"}}, Body: [][]byte{[]byte(body)}}
}

func do(t *testing.T, addr string, rq *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return NewClient(timeout).Do(ctx, addr, rq)
}

// TestErrorMaybeSent checks that a failed request is reported as not sent if the connection could
// not be established, and as possibly sent if it was written to a connection. Otherwise a request
// that may have run would be retried.
func TestErrorMaybeSent(t *testing.T) {
	// The local address of an open connection refuses connections, and no listener can get its port,
	// unlike the port of a closed listener.
	conn, err := net.Dial("tcp", startEndpoint(t, func(net.Conn) {}))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for name, tc := range map[string]struct {
		addr string
		sent bool
	}{
		"refused":                   {conn.LocalAddr().String(), false},
		"closed without a response": {startEndpoint(t, func(conn net.Conn) { readHead(conn) }), true},
		"truncated in the head": {startEndpoint(t, func(conn net.Conn) {
			readHead(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le")
		}), true},
		"no HTTP": {startEndpoint(t, func(conn net.Conn) {
			readHead(conn)
			_, _ = io.WriteString(conn, "250 hello\r\n\r\n")
		}), true},
		"another protocol": {startEndpoint(t, func(conn net.Conn) {
			readHead(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n")
		}), true},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := do(t, tc.addr, request("body"))
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("error %v", err)
			}
			if e.MaybeSent != tc.sent || e.ConnectFailed == tc.sent {
				t.Errorf("maybe sent %t, connect failed %t: %v", e.MaybeSent, e.ConnectFailed, e)
			}
		})
	}
}

// TestOnTheWire checks the bytes that an endpoint receives: the target and the headers are
// unchanged, and net/http adds only "Connection: close" and the Content-Length. It also checks
// that interim responses are skipped.
func TestOnTheWire(t *testing.T) {
	got := make(chan string, 1)
	addr := startEndpoint(t, func(conn net.Conn) {
		head := readHead(conn)
		body := make([]byte, 4)
		_, _ = io.ReadFull(conn, body)
		got <- head + string(body)
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	resp, err := do(t, addr, request("body"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	want := "POST /a%2Fb?x=1&x=2 HTTP/1.1\r\nHost: desk.test\r\nConnection: close\r\nContent-Length: 4\r\nX-One: 1\r\n\r\nbody"
	if s := <-got; s != want {
		t.Errorf("got  %q\nwant %q", s, want)
	}
	if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "ok" || resp.Status != http.StatusOK || !resp.Framed {
		t.Errorf("response %d %q, %v, framed %t", resp.Status, b, err, resp.Framed)
	}
}

// TestAnswerBeforeTheBodyIsRead checks that an endpoint that responds before it reads the body
// still gets the whole body.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	body := strings.Repeat("0123456789", 1<<20)
	rest := make(chan int, 1)
	addr := startEndpoint(t, func(conn net.Conn) {
		readHead(conn)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		n, _ := io.CopyN(io.Discard, conn, int64(len(body)))
		rest <- int(n)
	})
	resp, err := do(t, addr, request(body))
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "ok" {
		t.Errorf("response %q, %v", b, err)
	}
	if n := <-rest; n != len(body) {
		t.Errorf("the endpoint got %d of %d bytes", n, len(body))
	}
	resp.Close()
}

// TestWholeBodies checks that a truncated body is an error, and that a body that is delimited only
// by the end of the connection is marked as not framed.
func TestWholeBodies(t *testing.T) {
	for name, tc := range map[string]struct {
		response         string
		complete, framed bool
	}{
		"length, truncated":      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, true},
		"chunked":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true, true},
		"chunked, truncated":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, true},
		"delimited by the close": {"HTTP/1.1 200 OK\r\n\r\nok", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := do(t, startEndpoint(t, func(conn net.Conn) {
				readHead(conn)
				_, _ = io.CopyN(io.Discard, conn, 4)
				_, _ = io.WriteString(conn, tc.response)
			}), request("body"))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			_, err = io.ReadAll(resp.Body)
			if (err == nil) != tc.complete || resp.Framed != tc.framed {
				t.Errorf("error %v, framed %t", err, resp.Framed)
			}
		})
	}
}

// TestEndOfContext checks that cancelling the context closes the connection to the endpoint,
// before the response head and while the body is read.
func TestEndOfContext(t *testing.T) {
	for name, response := range map[string]string{"before the head": "", "in the body": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended := make(chan error, 1)
			addr := startEndpoint(t, func(conn net.Conn) {
				readHead(conn)
				_, _ = io.CopyN(io.Discard, conn, 4)
				_, _ = io.WriteString(conn, response)
				if response == "" {
					cancel()
				}
				_, err := conn.Read(make([]byte, 1))
				ended <- err
			})
			resp, err := NewClient(timeout).Do(ctx, addr, request("body"))
			if err == nil {
				defer resp.Close()
				_, _ = io.ReadFull(resp.Body, make([]byte, 2))
				cancel()
			}
			if err := <-ended; err == nil {
				t.Error("the connection is still open")
			}
		})
	}
}
