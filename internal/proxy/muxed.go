package proxy

import (
	"bytes"
	"errors"
	"io"
	"spurspread/decision/upstreampool"
	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
	"spurspread/internal/mux"
	"strconv"
)

// ChannelConfig has client connections and targets speak SSH-style channels; see docs/protocol/channels.md.
type ChannelConfig struct {
	Downstreams bool // a first line that begins with SSH- opens a connection with channels
	Upstreams   bool // hops go over trunks, to targets that speak channels
	Version     string

	MaxChannels    int     // channels on one client connection
	OpensPerSecond float64 // of channels a second on one, and as many at once
	Window         uint32  // bytes that a peer is granted on each channel, at most
	SetupTimeout   eventloop.Micros
	IdleTimeout    eventloop.Micros // without a word from a client
	Pool           upstreampool.Limits
}

const (
	// minChannelWindow is what a channel is granted however little memory there is: a line comes in some turns then.
	minChannelWindow = 2 << 10
	// windowMemoryDivisor is the part of the memory that peers may be promised to send at once, over all channels.
	windowMemoryDivisor = 4
	defaultWindowBudget = 64 << 20 // the same where no memory limit is told
	// idleCheckDivisor is how often a client that says nothing is looked at, in its idle time.
	idleCheckDivisor = 4
	muxReadSize      = 64 << 10
)

// muxDownstreamConn is a client connection with channels, of which each is a session.
type muxDownstreamConn struct {
	conn             *downstreamConn
	mux              *mux.Conn
	lastReceived     eventloop.Micros
	serviceRequested bool             // the service was asked for
	requests         int              // sessions on it
	openTokens       float64          // that it may still do now
	tokensAt         eventloop.Micros // when they were counted
	closed           bool
}

// startMux makes a door that was greeted with SSH- a connection with channels.
func (d *downstreamConn) startMux() {
	r := d.proxy
	cfg := r.cfg.Channels
	m := &muxDownstreamConn{
		conn:         d,
		lastReceived: r.loop.Now(),
		openTokens:   cfg.OpensPerSecond,
		tokensAt:     r.loop.Now(),
	}
	m.mux = mux.New(
		d.conn,
		mux.Config{
			Server:      true,
			Version:     cfg.Version,
			MaxChannels: cfg.MaxChannels,
			Window:      cfg.Window,
			Budget:      &r.windowBudget,
		},
		m,
	)
	d.mux = m
	r.muxDownstreams[m] = true
	greeting := d.firstLine
	d.firstLine = nil
	if m.feed(greeting) && !m.serviceRequested {
		d.startTimer(cfg.SetupTimeout, m.setupTimedOut)
	}
}

// readable reads what the client sends.
func (m *muxDownstreamConn) readable() {
	for range readsPerTurn {
		if m.closed {
			return
		}
		n, err := m.conn.conn.Read(m.conn.proxy.muxReadBuf)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			m.connectionLost(errors.Is(err, io.EOF))
			return
		}
		if !m.feed(m.conn.proxy.muxReadBuf[:n]) {
			return
		}
	}
	m.conn.proxy.loop.After(0, m.readable)
}

// feed hands on what came, and ends the connection where it may not come.
func (m *muxDownstreamConn) feed(b []byte) bool {
	m.lastReceived = m.conn.proxy.loop.Now()
	err := m.mux.Feed(b)
	if err == nil {
		if m.mux.Ready() && !m.serviceRequested {
			m.serviceRequested = true
			m.checkIdle()
		}
		return !m.closed
	}
	if !errors.Is(err, mux.ErrDisconnected) {
		m.conn.proxy.counters.protocolErrors++
	}
	m.close(errors.Is(err, mux.ErrDisconnected))
	return false
}

// connectionLost takes the end of the connection.
func (m *muxDownstreamConn) connectionLost(plain bool) {
	if m.closed {
		return
	}
	m.release(plain)
	m.conn.close()
}

// close ends it: what is to be said was said.
func (m *muxDownstreamConn) close(plain bool) {
	if m.closed {
		return
	}
	m.release(plain)
	m.conn.closeGracefully()
}

// release ends all that is on it.
func (m *muxDownstreamConn) release(plain bool) {
	m.closed = true
	delete(m.conn.proxy.muxDownstreams, m)
	m.mux.Lost(plain)
}

// setupTimedOut ends a connection that has not asked for the service in time.
func (m *muxDownstreamConn) setupTimedOut() {
	m.mux.Disconnect(channel.ByApplication, "the service was not asked for in time")
	m.close(true)
}

// checkIdle looks whether the client is still there. One that has no channels may stay for its idle time; one that has is
// asked then, and given up after as long again.
func (m *muxDownstreamConn) checkIdle() {
	if m.closed {
		return
	}
	idle, quiet := m.conn.proxy.cfg.Channels.IdleTimeout, m.conn.proxy.loop.Now()-m.lastReceived
	switch {
	case quiet >= 2*idle, quiet >= idle && m.requests == 0:
		m.mux.Disconnect(channel.ByApplication, "nothing was heard for too long")
		m.close(true)
		return
	case quiet >= idle-idle/idleCheckDivisor:
		m.mux.Ping()
	}
	m.conn.startTimer(idle/idleCheckDivisor, m.checkIdle)
}

// closeIfUnused ends a connection that has no channels any more, for the balancer stops.
func (m *muxDownstreamConn) closeIfUnused() {
	if m.requests == 0 && !m.closed {
		m.mux.Disconnect(channel.ByApplication, "the balancer stops")
		m.close(true)
	}
}

// Ready is part of mux.Owner.
func (m *muxDownstreamConn) Ready() {}

// Alive is part of mux.Owner: whatever comes is a sign of life.
func (m *muxDownstreamConn) Alive() {}

var holdOff = strconv.FormatInt(int64(proxyRetryAfter/millisecond), 10)

// Admit is part of mux.Owner.
func (m *muxDownstreamConn) Admit([]byte) (code uint32, why string) {
	now, cfg := m.conn.proxy.loop.Now(), m.conn.proxy.cfg.Channels
	m.openTokens = min(m.openTokens+cfg.OpensPerSecond*float64(now-m.tokensAt)/float64(second), cfg.OpensPerSecond)
	m.tokensAt = now
	if m.openTokens < 1 || m.mux.Len() >= cfg.MaxChannels {
		m.conn.proxy.counters.rejected++
		return channel.NoResources, "BUSY " + holdOff
	}
	m.openTokens--
	return 0, ""
}

// Open is part of mux.Owner.
func (m *muxDownstreamConn) Open(ch *mux.Channel, data []byte) {
	text, err := channel.String(data)
	if err != nil || len(text) > lineproto.Max-2 || bytes.ContainsAny(text, "\r\n") ||
		lineproto.ParseVerb(text) != lineproto.OpenLine {
		m.conn.proxy.counters.failed++
		ch.Reject(channel.Prohibited, []byte("ERR"))
		return
	}
	whole := append(append(make([]byte, 0, len(text)+2), text...), "\r\n"...)
	k := &downstreamChannel{conn: m, Channel: ch}
	m.requests++
	m.conn.proxy.idle.remove(m.conn)
	ch.Own(k)
	if s := m.conn.proxy.openRequest(k, whole[:len(text)], whole, m.conn.rejectOnly); s.state != stateClosed {
		k.request = s
	}
}

// downstreamChannel is a session's client on a channel.
type downstreamChannel struct {
	*mux.Channel
	conn      *muxDownstreamConn
	request   *request
	moveToken []byte
	sendsMove bool
	answered  bool // refused, and so ended
	released  bool
}

// release counts the session out, once.
func (k *downstreamChannel) release() {
	if k.released {
		return
	}
	k.released, k.request = true, nil
	m := k.conn
	if m.requests--; m.requests == 0 && !m.closed {
		m.conn.proxy.idle.add(m.conn) // from now on it may go when descriptors run short
		if m.conn.proxy.drain.on {
			m.conn.proxy.loop.After(0, m.closeIfUnused)
		}
	}
}

// Confirmed and Refused are part of mux.ChannelOwner; only the client opens here.
func (k *downstreamChannel) Confirmed([]byte) {}

// Rejected is part of mux.ChannelOwner.
func (k *downstreamChannel) Rejected(uint32, []byte) {}

// Requested is part of mux.ChannelOwner: no request of a client's is known.
func (k *downstreamChannel) Requested(_, _ []byte) bool { return false }

// Readable is part of mux.ChannelOwner.
func (k *downstreamChannel) Readable() {
	if k.request != nil {
		k.request.Readable()
	}
}

// Flushed is part of mux.ChannelOwner.
func (k *downstreamChannel) Flushed() {
	if k.request != nil {
		k.request.Flushed()
	}
}

// Close is part of side.
func (k *downstreamChannel) Close() {
	k.Channel.Close()
	k.release()
}

// Reset is part of side: the client sees CLOSE without EOF.
func (k *downstreamChannel) Reset() { k.Close() }

func (k *downstreamChannel) sendUp(text []byte) { k.Channel.Confirm(bytes.TrimRight(text, "\r\n")) }

// sendFinal gives the answer as the failure's description, with the code that says most of it.
func (k *downstreamChannel) sendFinal(answer []byte) {
	answer = bytes.TrimRight(answer, "\r\n")
	code := channel.ConnectError
	if kind, _ := lineproto.ParseServerLine(answer); kind == lineproto.Busy {
		code = channel.NoResources
	}
	k.answered = true
	k.Channel.Reject(code, answer)
}

func (k *downstreamChannel) sendMove(token []byte) { k.sendsMove, k.moveToken = true, token }

// closeGracefully ends the channel politely. A client that does not take what is pending is given a moment.
func (k *downstreamChannel) closeGracefully() {
	defer k.release()
	if k.answered {
		return
	}
	name, data := "", []byte(nil)
	if k.sendsMove {
		name, data = channel.Move, channel.AppendString(nil, k.moveToken)
	}
	ch := k.Channel
	if ch.End(name, data); ch.Pending() > 0 {
		k.conn.conn.proxy.loop.After(lingerTimeout, ch.Close)
	}
}

func (k *downstreamChannel) completeLinesOnly() bool { return true }

// configureChannels takes the settings. What stands goes on when they are turned off.
func (r *Proxy) configureChannels(cfg *ChannelConfig) {
	if cfg == nil && r.upstreamPool != nil {
		off := *r.cfg.Channels
		off.Downstreams, off.Upstreams = false, false
		cfg = &off
	}
	if r.cfg.Channels = cfg; cfg == nil {
		return
	}
	r.windowBudget.Floor, r.windowBudget.Limit = minChannelWindow, defaultWindowBudget
	if r.cfg.MemoryLimit > 0 {
		r.windowBudget.Limit = r.cfg.MemoryLimit / windowMemoryDivisor
	}
	if r.upstreamPool == nil {
		r.upstreamPool, r.muxReadBuf = upstreampool.New(cfg.Pool), make([]byte, muxReadSize)
		r.loop.After(second, r.retireIdleUpstreams)
		return
	}
	r.upstreamPool.SetLimits(cfg.Pool)
}
