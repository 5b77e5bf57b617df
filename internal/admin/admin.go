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
	commandTimeout = 800_000 // µs
	// An answered caller is given this long to close; closing with unread bytes would send a reset.
	lingerTimeout = 1_000_000 // µs
	// MaxConnections are held at once; one more has the oldest unanswered one told that it waited too long.
	MaxConnections = 32
	// maxDiscardBytes bytes after a call are read and dropped; a caller that sends more is cut off.
	maxDiscardBytes = 4 << 10
)

// Server is a listener on the management address.
type Server struct {
	loop          *eventloop.Loop
	listener      *eventloop.Listener
	handle        Handler
	unanswered    list.List // of *caller, oldest first, not yet answered
	discardBuffer [512]byte
	open          int
}

// Listen binds addr on the loop and serves calls there with handle.
func Listen(l *eventloop.Loop, addr netip.AddrPort, handle Handler) (*Server, error) {
	s := &Server{loop: l, handle: handle}
	ln, err := l.Listen(addr, s.accept)
	if err != nil {
		return nil, fmt.Errorf("management address: %w", err)
	}
	s.listener = ln
	return s, nil
}

// Addr is where the server listens.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr() }

// Connections is how many callers have a connection now.
func (s *Server) Connections() int { return s.open }

// Close stops listening; callers that are there keep their connection until they are answered.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) accept(adopt func(eventloop.Owner) (*eventloop.Conn, error)) {
	if s.open >= MaxConnections {
		oldest := s.unanswered.Front()
		if oldest == nil {
			return // all are answered and about to go: this one is closed unheard
		}
		c := oldest.Value.(*connection)
		c.answer("-ERR too many callers")
		c.close()
	}
	c := &connection{server: s}
	conn, err := adopt(c)
	if err != nil {
		return
	}
	s.open++
	c.conn, c.queueEntry = conn, s.unanswered.PushBack(c)
	c.timer = s.loop.After(commandTimeout, func() { c.answer("-ERR no whole call within 0.8 s") })
	c.Readable(conn)
}

// connection is one connection on the management address.
type connection struct {
	server     *Server
	conn       *eventloop.Conn
	line       [lifecycle.MaxRecordLine + 2]byte
	length     int
	queueEntry *list.Element // in waiting, until answered
	timer      eventloop.Ref
	answered   bool // answered
	peerClosed bool // the caller has ended its side
	closed     bool
	discarded  int
}

// Connected is part of loop.Owner; nothing is dialled here.
func (c *connection) Connected(*eventloop.Conn, error) {}

// Flushed is part of loop.Owner.
func (c *connection) Flushed(*eventloop.Conn) {
	if c.answered && c.peerClosed {
		c.close()
	}
}

// Readable is part of loop.Owner.
func (c *connection) Readable(*eventloop.Conn) {
	for !c.closed {
		buf := c.line[c.length:c.lineLimit()]
		if c.answered {
			buf = c.server.discardBuffer[:]
		}
		n, err := c.conn.Read(buf)
		switch {
		case errors.Is(err, eventloop.ErrAgain):
			return
		case err != nil:
			c.peerEnded(errors.Is(err, io.EOF))
			return
		case c.answered:
			if c.discarded += n; c.discarded > maxDiscardBytes {
				c.close()
			}
			continue
		}
		c.length += n
		if end := bytes.IndexByte(c.line[:c.length], '\n'); end >= 0 {
			call := bytes.TrimSuffix(c.line[:end], []byte{'\r'})
			if op, err := lifecycle.Parse(call); err != nil {
				c.answer("-ERR " + err.Error())
			} else {
				c.answer(c.server.handle(op))
			}
		} else if c.length == c.lineLimit() {
			c.answer("-ERR " + lifecycle.ErrLineTooLong.Error())
		}
	}
}

// lineLimit is how many bytes the line may have with its end, by how it begins.
func (c *connection) lineLimit() int { return lifecycle.LineLimit(c.line[:c.length]) + len("\r\n") }

// peerEnded takes the caller's end, before or after its answer.
func (c *connection) peerEnded(plain bool) {
	c.peerClosed = true
	switch {
	case !plain:
		c.close()
	case !c.answered && c.length > 0:
		c.answer("-ERR a call without its line end")
	case !c.answered:
		c.close()
	case c.conn.Pending() == 0:
		c.close()
	}
}

// answer writes the answer, ends the sending side and gives the caller a moment to close.
func (c *connection) answer(text string) {
	if c.answered || c.closed {
		return
	}
	c.answered = true
	c.server.unanswered.Remove(c.queueEntry)
	c.conn.Write([]byte(text), []byte("\r\n"))
	c.conn.CloseWrite()
	c.server.loop.Cancel(&c.timer)
	if c.peerClosed && c.conn.Pending() == 0 {
		c.close()
		return
	}
	c.timer = c.server.loop.After(lingerTimeout, c.close)
}

func (c *connection) close() {
	if c.closed {
		return
	}
	if !c.answered {
		c.server.unanswered.Remove(c.queueEntry)
	}
	c.closed = true
	c.server.open--
	c.server.loop.Cancel(&c.timer)
	c.conn.Close()
}
