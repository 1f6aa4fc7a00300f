package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// foreignTexts are texts that are no events, each with the blank line that would end one.
var foreignTexts = map[string]string{
	"head":             "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbusy\r\n\r\n",
	"fields of a head": "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\n",
	"plain text":       "the endpoint has failed\n\n",
	"JSON":             "{\"error\": {\"message\": \"the endpoint has failed\"}}\n\n",
	"page":             "<html>\n<body>the endpoint has failed</body>\n</html>\n\n",
}

// eventsThen sends a stream of two events, then a text, and ends it as complete, with chunks or without.
func eventsThen(text string, chunked bool) responder {
	return func(_ int, c net.Conn, _ *http.Request) {
		if chunked {
			writeStreamHead(c)
			writeChunk(c, eventsText(1, 2)+text)
			endChunkedBody(c)
			return
		}
		respondUnframed(c, "text/event-stream", eventsText(1, 2)+text)
	}
}

// TestForeignLinesAreNoEndOfAStream guards against a stream that ends as complete although its endpoint has sent text that is no event,
// and against such text that reaches the caller (ORDER, MIXED).
func TestForeignLinesAreNoEndOfAStream(t *testing.T) {
	for name, text := range foreignTexts {
		for _, route := range []string{"stream", "resumable"} {
			for _, chunked := range []bool{true, false} {
				for where, before := range map[string]string{"between events": "", "inside an event": "id: 3\ndata: pie\n", "inside a line": "id: 3\ndata: pie"} {
					if where == "inside a line" && strings.Count(text, "\n") == 2 {
						continue // one line more of the event's data, for any reader
					}
					t.Run(name+" "+where+", "+route, func(t *testing.T) {
						expectCut(t, startTestServer(t, eventsThen(before+text, chunked)), route, eventsText(1, 2))
					})
				}
			}
		}
	}
}

// TestNextEndpointWithForeignLinesCompletesNoStream guards against a stream that was resumed and ends as complete, because its next
// endpoint sends text that is no event as a stream.
func TestNextEndpointWithForeignLinesCompletesNoStream(t *testing.T) {
	for name, text := range foreignTexts {
		for _, chunked := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				ts := startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
					switch {
					case n == 1:
						writeStreamHead(c)
						writeEvents(c, 1, 2)
						resetConn(c)
					case chunked:
						writeStreamHead(c)
						writeChunk(c, text)
						endChunkedBody(c)
					default:
						respondUnframed(c, "text/event-stream", text)
					}
				})
				expectCut(t, ts, "resumable", eventsText(1, 2))
			})
		}
	}
}

// expectCut sends a request and fails the test unless its stream is cut after the given text.
func expectCut(t *testing.T, ts *testServer, route, text string) {
	t.Helper()
	if g := ts.send("POST", route, ""); g.err == nil || g.body != text {
		t.Errorf("got %q, %v, want %q and a cut", g.body, g.err, text)
	}
}

// TestSoundLinesOfStreams guards against sound streams that are cut for what the format allows: comments, the field retry, and an event
// whose first line is a field that this process does not know.
func TestSoundLinesOfStreams(t *testing.T) {
	for name, text := range map[string]string{
		"comments":           ": ping\n\n:\n\n" + eventText(3),
		"comment in event":   ": ping\nid: 3\n: ping\ndata: piece-3\n\n",
		"comment at the end": eventText(3) + ": done\n\n",
		"retry":              "retry: 100\n\n" + eventText(3),
		"first line":         "weights: 4\nid: 3\ndata: piece-3\n\n",
		"no value":           "id: 3\ndata\ndata: piece-3\n\n",
		"other order":        "data: piece-3\nevent: token\nid: 3\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			ts := startTestServer(t, eventsThen(text, true))
			g := ts.send("POST", "stream", "")
			if g.err != nil || withoutComments(g.body) != withoutComments(eventsText(1, 2)+text) {
				t.Errorf("got %q, %v", g.body, g.err)
			}
		})
	}
}

// withoutComments returns a stream without the blocks that hold no event.
func withoutComments(s string) string {
	var out strings.Builder
	for block := range strings.SplitAfterSeq(s, "\n\n") {
		if strings.Contains(block, "id:") {
			_, _ = io.WriteString(&out, block)
		}
	}
	return out.String()
}
