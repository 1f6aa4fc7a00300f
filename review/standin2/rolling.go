package main

import (
	"syscall"
	"time"
)

// Figures of the case. The restarts are those of the site's roll_term with share 1.0 and gap_s 2.0.
const (
	rollingMachines = 6
	rollingStreams  = 24
	rollingGap      = 2 * time.Second
	rollingCalm     = 26 * time.Second // before the restarts: longer than any stream may last
)

// Bounds of the deployment.
const (
	contactTime = 3 * time.Second // contact_ms
	graceTime   = 8 * time.Second // grace_s
)

// rolling restarts the machines one after the other as planned. Once all are in touch, it kills one of them. Clients whose streams
// it cut take them up at the others.
func rolling(log *record, trouble bool) (bool, error) {
	w, err := newWorld(log, 5)
	if err != nil {
		return false, err
	}
	defer w.close()
	if err := w.startStreaming(rollingMachines); err != nil {
		return false, err
	}
	time.Sleep(rollingCalm)
	if trouble {
		if err := w.roll(rollingGap); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + 200*time.Millisecond)
	first, others := w.machines[0], w.machines[1:]
	streams := w.beginStreams(rollingStreams, w.machines[:1])
	time.Sleep(2 * time.Second)
	first.kill()
	time.Sleep(200 * time.Millisecond)
	return lost(streams.takeUp(others)), nil
}

// startStreaming starts four engines of one software version, and machines.
func (w *world) startStreaming(machines int) error {
	w.publish(newConfig())
	for range 4 {
		if _, err := w.addEngine(&engine{service: llm, version: "2.4.0", eventGap: 200 * time.Millisecond, events: 48}); err != nil {
			return err
		}
	}
	if err := w.addMachines(machines, 284); err != nil {
		return err
	}
	return w.awaitReady(10 * time.Second)
}

// roll sends SIGTERM to the machines, one each gap, and starts each again when it has ended.
func (w *world) roll(gap time.Duration) error {
	errs := make(chan error, len(w.machines))
	for _, m := range w.machines {
		m.signal(syscall.SIGTERM)
		go func() {
			select {
			case <-m.ended:
			case <-time.After(graceTime):
				m.kill()
			}
			w.log.write("%s has ended", m.name)
			time.Sleep(300 * time.Millisecond)
			errs <- m.start(false)
		}()
		time.Sleep(gap)
	}
	for range w.machines {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}
