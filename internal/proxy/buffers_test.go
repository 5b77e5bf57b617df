package proxy

import (
	"testing"

	"spurspread/decision/overload"
)

// However many requests come, the buffers of their clients and servers together stay within an eighth of the memory,
// also where no limit of descriptors tells how many may come.
func TestSlowReadersStayWithinTheirMemory(t *testing.T) {
	const memory, clients = 16 << 20, 400
	g := newHarness(t, 1, decideNothing, func(cfg *Config) { cfg.MemoryLimit = memory })
	for i := range clients {
		g.pendingRequest(i)
		var readers, each int
		g.inLoop(func() { readers, each = overload.SlowReaders(0, g.proxy.requests.len()), g.proxy.buffers.maxPending })
		if readers*each > memory/8 {
			t.Fatalf("%d slow readers keep up to %d bytes of %d", readers, readers*each, memory/8)
		}
	}
}
