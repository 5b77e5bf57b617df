// Package mgmt serves the management address on the balancer's own loop: one call a connection, on one line, answered
// at once with a line that begins with +OK or -ERR. It bounds each caller in time, bytes and number, so that callers
// who send nothing, half a line or garbage cost nobody else a wait. It knows the loop and the words of the calls; what
// a call does is its Handler's.
package admin

import (
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"spurspread/decision/lifecycle"
	"spurspread/internal/eventloop"
)

// Handler carries out a call and returns the answer's line without its end.
type Handler func(lifecycle.Command) string

const (
	// A call has to come whole within this span after the connection: each answer is due within 1 s.
	lineTime = 800_000 // µs
	// An answered caller is given this long to close; closing with unread bytes would send a reset.
	lingerTime = 1_000_000 // µs
	// MaxCallers are held at once; one more has the oldest unanswered one told that it waited too long.
	MaxCallers = 32
	// maxDiscard bytes after a call are read and dropped; a caller that sends more is cut off.
	maxDiscard = 4 << 10
)

// Server is a listener on the management address.
type Server struct {
	l       *eventloop.Loop
	ln      *eventloop.Listener
	handle  Handler
	waiting list.List // of *caller, oldest first, not yet answered
	scratch [512]byte
	held    int
}

// Listen binds addr on the loop and serves calls there with handle.
func Listen(l *eventloop.Loop, addr netip.AddrPort, handle Handler) (*Server, error) {
	s := &Server{l: l, handle: handle}
	ln, err := l.Listen(addr, s.accept)
	if err != nil {
		return nil, fmt.Errorf("management address: %w", err)
	}
	s.ln = ln
	return s, nil
}

// Addr is where the server listens.
func (s *Server) Addr() netip.AddrPort { return s.ln.Addr() }

// Held is how many callers have a connection now.
func (s *Server) Held() int { return s.held }

// Close stops listening; callers that are there keep their connection until they are answered.
func (s *Server) Close() { s.ln.Close() }

func (s *Server) accept(adopt func(eventloop.Owner) (*eventloop.Conn, error)) {
	if s.held >= MaxCallers {
		oldest := s.waiting.Front()
		if oldest == nil {
			return // all are answered and about to go: this one is closed unheard
		}
		c := oldest.Value.(*caller)
		c.answer("-ERR too many callers")
		c.close()
	}
	c := &caller{s: s}
	conn, err := adopt(c)
	if err != nil {
		return
	}
	s.held++
	c.conn, c.place = conn, s.waiting.PushBack(c)
	c.timer = s.l.After(lineTime, func() { c.answer("-ERR no whole call within 0.8 s") })
	c.Readable(conn)
}

// caller is one connection on the management address.
type caller struct {
	s       *Server
	conn    *eventloop.Conn
	line    [lifecycle.MaxRecordLine + 2]byte
	n       int
	place   *list.Element // in waiting, until answered
	timer   eventloop.Ref
	done    bool // answered
	left    bool // the caller has ended its side
	closed  bool
	dropped int
}

// Connected is part of loop.Owner; nothing is dialled here.
func (c *caller) Connected(*eventloop.Conn, error) {}

// Flushed is part of loop.Owner.
func (c *caller) Flushed(*eventloop.Conn) {
	if c.done && c.left {
		c.close()
	}
}

// Readable is part of loop.Owner.
func (c *caller) Readable(*eventloop.Conn) {
	for !c.closed {
		buf := c.line[c.n:c.room()]
		if c.done {
			buf = c.s.scratch[:]
		}
		n, err := c.conn.Read(buf)
		switch {
		case errors.Is(err, eventloop.ErrAgain):
			return
		case err != nil:
			c.ended(errors.Is(err, io.EOF))
			return
		case c.done:
			if c.dropped += n; c.dropped > maxDiscard {
				c.close()
			}
			continue
		}
		c.n += n
		if end := bytes.IndexByte(c.line[:c.n], '\n'); end >= 0 {
			call := bytes.TrimSuffix(c.line[:end], []byte{'\r'})
			if op, err := lifecycle.Parse(call); err != nil {
				c.answer("-ERR " + err.Error())
			} else {
				c.answer(c.s.handle(op))
			}
		} else if c.n == c.room() {
			c.answer("-ERR " + lifecycle.ErrLong.Error())
		}
	}
}

// room is how many bytes the line may have with its end, by how it begins.
func (c *caller) room() int { return lifecycle.Limit(c.line[:c.n]) + len("\r\n") }

// ended takes the caller's end, before or after its answer.
func (c *caller) ended(plain bool) {
	c.left = true
	switch {
	case !plain:
		c.close()
	case !c.done && c.n > 0:
		c.answer("-ERR a call without its line end")
	case !c.done:
		c.close()
	case c.conn.Pending() == 0:
		c.close()
	}
}

// answer writes the answer, ends the sending side and gives the caller a moment to close.
func (c *caller) answer(text string) {
	if c.done || c.closed {
		return
	}
	c.done = true
	c.s.waiting.Remove(c.place)
	c.conn.Write([]byte(text), []byte("\r\n"))
	c.conn.CloseWrite()
	c.s.l.Cancel(&c.timer)
	if c.left && c.conn.Pending() == 0 {
		c.close()
		return
	}
	c.timer = c.s.l.After(lingerTime, c.close)
}

func (c *caller) close() {
	if c.closed {
		return
	}
	if !c.done {
		c.s.waiting.Remove(c.place)
	}
	c.closed = true
	c.s.held--
	c.s.l.Cancel(&c.timer)
	c.conn.Close()
}
