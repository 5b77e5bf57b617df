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
	headTime   = 2 * sec   // for a first line to come whole: a client is owed an answer or an end within 3 s
	pingTime   = 60 * sec  // between the pings of a front
	lingerTime = 800 * ms  // for a client to take its answer and close
	maxDiscard = 256 << 10 // bytes read and dropped of a client that has its answer; what it sends beyond is not read
)

// door is a client connection at the ingress: before its first line, while a session has it, and after its last answer.
type door struct {
	r       *Relay
	conn    *eventloop.Conn
	head    []byte // the first line, as far as it has come; never more than a line may hold
	pinged  int    // lines of a front that were answered
	shed    bool   // taken in only to be told that it is shed
	session *session
	mux     *muxed // once it was greeted with SSH-
	ending  bool   // it has its answer; its client has not closed yet
	closed  bool
	dropped int           // bytes that came after its answer
	left    bool          // its client has ended its side
	idle    *list.Element // its place in the waiting room
	idleIn  *list.List
	timer   eventloop.Ref
}

func (r *Relay) accept(adopt func(eventloop.Owner) (*eventloop.Conn, error)) {
	r.makeRoom()
	d := &door{r: r, shed: r.tight()}
	conn, err := adopt(d)
	if err != nil {
		return
	}
	d.conn = conn
	r.room.enter(d)
	d.timer = r.l.After(headTime, d.expire)
	d.Readable(conn) // the line has mostly come with the connection
}

// Connected is part of loop.Owner; the ingress dials nothing.
func (d *door) Connected(*eventloop.Conn, error) {}

// Flushed is part of loop.Owner: the client has caught up.
func (d *door) Flushed(*eventloop.Conn) {
	if d.session != nil {
		d.session.Flushed()
	} else if d.mux != nil && !d.mux.over {
		d.mux.c.Flushed()
	} else if d.ending && d.left {
		d.close()
	}
}

// Readable is part of loop.Owner.
func (d *door) Readable(*eventloop.Conn) {
	for range fairRounds {
		if d.session != nil {
			d.session.Readable()
			return
		}
		if d.mux != nil && !d.mux.over {
			d.mux.readable()
			return
		}
		if d.closed || d.dropped > maxDiscard {
			return // in the last case it is left alone until its time is up: a close now would destroy its answer
		}
		n, err := d.conn.Read(d.r.scratch)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			d.ended(errors.Is(err, io.EOF))
			return
		}
		if !d.ending {
			d.begin(d.r.scratch[:n])
		} else {
			d.dropped += n
		}
	}
	d.r.l.After(0, func() { d.Readable(d.conn) })
}

// ended takes the client's end while no session has it. What it was answered is still written out.
func (d *door) ended(plain bool) {
	if d.left = plain; plain && d.ending && d.conn.Pending() > 0 {
		return
	}
	d.close()
}

// begin reads the first line, or one ping after another.
func (d *door) begin(b []byte) {
	had, all := len(d.head), len(d.head)+len(b)
	d.head = append(d.head, b[:min(len(b), lineproto.Max-had)]...)
	if ch := d.r.cfg.Channels; ch != nil && ch.Clients && d.pinged == 0 &&
		bytes.HasPrefix(d.head, []byte(channel.Prefix)) {
		rest := bytes.Clone(b[min(len(b), lineproto.Max-had):]) // sessions read into where it came from
		if d.turn(); len(rest) > 0 && !d.mux.over {
			d.mux.feed(rest)
		}
		return
	}
	text, n, err := lineproto.Cut(d.head)
	switch verb := lineproto.First(text); {
	case err != nil:
		d.fail()
	case n == 0:
		if had == 0 && d.pinged > 0 {
			d.arm(headTime) // a further line has begun
		}
	case verb == lineproto.Ping && bytes.IndexByte(d.head[n:], '\n') < 0:
		d.ping(n)
	case verb == lineproto.OpenLine && n == all:
		d.r.l.Cancel(&d.timer)
		d.r.room.leave(d)
		whole := d.head
		d.head = nil
		if s := d.r.take(d, text, whole, d.shed); s.phase != over {
			d.session = s
		}
	default:
		// Also what has more behind it: clients and fronts wait for each answer.
		d.fail()
	}
}

func (d *door) fail() {
	d.r.counts.failed++
	d.refuse([]byte("ERR\r\n"))
	d.end()
}

// ping answers a front. While it drains, the front is told that nothing new is wanted here.
func (d *door) ping(n int) {
	if d.r.drain.on {
		d.conn.Write([]byte("ERR\r\n"))
	} else {
		d.conn.Write([]byte("PONG\r\n"))
	}
	if d.conn.Pending() > d.r.maxPending {
		d.close() // pings and does not read
		return
	}
	d.pinged++
	d.r.room.enter(d)
	if d.head = slices.Delete(d.head, 0, n); len(d.head) == 0 {
		d.head = nil // it may stay for long, and holds nothing meanwhile
		d.arm(pingTime)
	} else {
		d.arm(headTime)
	}
}

// arm has it ended after a span, unless it has asked by then.
func (d *door) arm(span eventloop.Micros) { d.armFor(span, d.expire) }

func (d *door) armFor(span eventloop.Micros, due func()) {
	d.r.l.Cancel(&d.timer)
	d.timer = d.r.l.After(span, due)
}

// expire ends a connection that has asked nothing in time. What has come by now, unread behind this very event, still
// counts; after the end nothing does: what comes then is dropped, and the client sees a plain end, not a reset.
func (d *door) expire() {
	if d.Readable(d.conn); d.closed || d.ending || d.session != nil || d.mux != nil {
		return
	}
	if len(d.head) > 0 {
		d.fail() // it has begun to ask
		return
	}
	d.end()
}

// evict ends a connection for want of descriptors. What it has asked by now, unread, is answered: it is shed.
func (d *door) evict() {
	d.r.room.leave(d)
	if d.shed = true; !d.ending {
		d.Readable(d.conn)
	}
	if d.session == nil && (d.mux == nil || d.mux.count == 0) {
		d.close()
	}
}

func (d *door) close() {
	if d.closed {
		return
	}
	if d.ending {
		d.r.ending--
	}
	d.closed = true
	if d.mux != nil && !d.mux.over {
		d.mux.forget(true)
	}
	d.r.room.leave(d)
	d.r.l.Cancel(&d.timer)
	d.conn.Close()
	d.head, d.session = nil, nil
}

// ---- The client of a session ----

// Read is part of side.
func (d *door) Read(b []byte) (int, error) { return d.conn.Read(b) }

// Write is part of side.
func (d *door) Write(parts ...[]byte) { d.conn.Write(parts...) }

// Pending is part of side.
func (d *door) Pending() int { return d.conn.Pending() }

// CloseWrite is part of side.
func (d *door) CloseWrite() { d.conn.CloseWrite() }

// Close is part of side.
func (d *door) Close() { d.close() }

// Reset is part of side.
func (d *door) Reset() {
	d.conn.Reset()
	d.close()
}

func (d *door) up(line []byte) { d.conn.Write(line) }

func (d *door) refuse(answer []byte) { d.conn.Write(answer) }

func (d *door) move(token []byte) {
	if len(token) == 0 {
		d.conn.Write([]byte("MOVE\r\n"))
		return
	}
	d.conn.Write([]byte("MOVE "), token, []byte("\r\n"))
}

// end ends the sending side only, and gives the client a moment to close: a close with unread bytes would be a reset,
// which can overtake the client's last line.
func (d *door) end() {
	if d.closed || d.ending {
		return
	}
	if d.session != nil && d.session.phase == leaving {
		d.left = true
	}
	d.ending, d.session = true, nil
	d.r.ending++
	d.r.room.enter(d)
	d.conn.CloseWrite()
	d.armFor(lingerTime, d.close)
	if d.left && d.conn.Pending() == 0 {
		d.close()
	}
}

func (d *door) whole() bool { return false }
