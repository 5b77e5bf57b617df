package proxy

import (
	"testing"

	"spurspread/decision/overload"
)

// However many requests there are, the data buffered for slow clients and servers stays within an eighth of the memory
// limit, even if no limit on descriptors bounds the number of requests.
func TestBufferedDataIsBounded(t *testing.T) {
	const memory, clients = 16 << 20, 400
	h := newHarness(t, 1, decideNothing, func(cfg *Config) { cfg.MemoryLimit = memory })
	for i := range clients {
		h.pendingRequest(i)
		var readers, each int
		h.onLoop(func() { readers, each = overload.SlowReaders(0, h.proxy.requests.len()), h.proxy.buffers.maxPending })
		if readers*each > memory/8 {
			t.Fatalf("up to %d bytes buffered for %d slow readers, want at most %d", readers*each, readers, memory/8)
		}
	}
}
