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

// endpoint plays one connection of an endpoint: it runs serve, and the result is what it
// read, at the end of the connection.
func endpoint(t *testing.T, serve func(conn net.Conn)) string {
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

// readHead reads up to the end of a request's head.
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
	return &Request{Method: http.MethodPost, Target: "/a%2Fb?x=1&x=2", Host: "desk.test", Header: http.Header{"X-One": {"1"}}, Body: []byte(body)}
}

func do(t *testing.T, addr string, rq *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return NewClient(timeout).Do(ctx, addr, rq)
}

// TestWhetherItWasSent: only a request whose connection could not be made is said not to
// have been handed over.
func TestWhetherItWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := l.Addr().String()
	_ = l.Close()
	for name, tc := range map[string]struct {
		addr string
		sent bool
	}{
		"refused":               {gone, false},
		"closed without a word": {endpoint(t, func(conn net.Conn) { readHead(conn) }), true},
		"cut in the head": {endpoint(t, func(conn net.Conn) {
			readHead(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le")
		}), true},
		"no HTTP": {endpoint(t, func(conn net.Conn) {
			readHead(conn)
			_, _ = io.WriteString(conn, "250 hello\r\n\r\n")
		}), true},
		"another protocol": {endpoint(t, func(conn net.Conn) {
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
			if e.Sent != tc.sent || e.ConnectFailed == tc.sent {
				t.Errorf("sent %t, connect %t: %v", e.Sent, e.ConnectFailed, e)
			}
		})
	}
}

// TestOnTheWire: an endpoint gets what the caller sent, and nothing that net/http adds.
func TestOnTheWire(t *testing.T) {
	got := make(chan string, 1)
	addr := endpoint(t, func(conn net.Conn) {
		head := readHead(conn)
		body := make([]byte, 4)
		_, _ = io.ReadFull(conn, body)
		got <- head + string(body)
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	a, err := do(t, addr, request("body"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	want := "POST /a%2Fb?x=1&x=2 HTTP/1.1\r\nHost: desk.test\r\nConnection: close\r\nContent-Length: 4\r\nX-One: 1\r\n\r\nbody"
	if s := <-got; s != want {
		t.Errorf("got  %q\nwant %q", s, want)
	}
	if b, err := io.ReadAll(a.Body); err != nil || string(b) != "ok" || a.Status != http.StatusOK || !a.Framed {
		t.Errorf("answer %d %q, %v, framed %t", a.Status, b, err, a.Framed)
	}
}

// TestAnswerBeforeTheBodyIsRead: an endpoint that answers first still gets the whole body.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	body := strings.Repeat("0123456789", 1<<20)
	rest := make(chan int, 1)
	addr := endpoint(t, func(conn net.Conn) {
		readHead(conn)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		n, _ := io.CopyN(io.Discard, conn, int64(len(body)))
		rest <- int(n)
	})
	a, err := do(t, addr, request(body))
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(a.Body); err != nil || string(b) != "ok" {
		t.Errorf("answer %q, %v", b, err)
	}
	if n := <-rest; n != len(body) {
		t.Errorf("the endpoint got %d of %d bytes", n, len(body))
	}
	a.Close()
}

// TestWholeBodies: a body that was cut does not look whole, and one whose end is the end
// of the connection says so.
func TestWholeBodies(t *testing.T) {
	for name, tc := range map[string]struct {
		answer        string
		whole, framed bool
	}{
		"length, cut":   {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, true},
		"chunked":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true, true},
		"chunked, cut":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, true},
		"until the end": {"HTTP/1.1 200 OK\r\n\r\nok", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			a, err := do(t, endpoint(t, func(conn net.Conn) {
				readHead(conn)
				_, _ = io.CopyN(io.Discard, conn, 4)
				_, _ = io.WriteString(conn, tc.answer)
			}), request("body"))
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			_, err = io.ReadAll(a.Body)
			if (err == nil) != tc.whole || a.Framed != tc.framed {
				t.Errorf("error %v, framed %t", err, a.Framed)
			}
		})
	}
}

// TestEndOfContext: when the caller is gone, the endpoint's connection ends, before the
// head of the answer and in its body.
func TestEndOfContext(t *testing.T) {
	for name, answer := range map[string]string{"before the head": "", "in the body": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended := make(chan error, 1)
			addr := endpoint(t, func(conn net.Conn) {
				readHead(conn)
				_, _ = io.CopyN(io.Discard, conn, 4)
				_, _ = io.WriteString(conn, answer)
				if answer == "" {
					cancel()
				}
				_, err := conn.Read(make([]byte, 1))
				ended <- err
			})
			a, err := NewClient(timeout).Do(ctx, addr, request("body"))
			if err == nil {
				defer a.Close()
				_, _ = io.ReadFull(a.Body, make([]byte, 2))
				cancel()
			}
			if err := <-ended; err == nil {
				t.Error("the connection goes on")
			}
		})
	}
}
