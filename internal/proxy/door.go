package proxy

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"slices"
	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
)

const (
	// for a first line to come whole: a client is owed an answer or an end within 3 s
	firstLineTimeout = 2 * second
	pingTimeout      = 60 * second       // between the pings of a front
	lingerTimeout    = 800 * millisecond // for a client to take its answer and close
	// bytes read and dropped of a client that has its answer; what it sends beyond is not read
	maxDiscardedBytes = 256 << 10
)

// downstreamConn is a client connection at the ingress: before its first line, while a session has it, and after its last answer.
type downstreamConn struct {
	proxy        *Proxy
	conn         *eventloop.Conn
	firstLine    []byte // the first line, as far as it has come; never more than a line may hold
	pings        int    // lines of a front that were answered
	rejectOnly   bool   // taken in only to be told that it is shed
	request      *request
	mux          *muxDownstreamConn // once it was greeted with SSH-
	lingering    bool               // it has its answer; its client has not closed yet
	closed       bool
	discarded    int           // bytes that came after its answer
	clientClosed bool          // its client has ended its side
	idleEntry    *list.Element // its place in the waiting room
	idleList     *list.List
	timer        eventloop.Ref
}

func (r *Proxy) accept(adopt func(eventloop.Owner) (*eventloop.Conn, error)) {
	r.evictIdle()
	d := &downstreamConn{proxy: r, rejectOnly: r.descriptorsShort()}
	conn, err := adopt(d)
	if err != nil {
		return
	}
	d.conn = conn
	r.idle.add(d)
	d.timer = r.loop.After(firstLineTimeout, d.expire)
	d.Readable(conn) // the line has mostly come with the connection
}

// Connected is part of loop.Owner; the ingress dials nothing.
func (d *downstreamConn) Connected(*eventloop.Conn, error) {}

// Flushed is part of loop.Owner: the client has caught up.
func (d *downstreamConn) Flushed(*eventloop.Conn) {
	if d.request != nil {
		d.request.Flushed()
	} else if d.mux != nil && !d.mux.closed {
		d.mux.mux.Flushed()
	} else if d.lingering && d.clientClosed {
		d.close()
	}
}

// Readable is part of loop.Owner.
func (d *downstreamConn) Readable(*eventloop.Conn) {
	for range readsPerTurn {
		if d.request != nil {
			d.request.Readable()
			return
		}
		if d.mux != nil && !d.mux.closed {
			d.mux.readable()
			return
		}
		if d.closed || d.discarded > maxDiscardedBytes {
			return // in the last case it is left alone until its time is up: a close now would destroy its answer
		}
		n, err := d.conn.Read(d.proxy.readBuf)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			d.clientEnded(errors.Is(err, io.EOF))
			return
		}
		if !d.lingering {
			d.readFirstLine(d.proxy.readBuf[:n])
		} else {
			d.discarded += n
		}
	}
	d.proxy.loop.After(0, func() { d.Readable(d.conn) })
}

// clientEnded takes the client's end while no session has it. What it was answered is still written out.
func (d *downstreamConn) clientEnded(plain bool) {
	if d.clientClosed = plain; plain && d.lingering && d.conn.Pending() > 0 {
		return
	}
	d.close()
}

// readFirstLine reads the first line, or one ping after another.
func (d *downstreamConn) readFirstLine(b []byte) {
	had, all := len(d.firstLine), len(d.firstLine)+len(b)
	d.firstLine = append(d.firstLine, b[:min(len(b), lineproto.Max-had)]...)
	if ch := d.proxy.cfg.Channels; ch != nil && ch.Downstreams && d.pings == 0 &&
		bytes.HasPrefix(d.firstLine, []byte(channel.Prefix)) {
		rest := bytes.Clone(b[min(len(b), lineproto.Max-had):]) // sessions read into where it came from
		if d.startMux(); len(rest) > 0 && !d.mux.closed {
			d.mux.feed(rest)
		}
		return
	}
	text, n, err := lineproto.SplitLine(d.firstLine)
	switch verb := lineproto.ParseVerb(text); {
	case err != nil:
		d.fail()
	case n == 0:
		if had == 0 && d.pings > 0 {
			d.expireAfter(firstLineTimeout) // a further line has begun
		}
	case verb == lineproto.Ping && bytes.IndexByte(d.firstLine[n:], '\n') < 0:
		d.answerPing(n)
	case verb == lineproto.OpenLine && n == all:
		d.proxy.loop.Cancel(&d.timer)
		d.proxy.idle.remove(d)
		whole := d.firstLine
		d.firstLine = nil
		if s := d.proxy.openRequest(d, text, whole, d.rejectOnly); s.state != stateClosed {
			d.request = s
		}
	default:
		// Also what has more behind it: clients and fronts wait for each answer.
		d.fail()
	}
}

func (d *downstreamConn) fail() {
	d.proxy.counters.failed++
	d.sendFinal([]byte("ERR\r\n"))
	d.closeGracefully()
}

// answerPing answers a front. While it drains, the front is told that nothing new is wanted here.
func (d *downstreamConn) answerPing(n int) {
	if d.proxy.drain.on {
		d.conn.Write([]byte("ERR\r\n"))
	} else {
		d.conn.Write([]byte("PONG\r\n"))
	}
	if d.conn.Pending() > d.proxy.maxPending {
		d.close() // pings and does not read
		return
	}
	d.pings++
	d.proxy.idle.add(d)
	if d.firstLine = slices.Delete(d.firstLine, 0, n); len(d.firstLine) == 0 {
		d.firstLine = nil // it may stay for long, and holds nothing meanwhile
		d.expireAfter(pingTimeout)
	} else {
		d.expireAfter(firstLineTimeout)
	}
}

// expireAfter has it ended after a span, unless it has asked by then.
func (d *downstreamConn) expireAfter(span eventloop.Micros) { d.startTimer(span, d.expire) }

func (d *downstreamConn) startTimer(span eventloop.Micros, due func()) {
	d.proxy.loop.Cancel(&d.timer)
	d.timer = d.proxy.loop.After(span, due)
}

// expire ends a connection that has asked nothing in time. What has come by now, unread behind this very event, still
// counts; after the end nothing does: what comes then is dropped, and the client sees a plain end, not a reset.
func (d *downstreamConn) expire() {
	if d.Readable(d.conn); d.closed || d.lingering || d.request != nil || d.mux != nil {
		return
	}
	if len(d.firstLine) > 0 {
		d.fail() // it has begun to ask
		return
	}
	d.closeGracefully()
}

// evict ends a connection for want of descriptors. What it has asked by now, unread, is answered: it is shed.
func (d *downstreamConn) evict() {
	d.proxy.idle.remove(d)
	if d.rejectOnly = true; !d.lingering {
		d.Readable(d.conn)
	}
	if d.request == nil && (d.mux == nil || d.mux.requests == 0) {
		d.close()
	}
}

func (d *downstreamConn) close() {
	if d.closed {
		return
	}
	if d.lingering {
		d.proxy.lingering--
	}
	d.closed = true
	if d.mux != nil && !d.mux.closed {
		d.mux.release(true)
	}
	d.proxy.idle.remove(d)
	d.proxy.loop.Cancel(&d.timer)
	d.conn.Close()
	d.firstLine, d.request = nil, nil
}

// ---- The client of a session ----

// Read is part of side.
func (d *downstreamConn) Read(b []byte) (int, error) { return d.conn.Read(b) }

// Write is part of side.
func (d *downstreamConn) Write(parts ...[]byte) { d.conn.Write(parts...) }

// Pending is part of side.
func (d *downstreamConn) Pending() int { return d.conn.Pending() }

// CloseWrite is part of side.
func (d *downstreamConn) CloseWrite() { d.conn.CloseWrite() }

// Close is part of side.
func (d *downstreamConn) Close() { d.close() }

// Reset is part of side.
func (d *downstreamConn) Reset() {
	d.conn.Reset()
	d.close()
}

func (d *downstreamConn) sendUp(line []byte) { d.conn.Write(line) }

func (d *downstreamConn) sendFinal(answer []byte) { d.conn.Write(answer) }

func (d *downstreamConn) sendMove(token []byte) {
	if len(token) == 0 {
		d.conn.Write([]byte("MOVE\r\n"))
		return
	}
	d.conn.Write([]byte("MOVE "), token, []byte("\r\n"))
}

// closeGracefully ends the sending side only, and gives the client a moment to close: a close with unread bytes would be a reset,
// which can overtake the client's last line.
func (d *downstreamConn) closeGracefully() {
	if d.closed || d.lingering {
		return
	}
	if d.request != nil && d.request.state == stateHalfClosed {
		d.clientClosed = true
	}
	d.lingering, d.request = true, nil
	d.proxy.lingering++
	d.proxy.idle.add(d)
	d.conn.CloseWrite()
	d.startTimer(lingerTimeout, d.close)
	if d.clientClosed && d.conn.Pending() == 0 {
		d.close()
	}
}

func (d *downstreamConn) completeLinesOnly() bool { return false }
