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

// retireInterval is how often idle upstream connections are looked for.
const retireInterval = monotime.Second

// muxUpstreams owns the multiplexed upstream connections. How many there are, and which one an attempt takes, is
// decided by the pool.
type muxUpstreams struct {
	proxy *Proxy
	pool  *upstreampool.Pool // nil until channels are turned on
	conns map[uint32]*muxUpstreamConn
	idle  []uint32 // reused from look to look
}

func newMuxUpstreams(p *Proxy) muxUpstreams {
	return muxUpstreams{proxy: p, conns: map[uint32]*muxUpstreamConn{}}
}

// open dials a connection that the pool has decided on. A failure at once is handled in a later turn.
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

// retireIdle closes connections that have carried nothing for long.
func (u *muxUpstreams) retireIdle() {
	u.proxy.loop.After(retireInterval, u.retireIdle)
	u.idle = u.pool.IdleConnections(u.proxy.loop.Now(), u.idle[:0])
	for _, id := range u.idle {
		if c := u.conns[id]; c != nil && !c.closed {
			c.mux.Disconnect(channel.ByApplication, "idle")
			u.pool.Closed(id)
			c.release()
		}
	}
}

// muxUpstreamConn is a multiplexed connection to a server. Attempts share it, with a channel each.
type muxUpstreamConn struct {
	proxy        *Proxy
	id           uint32 // in the pool
	server       *discovery.Server
	conn         *eventloop.Conn
	mux          *mux.Conn         // nil until it is connected
	waiting      []*attempt        // for it to be ready
	attempts     map[*attempt]bool // all on it
	timer        eventloop.Ref     // of its set-up, then of checkAlive
	lastReceived monotime.Micros
	lastPing     monotime.Micros
	failure      attemptoutcome.SharedFailure
	failing      bool // attempts end because it fails
	closed       bool
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
	buffer := c.proxy.buffers.muxRead
	for range readsPerTurn {
		if c.closed || c.mux == nil {
			return
		}
		n, err := conn.Read(buffer)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			c.connectionEnded(errors.Is(err, io.EOF))
			return
		}
		c.lastReceived = c.proxy.loop.Now()
		if err := c.mux.Feed(buffer[:n]); err != nil {
			c.protocolEnded(err)
			return
		}
	}
	c.proxy.loop.After(0, func() { c.Readable(conn) })
}

// protocolEnded handles an error of the channel protocol.
func (c *muxUpstreamConn) protocolEnded(err error) {
	if errors.Is(err, mux.ErrNotSSH) {
		c.revertToPlain(true)
		return
	}
	c.fail(outcome.Reset, errors.Is(err, mux.ErrDisconnected))
}

// connectionEnded handles the end of the connection. A server that ends it before it has identified itself speaks plain
// lines; it may reset it, for it has not read what it does not understand.
func (c *muxUpstreamConn) connectionEnded(plain bool) {
	if !c.mux.Identified() {
		c.revertToPlain(plain)
		return
	}
	c.fail(outcome.Reset, plain)
}

// revertToPlain gives the waiting attempts connections of their own: the server does not speak channels, and no request
// was written to it yet. confirmed is false where it might only have died.
func (c *muxUpstreamConn) revertToPlain(confirmed bool) {
	c.proxy.upstreams.pool.MarkPlain(c.proxy.loop.Now(), c.id, confirmed)
	waiting := c.release()
	for _, a := range waiting {
		a.muxConn = nil
		c.proxy.loop.Cancel(&a.timer)
		a.dial()
	}
}

// fail ends the connection and all attempts on it.
func (c *muxUpstreamConn) fail(status outcome.Status, plain bool) {
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
		c.mux.Lost(plain)
	}
}

// release closes the connection and returns the attempts that still waited for it.
func (c *muxUpstreamConn) release() []*attempt {
	c.closed = true
	c.proxy.loop.Cancel(&c.timer)
	delete(c.proxy.upstreams.conns, c.id)
	c.conn.Close()
	waiting := c.waiting
	c.waiting = nil
	return waiting
}

// releaseAttempt takes an attempt off the connection, which ends.
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
		if a.mayWrite() {
			a.openChannel()
		}
	}
}

// Admit is part of mux.Owner: servers open no channels.
func (c *muxUpstreamConn) Admit([]byte) (uint32, string) {
	return channel.AdministrativelyProhibited, "ERR"
}

// Open is part of mux.Owner: servers open no channels.
func (c *muxUpstreamConn) Open(ch *mux.Channel, _ []byte) {
	ch.Reject(channel.AdministrativelyProhibited, []byte("ERR"))
}

// Alive is part of mux.Owner.
func (c *muxUpstreamConn) Alive() {}

// checkAlive asks a server that carries channels for signs of life, and gives up one that shows none.
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
		c.failSilent()
	case keepalive.Ping:
		c.lastPing = now
		c.mux.Ping()
	case keepalive.Keep:
	}
}

// failSilent moves the clients of a server that sends nothing any more, and gives the connection up.
func (c *muxUpstreamConn) failSilent() {
	c.proxy.stats.silent++
	c.failing = true
	for a := range c.attempts {
		if a.request.state == stateEstablished {
			a.request.moveAway(outcome.Reset, false)
		}
	}
	c.failing = false
	c.fail(outcome.Reset, false)
}
