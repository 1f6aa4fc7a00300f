package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// unreadBufferBytes is the receive buffer of an endpoint that answers before it has read the request.
	unreadBufferBytes = 4 << 10
	// earlyAnswerTime is how long a gateway has to read a whole early answer before its connection is reset.
	earlyAnswerTime = 50 * time.Millisecond
	// longEventBytes is less than the largest event that a gateway reads.
	longEventBytes = 240 << 10
	// longEventTime is how long an endpoint keeps the connection after the part of a long event.
	longEventTime = 3 * time.Second
)

// brokenHeads are heads that are no valid ones; identifying stands for the fields of a valid response.
var brokenHeads = []string{
	"HTTP/1.1 000 X\r\nidentifying\r\n",
	"HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nidentifying\r\n",
	"HTTP/1.1 099 X\r\nidentifying\r\n",
	"HTTP/1.1 700 X\r\nidentifying\r\n",
	"HTTP/1.1 200 OK\r\nidentifyingX One: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nidentifyingX-One : 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nidentifyingContent-Length : 3\r\n\r\n",
	"HTTP/1.1 200 OK\r\nidentifyingX\x01One: 1\r\n\r\n",
	"HTTP/1.0 200 OK\r\nidentifyingTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/2.0 200 OK\r\nidentifying\r\n",
}

// brokenModes are the modes of endpoints whose answers are broken, or come early.
var brokenModes = []mode{modeEarlyReset, modeEarlyReset, modeEarlyAnswer, modeBrokenHead, modeBrokenHead, modeLongEvent}

// foreignTexts are texts that are no events of a stream, each with the blank line that would end one.
var foreignTexts = []string{
	"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy\r\n\r\n",
	"Content-Length: 4\r\n\r\n",
	"the endpoint has failed\n\n",
	"{\"error\": \"the endpoint has failed\"}\n\n",
	"id: 2\ndata: x\nHTTP/1.1 503 X\r\n\r\n",
}

// foreignLines has an endpoint end its streams with text that is no event.
func (r *run) foreignLines(d time.Duration) { r.misbehave(r.pickEndpoint(), modeForeignLines, d) }

func (r *run) brokenEndpoint(d time.Duration) {
	r.misbehave(r.pickEndpoint(), brokenModes[r.rng.IntN(len(brokenModes))], d)
}

// respondBroken sends the response of a mode that writes to the connection itself, and reports whether the mode is such a mode.
func (e *endpoint) respondBroken(w http.ResponseWriter, m mode, kind, id string) bool {
	if m != modeForeignLines && !slices.Contains(brokenModes, m) {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true // the gateway has closed the connection
	}
	defer conn.Close()
	fields, body := e.validResponse(kind, id)
	switch m {
	case modeEarlyReset:
		respondUnread(conn, "HTTP/1.1 200 OK\r\n"+fields+"\r\n"+firstPart(kind, body), 0)
	case modeEarlyAnswer:
		respondUnread(conn, fmt.Sprintf("HTTP/1.1 500 X\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body), earlyAnswerTime)
	case modeBrokenHead:
		_, _ = io.WriteString(conn, strings.Replace(pickFor(id, brokenHeads), "identifying", fields, 1)+body)
	case modeForeignLines:
		if isStream(kind) {
			body += pickFor(id, foreignTexts)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", fields, body)
	case modeLongEvent:
		event := "id: 1\ndata: " + strings.Repeat("x", longEventBytes)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", fields, len(event), event)
		_ = conn.SetReadDeadline(time.Now().Add(longEventTime))
		_, _ = io.Copy(io.Discard, conn)
	}
	return true
}

// validResponse returns the fields that identify a valid response, and its body or the first event of its stream.
func (e *endpoint) validResponse(kind, id string) (fields, body string) {
	fields = fmt.Sprintf("Response-Stamp: s\r\nRequest-Id: %s\r\n", id)
	if isStream(kind) {
		return fields + "Content-Type: text/event-stream\r\n", streamEvent(id, 1, e.softwareVersion())
	}
	return fields, fullBody(id)
}

// firstPart returns the part of a response that comes before a reset: the first event of a stream, or half of a body.
func firstPart(kind, body string) string {
	if isStream(kind) {
		return body
	}
	return body[:len(body)/2]
}

// pickFor returns the text, of several, that a request gets.
func pickFor(id string, texts []string) string {
	h := fnv.New32()
	_, _ = io.WriteString(h, id) // never fails
	return texts[h.Sum32()%uint32(len(texts))]
}

// respondUnread sends a response and resets the connection after a delay, whatever of the request has not been read.
func respondUnread(conn net.Conn, response string, delay time.Duration) {
	tcp := conn.(*net.TCPConn) // the endpoint's server listens on TCP
	_ = tcp.SetReadBuffer(unreadBufferBytes)
	_, _ = io.WriteString(tcp, response)
	time.Sleep(delay)
	_ = tcp.SetLinger(0)
}
