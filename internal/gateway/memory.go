package gateway

import "runtime/debug"

// heapShare is the share of the instance's memory beyond which the garbage collector no longer lets garbage pile up.
// The rest is for what the Go runtime does not manage: the program's file and the receive buffers of connections.
const heapShare = 0.75

// limitMemory sets the memory limit of the Go runtime. Without a known memory of the instance it does nothing.
func (s *Settings) limitMemory() {
	if s.MemoryMB <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(heapShare * s.MemoryMB * (1 << 20)))
}
