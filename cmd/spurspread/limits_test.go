package main

import (
	"runtime/debug"
	"testing"
)

// A memory limit that is taken out of the configuration no longer holds after the reload.
func TestMemoryLimitIsTakenBack(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	limits{memoryMB: 64}.limitMemory()
	if got := debug.SetMemoryLimit(-1); got != 40<<20 {
		t.Errorf("%d bytes of 64 MB", got)
	}
	limits{}.limitMemory()
	if got := debug.SetMemoryLimit(-1); got != before {
		t.Errorf("%d bytes without a limit, %d at the start", got, before)
	}
}
