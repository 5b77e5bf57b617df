// Package recorder records what crosses sockets: it wraps the connections and channels of clients and nodes, and
// hands on every line, and every end, in the order in which it was read or written. It knows lines, and not what
// any of them means.
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

// Side is whose socket it is.
type Side uint8

// The sides.
const (
	Client Side = iota
	Node
)

// Event is one line that crossed a socket, or its end.
type Event struct {
	At   time.Time
	Side Side
	Name string // of the party whose socket it is
	Conn uint64 // tells connections and channels apart
	Sent bool   // by that party; else it read it
	End  bool   // the party has seen the end, or ended it
	Line []byte // without its end; only good during the call
}

// Sink takes events. It is called by many goroutines; for one connection and direction, in order.
type Sink interface{ Take(Event) }

// Stream is a connection or a channel.
type Stream interface {
	io.ReadWriteCloser
	// Reset ends it so that the other side sees it broken off.
	Reset() error
}

// Socket is a connection as a Stream.
type Socket struct{ net.Conn }

// Reset is part of Stream.
func (s Socket) Reset() error {
	if t, ok := s.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
	return s.Close()
}

var last atomic.Uint64

// Conn is a watched stream.
type Conn struct {
	Stream
	AtEnd   func() // called before the end is handed on, for what is known only then
	sink    Sink
	side    Side
	name    string
	id      uint64
	in, out splitter
	endOnce sync.Once
	writeMu sync.Mutex
}

// Wrap has a sink see all that crosses s.
func Wrap(s Stream, sink Sink, side Side, name string) *Conn {
	return &Conn{Stream: s, sink: sink, side: side, name: name, id: last.Add(1)}
}

// Read reads, and hands on the lines that have come whole.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Stream.Read(b)
	c.in.feed(b[:n], func(text []byte) { c.take(text, false) })
	var late net.Error
	if err != nil && (!errors.As(err, &late) || !late.Timeout()) {
		c.ended()
	}
	return n, err
}

// Write hands lines on before they are written: by the time the other side has one, the sink has seen it.
func (c *Conn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.out.feed(b, func(text []byte) { c.take(text, true) })
	return c.Stream.Write(b)
}

// Note hands on a line that crosses in another form, as the first line in a channel's open does.
func (c *Conn) Note(text string, sent bool) { c.take([]byte(text), sent) }

// Close ends the stream.
func (c *Conn) Close() error {
	c.ended()
	return c.Stream.Close()
}

// Reset ends the stream so that the other side sees it broken off.
func (c *Conn) Reset() error {
	c.ended()
	return c.Stream.Reset()
}

func (c *Conn) take(text []byte, sent bool) {
	c.sink.Take(Event{At: time.Now(), Side: c.side, Name: c.name, Conn: c.id, Sent: sent, Line: text})
}

func (c *Conn) ended() {
	c.endOnce.Do(func() {
		if c.AtEnd != nil {
			c.AtEnd()
		}
		c.sink.Take(Event{At: time.Now(), Side: c.side, Name: c.name, Conn: c.id, End: true})
	})
}

// splitter finds lines in what comes in pieces. What is left at the end is no line.
type splitter struct{ rest []byte }

func (s *splitter) feed(b []byte, each func([]byte)) {
	for {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			s.rest = append(s.rest, b...)
			return
		}
		text := b[:i]
		if len(s.rest) > 0 {
			text = append(s.rest, text...)
			s.rest = s.rest[:0]
		}
		each(bytes.TrimSuffix(text, []byte("\r")))
		b = b[i+1:]
	}
}
