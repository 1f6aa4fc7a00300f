package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

// instanceLimits are those of a usual instance of the platform.
var instanceLimits = limits{memoryMB: 284, descriptors: 4100}

const (
	waitingCallers = 1500            // requests at once at endpoints whose answers have no end
	waitTime       = 3 * time.Second // for which they last
	ordinaryPause  = 20 * time.Millisecond
	piecesPause    = 50 * time.Millisecond // between the pieces that an answer without end goes on with
)

// endlessAnswer is an answer without end: a beginning, a number of bytes that are sent at once, and the pieces that follow in turn.
type endlessAnswer struct {
	head  string // after the status line and the stamp
	begin string
	piece string
	fast  int // bytes of pieces that are sent at once
}

const (
	streamHead  = "Content-Type: text/event-stream\r\n\r\n"
	chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"
)

var endlessAnswers = map[string]endlessAnswer{
	"head":                  {"X-One: ", "", "x", 12 << 10},
	"fields":                {"", "", "X-One: 1\r\n", 2 << 10},
	"event":                 {streamHead, "id: 1\ndata: ", "x", 250 << 10},
	"event of many lines":   {streamHead, "id: 1\n", "data: x\n", 250 << 10},
	"comments":              {streamHead, "", ": x\n", 250 << 10},
	"body without a length": {"\r\n", "", "x", 2 << 20},
	"body with a length":    {"Content-Length: 8000000\r\n\r\n", "", "x", 2 << 20},
	"small body":            {"\r\n", "", "x", 60 << 10},
	"chunks":                {chunkedHead, "", "8\r\nxxxxxxxx\r\n", 2 << 20},
	"extension of a chunk":  {chunkedHead, "1;x=", "x", 4 << 10},
	"trailer":               {chunkedHead, "0\r\n", "X-One: 1\r\n", 3 << 10},
}

// send sends the answer to a request until the connection is closed.
func (a *endlessAnswer) send(c net.Conn, id string) {
	pieces := strings.Repeat(a.piece, 1+(4<<10)/len(a.piece))
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nRequest-Id: %s\r\n%s%s", id, a.head, a.begin)
	for sent := 0; err == nil && sent < a.fast; sent += len(pieces) {
		_, err = io.WriteString(c, pieces)
	}
	for err == nil {
		time.Sleep(piecesPause)
		_, err = io.WriteString(c, a.piece)
	}
}

// startEndless starts an endpoint whose answers have no end, and returns its address.
func startEndless(t *testing.T, a endlessAnswer) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					a.send(c, platformtest.ReadForwarded(r.Header).ID)
				}
			})
		}
	})
	return l.Addr().String()
}

// wait sends a request and reads its answer until its end.
func (g *gateway) wait(route string, n int) {
	c, err := net.DialTimeout("tcp", g.callers, answerWait)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(answerWait))
	fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: h\r\nRequest-Id: w-%d\r\nCredential: %s\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		route, n, key, requestTimeout.Milliseconds())
	_, _ = io.Copy(io.Discard, c)
}

// awaitAnswers lets callers wait for answers on a route, and checks that ordinary requests are answered meanwhile.
func (g *gateway) awaitAnswers(route string) {
	var wg sync.WaitGroup
	for n := range waitingCallers {
		wg.Go(func() {
			for began := time.Now(); time.Since(began) < waitTime; {
				g.wait(route, n)
			}
		})
	}
	descriptors := 0
	for began := time.Now(); time.Since(began) < waitTime; time.Sleep(ordinaryPause) {
		g.expectAnswer(g.requestURL())
		descriptors = max(descriptors, g.descriptors())
	}
	wg.Wait()
	g.expectBounded(descriptors, g.requestURL())
}

// TestAnswersWithoutEnd guards against answers without end, of many requests at once, that exhaust the memory of a process or keep the answers of other
// endpoints from their callers.
func TestAnswersWithoutEnd(t *testing.T) {
	for name, a := range endlessAnswers {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			g := startGatewayWith(t, instanceLimits, routeEndpoint{"resumable", startEndless(t, a)}, routeEndpoint{"resumable", startEndless(t, a)})
			g.awaitAnswers("resumable")
		})
	}
}

// TestMixedAnswersWithoutEnd guards against the same by answers of all kinds at once, of requests that may run once.
func TestMixedAnswersWithoutEnd(t *testing.T) {
	const route = "non-idempotent"
	var endpoints []routeEndpoint
	for _, a := range endlessAnswers {
		endpoints = append(endpoints, routeEndpoint{route, startEndless(t, a)})
	}
	g := startGatewayWith(t, instanceLimits, endpoints...)
	g.awaitAnswers(route)
}
