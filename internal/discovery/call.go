package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"spurspread/internal/eventloop"
)

// callState is where a call is in its life:
//
//	callFetching ---------------------> callClosed
//	callSubscribing --> callWatching --> callClosed
//
// A call is closed by its only object, its failure, or its client. Nothing is received or reported after that.
type callState uint8

const (
	callFetching    callState = iota // waits for the one object of a fetch
	callSubscribing                  // a watch that waits for its first object: the client's pendingWatch
	callWatching                     // a watch that has brought an object: the client's watch
	callClosed
)

// call is one HTTP call on a connection of its own. It implements eventloop.Owner.
type call struct {
	client   *Client
	state    callState
	conn     *eventloop.Conn
	response responseParser
	object   []byte // what has come of the object under way
	nesting  nestingScanner
	scanned  int   // bytes of object that nesting has seen
	err      error // what was wrong with the body
	timer    eventloop.Ref
}

func newCall(client *Client, state callState) *call {
	c := &call{client: client, state: state}
	c.response.onBody = c.receiveBody
	return c
}

// isWatch reports whether the call is a watch that is not closed: its answer brings any number of objects.
func (c *call) isWatch() bool { return c.state == callSubscribing || c.state == callWatching }

// start connects and sends the request. A failure is reported in a later turn of the loop, never to the caller.
func (c *call) start(target string) {
	c.client.calls++
	c.setTimeout(callTimeout)
	conn, err := c.client.loop.Dial(c.client.addr, c)
	if err != nil {
		c.client.loop.Cancel(&c.timer)
		c.timer = c.client.loop.After(0, func() { c.fail(err) })
		return
	}
	c.conn = conn
	conn.Write([]byte("GET "+target+" HTTP/1.1\r\nHost: "), []byte(c.client.addr.String()), []byte("\r\n\r\n"))
}

// setTimeout has the call fail after span, instead of any time set before.
func (c *call) setTimeout(span eventloop.Micros) {
	c.client.loop.Cancel(&c.timer)
	c.timer = c.client.loop.After(span, func() { c.fail(ErrTimeout) })
}

// Connected is part of eventloop.Owner.
func (c *call) Connected(_ *eventloop.Conn, err error) {
	if err != nil {
		c.fail(err)
	}
}

// Flushed is part of eventloop.Owner.
func (c *call) Flushed(*eventloop.Conn) {}

// Readable is part of eventloop.Owner.
func (c *call) Readable(conn *eventloop.Conn) {
	for c.state != callClosed {
		n, err := conn.Read(c.client.readBuffer)
		switch {
		case errors.Is(err, eventloop.ErrAgain):
			return
		case errors.Is(err, io.EOF) && !c.isWatch() && c.response.completeAtEOF():
			c.complete()
			return
		case err != nil:
			c.fail(err)
			return
		}
		c.client.lastByteAt = c.client.loop.Now()
		c.receive(c.client.readBuffer[:n])
	}
}

// receive parses bytes of the answer. What they bring may close the call.
func (c *call) receive(b []byte) {
	err := c.response.feed(b)
	if err == nil {
		err = c.err
	}
	switch {
	case c.state == callClosed:
	case err != nil:
		c.fail(err)
	case c.response.state != stateComplete:
	case c.isWatch():
		c.fail(ErrWatchEnded)
	default:
		c.complete()
	}
}

// receiveBody takes bytes of the answer's body: of a fetch one object in all, of a watch objects that end with a line.
func (c *call) receiveBody(b []byte) {
	for len(b) > 0 && c.err == nil && c.state != callClosed {
		lineEnd := bytes.IndexByte(b, '\n')
		if !c.isWatch() || lineEnd < 0 {
			c.object = append(c.object, b...)
			if len(c.object) > maxObjectBytes {
				c.err = fmt.Errorf("%w: over %d bytes", ErrTooLarge, maxObjectBytes)
			}
			return
		}
		c.object = append(c.object, b[:lineEnd+1]...)
		b = b[lineEnd+1:]
		c.endLine()
	}
}

// endLine looks at a watch's object after each of its lines, and hands it on once it is complete. One that has grown
// too large is handed on as it is, and found malformed.
func (c *call) endLine() {
	open := c.nesting.feed(c.object[c.scanned:])
	if open && len(c.object) <= maxObjectBytes {
		c.scanned = len(c.object) // an object may be indented, over many lines
		return
	}
	c.nesting = nestingScanner{}
	c.scanned = 0
	// A complete object or an empty line shows that discovery is alive; a line within an object does not, nor does an
	// empty line before the first object.
	if c.state == callWatching {
		c.setTimeout(watchIdleTimeout)
	}
	if text := bytes.TrimSpace(c.object); len(text) > 0 {
		c.err = c.client.received(c, text)
		if c.err == nil {
			c.setTimeout(watchIdleTimeout)
		}
	}
	c.object = c.object[:0]
}

// complete hands on the object of a fetch.
func (c *call) complete() {
	if err := c.client.received(c, c.object); err != nil {
		c.fail(err)
		return
	}
	c.close()
}

// fail closes the call and has its client deal with the reason; nothing happens where it is closed already.
func (c *call) fail(reason error) {
	if c.state == callClosed {
		return
	}
	was := c.state
	c.close()
	c.client.failed(was, reason)
}

func (c *call) close() {
	c.state = callClosed
	c.client.loop.Cancel(&c.timer)
	c.conn.Close()
}
