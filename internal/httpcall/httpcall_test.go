package httpcall

import (
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sentWithoutEnd is how many bytes the servers of these tests send at most: many times what the
// buffers of a connection hold.
const sentWithoutEnd = 32 << 20

const maxBody = 64 << 10

// get sends a request with a client of this package.
func get(t *testing.T, url string) (Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return Get(ctx, NewClient(&http.Transport{DisableKeepAlives: true}), url, maxBody)
}

// startRaw starts a server that answers one request with a beginning and a piece again and again.
// The channel tells whether the connection was closed before sentWithoutEnd bytes.
func startRaw(t *testing.T, begin, piece string) (url string, cut chan bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	cut = make(chan bool, 1)
	many := strings.Repeat(piece, 16<<10/len(piece)+1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(conn, begin)
		for sent := 0; sent < sentWithoutEnd; sent += len(many) {
			if _, err := io.WriteString(conn, many); err != nil {
				cut <- true
				return
			}
		}
		cut <- false
	}()
	return "http://" + l.Addr().String(), cut
}

// TestResponseWithoutEndIsCutOff checks that a head or a body without end is an error, and that the
// connection is closed.
func TestResponseWithoutEndIsCutOff(t *testing.T) {
	for name, tc := range map[string]struct{ begin, piece string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"field":             {"HTTP/1.1 200 OK\r\nX-One: ", "x"},
		"fields":            {"HTTP/1.1 200 OK\r\n", "X-One: 1\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":              {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"announced body":    {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
		"trailer":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-One: 1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			url, cut := startRaw(t, tc.begin, tc.piece)
			if r, err := get(t, url); err == nil {
				t.Errorf("status %d with a body of %d bytes", r.Status, len(r.Body))
			}
			if !<-cut {
				t.Errorf("%d bytes were sent on an open connection", sentWithoutEnd)
			}
		})
	}
}

// TestLargeHeadIsAnError checks the bound on the head, which is far below that of net/http.
func TestLargeHeadIsAnError(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-One", strings.Repeat("x", MaxHeadBytes))
	}))
	defer srv.Close()
	if r, err := get(t, srv.URL); err == nil {
		t.Errorf("status %d with a head of more than %d bytes", r.Status, MaxHeadBytes)
	}
}

// TestCompressedBodyIsBoundedAsRead checks that the bound counts what is decompressed.
func TestCompressedBodyIsBoundedAsRead(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		zeros := make([]byte, 1<<20)
		for range sentWithoutEnd / len(zeros) {
			if _, err := z.Write(zeros); err != nil {
				return
			}
		}
		_ = z.Close()
	}))
	defer srv.Close()
	if r, err := get(t, srv.URL); !errors.Is(err, ErrTooLarge) {
		t.Errorf("%d bytes, %v; want %v", len(r.Body), err, ErrTooLarge)
	}
}

// TestRedirectIsNotFollowed guards against being sent to other addresses, and in circles.
func TestRedirectIsNotFollowed(t *testing.T) {
	requests := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		http.Redirect(w, r, "/again", http.StatusFound)
	}))
	defer srv.Close()
	if r, err := get(t, srv.URL); err != nil || r.Status != http.StatusFound || requests != 1 {
		t.Errorf("status %d, %v after %d requests", r.Status, err, requests)
	}
}
