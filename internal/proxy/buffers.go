package proxy

import (
	"spurspread/decision/overload"
	"spurspread/internal/mux"
)

const (
	// readSize is how many bytes are read from a connection at once.
	readSize = 8 << 10
	// muxReadSize is the same for a multiplexed connection, which carries the data of many.
	muxReadSize = 64 << 10
	// readsPerTurn is how many reads one socket has before the others have their turn.
	readsPerTurn = 4
)

// bufferLimits owns the read buffers, which all connections share, and what bounds the memory under slow readers.
type bufferLimits struct {
	read            []byte
	muxRead         []byte // nil until channels are turned on
	maxPending      int    // bytes kept for one slow reader before its sender is left unread
	sizedForReaders int    // slow readers that maxPending was fitted to
	windows         mux.Budget
}

func newBufferLimits() bufferLimits {
	return bufferLimits{read: make([]byte, readSize), maxPending: overload.MaxPendingBytes}
}

// updateBufferLimits fits the buffers to the memory and the number of requests.
func (p *Proxy) updateBufferLimits() {
	p.buffers.sizedForReaders = overload.SlowReaders(p.cfg.MaxDescriptors, p.requests.len())
	p.buffers.maxPending = overload.PendingLimit(p.cfg.MemoryLimit, p.buffers.sizedForReaders)
}

// updateBufferLimitsIfGrown fits them again if there may be more slow readers than they were fitted to.
func (p *Proxy) updateBufferLimitsIfGrown() {
	if overload.SlowReaders(p.cfg.MaxDescriptors, p.requests.len()) > p.buffers.sizedForReaders {
		p.updateBufferLimits()
	}
}

// updateWindowBudget sets how much peers may be granted to send on channels.
func (p *Proxy) updateWindowBudget() {
	p.buffers.windows.Floor = overload.MinChannelWindow
	p.buffers.windows.Limit = overload.WindowBudget(p.cfg.MemoryLimit)
}
