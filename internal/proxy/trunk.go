package proxy

import (
	"errors"
	"io"
	"spurspread/decision/outcome"
	"spurspread/decision/upstreampool"
	"spurspread/internal/channel"
	"spurspread/internal/discovery"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
	"spurspread/internal/mux"
)

const (
	upstreamPingInterval   = 2 * second // between a balancer's keepalives on a trunk that carries channels
	upstreamSilenceTimeout = 5 * second // nothing heard on it for so long: its target is gone, with all channels
	upstreamCheckInterval  = 500 * millisecond
	// muxSetupRoundTrips is how many times as long as a connection a trunk may take to come up: it is identified, and asks for
	// its service.
	muxSetupRoundTrips = 3
)

// muxUpstreamConn is a connection to a target that hops share, a channel each.
type muxUpstreamConn struct {
	proxy           *Proxy
	id              uint32
	server          *discovery.Server
	conn            *eventloop.Conn
	mux             *mux.Conn
	waiting         []*upstreamAttempt
	attempts        map[*upstreamAttempt]bool
	timer           eventloop.Ref
	lastReceived    eventloop.Micros
	lastPing        eventloop.Micros
	failureReported bool // its end was told once as evidence of its target's health
	closed          bool
}

// startOnMux lets a hop go over a trunk, if its target may have one. It tells whether the hop is on its way.
func (h *upstreamAttempt) startOnMux() bool {
	r, now := h.proxy, h.proxy.loop.Now()
	c := r.upstreamPool.Acquire(now, h.server.Number)
	switch c.Kind {
	case upstreampool.PlainLines:
		return false
	case upstreampool.LimitReached:
		h.endNextTurn(outcome.ServerFull)
		return true
	case upstreampool.BackingOff:
		h.failureShared = true // what it would tell was told when the trunk failed
		h.endNextTurn(outcome.ConnectFailed)
		return true
	}
	if c.Open {
		r.openMuxUpstream(h.server, c.Connection)
	} else if ahead := r.upstreamPool.OpenAhead(now, h.server.Number); ahead.Open {
		r.openMuxUpstream(h.server, ahead.Connection)
	}
	t := r.muxUpstreams[c.Connection]
	if t == nil { // it could not even be dialled
		h.endNextTurn(outcome.ConnectFailed)
		return true
	}
	h.mux = t
	t.attempts[h] = true
	if c.Kind == upstreampool.Use {
		h.openChannel()
		return true
	}
	t.waiting = append(t.waiting, h)
	h.timer = r.loop.After(
		min(h.deadline-now, muxSetupRoundTrips*eventloop.Micros(r.cfg.Settings.ConnectTimeout)),
		func() { h.end(outcome.ConnectFailed) },
	)
	return true
}

// endNextTurn ends a hop in a later turn, like every other outcome.
func (h *upstreamAttempt) endNextTurn(status outcome.Status) {
	h.timer = h.proxy.loop.After(0, func() { h.end(status) })
}

// openMuxUpstream dials one. A failure at once is told in a later turn.
func (r *Proxy) openMuxUpstream(target *discovery.Server, id uint32) {
	r.evictIdle()
	t := &muxUpstreamConn{
		proxy:        r,
		id:           id,
		server:       target,
		attempts:     map[*upstreamAttempt]bool{},
		lastReceived: r.loop.Now(),
	}
	r.muxUpstreams[id] = t
	var err error
	if t.conn, err = r.dialServer(target, t); err != nil {
		t.timer = r.loop.After(0, func() { t.fail(dialFailure(err), false) })
		return
	}
	t.timer = r.loop.After(
		muxSetupRoundTrips*eventloop.Micros(r.cfg.Settings.ConnectTimeout),
		func() { t.fail(outcome.ConnectFailed, false) },
	)
}

// Connected is part of loop.Owner.
func (t *muxUpstreamConn) Connected(conn *eventloop.Conn, err error) {
	if err != nil {
		t.fail(outcome.ConnectFailed, false)
		return
	}
	cfg := t.proxy.cfg.Channels
	t.mux = mux.New(
		conn,
		mux.Config{
			Version:     cfg.Version,
			MaxChannels: cfg.Pool.ChannelsPerConnection,
			Window:      cfg.Window,
			Budget:      &t.proxy.windowBudget,
		},
		t,
	)
}

// Flushed is part of loop.Owner.
func (t *muxUpstreamConn) Flushed(*eventloop.Conn) {
	if t.mux != nil {
		t.mux.Flushed()
	}
}

// Readable is part of loop.Owner.
func (t *muxUpstreamConn) Readable(conn *eventloop.Conn) {
	for range readsPerTurn {
		if t.closed || t.mux == nil {
			return
		}
		n, err := conn.Read(t.proxy.muxReadBuf)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			t.connectionEnded(errors.Is(err, io.EOF))
			return
		}
		t.lastReceived = t.proxy.loop.Now()
		switch err := t.mux.Feed(t.proxy.muxReadBuf[:n]); {
		case err == nil:
		case errors.Is(err, mux.ErrNotSSH):
			t.revertToPlain(true)
			return
		default:
			t.fail(outcome.Reset, errors.Is(err, mux.ErrDisconnected))
			return
		}
	}
	t.proxy.loop.After(0, func() { t.Readable(conn) })
}

// connectionEnded takes the end of the connection. A target that ends it before it is identified speaks plain lines; it may
// break it off, for it has not read what it does not understand.
func (t *muxUpstreamConn) connectionEnded(plain bool) {
	if !t.mux.Identified() {
		t.revertToPlain(plain)
		return
	}
	t.fail(outcome.Reset, plain)
}

// revertToPlain goes back to plain hops: the target does not speak channels, and nothing was asked of it yet.
func (t *muxUpstreamConn) revertToPlain(sure bool) {
	t.proxy.upstreamPool.MarkPlain(t.proxy.loop.Now(), t.id, sure)
	waiting := t.release()
	for _, h := range waiting {
		h.mux = nil
		t.proxy.loop.Cancel(&h.timer)
		h.dialPlain()
	}
}

// fail ends the trunk and all that is on it. It is one piece of evidence, whatever it carried.
func (t *muxUpstreamConn) fail(status outcome.Status, plain bool) {
	if t.closed {
		return
	}
	if status == outcome.Inconclusive { // this machine's own want
		t.proxy.upstreamPool.Closed(t.id)
	} else {
		t.proxy.counters.upstreamsFailed++
		t.proxy.upstreamPool.Failed(t.proxy.loop.Now(), t.id)
	}
	waiting := t.release()
	for _, h := range waiting {
		if status == outcome.Reset {
			h.end(outcome.ConnectFailed) // it was never sent
		} else {
			h.end(status)
		}
	}
	if t.mux != nil {
		t.mux.Lost(plain)
	}
}

// isFirstEvidence tells whether an outcome is the first word of the trunk's end.
func (t *muxUpstreamConn) isFirstEvidence() bool {
	first := t.closed && !t.failureReported
	t.failureReported = t.failureReported || t.closed
	return first || !t.closed
}

// release closes the connection and gives back the hops that still waited.
func (t *muxUpstreamConn) release() []*upstreamAttempt {
	t.closed = true
	t.proxy.loop.Cancel(&t.timer)
	delete(t.proxy.muxUpstreams, t.id)
	t.conn.Close()
	waiting := t.waiting
	t.waiting = nil
	return waiting
}

// Ready is part of mux.Owner.
func (t *muxUpstreamConn) Ready() {
	now := t.proxy.loop.Now()
	t.proxy.upstreamPool.Established(now, t.id)
	t.proxy.loop.Cancel(&t.timer)
	t.lastPing = now
	t.checkAlive()
	waiting := t.waiting
	t.waiting = nil
	for _, h := range waiting {
		if h.ended {
			continue
		}
		if t.proxy.loop.Cancel(&h.timer); h.mayStillSend() {
			h.openChannel()
		}
	}
}

// Admit is part of mux.Owner: targets open no channels.
func (t *muxUpstreamConn) Admit([]byte) (uint32, string) { return channel.Prohibited, "ERR" }

// Open is part of mux.Owner.
func (t *muxUpstreamConn) Open(ch *mux.Channel, _ []byte) {
	ch.Reject(channel.Prohibited, []byte("ERR"))
}

// Alive is part of mux.Owner.
func (t *muxUpstreamConn) Alive() {}

// checkAlive asks a target that carries channels for signs of life, and gives up one that shows none.
func (t *muxUpstreamConn) checkAlive() {
	if t.closed {
		return
	}
	t.timer = t.proxy.loop.After(upstreamCheckInterval, t.checkAlive)
	now := t.proxy.loop.Now()
	if t.mux.Len() == 0 {
		t.lastReceived = now
		return
	}
	if now-t.lastReceived >= upstreamSilenceTimeout {
		t.failSilent()
		return
	}
	if now-max(t.lastReceived, t.lastPing) >= upstreamPingInterval {
		t.lastPing = now
		t.mux.Ping()
	}
}

// failSilent moves the clients of a target that says nothing any more, and gives the trunk up.
func (t *muxUpstreamConn) failSilent() {
	t.proxy.counters.silent++
	t.closed = true // so that all that ends now is one piece of evidence
	for h := range t.attempts {
		if h.request.state == stateEstablished {
			h.request.moveAway(outcome.Reset, false)
		}
	}
	t.closed = false
	t.fail(outcome.Reset, false)
}

// retireIdleUpstreams closes trunks that have carried nothing for long.
func (r *Proxy) retireIdleUpstreams() {
	r.loop.After(second, r.retireIdleUpstreams)
	r.idleUpstreams = r.upstreamPool.IdleConnections(r.loop.Now(), r.idleUpstreams[:0])
	for _, id := range r.idleUpstreams {
		if t := r.muxUpstreams[id]; t != nil && !t.closed {
			t.mux.Disconnect(channel.ByApplication, "idle")
			r.upstreamPool.Closed(id)
			t.release()
		}
	}
}

// openChannel opens the hop's channel on its trunk, which is up.
func (h *upstreamAttempt) openChannel() {
	t := h.mux
	head, d, tail := h.firstLine()
	text := make([]byte, 0, len(head)+len(d)+len(tail))
	text = append(append(append(text, head...), d...), tail...)
	ch := t.mux.Open(text[:len(text)-2], upstreamChannel{h})
	if ch == nil {
		h.endNextTurn(outcome.ServerFull)
		return
	}
	h.upstream = ch
	h.connected = true
	// What the kernel has not taken yet may still go out: only what was never opened can't have run.
	h.sent = true
	h.timer = h.proxy.loop.After(h.deadline-h.proxy.loop.Now(), func() { h.end(outcome.TimedOut) })
}

// upstreamChannel is a hop's target on a channel.
type upstreamChannel struct{ attempt *upstreamAttempt }

// Confirmed is part of mux.ChannelOwner: the target said UP.
func (k upstreamChannel) Confirmed(data []byte) { k.attempt.answered(append([]byte(nil), data...)) }

// Rejected is part of mux.ChannelOwner.
func (k upstreamChannel) Rejected(code uint32, description []byte) {
	h := k.attempt
	if h.mux.closed {
		h.end(outcome.Reset)
		return
	}
	if kind, _ := lineproto.ParseServerLine(description); kind == lineproto.Up || len(description) == 0 {
		description = []byte("ERR") // UP is no refusal
		if code == channel.NoResources {
			description = []byte("BUSY")
		}
	}
	h.answered(append([]byte(nil), description...))
}

// Readable is part of mux.ChannelOwner.
func (k upstreamChannel) Readable() { k.attempt.read() }

// Flushed is part of mux.ChannelOwner.
func (k upstreamChannel) Flushed() { k.attempt.flushed() }

// Requested is part of mux.ChannelOwner: a target that drains sends the client away.
func (k upstreamChannel) Requested(name, _ []byte) bool {
	if string(name) != channel.Move {
		return false
	}
	if k.attempt.request.state == stateEstablished {
		k.attempt.request.moveAway(outcome.Cancelled, false)
	}
	return true
}
