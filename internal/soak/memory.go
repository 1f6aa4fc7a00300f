package soak

import (
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	// memoryLimit is the memory of the smallest instances of the platform, in bytes.
	memoryLimit        = 184 << 20
	memoryPollInterval = 100 * time.Millisecond
)

// watchMemory records the peak memory of a process until it has exited.
func (g *gateway) watchMemory(pid int, exited <-chan struct{}) {
	for {
		peak := peakMemoryOf(pid)
		g.mu.Lock()
		g.peakMemory = max(g.peakMemory, peak)
		g.mu.Unlock()
		select {
		case <-exited:
			return
		case <-time.After(memoryPollInterval):
		}
	}
}

// peakMemoryOf returns the largest resident set that a process has had, in bytes, or 0 if that can't be read.
func peakMemoryOf(pid int) uint64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // the process has ended
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes uint64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	return 0
}

// addMemory adds the memory of the gateway that has used most to a report, and those that have used more than memoryLimit.
func (f *fleet) addMemory(out *Report) {
	for _, g := range f.gateways {
		g.mu.Lock()
		peak := g.peakMemory
		g.mu.Unlock()
		out.PeakMemory = max(out.PeakMemory, peak)
		if peak > memoryLimit {
			out.add("memory", "%s has used %d MB", g.name, peak>>20)
		}
	}
}
