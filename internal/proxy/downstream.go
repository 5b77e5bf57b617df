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

// transport is one side of a request, downstream or upstream: a dedicated connection or a channel of a multiplexed
// one. The methods have the semantics of eventloop.Conn.
type transport interface {
	Read(b []byte) (int, error)
	Write(parts ...[]byte)
	Pending() int
	CloseWrite()
	Close()
	Reset()
}

// downstream is the client's side of a request. Plain connections and channels encode answers differently.
type downstream interface {
	transport
	// sendUp forwards the server's UP line, with its line end.
	sendUp(line []byte)
	// sendFinal sends the final answer, given as a line with its line end.
	sendFinal(answer []byte)
	// sendMove asks the client to reconnect elsewhere, with a resume token; an empty token sends none.
	sendMove(token []byte)
	// closeGracefully closes both directions after the client has had time to read the data already sent.
	closeGracefully()
	// completeLinesOnly reports whether only complete lines may be forwarded, and a server's MOVE line not at all.
	completeLinesOnly() bool
}

// downstreamConn is a client's connection: before its first line, while it carries a request or is multiplexed, and
// while it lingers.
type downstreamConn struct {
	proxy          *Proxy
	conn           *eventloop.Conn
	acceptedAt     monotime.Micros
	firstLine      []byte // received part of the first line or of a PING, at most lineproto.MaxLine bytes
	pings          int    // number of pings answered
	rejectOnly     bool   // descriptors are short: any request on the connection is rejected
	request        *request
	mux            *muxDownstreamConn // not nil once the connection is multiplexed
	lingering      bool               // closed gracefully, but not yet closed by the client
	linger         *linger            // closes the connection if the client does not
	closed         bool
	discardedBytes int  // bytes that arrived while lingering
	clientClosed   bool // the client has closed its sending side
	furtherRead    eventloop.Continuation
	idle           idlePosition
	timer          eventloop.Ref
}

// Connected is part of eventloop.Owner; it is never called, since client connections are accepted, not dialed.
func (c *downstreamConn) Connected(*eventloop.Conn, error) {}

// Flushed is part of eventloop.Owner: all data pending for the client has been written.
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
		if !c.readOnce() {
			return
		}
	}
	c.furtherRead.Schedule(c.proxy.loop, func() { c.Readable(c.conn) })
}

// readOnce reads from a connection that carries no request and handles the bytes. It returns false if there are none.
func (c *downstreamConn) readOnce() bool {
	buffers := &c.proxy.buffers.read
	buffer := buffers.get()
	defer buffers.put(buffer)
	n, err := c.conn.Read(buffer)
	switch {
	case errors.Is(err, eventloop.ErrAgain):
		return false
	case err != nil:
		c.handleClientClosed(errors.Is(err, io.EOF))
		return false
	case c.lingering:
		c.discardedBytes += n
	default:
		c.readFirstLine(buffer[:n])
	}
	return true
}

// multiplexed reports whether the connection currently carries channels.
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

// readFirstLine handles bytes that arrive before a request: part of the first line, or of a ping.
func (c *downstreamConn) readFirstLine(b []byte) {
	had := len(c.firstLine)
	taken := min(len(b), lineproto.MaxLine-had)
	c.firstLine = append(c.firstLine, b[:taken]...)
	if c.startsMux() {
		c.startMux(b[taken:])
		return
	}
	text, n, err := lineproto.SplitLine(c.firstLine)
	verb := lineproto.ParseVerb(text)
	switch {
	case err != nil:
		c.fail(answercause.Malformed)
	case n == 0:
		if had == 0 && c.pings > 0 {
			c.expireAfter(timeouts.FirstLine) // the first byte of a line after a ping
		}
	case verb == lineproto.VerbPing && bytes.IndexByte(c.firstLine[n:], '\n') < 0:
		c.answerPing(n)
	case verb == lineproto.VerbOpen && n == had+len(b):
		c.openRequest(text)
	default:
		// This includes a line followed by more bytes: clients and health checkers must wait for each answer.
		c.fail(unservableCause(verb))
	}
}

// startsMux reports whether the client asks for a multiplexed connection and the configuration allows it.
func (c *downstreamConn) startsMux() bool {
	channels := c.proxy.cfg.Channels
	return channels != nil && channels.AcceptDownstream && c.pings == 0 &&
		bytes.HasPrefix(c.firstLine, []byte(channel.Prefix))
}

// openRequest starts the request of the first line; text is the line without its line end.
func (c *downstreamConn) openRequest(text []byte) {
	c.proxy.loop.Cancel(&c.timer)
	c.proxy.listener.idle.remove(c)
	line := c.firstLine
	c.firstLine = nil
	if r := c.proxy.openRequest(c, text, line, c.rejectOnly); r.state != stateClosed {
		c.request = r
	}
}

// unservableCause returns why a complete first line can't be served: it is malformed, or the client sent more data
// before it had the answer.
func unservableCause(verb lineproto.ClientVerb) answercause.Cause {
	if verb == lineproto.VerbOpen || verb == lineproto.VerbPing {
		return answercause.ClientTooEarly
	}
	return answercause.Malformed
}

// fail sends ERR for a first line that can't be served, counts the cause and closes the connection gracefully.
func (c *downstreamConn) fail(cause answercause.Cause) {
	c.proxy.stats.failed++
	c.proxy.countUnserved("", cause)
	c.sendFinal([]byte("ERR\r\n"))
	c.closeGracefully()
}

// answerPing answers a health checker's ping, the first n bytes of firstLine, with PONG. During a drain the answer is
// ERR, so that no new clients are sent here.
func (c *downstreamConn) answerPing(n int) {
	answer := "PONG\r\n"
	if c.proxy.drain.active {
		answer = "ERR\r\n"
	}
	c.conn.Write([]byte(answer))
	if overload.IsStalled(c.conn.Pending(), c.proxy.buffers.maxPending) {
		c.close() // the client sends pings without reading the answers
		return
	}
	c.pings++
	c.proxy.listener.idle.add(c)
	c.firstLine = slices.Delete(c.firstLine, 0, n)
	if len(c.firstLine) > 0 {
		c.expireAfter(timeouts.FirstLine)
		return
	}
	c.firstLine = nil // free the memory: the connection may stay idle for long
	c.expireAfter(timeouts.HealthCheckIdleTimeout)
}

// expireAfter (re)starts the connection's timer to call expire after span.
func (c *downstreamConn) expireAfter(span monotime.Micros) { c.startTimer(span, c.expire) }

func (c *downstreamConn) startTimer(span monotime.Micros, due func()) {
	c.proxy.loop.Cancel(&c.timer)
	c.timer = c.proxy.loop.After(span, due)
}

// expire closes a connection whose first line is not complete in time. Data that has arrived but is not yet read still
// counts. Data that arrives later is read and discarded, so that the client sees EOF rather than a reset.
func (c *downstreamConn) expire() {
	c.Readable(c.conn)
	if c.closed || c.lingering || c.request != nil || c.mux != nil {
		return
	}
	if len(c.firstLine) > 0 {
		c.fail(answercause.Malformed) // part of a request has arrived
		return
	}
	c.closeGracefully()
}

// evict closes a connection because descriptors are short. A request that has arrived but is not yet read is rejected.
func (c *downstreamConn) evict() {
	c.proxy.listener.idle.remove(c)
	c.rejectOnly = true
	if !c.lingering {
		c.Readable(c.conn)
	}
	if c.request == nil && (c.mux == nil || c.mux.unfinished == 0) {
		c.close()
	}
}

// close closes the connection at once; pending data is lost.
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
	c.linger.stop()
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

// closeGracefully closes the sending side and gives the client timeouts.Linger to close its own, and again while it
// reads what is pending. Closing a socket with unread data would send a reset, which could make the client lose the
// last line.
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
	c.proxy.loop.Cancel(&c.timer)
	c.linger = startLinger(c.proxy.loop, c.conn.Pending, c.close)
	if c.clientClosed && c.conn.Pending() == 0 {
		c.close()
	}
}

func (c *downstreamConn) completeLinesOnly() bool { return false }
