package main

import "time"

// Figures of the case.
const (
	takeupsMachines = 4
	takeupsStreams  = 24
	takeupsCalm     = 32 * time.Second // before the streams: all engines have then run for longer than any stream may last
)

// takeups kills all machines at once while streams run. Once they are in touch again, the clients take their streams up.
func takeups(log *record, trouble bool) (bool, error) {
	w, err := newWorld(log, 5)
	if err != nil {
		return false, err
	}
	defer w.close()
	if err := w.startStreaming(takeupsMachines); err != nil {
		return false, err
	}
	time.Sleep(takeupsCalm)
	streams := w.beginStreams(takeupsStreams, w.machines)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		if err := restartAtOnce(w.machines); err != nil {
			return false, err
		}
	} else {
		streams.leave()
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + 200*time.Millisecond)
	return lost(streams.takeUp(w.machines)), nil
}
