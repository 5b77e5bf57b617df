package proxy

import (
	"spurspread/decision/overload"
	"spurspread/internal/mux"
)

const (
	// readSize is the size of the read buffer for a connection with one request, in bytes.
	readSize = 8 << 10
	// muxReadSize is the size of the read buffer for a multiplexed connection, which carries many requests, in bytes.
	muxReadSize = 16 << 10
	// readsPerTurn bounds the successive reads from one socket. More data is read after the events of other sockets, so
	// that these are not starved.
	readsPerTurn = 4
)

// readBuffers lends read buffers of one size. Handling the bytes of one connection may read another, for example one
// that is evicted for its descriptor. So a read gets a buffer of its own, and puts it back once its bytes are handled.
type readBuffers struct {
	size int // bytes
	free [][]byte
}

// get returns a buffer that no other read uses.
func (b *readBuffers) get() []byte {
	last := len(b.free) - 1
	if last < 0 {
		return make([]byte, b.size)
	}
	buffer := b.free[last]
	b.free = b.free[:last]
	return buffer
}

// put takes back a buffer whose bytes are not used any more.
func (b *readBuffers) put(buffer []byte) { b.free = append(b.free, buffer) }

// bufferLimits owns the read buffers and the limits on data buffered for slow readers.
type bufferLimits struct {
	read            readBuffers // for connections with one request
	muxRead         readBuffers // for multiplexed connections
	maxPending      int         // bytes buffered for one slow reader before the proxy stops reading from its sender
	sizedForReaders int         // number of slow readers that maxPending allows for
	windows         mux.Budget  // for the receive windows of all channels
	held            int64       // bytes held by waiting requests on channels
}

func newBufferLimits() bufferLimits {
	return bufferLimits{
		read:       readBuffers{size: readSize},
		muxRead:    readBuffers{size: muxReadSize},
		maxPending: overload.MaxPendingBytes,
	}
}

// updateBufferLimits derives maxPending from the memory limit, the limit on descriptors and the number of requests.
func (p *Proxy) updateBufferLimits() {
	p.buffers.sizedForReaders = overload.SlowReaders(p.cfg.MaxDescriptors, p.requests.len())
	p.buffers.maxPending = overload.PendingLimit(p.cfg.MemoryLimit, p.buffers.sizedForReaders)
}

// updateBufferLimitsIfGrown calls updateBufferLimits if there may be more slow readers than maxPending allows for.
func (p *Proxy) updateBufferLimitsIfGrown() {
	if overload.SlowReaders(p.cfg.MaxDescriptors, p.requests.len()) > p.buffers.sizedForReaders {
		p.updateBufferLimits()
	}
}

// updateWindowBudget sets the limits of the receive windows granted to peers on channels.
func (p *Proxy) updateWindowBudget() {
	p.buffers.windows.Floor = overload.MinChannelWindow
	p.buffers.windows.Limit = overload.WindowBudget(p.cfg.MemoryLimit)
}
