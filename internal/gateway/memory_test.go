package gateway

import (
	"math"
	"runtime/debug"
	"testing"
)

// TestMemoryLimit: the runtime keeps a margin below the instance's memory, and has no limit without one.
func TestMemoryLimit(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(math.MaxInt64))
	(&Settings{}).limitMemory()
	if got := debug.SetMemoryLimit(-1); got != math.MaxInt64 {
		t.Errorf("limit %d without a known memory", got)
	}
	(&Settings{MemoryMB: 184}).limitMemory()
	if got := debug.SetMemoryLimit(-1); got != 138<<20 {
		t.Errorf("limit of %d MiB with 184 MiB, want 138", got>>20)
	}
}
