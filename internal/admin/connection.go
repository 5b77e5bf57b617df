package admin

import (
	"bytes"
	"container/list"
	"errors"
	"io"

	"spurspread/decision/lifecycle"
	"spurspread/internal/eventloop"
)

const (
	// commandTimeout bounds the time from accepting a connection to its complete command, since clients expect a reply
	// within 1 s.
	commandTimeout eventloop.Micros = 800_000
	// lingerTimeout is the time that a client has to close after its reply. If the server closed first with unread
	// bytes, the connection would be reset, and the client could lose the reply.
	lingerTimeout eventloop.Micros = 1_000_000
	// maxDiscardBytes bounds the data after a command; a client that sends more is disconnected.
	maxDiscardBytes = 4 << 10

	lineEnd = "\r\n"
)

// connState is the state of a connection.
type connState uint8

const (
	connReceiving connState = iota // the command is incomplete
	connReplied                    // the reply is written; the client has lingerTimeout to close
	connClosed
)

// connection is one client's connection. It implements eventloop.Owner.
type connection struct {
	server     *Server
	conn       *eventloop.Conn
	state      connState
	peerClosed bool // the client has closed its side
	line       [lifecycle.MaxRecordLine + len(lineEnd)]byte
	length     int           // bytes of line received so far
	discarded  int           // bytes received after the command
	queueEntry *list.Element // in Server.unanswered, while connReceiving
	timer      eventloop.Ref
}

// Connected is part of eventloop.Owner. It is never called, since the server opens no connections.
func (c *connection) Connected(*eventloop.Conn, error) {}

// Flushed is part of eventloop.Owner. It closes the connection once the reply is written and the client has closed its
// side.
func (c *connection) Flushed(*eventloop.Conn) {
	if c.state == connReplied && c.peerClosed {
		c.close()
	}
}

// Readable is part of eventloop.Owner. It reads the command, and discards anything after it.
func (c *connection) Readable(*eventloop.Conn) {
	for c.state != connClosed {
		n, err := c.conn.Read(c.readBuffer())
		switch {
		case errors.Is(err, eventloop.ErrAgain):
			return
		case err != nil:
			c.handlePeerClosed(errors.Is(err, io.EOF))
			return
		case c.state == connReplied:
			c.discard(n)
		default:
			c.received(n)
		}
	}
}

func (c *connection) readBuffer() []byte {
	if c.state == connReplied {
		return c.server.discardBuffer[:]
	}
	return c.line[c.length:c.lineLimit()]
}

// lineLimit returns the maximum length of the line with its end. It depends on the command at the start of the line.
func (c *connection) lineLimit() int { return lifecycle.LineLimit(c.line[:c.length]) + len(lineEnd) }

func (c *connection) discard(n int) {
	c.discarded += n
	if c.discarded > maxDiscardBytes {
		c.close()
	}
}

// received handles n further bytes of the command, and replies once it is complete or too long.
func (c *connection) received(n int) {
	c.length += n
	end := bytes.IndexByte(c.line[:c.length], '\n')
	if end < 0 {
		if c.length == c.lineLimit() {
			c.reject(lifecycle.ErrLineTooLong)
		}
		return
	}
	command, err := lifecycle.Parse(bytes.TrimSuffix(c.line[:end], []byte{'\r'}))
	if err != nil {
		c.reject(err)
		return
	}
	c.reply(c.server.handle(command))
}

// handlePeerClosed handles the end of the client's side, by a regular close or by an error.
func (c *connection) handlePeerClosed(regular bool) {
	c.peerClosed = true
	switch {
	case !regular:
		c.close()
	case c.state == connReceiving && c.length > 0:
		c.reject(ErrUnterminated)
	case c.state == connReceiving:
		c.close()
	case c.conn.Pending() == 0:
		c.close()
	}
}

func (c *connection) reject(reason error) { c.reply("-ERR " + reason.Error()) }

// reply writes the reply, closes the server's side and gives the client lingerTimeout to close. Only the first call for
// a connection has an effect.
func (c *connection) reply(line string) {
	if c.state != connReceiving {
		return
	}
	c.state = connReplied
	c.server.unanswered.Remove(c.queueEntry)
	c.conn.Write([]byte(line), []byte(lineEnd))
	c.conn.CloseWrite()
	c.server.loop.Cancel(&c.timer)
	if c.peerClosed && c.conn.Pending() == 0 {
		c.close()
		return
	}
	c.timer = c.server.loop.After(lingerTimeout, c.close)
}

func (c *connection) close() {
	if c.state == connClosed {
		return
	}
	if c.state == connReceiving {
		c.server.unanswered.Remove(c.queueEntry)
	}
	c.state = connClosed
	c.server.connections--
	c.server.loop.Cancel(&c.timer)
	c.conn.Close()
}
