package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// grace: the settings file of a machine changes, which SIGHUP indicates: its grace period is longer now. Later the machine
// is stopped with SIGTERM, and killed after the grace period of its settings, if it still runs. Streams that end well within
// that time must be complete. Without the trouble, the settings have the longer period from the start.
func grace(w *world, trouble bool) (int, error) {
	const (
		before, after = 8, 16 // grace_s
		events        = 45
		gap           = 200 * time.Millisecond // 9 s for a stream
		streams       = 12
		kept          = 3 * time.Second // from the change of the settings to the first request, and from that to SIGTERM
		lastSixth     = 5.0 / 6
	)
	e, err := w.startEngine("i-llm-1", "llm", 0, 1, 0)
	if err != nil {
		return 0, err
	}
	e.handler = (&streamEngine{engine: e, events: events, gap: gap}).stream
	w.store.put("op/config", config(1, route{name: "r-draft", prefix: "/draft/", kind: "streaming", service: "llm", timeoutMS: 12000, goalMS: 600, gapMS: 250}))
	w.graceSeconds = after
	if trouble {
		w.graceSeconds = before
	}
	gateways, err := w.startGateways(2)
	if err != nil {
		return 0, err
	}
	g := gateways[0]
	time.Sleep(kept)
	if trouble {
		if err := g.changeSettings(fmt.Sprintf("grace_s=%d", before), fmt.Sprintf("grace_s=%d", after)); err != nil {
			return 0, err
		}
	}
	time.Sleep(kept)
	results := make([]streamResult, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			c := client{g: g}
			r := request{id: fmt.Sprintf("%016x", 0xb000+i), method: "POST", target: "/draft/1", host: routeHost, key: keyOfW, body: "draft", deadline: 12 * time.Second}
			w.note("client sends %s to %s", r.id, g.name)
			results[i] = c.doStream(&r)
			w.note("client has got %d of %d events of %s, complete %t, status %d %v", results[i].events, events, r.id, results[i].complete, results[i].status, results[i].err)
		})
	}
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	w.note("%s gets SIGTERM; grace_s of its settings is %d", g.name, after)
	exited := g.stop(after * time.Second)
	wg.Wait()
	w.note("%s ended %.2f s after SIGTERM", g.name, (<-exited).Sub(stopped).Seconds())
	violations := 0
	// The engine would have been at work until then, had the connection not been closed.
	ownEnd := stopped.Add(events*gap - 500*time.Millisecond)
	excused := ownEnd.Sub(stopped).Seconds() >= lastSixth*after
	for i, r := range results {
		if r.complete && r.events == events {
			continue
		}
		w.note("%016x is not complete %.2f s after SIGTERM; its engine needs until %.2f s; not counted: %t",
			0xb000+i, r.ended.Sub(stopped).Seconds(), ownEnd.Sub(stopped).Seconds(), excused)
		if !excused {
			violations++
			w.note("LOST: %016x was passed on and cut off", 0xb000+i)
		}
	}
	return violations, nil
}

// changeSettings changes the settings file of a machine and sends SIGHUP to its process.
func (g *gateway) changeSettings(from, to string) error {
	text, err := os.ReadFile(g.settings)
	if err != nil {
		return err
	}
	changed := strings.Replace(string(text), from, to, 1)
	if changed == string(text) {
		return fmt.Errorf("the settings of %s have no %s", g.name, from)
	}
	if err := os.WriteFile(g.settings+".new", []byte(changed), 0o600); err != nil {
		return err
	}
	if err := os.Rename(g.settings+".new", g.settings); err != nil {
		return err
	}
	g.w.note("the settings of %s change: %s instead of %s; SIGHUP", g.name, to, from)
	return g.process().Process.Signal(syscall.SIGHUP)
}

// stop sends SIGTERM, and SIGKILL after the grace period. The channel gets the time at which the process ended.
func (g *gateway) stop(grace time.Duration) <-chan time.Time {
	cmd, ended := g.process(), make(chan time.Time, 1)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(grace, func() { _ = cmd.Process.Kill() })
	go func() {
		_ = cmd.Wait()
		kill.Stop()
		ended <- time.Now()
	}()
	return ended
}
