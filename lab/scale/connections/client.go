package connections

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"spurspread/lab/netloop"
)

// clientState is the state of the connection of a client.
type clientState uint8

const (
	disconnected clientState = iota
	silent                   // connected, first line not sent
	requested                // first line sent
	established              // answered with UP
)

// retryDelay is the time after which a client retries if its connection was closed, or if the rejection contained no
// retry time.
const retryDelay = 100 * millisecond

// client is one connection to the balancer. It is used only on the loop of its generator.
type client struct {
	generator *generator
	conn      *netloop.Conn
	state     clientState
	due       netloop.Micros   // time at which the current set-up was due
	answer    []byte           // received part of the answer to the first line
	pending   []netloop.Micros // due times of the lines whose echo is pending, oldest first
	midLine   bool             // whether the last received line is incomplete
	position  int              // index in generator.established
	retry     *netloop.Timer   // nil if no retry is scheduled
}

// dial connects to the balancer. If request is set, the client then sends a first line.
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

// retryAfter sets up the connection again after a delay, if the clients of the generator retry. The delay of the set-up
// is still measured from when the first attempt was due.
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

// handleLines handles data on an established connection: each line is the echo of the oldest pending line.
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

// rejectionDelay returns the time until a rejected client may retry: that in the rejection, or else retryDelay.
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

// establish records that the connection is established. If the generator churns, the client closes it and sets up a new
// one.
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

// disconnect closes the connection. Its pending lines count as lost.
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

// lineBytes is the length of a line that clients send, including its end.
const lineBytes = 40

// lineEnd terminates each line.
const lineEnd = "\r\n"

// newLine returns the line that clients send.
func newLine() []byte {
	return slices.Concat(bytes.Repeat([]byte("t"), lineBytes-len(lineEnd)), []byte(lineEnd))
}
