package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// usualGraceSeconds is grace_s on all sheets.
const usualGraceSeconds = 8

// world is what a case is played in. Every address is of the loopback network.
type world struct {
	gatewayPath string
	dir         string // temporary
	network     string // the first two bytes of all addresses
	store       *store
	storeAddr   string

	graceSeconds int      // grace_s of the settings
	seeds        []string // seed_nodes of the settings
	ports        ports

	mu       sync.Mutex
	began    time.Time
	record   *os.File
	gateways []*gateway
	closers  []func()
	closed   bool

	closeOnce sync.Once
}

func newWorld(gatewayPath, record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{gatewayPath: gatewayPath, dir: dir, began: time.Now(), record: f, graceSeconds: usualGraceSeconds}
	w.network = fmt.Sprintf("127.%d", 20+rand.IntN(200))
	if w.ports, err = freePorts(w.ip(0, 10)); err != nil {
		return nil, err
	}
	w.store = newStore()
	l, err := w.listen(w.ip(250, 1))
	if err != nil {
		return nil, err
	}
	w.storeAddr = l.Addr().String()
	w.store.serve(l)
	return w, nil
}

func (w *world) ip(zone, host int) string { return fmt.Sprintf("%s.%d.%d", w.network, zone, host) }

func (w *world) listen(ip string) (net.Listener, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	w.onClose(func() { _ = l.Close() })
	return l, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	_, _ = fmt.Fprintf(w.record, "%9.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// close ends all processes and listeners. It returns when that is done, also if it was called before.
func (w *world) close() { w.closeOnce.Do(w.end) }

func (w *world) end() {
	w.mu.Lock()
	w.closed = true
	gateways, closers := w.gateways, w.closers
	w.mu.Unlock()
	for _, g := range gateways {
		if cmd := g.process(); cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Kill() // fails only if it has ended
		}
	}
	for _, f := range closers {
		f()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}
