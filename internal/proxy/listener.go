package proxy

import (
	"net/netip"

	"spurspread/decision/monotime"
	"spurspread/decision/overload"
	"spurspread/decision/timeouts"
	"spurspread/internal/eventloop"
)

// listener owns the listening socket and the downstream connections that no request depends on: those that have not
// sent a first line, those whose clients are given time to read a final answer, and multiplexed ones.
type listener struct {
	proxy     *Proxy
	socket    *eventloop.Listener
	closed    bool
	idle      idleConns
	lingering int // connections with their final answer that their clients have not closed yet
	muxed     map[*muxDownstreamConn]bool
}

func newListener(p *Proxy) listener {
	return listener{proxy: p, muxed: map[*muxDownstreamConn]bool{}}
}

// listen opens the listening socket, which processes of one deployment share during a hot restart.
func (l *listener) listen(addr netip.AddrPort) (err error) {
	l.socket, err = l.proxy.loop.ListenShared(addr, l.accept)
	return err
}

// accept takes a connection from the accept queue.
func (l *listener) accept(adopt func(eventloop.Owner) (*eventloop.Conn, error)) {
	l.evictIdle()
	c := &downstreamConn{proxy: l.proxy, acceptedAt: l.proxy.loop.Now(), rejectOnly: l.proxy.descriptorsShort()}
	conn, err := adopt(c)
	if err != nil {
		return
	}
	c.conn = conn
	l.idle.add(c)
	c.timer = l.proxy.loop.After(timeouts.FirstLine, c.expire)
	c.Readable(conn) // the first line has mostly arrived with the connection
}

// evictIdle closes idle connections until descriptors no longer run short, or none is left.
func (l *listener) evictIdle() {
	for l.proxy.descriptorsShort() {
		c := l.idle.oldest(overload.Answered)
		if c == nil {
			return
		}
		l.proxy.stats.evicted++
		c.evict()
	}
}

// closeIdle ends the connections without a request that are at least so old. A request that arrives in this very turn
// is answered.
func (l *listener) closeIdle(age monotime.Micros) {
	for _, c := range l.idle.accepted(l.proxy.loop.Now() - age) {
		l.idle.remove(c)
		c.expire()
	}
}

// closeUnusedMux ends the multiplexed connections without channels.
func (l *listener) closeUnusedMux() {
	for m := range l.muxed {
		m.closeIfUnused()
	}
}

// close accepts what waits in the accept queue, which would be reset otherwise, and listens no more.
func (l *listener) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.socket.DrainAndClose()
	if l.proxy.drain.stopping && !l.proxy.drain.handingOver {
		l.closeIdle(l.proxy.drain.idleAge())
	}
}
