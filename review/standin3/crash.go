package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	halfBytes = 400
	halfPause = 300 * time.Millisecond // between the halves of an answer
)

// wholeBody is the answer to a request.
func wholeBody(id string) string {
	return "booked " + id + ": " + strings.Repeat("a", halfBytes) + strings.Repeat("b", halfBytes) + " end of " + id + "\n"
}

// runEngineProcess serves as an engine process until it is killed. Its answers have no length: they end with their connection.
func runEngineProcess(addr, id string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go serveUnframed(c, id)
	}
}

func serveUnframed(c net.Conn, id string) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	if want := req.Header.Get("Expect-Instance"); want != "" && want != id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return
	}
	request := req.Header.Get("Request-Id")
	body := wholeBody(request)
	_, _ = fmt.Printf("%s runs %s\n", id, request)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.1\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", request, id, body[:halfBytes])
	time.Sleep(halfPause)
	_, _ = io.WriteString(c, body[halfBytes:])
}

// startEngineProcess starts an engine as a process of its own and registers it.
func (w *world) startEngineProcess(id string, zone, host int) (*exec.Cmd, error) {
	l, err := w.listen(w.ip(100+zone, host))
	if err != nil {
		return nil, err
	}
	addr := l.Addr().String()
	if err := l.Close(); err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, engineCommand, addr, id)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w.onClose(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	e := &engine{w: w, id: id, service: "desk", addr: addr, born: time.Now().UnixMilli(), slots: 6}
	e.register(zone)
	return cmd, nil
}

// crash: one of four engines crashes while it is in the middle of answers that have no length.
func crash(w *world, trouble bool) (int, error) {
	const (
		engines, requests = 4, 24
		settled           = time.Second
	)
	var processes []*exec.Cmd
	for i := range engines {
		p, err := w.startEngineProcess(fmt.Sprintf("i-desk-%d", i+1), i%2, 1+i)
		if err != nil {
			return 0, err
		}
		processes = append(processes, p)
	}
	w.store.put("op/config", config(1, route{name: "r-book", prefix: "/book/", kind: "non_idempotent", service: "desk"}))
	gateways, err := w.startGateways(2)
	if err != nil {
		return 0, err
	}
	time.Sleep(settled)
	var mu sync.Mutex
	var wg sync.WaitGroup
	violations, whole := 0, 0
	for i := range requests {
		wg.Go(func() {
			c := client{g: gateways[i%len(gateways)]}
			defer c.close()
			r := request{id: fmt.Sprintf("%016x", 0xc000+i), method: "POST", target: "/book/7", host: routeHost, key: keyOfW, body: "pad=3", deadline: 2500 * time.Millisecond}
			a := c.do(&r)
			mu.Lock()
			defer mu.Unlock()
			complete := a.err == nil && a.status == http.StatusOK
			w.note("client of %s: status %d, %d of %d bytes, Content-Length %q, complete %t, %v", r.id, a.status, len(a.body), len(wholeBody(r.id)), a.header.Get("Content-Length"), a.err == nil, a.err)
			switch {
			case complete && a.body == wholeBody(r.id):
				whole++
			case complete:
				violations++
				w.note("MIXED: %s got a success whose body is not the engine's whole body", r.id)
			}
		})
	}
	time.Sleep(halfPause / 2)
	if trouble {
		_ = processes[0].Process.Kill()
		w.note("engine i-desk-1 crashes (SIGKILL of its process)")
	}
	wg.Wait()
	if whole < requests/2 {
		return violations, fmt.Errorf("only %d whole answers", whole)
	}
	return violations, nil
}
