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

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

// sendEventsWithoutEnd sends a stream of valid events of 16 KiB until the connection is closed.
func sendEventsWithoutEnd(_ int, conn net.Conn, _ *http.Request) {
	writeStreamHead(conn)
	padding := strings.Repeat("x", 16<<10)
	for n := 1; ; n++ {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", n, padding)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
	}
}

// dialStream requests a stream with a timeout and returns the connection.
func dialStream(t *testing.T, ts *testServer, timeout time.Duration) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(conn, "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Id: id-1\r\nX-Key: key\r\nX-Wait-Ms: %d\r\nContent-Length: 0\r\n\r\n", timeout.Milliseconds())
	return conn
}

// inFlight returns the number of attempts in progress.
func (ts *testServer) inFlight() int {
	n := 0
	ts.control.Do(func(s *control.State, now boottime.Instant) {
		for _, e := range s.Dump(now).Endpoints {
			n += int(e.InFlight)
		}
	})
	return n
}

// TestEventsWithoutEndUseNoMemory: a stream of valid events without end is forwarded until the
// deadline, in constant memory, and its caller sees that it is incomplete.
func TestEventsWithoutEndUseNoMemory(t *testing.T) {
	ts := startTestServer(t, sendEventsWithoutEnd)
	var read int64
	var err error
	peak := peakMemory(func() {
		conn := dialStream(t, ts, time.Second)
		defer conn.Close()
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			read, err = io.Copy(io.Discard, resp.Body)
		}
	})
	t.Logf("%d MiB of events, peak %d MiB", read>>20, peak>>20)
	if err == nil || read < sentWithoutEnd {
		t.Errorf("read %d bytes, then %v", read, err)
	}
	if peak > instanceBytes {
		t.Errorf("peak of %d MiB, an instance has %d MiB", peak>>20, instanceBytes>>20)
	}
}

// TestStreamsToCallersThatDoNotReadAreNotBuffered: 200 streams without end, whose callers do not
// read, leave the process below the memory of the smallest instance.
func TestStreamsToCallersThatDoNotReadAreNotBuffered(t *testing.T) {
	ts := startTestServer(t, sendEventsWithoutEnd)
	peak := peakMemory(func() {
		for range answersAtOnce {
			defer dialStream(t, ts, time.Second).Close()
		}
		time.Sleep(time.Second)
	})
	t.Logf("peak %d MiB", peak>>20)
	if peak > instanceBytes {
		t.Errorf("peak of %d MiB, an instance has %d MiB", peak>>20, instanceBytes>>20)
	}
}

// TestCallerThatDoesNotReadIsGivenUpAfterItsDeadline guards against a request that is in progress
// for ever, because its caller keeps the connection and reads nothing.
func TestCallerThatDoesNotReadIsGivenUpAfterItsDeadline(t *testing.T) {
	const callers, timeout = 10, time.Second
	ts := startTestServer(t, sendEventsWithoutEnd)
	for range callers {
		conn := dialStream(t, ts, timeout)
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	time.Sleep(timeout / 2)
	if n := ts.inFlight(); n != callers {
		t.Errorf("%d attempts are in progress before the deadline", n)
	}
	time.Sleep(timeout/2 + 2*resumeSlack)
	if n := ts.inFlight(); n > 0 {
		t.Errorf("%d attempts are in progress %v after the deadline", n, 2*resumeSlack)
	}
}

// TestConnectionAfterAnOldDeadline checks that the deadline of a request doesn't end later ones on
// the same connection, whatever becomes of them.
func TestConnectionAfterAnOldDeadline(t *testing.T) {
	ts := startTestServer(t, func(_ int, conn net.Conn, _ *http.Request) { writeCompleteResponse(conn, "good") })
	conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	for _, id := range []string{"id-1", "", "id-1"} { // without an ID: 400
		_, _ = fmt.Fprintf(conn, "POST /idempotent/x HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Key: key\r\nX-Wait-Ms: 10\r\nContent-Length: 0\r\n\r\n", id)
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		time.Sleep(resumeSlack + 50*time.Millisecond)
	}
}
