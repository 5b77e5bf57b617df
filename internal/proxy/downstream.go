package proxy

import (
	"bytes"
	"errors"
	"io"
	"slices"

	"spurspread/decision/answercause"
	"spurspread/decision/monotime"
	"spurspread/decision/overload"
	"spurspread/decision/timeouts"
	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
)

// transport is one side of a request, towards its client or towards its server: a connection of its own or a channel of
// a multiplexed one. The methods are those of eventloop.Conn.
type transport interface {
	Read(b []byte) (int, error)
	Write(parts ...[]byte)
	Pending() int
	CloseWrite()
	Close()
	Reset()
}

// downstream is the side towards the client. Each kind of connection has its own form for what a client is answered.
type downstream interface {
	transport
	// sendUp forwards the server's UP line, with its line end.
	sendUp(line []byte)
	// sendFinal sends the final answer, a line with its line end.
	sendFinal(answer []byte)
	// sendMove sends the client away, with a token or none.
	sendMove(token []byte)
	// closeGracefully ends both directions once the client has had time to read what was sent.
	closeGracefully()
	// completeLinesOnly reports whether only whole lines may be forwarded, and a server's MOVE not as one of them.
	completeLinesOnly() bool
}

// downstreamConn is a client's connection: before its first line, while it serves a request or is multiplexed, and
// while its client reads its final answer.
type downstreamConn struct {
	proxy          *Proxy
	conn           *eventloop.Conn
	acceptedAt     monotime.Micros
	firstLine      []byte // as far as it has arrived; never longer than a line may be
	pings          int    // pings that were answered
	rejectOnly     bool   // accepted for want of descriptors, only to be rejected
	request        *request
	mux            *muxDownstreamConn // set once it is multiplexed
	lingering      bool               // it has its final answer; its client has not closed it yet
	closed         bool
	discardedBytes int  // bytes that arrived after its final answer
	clientClosed   bool // its client has ended its side
	idle           idlePosition
	timer          eventloop.Ref
}

// Connected is part of eventloop.Owner; a listener dials nothing.
func (c *downstreamConn) Connected(*eventloop.Conn, error) {}

// Flushed is part of eventloop.Owner: the client has read all that was pending.
func (c *downstreamConn) Flushed(*eventloop.Conn) {
	switch {
	case c.request != nil:
		c.request.downstreamFlushed()
	case c.multiplexed():
		c.mux.mux.Flushed()
	case c.lingering && c.clientClosed:
		c.close()
	}
}

// Readable is part of eventloop.Owner.
func (c *downstreamConn) Readable(*eventloop.Conn) {
	for range readsPerTurn {
		switch {
		case c.request != nil:
			c.request.readClient()
			return
		case c.multiplexed():
			c.mux.readClient()
			return
		case c.closed, overload.StopsReading(c.discardedBytes):
			return
		}
		n, err := c.conn.Read(c.proxy.buffers.read)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			c.handleClientClosed(errors.Is(err, io.EOF))
			return
		}
		if c.lingering {
			c.discardedBytes += n
		} else {
			c.readFirstLine(c.proxy.buffers.read[:n])
		}
	}
	c.proxy.loop.After(0, func() { c.Readable(c.conn) })
}

// multiplexed reports whether it carries channels now.
func (c *downstreamConn) multiplexed() bool { return c.mux != nil && !c.mux.closed }

// handleClientClosed handles EOF (graceful) or an error from the client while no request uses the connection. After EOF
// a pending final answer is still written before the connection is closed.
func (c *downstreamConn) handleClientClosed(graceful bool) {
	c.clientClosed = graceful
	if graceful && c.lingering && c.conn.Pending() > 0 {
		return
	}
	c.close()
}

// readFirstLine reads the first line, or one ping after another.
func (c *downstreamConn) readFirstLine(b []byte) {
	had := len(c.firstLine)
	taken := min(len(b), lineproto.MaxLine-had)
	c.firstLine = append(c.firstLine, b[:taken]...)
	if c.startsMux() {
		c.startMux(bytes.Clone(b[taken:])) // b is the read buffer, which requests use, too
		return
	}
	text, n, err := lineproto.SplitLine(c.firstLine)
	verb := lineproto.ParseVerb(text)
	switch {
	case err != nil:
		c.fail(answercause.Malformed)
	case n == 0:
		if had == 0 && c.pings > 0 {
			c.expireAfter(timeouts.FirstLine) // a further line has begun
		}
	case verb == lineproto.VerbPing && bytes.IndexByte(c.firstLine[n:], '\n') < 0:
		c.answerPing(n)
	case verb == lineproto.VerbOpen && n == had+len(b):
		c.openRequest(text)
	default:
		// This includes what has more bytes behind it: clients and health checkers wait for each answer.
		c.fail(unservableCause(verb))
	}
}

// startsMux reports whether the client asks for a multiplexed connection, and may.
func (c *downstreamConn) startsMux() bool {
	channels := c.proxy.cfg.Channels
	return channels != nil && channels.AcceptDownstream && c.pings == 0 &&
		bytes.HasPrefix(c.firstLine, []byte(channel.Prefix))
}

// openRequest has the first line served; text is the line without its end.
func (c *downstreamConn) openRequest(text []byte) {
	c.proxy.loop.Cancel(&c.timer)
	c.proxy.listener.idle.remove(c)
	line := c.firstLine
	c.firstLine = nil
	if r := c.proxy.openRequest(c, text, line, c.rejectOnly); r.state != stateClosed {
		c.request = r
	}
}

// unservableCause is why a complete first line that is no ping can't be served: it is not one, or its client has sent
// more before its answer.
func unservableCause(verb lineproto.ClientVerb) answercause.Cause {
	if verb == lineproto.VerbOpen || verb == lineproto.VerbPing {
		return answercause.ClientTooEarly
	}
	return answercause.Malformed
}

// fail answers a first line that can't be served, for a cause that is counted.
func (c *downstreamConn) fail(cause answercause.Cause) {
	c.proxy.stats.failed++
	c.proxy.countUnserved("", cause)
	c.sendFinal([]byte("ERR\r\n"))
	c.closeGracefully()
}

// answerPing answers a health checker's ping, which takes n bytes. During a drain the answer says that no new clients
// are wanted here.
func (c *downstreamConn) answerPing(n int) {
	answer := "PONG\r\n"
	if c.proxy.drain.active {
		answer = "ERR\r\n"
	}
	c.conn.Write([]byte(answer))
	if overload.IsStalled(c.conn.Pending(), c.proxy.buffers.maxPending) {
		c.close() // it pings and does not read
		return
	}
	c.pings++
	c.proxy.listener.idle.add(c)
	c.firstLine = slices.Delete(c.firstLine, 0, n)
	if len(c.firstLine) > 0 {
		c.expireAfter(timeouts.FirstLine)
		return
	}
	c.firstLine = nil // it may stay for long, and holds no memory meanwhile
	c.expireAfter(timeouts.PingGap)
}

// expireAfter ends the connection after a span, unless it has sent a first line by then.
func (c *downstreamConn) expireAfter(span monotime.Micros) { c.startTimer(span, c.expire) }

func (c *downstreamConn) startTimer(span monotime.Micros, due func()) {
	c.proxy.loop.Cancel(&c.timer)
	c.timer = c.proxy.loop.After(span, due)
}

// expire ends a connection that has sent no first line in time. What has arrived by now, unread behind this very event,
// still counts; after the end nothing does: what arrives then is discarded, and the client sees a plain end, not a
// reset.
func (c *downstreamConn) expire() {
	c.Readable(c.conn)
	if c.closed || c.lingering || c.request != nil || c.mux != nil {
		return
	}
	if len(c.firstLine) > 0 {
		c.fail(answercause.Malformed) // a request has begun
		return
	}
	c.closeGracefully()
}

// evict ends a connection for want of descriptors. A request that has arrived by now, unread, is rejected.
func (c *downstreamConn) evict() {
	c.proxy.listener.idle.remove(c)
	c.rejectOnly = true
	if !c.lingering {
		c.Readable(c.conn)
	}
	if c.request == nil && (c.mux == nil || c.mux.requests == 0) {
		c.close()
	}
}

// close closes the connection at once; what is pending is lost.
func (c *downstreamConn) close() {
	if c.closed {
		return
	}
	if c.lingering {
		c.proxy.listener.lingering--
	}
	c.closed = true
	if c.multiplexed() {
		c.mux.release(true)
	}
	c.proxy.listener.idle.remove(c)
	c.proxy.loop.Cancel(&c.timer)
	c.conn.Close()
	c.firstLine = nil
	c.request = nil
}

// Read is part of transport.
func (c *downstreamConn) Read(b []byte) (int, error) { return c.conn.Read(b) }

// Write is part of transport.
func (c *downstreamConn) Write(parts ...[]byte) { c.conn.Write(parts...) }

// Pending is part of transport.
func (c *downstreamConn) Pending() int { return c.conn.Pending() }

// CloseWrite is part of transport.
func (c *downstreamConn) CloseWrite() { c.conn.CloseWrite() }

// Close is part of transport.
func (c *downstreamConn) Close() { c.close() }

// Reset is part of transport.
func (c *downstreamConn) Reset() {
	c.conn.Reset()
	c.close()
}

func (c *downstreamConn) sendUp(line []byte) { c.conn.Write(line) }

func (c *downstreamConn) sendFinal(answer []byte) { c.conn.Write(answer) }

func (c *downstreamConn) sendMove(token []byte) {
	if len(token) == 0 {
		c.conn.Write([]byte("MOVE\r\n"))
		return
	}
	c.conn.Write([]byte("MOVE "), token, []byte("\r\n"))
}

// closeGracefully ends the sending side only, and gives the client some time to close: a close with unread bytes would
// be a reset, which can overtake the last line.
func (c *downstreamConn) closeGracefully() {
	if c.closed || c.lingering {
		return
	}
	if c.request != nil && c.request.state == stateHalfClosed {
		c.clientClosed = true
	}
	c.lingering = true
	c.request = nil
	c.proxy.listener.lingering++
	c.proxy.listener.idle.add(c)
	c.conn.CloseWrite()
	c.startTimer(timeouts.Linger, c.close)
	if c.clientClosed && c.conn.Pending() == 0 {
		c.close()
	}
}

func (c *downstreamConn) completeLinesOnly() bool { return false }
