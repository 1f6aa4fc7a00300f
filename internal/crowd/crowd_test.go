package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	crowdSize = 400             // connections at once
	crowdTime = 3 * time.Second // for which the crowd lasts
	// maxSentPerCaller bounds what one caller sends on one connection.
	maxSentPerCaller = 1 << 20
	maxSentPerHead   = 60 << 10
)

// A behaviour is what one caller does on a connection, until that fails or ended is closed.
type behaviour func(c net.Conn, ended <-chan struct{})

// hold sends a text and keeps the connection.
func hold(text string) behaviour {
	return func(c net.Conn, ended <-chan struct{}) {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		awaitClose(c, ended)
	}
}

// awaitClose waits until the connection is closed.
func awaitClose(c net.Conn, ended <-chan struct{}) {
	buf := make([]byte, 4<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := c.Read(buf)
		if timeout, ok := err.(net.Error); err != nil && !(ok && timeout.Timeout()) {
			return
		}
		if isClosed(ended) {
			return
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// sendOn sends a text, and then a piece again and again.
func sendOn(text, piece string, pause time.Duration) behaviour {
	return func(c net.Conn, ended <-chan struct{}) {
		_, err := io.WriteString(c, text)
		for sent := 0; err == nil && sent < maxSentPerCaller && !isClosed(ended); sent += len(piece) {
			_, err = io.WriteString(c, piece)
			time.Sleep(pause)
		}
	}
}

const headBegin = "GET /idempotent/x HTTP/1.1\r\nHost: h\r\n"

// ordinaryHead is a head with all that an ordinary request has, but without its last line.
const ordinaryHead = "POST /idempotent/x HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\nCredential: " + key + "\r\nDeadline-Ms: 2000\r\n"

// smallFields returns fields of few bytes with different names.
func smallFields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

func longText(bytes int) string { return strings.Repeat("x", bytes) }

// pipeline sends ordinary requests without end and reads no answer.
func pipeline(c net.Conn, ended <-chan struct{}) {
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	request := strings.Replace(ordinaryHead, "POST", "GET", 1) + "\r\n"
	for sent := 0; sent < maxSentPerCaller && !isClosed(ended); sent += len(request) {
		_ = c.SetWriteDeadline(time.Now().Add(crowdTime))
		if _, err := io.WriteString(c, request); err != nil {
			return
		}
	}
	<-ended
}

var behaviours = []struct {
	name string
	do   behaviour
}{
	{"many small fields", hold(headBegin + smallFields(maxSentPerHead))},
	{"one long field", hold(headBegin + "X-One: " + longText(maxSentPerHead))},
	{"long request line", hold("GET /" + longText(maxSentPerHead))},
	{"many small fields within the limit", hold(strings.Replace(ordinaryHead, "POST", "GET", 1) + smallFields(maxHeaderBytes-512))},
	{"head without end", sendOn(headBegin, strings.Repeat("a: b\r\n", 100), time.Millisecond)},
	{"empty lines", sendOn("", strings.Repeat("\r\n", 1000), time.Millisecond)},
	{"empty lines after a request", sendOn(ordinaryHead+"Content-Length: 0\r\n\r\n", strings.Repeat("\r\n", 1000), time.Millisecond)},
	{"silent", hold("")},
	{"trickle", sendOn(headBegin, "a", 20*time.Millisecond)},
	{"body never sent", hold(ordinaryHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes))},
	{"body without its end", hold(ordinaryHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes) + longText(maxBodyBytes/2))},
	{"answers unread", pipeline},
}

// run lets a crowd act on an address: crowdSize callers, each of which connects again when its connection ends. It returns the
// largest number of descriptors that the process had meanwhile.
func (g *gateway) run(addr string, choose func(i int) behaviour) int {
	ended := make(chan struct{})
	var wg sync.WaitGroup
	for i := range crowdSize {
		wg.Go(func() { actAsCaller(addr, choose(i), ended) })
	}
	var most atomic.Int64
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		most.Store(max(most.Load(), int64(g.descriptors())))
	}
	close(ended)
	wg.Wait()
	return int(most.Load())
}

func actAsCaller(addr string, do behaviour, ended <-chan struct{}) {
	for !isClosed(ended) {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			do(c, ended)
			_ = c.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// expectBounded checks what must hold whatever callers do: the process lives, within what its instance has, and answers.
func (g *gateway) expectBounded(descriptors int, url string) {
	g.t.Helper()
	g.expectAlive()
	g.expectAnswer(url)
	g.expectAlive()
	peak := g.peakMemoryMB()
	g.t.Logf("peak of %d MiB, %d descriptors", peak, descriptors)
	if peak > g.limits.memoryMB {
		g.t.Errorf("peak of %d MiB, the instance has %d MiB", peak, g.limits.memoryMB)
	}
	if descriptors > g.limits.descriptors {
		g.t.Errorf("%d descriptors, the instance has %d", descriptors, g.limits.descriptors)
	}
}

func (g *gateway) requestURL() string { return "http://" + g.callers + "/idempotent/x" }

// TestCrowd guards against callers of one kind that exhaust the memory or the descriptors of a process, or make it hang.
func TestCrowd(t *testing.T) {
	for _, b := range behaviours {
		t.Run(strings.ReplaceAll(b.name, " ", "-"), func(t *testing.T) {
			g := startGateway(t)
			n := g.run(g.callers, func(int) behaviour { return b.do })
			g.expectBounded(n, g.requestURL())
		})
	}
}

// TestMixedCrowd guards against the same by callers of all kinds at once.
func TestMixedCrowd(t *testing.T) {
	g := startGateway(t)
	n := g.run(g.callers, func(i int) behaviour { return behaviours[i%len(behaviours)].do })
	g.expectBounded(n, g.requestURL())
}

// TestCrowdAtInternalAddresses guards against the same at the addresses for the balancer, for peers and for operators.
func TestCrowdAtInternalAddresses(t *testing.T) {
	for _, at := range []struct {
		name string
		addr func(*gateway) string
	}{
		{"readiness", func(g *gateway) string { return g.ready }},
		{"control", func(g *gateway) string { return g.control }},
		{"operators", func(g *gateway) string { return g.operator }},
	} {
		t.Run(at.name, func(t *testing.T) {
			g := startGateway(t)
			n := g.run(at.addr(g), func(i int) behaviour { return behaviours[i%len(behaviours)].do })
			g.expectBounded(n, g.requestURL())
			g.expectAnswer("http://" + g.ready + "/-/ready")
		})
	}
}
