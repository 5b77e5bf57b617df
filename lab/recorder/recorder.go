// Package recorder records the lines that cross the sockets of emulated clients and nodes. A Recorder wraps their
// connections and channels, and passes every line and every end of a connection to a Sink, in the order in which they
// were read or written. It splits bytes into lines and must not know their meaning.
package recorder

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Side is the kind of party whose socket is recorded.
type Side uint8

// The sides.
const (
	Client Side = iota
	Node
)

// Event is a line that crossed a socket or channel, or the end of one.
type Event struct {
	At   time.Time
	Side Side
	Name string // of the party
	Conn uint64 // identifies the connection or channel among all of the Recorder
	Sent bool   // the party wrote the line; otherwise it read it
	End  bool   // the party read the end, or ended the stream itself; Line is not set
	Line []byte // without its end; valid only during the call of Sink.Record
}

// Sink receives events. Record is called by many goroutines, but in order for each direction of a connection.
type Sink interface{ Record(e Event) }

// Stream is a connection or a channel.
type Stream interface {
	io.ReadWriteCloser
	// Reset ends the stream so that the peer sees it aborted instead of closed.
	Reset() error
}

// Socket adapts a connection to Stream.
type Socket struct{ net.Conn }

// Reset implements Stream.
func (s Socket) Reset() error {
	if conn, ok := s.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = conn.SetLinger(0)
	}
	return s.Close()
}

// Recorder wraps streams for one sink. It may be used from several goroutines.
type Recorder struct {
	sink     Sink
	lastConn atomic.Uint64
}

// New returns a recorder that passes events to a sink.
func New(sink Sink) *Recorder { return &Recorder{sink: sink} }

// Wrap returns a stream that records all lines from now on, as lines of the named party.
func (r *Recorder) Wrap(s Stream, side Side, name string) *Conn {
	return &Conn{Stream: s, sink: r.sink, side: side, name: name, id: r.lastConn.Add(1)}
}

// Conn is a recorded stream. One goroutine may read while others write.
type Conn struct {
	Stream
	OnEnd func() // called before the end is recorded, so that it can call RecordLine; may be nil

	sink     Sink
	side     Side
	name     string
	id       uint64
	received lineSplitter
	sent     lineSplitter
	endOnce  sync.Once
	writeMu  sync.Mutex // makes the order of lines in the sink the same as in the stream
}

// Read reads from the stream, and records the lines that are complete. An error other than a timeout is recorded as the
// end.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Stream.Read(b)
	c.received.feed(b[:n], func(line []byte) { c.record(line, false) })
	if err != nil && !isTimeout(err) {
		c.recordEnd()
	}
	return n, err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Write records lines before it writes them, so that the sink sees a line before the peer does.
func (c *Conn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.sent.feed(b, func(line []byte) { c.record(line, true) })
	return c.Stream.Write(b)
}

// RecordLine records a line that is not sent as bytes of the stream, such as the first line in a channel's open.
func (c *Conn) RecordLine(text string, sent bool) { c.record([]byte(text), sent) }

// Close records the end, and closes the stream.
func (c *Conn) Close() error {
	c.recordEnd()
	return c.Stream.Close()
}

// Reset records the end, and resets the stream.
func (c *Conn) Reset() error {
	c.recordEnd()
	return c.Stream.Reset()
}

func (c *Conn) record(line []byte, sent bool) {
	c.sink.Record(Event{At: time.Now(), Side: c.side, Name: c.name, Conn: c.id, Sent: sent, Line: line})
}

// recordEnd records the end, at the first call only.
func (c *Conn) recordEnd() {
	c.endOnce.Do(func() {
		if c.OnEnd != nil {
			c.OnEnd()
		}
		c.sink.Record(Event{At: time.Now(), Side: c.side, Name: c.name, Conn: c.id, End: true})
	})
}

// lineSplitter splits bytes that arrive in pieces into lines. It keeps an incomplete line until its end arrives.
type lineSplitter struct{ partial []byte }

func (s *lineSplitter) feed(b []byte, handle func(line []byte)) {
	for {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			s.partial = append(s.partial, b...)
			return
		}
		line := b[:i]
		if len(s.partial) > 0 {
			line = append(s.partial, line...)
			s.partial = s.partial[:0]
		}
		handle(bytes.TrimSuffix(line, []byte("\r")))
		b = b[i+1:]
	}
}
