package main

import (
	"runtime/debug"
	"testing"
)

// Without a memory limit, as after a reload that removes it, the limit from the start of the process applies again.
func TestMemoryLimitIsRestored(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	processConfig{memoryMB: 64}.limitMemory()
	if got := debug.SetMemoryLimit(-1); got != 40<<20 {
		t.Errorf("limit of %d bytes for 64 MB, want 40 MB", got)
	}
	processConfig{}.limitMemory()
	if got := debug.SetMemoryLimit(-1); got != before {
		t.Errorf("limit of %d bytes without a configured one, want the %d of the start", got, before)
	}
}
