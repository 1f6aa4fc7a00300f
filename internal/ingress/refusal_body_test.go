package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendPartOfBody sends a request whose body stops after a part, and returns the response, or nil
// if there is none within a time.
func sendPartOfBody(t *testing.T, ts *testServer, path, part string, length int, within time.Duration) *http.Response {
	conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
	if err != nil {
		t.Error(err)
		return nil
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(within))
	go func() {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: id-1\r\nX-Key: key\r\nX-Wait-Ms: 500\r\nContent-Length: %d\r\n\r\n", path, length)
		_, _ = io.WriteString(conn, part)
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("%s: %v", path, err)
		return nil
	}
	return resp
}

// TestRefusalDoesNotWaitForTheRestOfTheBody guards against a caller without an answer: a request
// whose body stops midway is refused, and net/http must not wait for the rest of it before.
func TestRefusalDoesNotWaitForTheRestOfTheBody(t *testing.T) {
	for path, want := range map[string]int{
		"/idempotent/x": http.StatusRequestTimeout,
		"/none/x":       http.StatusNotFound,
	} {
		ts := startTestServer(t, func(_ int, conn net.Conn, _ *http.Request) { writeCompleteResponse(conn, "good") })
		resp := sendPartOfBody(t, ts, path, "part", 100, 2*time.Second)
		if resp != nil && (resp.StatusCode != want || !resp.Close) {
			t.Errorf("%s: status %d, close %t; want %d on a connection that is closed", path, resp.StatusCode, resp.Close, want)
		}
	}
}

// TestConnectionSurvivesARefusal checks that a connection is used again after a refusal if the
// request's body arrives.
func TestConnectionSurvivesARefusal(t *testing.T) {
	ts := startTestServer(t, func(_ int, conn net.Conn, _ *http.Request) { writeCompleteResponse(conn, "good") })
	conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	for _, path := range []string{"/none/x", "/idempotent/x", "/none/x", "/idempotent/x"} {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: id-1\r\nX-Key: key\r\nContent-Length: 4\r\n\r\nbo", path)
		time.Sleep(unreadBodyTimeout / 5)
		_, _ = io.WriteString(conn, "dy")
		resp, err := http.ReadResponse(answers, nil)
		if err != nil || resp.Close {
			t.Fatalf("%s: %v, %+v", path, err, resp)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		time.Sleep(2 * unreadBodyTimeout)
	}
}
