package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case. The restarts are those of the site's roll_term with share 1.0 and gap_s 2.0.
const (
	rollingMachines = 6
	rollingEngines  = 4
	rollingStreams  = 24 // that are cut; as many begin anew
	rollingGap      = 2 * time.Second
	rollingCalm     = 26 * time.Second // before the restarts: longer than any stream may last
	contactTime     = 3 * time.Second  // contact_ms
	graceTime       = 8 * time.Second  // grace_s
)

// rolling restarts the machines one after the other as planned. Once all are in touch, it kills one of them. Clients whose streams
// it cut take them up at the others.
func rolling(log *record, trouble bool) (bool, error) {
	w, err := newWorld(log, 5)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.publish(newConfig())
	for range rollingEngines {
		if _, err := w.addEngine(&engine{service: llm, version: "2.4.0", eventGap: 200 * time.Millisecond, events: 48}); err != nil {
			return false, err
		}
	}
	if err := w.addMachines(rollingMachines, 284); err != nil {
		return false, err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
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
	goesOn, began := w.killAndResume()
	log.write("of %d streams that were taken up, %d go on; of %d new ones, %d begin", rollingStreams, goesOn, rollingStreams, began)
	return 2*goesOn < began, nil
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

// killAndResume begins streams at the first machine and kills it. It returns how many of them go on at other machines, and how many
// of as many new streams begin there.
func (w *world) killAndResume() (goesOn, began int) {
	first, others := w.machines[0], w.machines[1:]
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range rollingStreams {
		wg.Go(func() {
			sent := time.Now()
			c := newStream("/stream/hire/draft", i, 12*time.Second)
			o := c.send(w.log, first, 0)
			if o.Complete || o.LastEvent == 0 {
				return
			}
			time.Sleep(200 * time.Millisecond)
			again := newStream(c.Path, i, c.Deadline-time.Since(sent))
			again.Header["Resumes"], again.Header["Last-Event-Id"] = c.ID, fmt.Sprint(o.LastEvent)
			if o := again.send(w.log, others[i%len(others)], 1); o.LastEvent > 0 {
				mu.Lock()
				defer mu.Unlock()
				goesOn++
			}
		})
	}
	time.Sleep(2 * time.Second)
	first.kill()
	time.Sleep(200 * time.Millisecond)
	for i := range rollingStreams {
		wg.Go(func() {
			c := newStream("/stream/hire/other", i, 12*time.Second)
			if o := c.send(w.log, others[i%len(others)], 1); o.LastEvent > 0 {
				mu.Lock()
				defer mu.Unlock()
				began++
			}
		})
	}
	wg.Wait()
	return goesOn, began
}
