package connections

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"spurspread/lab/netloop"
)

// clientState is the state of a client's connection.
type clientState uint8

const (
	disconnected clientState = iota
	silent                   // connected, and has sent no first line
	requested                // has sent its first line
	established              // was answered UP
)

// retryDelay is when a client tries again that was rejected without a time, or whose connection was closed.
const retryDelay = 100 * millisecond

// client is one connection to the balancer. It belongs to the loop of its generator.
type client struct {
	generator *generator
	conn      *netloop.Conn
	state     clientState
	due       netloop.Micros   // when the present set-up was due
	answer    []byte           // to the first line: what of it was received
	pending   []netloop.Micros // when each line was due that has not come back, the oldest first
	midLine   bool             // the last line received is not complete
	position  int              // in generator.established
	retry     *netloop.Timer   // nil where none is set
}

// dial connects, and sends a first line where request is set.
func (c *client) dial(due netloop.Micros, request bool) {
	g := c.generator
	c.due = due
	c.state = silent
	c.answer = nil
	c.midLine = false
	fd, err := g.connect()
	if err == nil {
		c.conn, err = g.loop.Adopt(fd, c)
	}
	if err != nil {
		c.state = disconnected
		c.retryAfter(retryDelay)
		return
	}
	g.totals.connected.Add(1)
	if !request {
		return
	}
	c.state = requested
	line := fmt.Sprintf("OPEN %x %x c=%s,d=%d\r\n",
		g.totals.requestIDs.Add(1), g.rng.Uint64(), g.class, g.deadlineMillis)
	c.conn.Write([]byte(line))
}

// retryAfter sets up the connection again after a delay, where clients of the generator do so. The delay counts from
// when the first attempt was due.
func (c *client) retryAfter(delay netloop.Micros) {
	if !c.generator.retrying {
		return
	}
	c.retry = c.generator.loop.After(delay, func() {
		c.retry = nil
		c.dial(c.due, true)
	})
}

// Readable implements netloop.Owner.
func (c *client) Readable(conn *netloop.Conn) {
	scratch := c.generator.scratch
	for c.conn == conn {
		n, err := conn.Read(scratch)
		if errors.Is(err, netloop.ErrAgain) {
			return
		}
		if err != nil {
			c.generator.totals.closed.Add(1)
			c.disconnect()
			c.retryAfter(retryDelay)
			return
		}
		if c.state == established {
			c.handleLines(scratch[:n])
		} else {
			c.handleAnswer(scratch[:n])
		}
	}
}

// handleLines handles what an established connection received: each line is the return of the oldest pending one.
func (c *client) handleLines(data []byte) {
	g := c.generator
	now := g.loop.Now()
	for len(data) > 0 {
		if !c.midLine && data[0] == 'M' { // MOVE
			g.totals.moved.Add(1)
		}
		end := bytes.IndexByte(data, '\n')
		c.midLine = end < 0
		if c.midLine {
			return
		}
		data = data[end+1:]
		if len(c.pending) > 0 {
			g.delayMillis = append(g.delayMillis, millis(now-c.pending[0]))
			c.pending = c.pending[1:]
			g.pending--
		}
	}
}

// handleAnswer handles a part of the answer to the first line.
func (c *client) handleAnswer(part []byte) {
	c.answer = append(c.answer, part...)
	end := bytes.IndexByte(c.answer, '\n')
	if end < 0 {
		return
	}
	line := bytes.TrimSpace(c.answer[:end])
	c.answer = nil
	if bytes.HasPrefix(line, []byte("UP")) {
		c.establish()
		return
	}
	c.generator.totals.rejected.Add(1)
	c.disconnect()
	c.retryAfter(rejectionDelay(line))
}

// rejectionDelay is when a client that was rejected may try again: the time that the rejection has, else retryDelay.
func rejectionDelay(line []byte) netloop.Micros {
	rest, busy := bytes.CutPrefix(line, []byte("BUSY "))
	if !busy {
		return retryDelay
	}
	delayMillis, err := strconv.Atoi(string(rest))
	if err != nil {
		return retryDelay
	}
	return netloop.Micros(delayMillis) * millisecond
}

// establish records that the connection was set up. Where clients churn it is closed and set up again.
func (c *client) establish() {
	g := c.generator
	g.delayMillis = append(g.delayMillis, millis(g.loop.Now()-c.due))
	g.totals.setUps.Add(1)
	c.state = established
	c.position = len(g.established)
	g.established = append(g.established, c)
	g.totals.established.Add(1)
	if g.churning {
		c.disconnect()
		c.dial(g.loop.Now(), true)
	}
}

// disconnect closes the connection; its pending lines are lost.
func (c *client) disconnect() {
	g := c.generator
	if c.state == established {
		g.removeEstablished(c)
		g.totals.established.Add(-1)
	}
	g.lost += len(c.pending)
	g.pending -= len(c.pending)
	g.loop.Cancel(c.retry)
	if c.state != disconnected {
		g.totals.connected.Add(-1)
		c.conn.Close()
	}
	c.conn = nil
	c.pending = nil
	c.retry = nil
	c.state = disconnected
}

// lineBytes is the length of a line that clients send, with its end.
const lineBytes = 40

// lineEnd ends each line.
const lineEnd = "\r\n"

// newLine returns the line that clients send.
func newLine() []byte {
	return slices.Concat(bytes.Repeat([]byte("t"), lineBytes-len(lineEnd)), []byte(lineEnd))
}
