package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request as an engine has read it.
type arrival struct {
	id      string // Request-Id
	tenant  string
	hasKey  bool
	arrived time.Time
}

// engine is an engine of one service. It answers each request with a complete answer after its work.
type engine struct {
	w       *world
	id      string
	service string
	addr    string
	born    int64
	work    time.Duration
	slots   int
	beats   atomic.Uint64
	handler func(net.Conn, *http.Request) // answers a request
	leaving atomic.Bool                   // it says so in its answers, and its entry is no longer written

	mu       sync.Mutex
	arrivals []arrival
}

// beatInterval is that of the settings' beat_ms.
const beatInterval = 1200 * time.Millisecond

// startEngine starts an engine that is registered in the store.
func (w *world) startEngine(id, service string, zone, host int, work time.Duration) (*engine, error) {
	l, err := w.listen(w.ip(100+zone, host))
	if err != nil {
		return nil, err
	}
	e := &engine{w: w, id: id, service: service, addr: l.Addr().String(), born: time.Now().UnixMilli(), work: work, slots: 6}
	e.handler = e.run
	go e.accept(l)
	e.register(zone)
	stop := make(chan struct{})
	w.onClose(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(beatInterval):
				if !e.leaving.Load() {
					e.register(zone)
				}
			}
		}
	}()
	return e, nil
}

func (e *engine) register(zone int) {
	e.w.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.addr, "zone": []string{"zone-a", "zone-b"}[zone], "version": "v1", "slot_count": e.slots,
		"state": "ready", "cold_left_ms": 0, "born": e.born, "seq": e.beats.Add(1),
	})
}

func (e *engine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		switch {
		case req.URL.Path == "/-/report":
			body := fmt.Sprintf(`{"stage":"prefill_decode","born":%d,"num_running":0,"num_waiting":0}`, e.born)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		case req.URL.Path == "/health":
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
		case req.Header.Get("Expect-Instance") != "" && req.Header.Get("Expect-Instance") != e.id:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", e.id)
		default:
			e.handler(c, req)
		}
		if req.Close {
			return
		}
	}
}

// run works on a request and answers it.
func (e *engine) run(c net.Conn, req *http.Request) {
	a := arrival{
		id:     req.Header.Get("Request-Id"),
		tenant: req.Header.Get("Tenant"), hasKey: req.Header.Get("Credential") != "", arrived: time.Now(),
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	time.Sleep(e.work)
	body, leaving := "done "+a.id+"\n", ""
	if e.leaving.Load() {
		leaving = "Server-Leaving: 1\r\n"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.1\r\nServer-Load: 1,0,6\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		a.id, e.id, leaving, len(body), body)
}

func (e *engine) takeArrivals() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}
