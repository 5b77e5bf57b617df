package proxy

import (
	"errors"
	"io"

	"spurspread/decision/attemptoutcome"
	"spurspread/decision/keepalive"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/decision/timeouts"
	"spurspread/decision/upstreampool"
	"spurspread/internal/channel"
	"spurspread/internal/discovery"
	"spurspread/internal/eventloop"
	"spurspread/internal/mux"
)

// retireInterval is the interval between checks for idle upstream connections.
const retireInterval = monotime.Second

// muxUpstreams owns the multiplexed upstream connections. The pool decides how many there are and which one an attempt
// uses.
type muxUpstreams struct {
	proxy   *Proxy
	pool    *upstreampool.Pool // nil until channels are turned on
	conns   map[uint32]*muxUpstreamConn
	idleIDs []uint32 // buffer, reused by retireIdle
}

func newMuxUpstreams(p *Proxy) muxUpstreams {
	return muxUpstreams{proxy: p, conns: map[uint32]*muxUpstreamConn{}}
}

// open dials a connection that the pool has decided to open. An immediate failure is handled after the current event.
func (u *muxUpstreams) open(server *discovery.Server, id uint32) {
	p := u.proxy
	p.listener.evictIdle()
	c := &muxUpstreamConn{
		proxy:        p,
		id:           id,
		server:       server,
		attempts:     map[*attempt]bool{},
		lastReceived: p.loop.Now(),
	}
	u.conns[id] = c
	var err error
	if c.conn, err = p.dialServer(server, c); err != nil {
		c.timer = p.loop.After(0, func() { c.fail(dialOutcome(err), false) })
		return
	}
	c.timer = p.loop.After(
		timeouts.MuxSetup(p.cfg.Settings.ConnectTimeout),
		func() { c.fail(outcome.ConnectFailed, false) },
	)
}

// retireIdle closes the connections that have had no channel for the pool's idle timeout, and reschedules itself.
func (u *muxUpstreams) retireIdle() {
	u.proxy.loop.After(retireInterval, u.retireIdle)
	u.idleIDs = u.pool.IdleConnections(u.proxy.loop.Now(), u.idleIDs[:0])
	for _, id := range u.idleIDs {
		if c := u.conns[id]; c != nil && !c.closed {
			c.mux.Disconnect(channel.ByApplication, "idle")
			u.pool.Closed(id)
			c.release()
		}
	}
}

// muxUpstreamConn is a multiplexed connection to a server, on which each attempt has a channel.
type muxUpstreamConn struct {
	proxy        *Proxy
	id           uint32 // id in the pool
	server       *discovery.Server
	conn         *eventloop.Conn
	mux          *mux.Conn         // nil until connected
	waiting      []*attempt        // attempts that wait until the connection is ready
	attempts     map[*attempt]bool // all attempts on the connection, waiting ones included
	timer        eventloop.Ref     // set-up timeout, then the next checkAlive
	lastReceived monotime.Micros
	lastPing     monotime.Micros
	failure      attemptoutcome.SharedFailure // tells whether a failure of the connection was already counted
	failing      bool                         // attempts are being ended because the connection fails
	closed       bool
	furtherRead  eventloop.Continuation
}

// Connected is part of eventloop.Owner.
func (c *muxUpstreamConn) Connected(conn *eventloop.Conn, err error) {
	if err != nil {
		c.fail(outcome.ConnectFailed, false)
		return
	}
	cfg := c.proxy.cfg.Channels
	c.mux = mux.New(conn, mux.Config{
		Version:     cfg.Version,
		MaxChannels: cfg.Pool.ChannelsPerConnection,
		Window:      cfg.Window,
		Budget:      &c.proxy.buffers.windows,
	}, c)
}

// Flushed is part of eventloop.Owner.
func (c *muxUpstreamConn) Flushed(*eventloop.Conn) {
	if c.mux != nil {
		c.mux.Flushed()
	}
}

// Readable is part of eventloop.Owner.
func (c *muxUpstreamConn) Readable(conn *eventloop.Conn) {
	buffers := &c.proxy.buffers.muxRead
	buffer := buffers.get()
	defer buffers.put(buffer)
	for range readsPerTurn {
		if c.closed || c.mux == nil {
			return
		}
		if c.mux.Backlogged() {
			if err := c.mux.Feed(nil); err != nil {
				c.handleProtocolError(err)
				return
			}
			break
		}
		n, err := conn.Read(buffer)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			c.handleConnectionClosed(errors.Is(err, io.EOF))
			return
		}
		c.lastReceived = c.proxy.loop.Now()
		if err := c.mux.Feed(buffer[:n]); err != nil {
			c.handleProtocolError(err)
			return
		}
	}
	c.furtherRead.Schedule(c.proxy.loop, func() { c.Readable(conn) })
}

// handleProtocolError handles an error from the channel protocol, including the server's DISCONNECT.
func (c *muxUpstreamConn) handleProtocolError(err error) {
	if errors.Is(err, mux.ErrNotSSH) {
		c.revertToPlain(true)
		return
	}
	c.fail(outcome.Reset, errors.Is(err, mux.ErrDisconnected))
}

// handleConnectionClosed handles EOF (graceful) or a read error. A server that closes the connection before it has sent
// its identification speaks plain lines; the close may be a reset, since the server has not read the bytes that it does
// not understand.
func (c *muxUpstreamConn) handleConnectionClosed(graceful bool) {
	if !c.mux.Identified() {
		c.revertToPlain(graceful)
		return
	}
	c.fail(outcome.Reset, graceful)
}

// revertToPlain dials a dedicated connection for each waiting attempt, because the server does not speak channels; no
// request has been written to it yet. confirmed is false if the server may merely have failed.
func (c *muxUpstreamConn) revertToPlain(confirmed bool) {
	c.proxy.upstreams.pool.MarkPlain(c.proxy.loop.Now(), c.id, confirmed)
	waiting := c.release()
	for _, a := range waiting {
		a.muxConn = nil
		c.proxy.loop.Cancel(&a.timer)
		a.dial()
	}
}

// fail closes the connection because of a failure with the outcome status. Attempts that wait for the connection end
// with this outcome, or with ConnectFailed in place of Reset, as nothing was written for them; those with a channel end
// as if the server had closed the channel. graceful reports whether the connection ended with EOF or DISCONNECT.
func (c *muxUpstreamConn) fail(status outcome.Status, graceful bool) {
	if c.closed {
		return
	}
	p := c.proxy
	if attemptoutcome.IsLocalShortage(status) {
		p.upstreams.pool.Closed(c.id)
	} else {
		p.stats.upstreamsFailed++
		p.upstreams.pool.Failed(p.loop.Now(), c.id)
	}
	waiting := c.release()
	for _, a := range waiting {
		a.end(attemptoutcome.OfWaiting(status))
	}
	if c.mux != nil {
		c.mux.Lost(graceful)
	}
}

// release closes the connection and returns the attempts that were still waiting for it.
func (c *muxUpstreamConn) release() []*attempt {
	c.closed = true
	c.proxy.loop.Cancel(&c.timer)
	delete(c.proxy.upstreams.conns, c.id)
	c.conn.Close()
	waiting := c.waiting
	c.waiting = nil
	return waiting
}

// releaseAttempt removes an attempt that is ending from the connection, and records whether a failure of the connection
// was already counted with another attempt.
func (c *muxUpstreamConn) releaseAttempt(a *attempt) {
	delete(c.attempts, a)
	c.proxy.upstreams.pool.Release(c.proxy.loop.Now(), c.id)
	a.failureShared = !c.failure.IsEvidence(c.closed || c.failing)
	if a.failureShared {
		c.proxy.stats.sharedFailures++
	}
}

// Ready is part of mux.Owner: channels may be opened.
func (c *muxUpstreamConn) Ready() {
	p := c.proxy
	now := p.loop.Now()
	p.upstreams.pool.Established(now, c.id)
	p.loop.Cancel(&c.timer)
	c.lastPing = now
	c.checkAlive()
	waiting := c.waiting
	c.waiting = nil
	for _, a := range waiting {
		if a.ended {
			continue
		}
		p.loop.Cancel(&a.timer)
		if a.recheckBeforeWrite() {
			a.openChannel()
		}
	}
}

// Admit is part of mux.Owner. It refuses every channel, since servers may not open any.
func (c *muxUpstreamConn) Admit([]byte) (uint32, string) {
	return channel.AdministrativelyProhibited, "ERR"
}

// Open is part of mux.Owner. It rejects every channel, since servers may not open any.
func (c *muxUpstreamConn) Open(ch *mux.Channel, _ []byte) {
	ch.Reject(channel.AdministrativelyProhibited, []byte("ERR"))
}

// PingAnswered is part of mux.Owner. It does nothing: Readable records the arrival of any data as a sign of life.
func (c *muxUpstreamConn) PingAnswered() {}

// checkAlive pings a server that has channels on this connection, and fails the connection if nothing arrives. It
// reschedules itself.
func (c *muxUpstreamConn) checkAlive() {
	if c.closed {
		return
	}
	p := c.proxy
	c.timer = p.loop.After(keepalive.UpstreamCheckInterval, c.checkAlive)
	now := p.loop.Now()
	if c.mux.Len() == 0 {
		c.lastReceived = now
		return
	}
	switch keepalive.Upstream(now, c.lastReceived, c.lastPing) {
	case keepalive.Close:
		c.failUnresponsive()
	case keepalive.Ping:
		c.lastPing = now
		c.mux.Ping()
	case keepalive.Keep:
	}
}

// failUnresponsive moves the clients of a server that no longer sends anything, and fails the connection.
func (c *muxUpstreamConn) failUnresponsive() {
	c.proxy.stats.unresponsive++
	c.failing = true
	for a := range c.attempts {
		if a.request.state == stateEstablished {
			a.request.startMove(outcome.Reset, false)
		}
	}
	c.failing = false
	c.fail(outcome.Reset, false)
}
