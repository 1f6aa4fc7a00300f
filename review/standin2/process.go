package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// Times of an engine whose answers have neither a length nor chunks.
const (
	unframedLines   = 8
	unframedPause   = 40 * time.Millisecond
	unframedEvents  = 48
	unframedGap     = 100 * time.Millisecond
	unframedLineEnd = "end of the answer\n"
)

// serveUnframed is the process of an engine whose answers end with their connection. It writes its address to standard output.
func serveUnframed(ip, id, born string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			answerUnframed(conn, id, born)
		}()
	}
}

// answerUnframed answers one request, which it has read to its end.
func answerUnframed(conn net.Conn, id, born string) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	var body strings.Builder
	if _, err := bufio.NewReader(r.Body).WriteTo(&body); err != nil {
		return
	}
	if r.URL.Path == "/-/report" {
		text := fmt.Sprintf(`{"stage":"prefill_decode","models":[],"busy":false,"seq":0,"num_waiting":0,"num_running":1,"kv_used":0,"kv_total":640000,"handles":0,"born":%s}`, born)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nInstance-Id: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", id, len(text), text)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	request := r.Header.Get("Request-Id")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s.%s.%s\r\nInstance-Id: %s\r\nServer-Load: 1,0,6\r\nConnection: close\r\n", request, id, request, id)
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\n\r\n", head)
		for n := after + 1; n <= unframedEvents; n++ {
			time.Sleep(unframedGap)
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", n, id); err != nil {
				return
			}
		}
		return
	}
	fmt.Fprintf(conn, "%sContent-Type: text/plain\r\n\r\n", head)
	for n := range unframedLines {
		time.Sleep(unframedPause)
		if _, err := fmt.Fprintf(conn, "line %d of the answer to %s\n", n+1, request); err != nil {
			return
		}
	}
	_, _ = fmt.Fprint(conn, unframedLineEnd)
}

// engineProcess is an engine that runs as a process of its own. Its heartbeats come from this process.
type engineProcess struct {
	engine
	cmd *exec.Cmd
}

// addEngineProcess starts an engine whose answers have neither a length nor chunks.
func (w *world) addEngineProcess(service string, slots int) (*engineProcess, error) {
	e := &engineProcess{engine: engine{service: service, version: "2.4.0", zone: zones[len(w.engines)%len(zones)], slots: slots, store: w.store, log: w.log}}
	e.id = fmt.Sprintf("i-%02x%06x", len(w.engines)+1, time.Now().UnixMicro()&0xffffff)
	e.born, e.state = time.Now().UnixMilli(), "ready"
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e.cmd = exec.Command(self, "engine", fmt.Sprintf("%s.%d", w.subnet, 101+len(w.engines)), e.id, strconv.FormatInt(e.born, 10))
	out, err := e.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, err
	}
	e.addr = strings.TrimSpace(line)
	w.engines = append(w.engines, &e.engine)
	w.processes = append(w.processes, e)
	w.log.write("engine %s starts as process %d, address %s", e.id, e.cmd.Process.Pid, e.addr)
	e.beginBeats()
	return e, nil
}

// kill ends the process of the engine, whose entry lapses after three heartbeats.
func (e *engineProcess) kill() {
	e.stop()
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
	e.log.write("engine %s is killed", e.id)
	time.AfterFunc(3600*time.Millisecond, func() { e.store.remove("servers/" + e.id) })
}
