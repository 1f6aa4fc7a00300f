package router

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/sse"
	"github.com/dandelionvane/dandelionvane/internal/standin/engine"
	"github.com/dandelionvane/dandelionvane/internal/standin/link"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const chatBody = `{"model":"m","max_tokens":12,"stream":true,"messages":[{"role":"user","content":"When does the gate open?"}]}`

// TestFleet runs three routers from start to planned stop.
func TestFleet(t *testing.T) {
	f := newTestFleet(t, 3, 2)
	f.checkRequests(t)
	f.checkOperatorListener(t)
	f.checkCallerResumesElsewhere(t)
	f.checkSilentEngine(t)
	f.checkPlannedStop(t)
}

// checkRequests sends chats and bookings to each router.
func (f *testFleet) checkRequests(t *testing.T) {
	var rq engine.Request
	if err := json.Unmarshal([]byte(chatBody), &rq); err != nil {
		t.Fatal(err)
	}
	whole := engine.Text(rq)
	for i := range f.routers {
		f.checkStream(i)
		status, _, body := f.call(i, http.MethodPost, "/v1/chat/completions", strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1), nil)
		var doc struct {
			Choices []struct{ Message struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(body), &doc); err != nil || status != http.StatusOK || doc.Choices[0].Message.Content != whole {
			t.Errorf("router %d: document: %d %q, want %q", i, status, body, whole)
		}
		f.checkBooking(i)
	}
	if runs := f.booking.Runs(); runs.Total != len(f.routers) {
		t.Errorf("%d runs of %d bookings", runs.Total, len(f.routers))
	}
}

func (f *testFleet) checkStream(i int) {
	f.t.Helper()
	status, header, body := f.call(i, http.MethodPost, "/v1/chat/completions", chatBody, nil)
	if status != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") || header.Get("Dandelionvane-Placement") == "" {
		f.t.Errorf("router %d: stream: %d %v %q", i, status, header, body)
		return
	}
	id := header.Get("Dandelionvane-Request-Id")
	if status, text := f.getFromOperator(i, "/explain/"+id); status != http.StatusOK || !strings.Contains(text, `"outcome": "answered"`) {
		f.t.Errorf("router %d: explain %s: %d %s", i, id, status, text)
	}
}

func (f *testFleet) checkBooking(i int) {
	f.t.Helper()
	status, _, body := f.call(i, http.MethodPost, "/v1/tickets", `{"count":1}`, nil)
	var batch struct{ Tickets []string }
	if err := json.Unmarshal([]byte(body), &batch); err != nil || len(batch.Tickets) != 1 {
		f.t.Errorf("router %d: tickets: %d %q", i, status, body)
		return
	}
	header := http.Header{"Dandelionvane-Ticket": batch.Tickets, "X-Booking": {batch.Tickets[0]}}
	status, _, first := f.call(i, http.MethodPost, "/services/gates/book", "pad 7", header)
	if status != http.StatusOK {
		f.t.Errorf("router %d: booking: %d %q", i, status, first)
	}
	other := (i + 1) % len(f.routers)
	if status, _, again := f.call(other, http.MethodPost, "/services/gates/book", "pad 7", header); status != http.StatusOK || again != first {
		f.t.Errorf("router %d: repeated booking: %d %q, want %q", other, status, again, first)
	}
}

// checkOperatorListener checks the responses of the operator listener.
func (f *testFleet) checkOperatorListener(t *testing.T) {
	status, text := f.getFromOperator(0, "/dump")
	var d Dump
	if err := json.Unmarshal([]byte(text), &d); err != nil || status != http.StatusOK {
		t.Fatalf("dump: %d %v", status, err)
	}
	if d.Core.Instance != "a-0" || !d.Core.Ready || len(d.Core.Peers) != 3 || d.Process.RSSBytes == 0 || d.Peering.BytesOut == 0 || d.Peering.Sent["claim"] == 0 {
		t.Errorf("dump: %s", text)
	}
	if _, text := f.getFromOperator(0, "/explain/none"); !strings.Contains(text, fmt.Sprint("its last ", core.ExplainedRequests, " finished requests")) {
		t.Errorf("explain of an unknown request: %q", text)
	}
	for path, want := range map[string]int{
		"/healthz": 200, "/readyz": 200, "/metrics": 200, "/explain/none": 404, "/debug/pprof/": 404,
	} {
		if status, text := f.getFromOperator(0, path); status != want {
			t.Errorf("%s: %d %q", path, status, text)
		}
	}
}

const longBody = `{"model":"m","max_tokens":600,"stream":true,"messages":[{"role":"user","content":"List the gates."}]}`

// openStream starts a long chat at router i and reads its first events.
func (f *testFleet) openStream(i int) (*http.Response, *sse.Reader, []string, string) {
	f.t.Helper()
	rq, err := http.NewRequest(http.MethodPost, "http://"+f.routers[i].settings.Listen.Callers+"/v1/chat/completions", strings.NewReader(longBody))
	f.check(err)
	rq.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := f.client.Do(rq)
	f.check(err)
	r := sse.NewReader(resp.Body)
	var data []string
	id := ""
	for range 5 {
		ev, err := r.Next()
		f.check(err)
		data = append(data, string(ev.Data))
		id = string(ev.ID)
	}
	return resp, r, data, id
}

// readToEnd reads a stream to its end and returns the text of all its events.
func (f *testFleet) readToEnd(r *sse.Reader, data []string) string {
	f.t.Helper()
	for {
		ev, err := r.Next()
		f.check(err)
		if string(ev.Data) == "[DONE]" {
			break
		}
		data = append(data, string(ev.Data))
	}
	text := ""
	for _, d := range data {
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(d), &c); err != nil {
			f.t.Fatalf("%q: %v", d, err)
		}
		for _, ch := range c.Choices {
			text += ch.Delta.Content
		}
	}
	return text
}

func (f *testFleet) checkLongChat(what, text string) {
	f.t.Helper()
	var rq engine.Request
	f.check(json.Unmarshal([]byte(longBody), &rq))
	if want := engine.Text(rq); text != want {
		f.t.Errorf("%s: %d bytes, want %d", what, len(text), len(want))
	}
}

// checkCallerResumesElsewhere closes a caller's connection and resumes the stream at another router.
func (f *testFleet) checkCallerResumesElsewhere(t *testing.T) {
	resp, _, data, id := f.openStream(0)
	resp.Body.Close()
	status, _, body := f.call(1, http.MethodPost, "/v1/chat/completions", longBody, http.Header{"Last-Event-Id": {id}})
	if status != http.StatusOK {
		t.Fatalf("resume: %d %s", status, body)
	}
	f.checkLongChat("resumed at another router", f.readToEnd(sse.NewReader(strings.NewReader(body)), data))
}

// checkSilentEngine stalls the connections to the engines during a stream, which must still complete.
func (f *testFleet) checkSilentEngine(t *testing.T) {
	resp, r, data, _ := f.openStream(0)
	defer resp.Body.Close()
	for _, l := range f.links {
		l.Inject(link.Faults{Silent: true})
	}
	f.checkLongChat("resumed after silence", f.readToEnd(r, data))
	_, text := f.getFromOperator(0, "/explain/"+resp.Header.Get("Dandelionvane-Request-Id"))
	if !strings.Contains(text, "no progress") {
		t.Errorf("the stream did not stall: %s", text)
	}
}

// checkPlannedStop starts a planned stop during a stream that lasts longer than the
// shutdown timeout of the listeners. The stream must still complete.
func (f *testFleet) checkPlannedStop(t *testing.T) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+f.routers[0].settings.Listen.Callers+"/v1/chat/completions",
		strings.NewReader(strings.Replace(chatBody, "12", "3000", 1)))
	f.check(err)
	rq.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := f.client.Do(rq)
	f.check(err)
	defer resp.Body.Close()
	first := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, first)
	f.check(err)
	f.routers[0].stop()
	rest, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Errorf("the stream ended after %d bytes: %v", len(rest), err)
	}
	err = <-f.routers[0].done
	f.routers[0].done <- err
	f.checkStream(1)
}
