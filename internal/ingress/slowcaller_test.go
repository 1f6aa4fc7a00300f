package ingress

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestSlowCallerIsNotTakenForASilentEndpoint guards against blaming the endpoint for the time in which the caller does
// not read.
func TestSlowCallerIsNotTakenForASilentEndpoint(t *testing.T) {
	const events = 200
	padding := strings.Repeat("x", 60_000)
	ts := startTestServer(t, func(_ int, c net.Conn, r *http.Request) {
		writeStreamHead(c)
		after, _ := strconv.Atoi(r.Header.Get("X-After"))
		for n := after + 1; n <= events; n++ {
			writeChunk(c, strings.Replace(eventText(n), "piece", padding, 1))
		}
		endChunkedBody(c)
	})
	ts.publishUrgentConfig()
	r, _ := http.NewRequest("POST", ts.url+"/resumable/x", nil)
	r.Host = "h"
	r.Header.Set("X-Id", "id-1")
	r.Header.Set("X-Key", "key")
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	time.Sleep(1500 * time.Millisecond)
	got, err := io.ReadAll(resp.Body)
	if want := events * (len(eventText(1)) - len("piece") + len(padding)); err != nil || len(got) < want {
		t.Errorf("got %d of %d bytes, %v", len(got), want, err)
	}
	if n := ts.arrivals(); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}
