package soak

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/standin/link"
	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

// keptIDs is how many processes of an endpoint have, on average, the same instance ID and address one after the other.
const keptIDs = 3

// process is a process of an endpoint, behind a fault-injecting proxy (package link).
type process struct {
	endpoint  *endpoint
	id        string // of the instance
	server    *http.Server
	link      *link.Link
	serveDone chan struct{}

	running map[string]int // number of runs of each request; guarded by endpoint.mu, as is ended
	ended   bool
}

// startProcess starts a process that is reached at an address, or at any other if that is in use.
func startProcess(e *endpoint, id, addr string) (*process, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &process{endpoint: e, id: id, serveDone: make(chan struct{}), running: map[string]int{}}
	p.server = &http.Server{Handler: p}
	if p.link, err = link.Start("tcp", addr, ln.Addr().String()); err != nil {
		p.link, err = link.Start("tcp", "127.0.0.1:0", ln.Addr().String())
	}
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	go func() {
		_ = p.server.Serve(ln) // returns after close
		close(p.serveDone)
	}()
	return p, nil
}

// close may be called more than once.
func (p *process) close() {
	_ = p.link.Close()
	_ = p.server.Close()
	<-p.serveDone
}

// begin records that the process runs a request, until the returned function is called.
func (p *process) begin(id string) (end func()) {
	add := func(n int) {
		p.endpoint.mu.Lock()
		defer p.endpoint.mu.Unlock()
		if p.running[id] += n; p.running[id] == 0 {
			delete(p.running, id)
		}
	}
	add(1)
	return func() { add(-1) }
}

// end is the end of a process of an endpoint, with all requests that it ran.
type end struct {
	endpoint string
	software string // name of its service and its software version
	at       time.Time
	broken   []string // IDs of the requests

	death   *queryOfDeath // that caused it, nil for none
	request string        // ID of the request with that content
	arrived time.Time     // when the process had received that request
}

// end ends a process unless it has ended, and starts another one after a delay.
func (p *process) end(what end, restartDelay time.Duration) {
	e := p.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.ended || e.closed {
		return
	}
	p.ended = true
	what.endpoint, what.software, what.at = e.id, e.kind+" "+e.version, time.Now()
	for id := range p.running {
		if id != what.request {
			what.broken = append(what.broken, id)
		}
	}
	e.ends.add(what)
	e.lastDisturbance = what.at
	e.endOutage = e.timeline.begin(endpointEnded, e.id)
	go p.close()
	time.AfterFunc(restartDelay, e.startNext)
}

// kill ends the endpoint's process, and starts another one after a delay.
func (e *endpoint) kill(restartDelay time.Duration) {
	e.mu.Lock()
	p := e.process
	e.mu.Unlock()
	p.end(end{}, restartDelay)
}

// startNext starts another process. Most have an instance ID and an address of their own.
func (e *endpoint) startNext() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	former := e.process
	former.close()
	e.starts++
	id, addr := former.id, former.link.Addr()
	if e.starts%keptIDs != 0 {
		id, addr = fmt.Sprint(e.id, "-", e.starts), "127.0.0.1:0"
	}
	next, err := startProcess(e, id, addr)
	if err != nil {
		e.ends.fail(e.id, err)
		return
	}
	e.process, e.startedAt, e.lastDisturbance = next, time.Now(), time.Now()
	e.endOutage()
	if id != former.id {
		e.formerIDs = append(e.formerIDs, former.id)
		e.store.Write(platformtest.EndpointGone(former.id))
	}
	e.write(false)
}

// publishAgain writes the endpoint's entry and the deletion of those of its former instances once more.
func (e *endpoint) publishAgain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range e.formerIDs {
		e.store.Write(platformtest.EndpointGone(id))
	}
	e.write(false)
}
