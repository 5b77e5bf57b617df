package proxy

import (
	"net/netip"

	"spurspread/decision/monotime"
	"spurspread/decision/overload"
	"spurspread/decision/timeouts"
	"spurspread/internal/eventloop"
)

// listener owns the listening socket and all downstream connections except plain ones that carry a request: it owns
// those that have not sent a first line, those that linger, and the multiplexed ones.
type listener struct {
	proxy     *Proxy
	socket    *eventloop.Listener
	closing   bool // close was called
	closed    bool // the listening socket is closed
	idle      idleConns
	lingering int // number of connections with downstreamConn.lingering set
	muxConns  map[*muxDownstreamConn]bool
}

func newListener(p *Proxy) listener {
	return listener{proxy: p, muxConns: map[*muxDownstreamConn]bool{}}
}

// listen opens the listening socket. During a hot restart predecessor and successor listen on the same address.
func (l *listener) listen(addr netip.AddrPort) (err error) {
	l.socket, err = l.proxy.loop.ListenShared(addr, l.accept)
	return err
}

// accept accepts a connection from the accept queue. adopt registers its socket with the event loop for the given
// owner; on an error it has closed the socket.
func (l *listener) accept(adopt func(eventloop.Owner) (*eventloop.Conn, error)) {
	l.evictIdle()
	c := &downstreamConn{proxy: l.proxy, acceptedAt: l.proxy.loop.Now(), rejectOnly: l.proxy.nearDescriptorLimit()}
	conn, err := adopt(c)
	if err != nil {
		return
	}
	c.conn = conn
	l.idle.add(c)
	c.timer = l.proxy.loop.After(timeouts.FirstLine, c.expire)
	c.Readable(conn) // the first line has usually arrived already
}

// evictIdle closes idle connections until descriptors are no longer short or no idle connection is left, beginning with
// those that have their final answer. It is called before a descriptor is used.
func (l *listener) evictIdle() {
	for l.proxy.nearDescriptorLimit() {
		c := l.idle.oldest(overload.Answered)
		if c == nil {
			return
		}
		l.proxy.stats.evicted++
		c.evict()
	}
}

// closeIdle closes the connections without a first line that were accepted at least age ago; multiplexed connections
// stay open. A request that has arrived but is not yet read is still answered.
func (l *listener) closeIdle(age monotime.Micros) {
	for _, c := range l.idle.acceptedUntil(l.proxy.loop.Now() - age) {
		l.idle.remove(c)
		c.expire()
	}
}

// disconnectMux disconnects all multiplexed connections.
func (l *listener) disconnectMux() {
	for m := range l.muxConns {
		m.disconnectForStop()
	}
}

// closeUnusedMux disconnects the multiplexed connections without unfinished channels.
func (l *listener) closeUnusedMux() {
	for m := range l.muxConns {
		m.closeIfUnused()
	}
}

// close stops listening once the connections in the accept queue, which would otherwise be reset, are accepted. If the
// process stops without a successor, it then also closes idle connections. Later calls have no effect.
func (l *listener) close() {
	if l.closing {
		return
	}
	l.closing = true
	l.socket.Drain(l.handleClosed)
}

// closeNow is like close, but has stopped listening when it returns.
func (l *listener) closeNow() {
	l.close()
	if !l.closed {
		l.socket.DrainAndClose()
	}
}

func (l *listener) handleClosed() {
	l.closed = true
	if l.proxy.drain.stopping && !l.proxy.drain.handingOver {
		l.closeIdle(l.proxy.drain.maxIdleAge())
	}
}
