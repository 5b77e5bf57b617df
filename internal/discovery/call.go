package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"spurspread/internal/eventloop"
)

// callState is the state of a call:
//
//	callFetching ---------------------> callClosed
//	callSubscribing --> callWatching --> callClosed
//
// A call is closed when a fetch has received its object, when it fails, or by its client. A closed call receives and
// reports nothing.
type callState uint8

const (
	callFetching    callState = iota // a fetch, which waits for its only object
	callSubscribing                  // a watch that waits for its first object: the client's pendingWatch
	callWatching                     // a watch that has received an object: the client's watch
	callClosed
)

// call is a single HTTP request with its response, on its own connection. It implements eventloop.Owner.
type call struct {
	client      *Client
	state       callState
	conn        *eventloop.Conn
	response    responseParser
	object      []byte // received part of the current object
	nesting     nestingScanner
	scanned     int   // number of bytes of object that nesting has scanned
	err         error // error in the body
	timer       eventloop.Ref
	furtherRead eventloop.Continuation
}

func newCall(client *Client, state callState) *call {
	c := &call{client: client, state: state}
	c.response.onBody = c.receiveBody
	return c
}

// isWatch reports whether the call is an open watch, whose response carries any number of objects.
func (c *call) isWatch() bool { return c.state == callSubscribing || c.state == callWatching }

// start connects and sends the request. A failure is reported in a later turn of the event loop, even if it is known at
// once.
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

// setTimeout makes the call fail with ErrTimeout after span. It replaces the timeout set before.
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

// readsPerTurn bounds the successive reads of one call. More is read after the events of other sockets, so that a
// watch without a pause does not starve these.
const readsPerTurn = 4

// Readable is part of eventloop.Owner.
func (c *call) Readable(conn *eventloop.Conn) {
	for range readsPerTurn {
		if c.state == callClosed {
			return
		}
		n, err := conn.Read(c.client.readBuffer)
		switch {
		case errors.Is(err, eventloop.ErrAgain):
			return
		case errors.Is(err, io.EOF) && !c.isWatch() && c.response.completeAtEOF():
			c.completeFetch()
			return
		case err != nil:
			c.fail(err)
			return
		}
		c.client.lastByteAt = c.client.loop.Now()
		c.receive(c.client.readBuffer[:n])
	}
	c.furtherRead.Schedule(c.client.loop, func() { c.Readable(conn) })
}

// receive parses bytes of the response. Handling them may close the call.
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
		c.completeFetch()
	}
}

// receiveBody handles bytes of the response body. The body of a fetch is one object; in that of a watch, each object
// ends at the end of a line.
func (c *call) receiveBody(b []byte) {
	for len(b) > 0 && c.err == nil && c.state != callClosed {
		lineEnd := bytes.IndexByte(b, '\n')
		if !c.isWatch() || lineEnd < 0 {
			c.object = append(c.object, b...)
			if len(c.object) > maxObjectBytes {
				c.err = fmt.Errorf("%w: longer than %d bytes", ErrTooLarge, maxObjectBytes)
			}
			return
		}
		c.object = append(c.object, b[:lineEnd+1]...)
		b = b[lineEnd+1:]
		c.endLine()
	}
}

// endLine is called after each line of a watch. It passes on the current object once that is complete. An incomplete
// object over maxObjectBytes is passed on as well, and found malformed.
func (c *call) endLine() {
	open := c.nesting.feed(c.object[c.scanned:])
	if open && len(c.object) <= maxObjectBytes {
		c.scanned = len(c.object) // an indented object spans several lines
		return
	}
	c.nesting = nestingScanner{}
	c.scanned = 0
	// A complete object or an empty line (a heartbeat) restarts the timeout. A line within an object does not, nor does
	// an empty line before the first object.
	if c.state == callWatching {
		c.setTimeout(watchIdleTimeout)
	}
	if text := bytes.TrimSpace(c.object); len(text) > 0 {
		c.err = c.client.applyObject(c, text)
		if c.err == nil {
			c.setTimeout(watchIdleTimeout)
		}
	}
	c.object = c.object[:0]
}

// completeFetch passes on the object of a fetch and closes the call.
func (c *call) completeFetch() {
	if err := c.client.applyObject(c, c.object); err != nil {
		c.fail(err)
		return
	}
	c.close()
}

// fail closes the call and passes the reason to its client. If the call is closed already, it does nothing.
func (c *call) fail(reason error) {
	if c.state == callClosed {
		return
	}
	previous := c.state
	c.close()
	c.client.handleFailure(previous, reason)
}

func (c *call) close() {
	c.state = callClosed
	c.client.loop.Cancel(&c.timer)
	c.conn.Close()
}
