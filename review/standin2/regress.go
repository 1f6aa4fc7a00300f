package main

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	regressMachines = 9
	regressKilled   = 5                      // at once
	regressCut      = 800 * time.Millisecond // for which the store's answers do not reach one of them
	regressBefore   = 60 * time.Millisecond  // from its first list to the change of the configuration
	regressFor      = 2500 * time.Millisecond
	regressEach     = 10 * time.Millisecond  // between two requests
	rollbackSlack   = 250 * time.Millisecond // rollback_slack_ms
	secondDesk      = "lehu99c"              // the service to which the route moves
)

// cutStore is the store as one machine sees it whose packets to the machine are held up from the machine's first list on for a time. An
// answer is that of the moment at which the request arrived.
type cutStore struct {
	next    http.Handler
	length  time.Duration // of the cut
	arrived chan struct{} // closed when the first list has arrived

	mu    sync.Mutex
	until time.Time // end of the cut; zero before the first list
}

// heldFor returns for how long the answer to a request that has arrived is held up.
func (c *cutStore) heldFor(r *http.Request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until.IsZero() && r.URL.Path == "/-/kv-range" {
		c.until = time.Now().Add(c.length)
		close(c.arrived)
	}
	return time.Until(c.until)
}

// ServeHTTP implements http.Handler.
func (c *cutStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kept := &keptAnswer{ResponseWriter: w}
	c.next.ServeHTTP(kept, r)
	time.Sleep(c.heldFor(r))
	_, _ = w.Write(kept.body.Bytes())
}

// keptAnswer keeps the body of an answer.
type keptAnswer struct {
	http.ResponseWriter
	body bytes.Buffer
}

// Write implements http.ResponseWriter.
func (k *keptAnswer) Write(p []byte) (int, error) { return k.body.Write(p) }

// sentRequest is a client attempt of this case and what became of it.
type sentRequest struct {
	at      time.Time
	service string // whose engine ran it, "" for none
}

// regress kills some of the machines at once. One of them, when it starts again, is cut off from the store one way, so that the answer to its
// first list comes late. Meanwhile the configuration changes.
func regress(log *record, trouble bool) (bool, error) {
	w, err := newWorld(log, 5)
	if err != nil {
		return false, err
	}
	defer w.close()
	former := configWithSecondDesk()
	w.publish(former)
	for _, service := range []string{desk, desk, secondDesk, secondDesk} {
		if _, err := w.addEngine(&engine{service: service, version: "1.8.2", work: 5 * time.Millisecond, slots: 6}); err != nil {
			return false, err
		}
	}
	if err := w.addMachines(regressMachines, 284); err != nil {
		return false, err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)

	killed := w.machines[regressMachines-regressKilled:]
	cut := &cutStore{next: w.store, arrived: make(chan struct{})}
	if trouble {
		cut.length = regressCut
	}
	m := killed[0]
	if m.storeAddr, err = serveStore(w.subnet+".251", cut); err != nil {
		return false, err
	}
	if err := restartAtOnce(killed); err != nil {
		return false, err
	}
	select {
	case <-cut.arrived:
	case <-time.After(time.Second): // it has had the content from another machine before
	}
	time.Sleep(regressBefore)
	w.publish(moved(former))
	return regressed(log, w.askFor(m, regressFor)), nil
}

// configWithSecondDesk returns the usual configuration with one more service.
func configWithSecondDesk() *config {
	c := newConfig()
	c.Services = append(c.Services, map[string]any{"name": secondDesk, "health_path": "/health", "max_conns": 110, "cold_start_s": 0.0, "cold_per_s": 0.0})
	return c
}

// moved returns a later configuration, in which a route leads to the second service.
func moved(c *config) *config {
	out := configWithSecondDesk()
	out.Version = c.Version + 3
	for _, r := range out.Routes {
		if r["name"] == "yard-look" {
			r["service"] = secondDesk
		}
	}
	return out
}

// restartAtOnce kills machines and starts them again.
func restartAtOnce(machines []*machine) error {
	var ends sync.WaitGroup
	for _, m := range machines {
		ends.Go(m.kill)
	}
	ends.Wait()
	time.Sleep(500 * time.Millisecond)
	for _, m := range machines {
		if err := m.start(false); err != nil {
			return err
		}
	}
	return nil
}

// askFor sends a request to a machine every regressEach for a time, once it is ready.
func (w *world) askFor(m *machine, d time.Duration) []*sentRequest {
	for !m.ready() {
		time.Sleep(5 * time.Millisecond)
	}
	w.log.write("%s is ready", m.name)
	var all []*sentRequest
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(regressEach) {
		s := &sentRequest{at: time.Now()}
		all = append(all, s)
		wg.Go(func() {
			c := call{ID: newRequestID(), Method: "GET", Path: "/look/regina", Deadline: time.Second}
			s.service = serviceOf(w, c.send(w.log, m, 0))
		})
	}
	wg.Wait()
	return all
}

// serviceOf returns the service whose engine answered.
func serviceOf(w *world, o outcome) string {
	for _, e := range w.engines {
		if o.Status == http.StatusOK && strings.HasPrefix(o.Header.Get("Response-Stamp"), "s."+e.id+".") {
			return e.service
		}
	}
	return ""
}

// regressed reports whether a request that was sent more than rollbackSlack after the first one that ran at the new service ran at the
// former one.
func regressed(log *record, all []*sentRequest) bool {
	var first time.Time
	former, later, back := 0, 0, 0
	for _, s := range all {
		switch {
		case s.service == secondDesk && first.IsZero():
			first = s.at
			later++
		case s.service == secondDesk:
			later++
		case s.service == desk && !first.IsZero() && s.at.Sub(first) > rollbackSlack:
			back++
			log.write("a request sent %v after the first one that ran at the new service ran at the former one", s.at.Sub(first).Round(time.Millisecond))
		case s.service == desk:
			former++
		}
	}
	log.write("%d requests ran at the former service, %d at the new one, %d at the former one again", former, later, back)
	return back > 0
}
