package proxy

import (
	"bytes"
	"errors"
	"io"

	"spurspread/decision/answercause"
	"spurspread/decision/keepalive"
	"spurspread/decision/monotime"
	"spurspread/decision/overload"
	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
	"spurspread/internal/mux"
)

// lineEnd terminates the lines of the protocol. Lines in the data of channel messages come without it.
const lineEnd = "\r\n"

// muxDownstreamConn is a client's multiplexed connection. Each of its channels carries one request.
type muxDownstreamConn struct {
	conn             *downstreamConn
	mux              *mux.Conn
	lastReceived     monotime.Micros
	serviceRequested bool // the client has requested the service and may open channels
	unfinished       int  // number of channels that carry a request, or have something to send before they are closed
	openLimiter      overload.OpenLimiter
	held             int64 // bytes held by the client's waiting requests
	feeding          bool  // bytes from the client are being handled
	closed           bool
	furtherRead      eventloop.Continuation
}

// startMux turns the connection, whose first line starts with the greeting of the channel protocol, into a multiplexed
// one. rest is the received data that follows the part in firstLine.
func (c *downstreamConn) startMux(rest []byte) {
	p := c.proxy
	cfg := p.cfg.Channels
	now := p.loop.Now()
	m := &muxDownstreamConn{conn: c, lastReceived: now, openLimiter: overload.NewOpenLimiter(now, cfg.OpensPerSecond)}
	m.mux = mux.New(c.conn, mux.Config{
		Server:      true,
		Version:     cfg.Version,
		MaxChannels: cfg.MaxChannels,
		Window:      cfg.Window,
		Budget:      &p.buffers.windows,
	}, m)
	c.mux = m
	p.listener.muxConns[m] = true
	greeting := c.firstLine
	c.firstLine = nil
	if m.feed(greeting) && !m.serviceRequested {
		c.startTimer(cfg.SetupTimeout, m.setupTimedOut)
	}
	if len(rest) > 0 && !m.closed {
		m.feed(rest)
	}
}

// readClient reads from the client until there is no more data or its turn is over.
func (m *muxDownstreamConn) readClient() {
	buffers := &m.conn.proxy.buffers.muxRead
	buffer := buffers.get()
	defer buffers.put(buffer)
	for range readsPerTurn {
		if m.closed {
			return
		}
		if m.mux.Backlogged() {
			m.feed(nil)
			break
		}
		n, err := m.conn.conn.Read(buffer)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			m.handleClientClosed(errors.Is(err, io.EOF))
			return
		}
		if !m.feed(buffer[:n]) {
			return
		}
	}
	if m.closed {
		return
	}
	m.furtherRead.Schedule(m.conn.proxy.loop, m.readClient)
}

// feed handles bytes from the client. It returns false if the connection is closed, because the client disconnected or
// violated the protocol.
func (m *muxDownstreamConn) feed(b []byte) bool {
	m.lastReceived = m.conn.proxy.loop.Now()
	m.feeding = true
	err := m.mux.Feed(b)
	m.feeding = false
	if err == nil {
		if m.mux.Ready() && !m.serviceRequested {
			m.serviceRequested = true
			m.checkIdle()
		}
		return !m.closed
	}
	disconnected := errors.Is(err, mux.ErrDisconnected)
	if !disconnected {
		m.conn.proxy.stats.protocolErrors++
	}
	m.close(disconnected)
	return false
}

// handleClientClosed handles EOF (graceful) or a read error from the client.
func (m *muxDownstreamConn) handleClientClosed(graceful bool) {
	if m.closed {
		return
	}
	m.release(graceful)
	m.conn.close()
}

// close ends all requests on the connection and shuts it down with downstreamConn.closeGracefully. graceful is as for
// release.
func (m *muxDownstreamConn) close(graceful bool) {
	if m.closed {
		return
	}
	m.release(graceful)
	m.conn.closeGracefully()
}

// release ends all requests on the connection, without closing its socket. graceful reports whether the connection
// ended with EOF or DISCONNECT rather than with an error.
func (m *muxDownstreamConn) release(graceful bool) {
	m.closed = true
	delete(m.conn.proxy.listener.muxConns, m)
	m.mux.Lost(graceful)
}

// disconnect sends the client DISCONNECT with a reason and closes the connection.
func (m *muxDownstreamConn) disconnect(reason string) {
	m.mux.Disconnect(channel.ByApplication, reason)
	m.close(true)
}

func (m *muxDownstreamConn) setupTimedOut() { m.disconnect("the service was not asked for in time") }

// checkIdle pings a client from which nothing has arrived for a while, and closes the connection if nothing follows. It
// reschedules itself.
func (m *muxDownstreamConn) checkIdle() {
	if m.closed {
		return
	}
	p := m.conn.proxy
	idle := p.cfg.Channels.IdleTimeout
	switch keepalive.Downstream(p.loop.Now()-m.lastReceived, idle, m.unfinished) {
	case keepalive.Close:
		m.disconnect("nothing was heard for too long")
		return
	case keepalive.Ping:
		m.mux.Ping()
	case keepalive.Keep:
	}
	m.conn.startTimer(keepalive.DownstreamCheckInterval(idle), m.checkIdle)
}

// closeIfUnused disconnects the client if no channel is unfinished, because the balancer stops or is a lame duck.
func (m *muxDownstreamConn) closeIfUnused() {
	if m.unfinished == 0 {
		m.disconnectForStop()
	}
}

// disconnectForStop disconnects the client because the balancer stops or is a lame duck. What still waits on its
// channels is lost.
func (m *muxDownstreamConn) disconnectForStop() {
	if !m.closed {
		m.disconnect("the balancer stops")
	}
}

// Ready is part of mux.Owner. It does nothing: feed checks whether the connection is ready.
func (m *muxDownstreamConn) Ready() {}

// PingAnswered is part of mux.Owner. It does nothing: feed records the arrival of any data as a sign of life.
func (m *muxDownstreamConn) PingAnswered() {}

// Admit is part of mux.Owner: it decides whether the client may open a channel. An empty reason admits it; otherwise
// the reason is a BUSY line.
func (m *muxDownstreamConn) Admit([]byte) (code uint32, reason string) {
	p := m.conn.proxy
	cfg := p.cfg.Channels
	cause := answercause.MemoryShort
	if !m.openLimiter.Admit(p.loop.Now(), cfg.OpensPerSecond, m.mux.Len(), cfg.MaxChannels) {
		cause = answercause.ChannelLimit
	} else if m.admitsHeld() {
		return 0, ""
	}
	p.stats.rejected++
	p.countUnserved("", cause)
	busy := lineproto.AppendBusy(nil, millisRoundedUp(p.retryAfter()))
	return channel.ResourceShortage, string(bytes.TrimRight(busy, lineEnd))
}

// admitsHeld reports whether another request of the client may wait for its answer.
func (m *muxDownstreamConn) admitsHeld() bool {
	p := m.conn.proxy
	return overload.AdmitsHeld(overload.Held{
		Own:         m.held,
		Total:       p.buffers.held,
		Limit:       overload.HeldLimit(p.cfg.MemoryLimit),
		Connections: len(p.listener.muxConns),
	})
}

// Open is part of mux.Owner: the client has opened a channel, whose data is the first line of a request.
func (m *muxDownstreamConn) Open(ch *mux.Channel, data []byte) {
	p := m.conn.proxy
	text, err := channel.ParseString(data)
	if err != nil || !isOpenLine(text) {
		p.stats.failed++
		p.countUnserved("", answercause.Malformed)
		ch.Reject(channel.AdministrativelyProhibited, []byte("ERR"))
		return
	}
	line := make([]byte, 0, len(text)+len(lineEnd))
	line = append(append(line, text...), lineEnd...)
	k := &downstreamChannel{conn: m, Channel: ch}
	k.hold(overload.HeldRequestBytes(len(line)))
	m.unfinished++
	p.listener.idle.remove(m.conn)
	ch.SetOwner(k)
	if r := p.openRequest(k, line[:len(text)], line, m.conn.rejectOnly); r.state != stateClosed {
		k.request = r
	}
}

// isOpenLine reports whether a channel's data is a single OPEN line without its line end.
func isOpenLine(text []byte) bool {
	return len(text) <= lineproto.MaxLine-len(lineEnd) && !bytes.ContainsAny(text, lineEnd) &&
		lineproto.ParseVerb(text) == lineproto.VerbOpen
}

// downstreamChannel is a channel of a client's multiplexed connection, which carries one request.
type downstreamChannel struct {
	*mux.Channel
	conn      *muxDownstreamConn
	request   *request
	moveToken []byte // token of the pending MOVE; empty for none
	sendsMove bool   // closeGracefully sends MOVE
	answered  bool   // the channel was rejected with the final answer, which ended it
	released  bool
	held      int64   // bytes held while the request waits for its answer
	linger    *linger // closes the channel if the client does not read what is pending
}

// hold sets the number of bytes that the channel holds while its request waits.
func (k *downstreamChannel) hold(bytes int64) {
	k.conn.held += bytes - k.held
	k.conn.conn.proxy.buffers.held += bytes - k.held
	k.held = bytes
}

// release removes the channel from its connection's count, once nothing is left to send on it. A connection without
// unfinished channels becomes idle and, during a drain, is closed. Only the first call has an effect.
func (k *downstreamChannel) release() {
	if k.released {
		return
	}
	k.released = true
	k.request = nil
	k.hold(0)
	m := k.conn
	m.unfinished--
	if m.unfinished > 0 || m.closed {
		return
	}
	p := m.conn.proxy
	p.listener.idle.add(m.conn)
	if p.drain.active {
		p.loop.After(0, m.closeIfUnused)
	}
}

// Confirmed is part of mux.ChannelOwner; it is never called, since only the client opens channels here.
func (k *downstreamChannel) Confirmed([]byte) {}

// Rejected is part of mux.ChannelOwner; it is never called, since only the client opens channels here.
func (k *downstreamChannel) Rejected(uint32, []byte) {}

// Requested is part of mux.ChannelOwner: channel requests from clients are not supported.
func (k *downstreamChannel) Requested(_, _ []byte) bool { return false }

// Readable is part of mux.ChannelOwner.
func (k *downstreamChannel) Readable() {
	if k.request != nil {
		k.request.readClient()
	}
}

// Flushed is part of mux.ChannelOwner.
func (k *downstreamChannel) Flushed() {
	if k.request != nil {
		k.request.downstreamFlushed()
	}
}

// Close is part of transport.
func (k *downstreamChannel) Close() {
	k.Channel.Close()
	k.release()
}

// Reset is part of transport: the client receives CLOSE without EOF.
func (k *downstreamChannel) Reset() { k.Close() }

func (k *downstreamChannel) sendUp(line []byte) {
	k.hold(0)
	k.Confirm(bytes.TrimRight(line, lineEnd))
}

// sendFinal rejects the channel, with the answer as the description and the reason code that matches it best.
func (k *downstreamChannel) sendFinal(answer []byte) {
	answer = bytes.TrimRight(answer, lineEnd)
	code := channel.ConnectFailed
	if verb, _ := lineproto.ParseServerLine(answer); verb == lineproto.Busy {
		code = channel.ResourceShortage
	}
	k.answered = true
	k.Reject(code, answer)
}

// sendMove leaves it to closeGracefully to send MOVE, after the data and before EOF.
func (k *downstreamChannel) sendMove(token []byte) {
	k.sendsMove = true
	k.moveToken = token
}

// closeGracefully ends the channel, after MOVE if sendMove was called. If data is pending, the client gets
// timeouts.Linger to read it, and again while it reads, before the channel is closed; until then the connection stays
// in use.
func (k *downstreamChannel) closeGracefully() {
	k.request = nil
	if k.answered {
		k.release()
		return
	}
	name, data := "", []byte(nil)
	if k.sendsMove {
		name, data = channel.Move, channel.AppendString(nil, k.moveToken)
	}
	ch := k.Channel
	ch.CloseAfterFlush(name, data, k.release)
	if ch.Pending() > 0 {
		k.linger = startLinger(k.conn.conn.proxy.loop, ch.Pending, ch.Close)
	}
}

func (k *downstreamChannel) completeLinesOnly() bool { return true }
