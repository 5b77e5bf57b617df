package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"spurspread/internal/eventloop"
)

const (
	targetsPath = "/api/targets"
	// Discovery serves calls one after another and answers 503 after a second; one that says nothing at all is
	// given up after callTime, so that a further one can still bring what counts as told by then.
	callTimeout = 1_500_000
	// On a watch an empty line comes every 2 s; one that is silent for longer, with some room, is dead.
	watchIdleTimeout = 2_000_000 + 800_000
	// What a new address has to tell counts as told 4 s after it was named. Until it has answered, or moveTime is
	// over, a failed call is repeated here: the pauses between what its user asks are longer.
	addressChangeWindow     = 4_000_000
	addressChangeRetryDelay = 150_000
)

var ErrTimeout = errors.New("discovery is silent")

// Watcher is told what discovery says.
type Watcher interface {
	// Listed brings a change that the table holds now.
	Listed(Update)
	// Failed tells that a call failed or that the watch broke.
	Failed(error)
}

// Client asks discovery for the route table over one watch, and single calls.
type Client struct {
	loop           *eventloop.Loop
	addr           netip.AddrPort
	list           *ServerList
	watcher        Watcher
	generation     uint64
	watch          *call // the watch that has answered
	pendingWatch   *call // a watch that has not answered yet
	addressChanged bool  // generation and live are of the address before
	retryUntil     eventloop.Micros
	retryTimer     eventloop.Ref
	readBuffer     []byte
}

// NewClient returns a client that asks nothing yet.
func NewClient(l *eventloop.Loop, addr netip.AddrPort, table *ServerList, to Watcher) *Client {
	return &Client{loop: l, addr: addr, list: table, watcher: to, readBuffer: make([]byte, 16<<10)}
}

// Restore applies a list that was held before the process started.
func (d *Client) Restore(text []byte) (Update, error) {
	c, err := d.list.Apply(text)
	d.generation = c.Generation
	return c, err
}

// Snapshot is the table as discovery last told it, in discovery's own form, and the address at which that is told. It
// is nil after a move until the new address has answered: whose generation it would have is not known.
func (d *Client) Snapshot() (netip.AddrPort, []byte) {
	if d.addressChanged {
		return d.addr, nil
	}
	return d.addr, d.list.Snapshot(d.generation)
}

// Watch subscribes to changes. Asked again, the old watch stays until the new one has answered, so that no change
// falls between them.
func (d *Client) Watch() {
	if d.pendingWatch != nil {
		d.pendingWatch.close()
		d.pendingWatch = nil
	}
	d.loop.Cancel(&d.retryTimer)
	c := &call{client: d, isWatch: true}
	d.pendingWatch = c
	index := d.generation
	if d.addressChanged {
		index = 0 // whose versions these are is not known: the whole list is asked for
	}
	c.start(fmt.Sprintf("%s?stream=1&index=%d", targetsPath, index))
}

// Watching tells whether a watch is open, or asked for.
func (d *Client) Watching() bool { return d.watch != nil || d.pendingWatch != nil || d.retryTimer != 0 }

// ChangeAddress goes over to another address. The table stays, and so does a watch at the old address until the new one has
// answered or the old one ends it.
func (d *Client) ChangeAddress(to netip.AddrPort) {
	d.addr, d.addressChanged, d.retryUntil = to, true, d.loop.Now()+addressChangeWindow
	d.Watch()
}

// StopWatching ends the subscription.
func (d *Client) StopWatching() {
	d.loop.Cancel(&d.retryTimer)
	for _, c := range []*call{d.watch, d.pendingWatch} {
		if c != nil {
			c.close()
		}
	}
	d.watch, d.pendingWatch = nil, nil
}

// Fetch asks once for the whole list.
func (d *Client) Fetch() { (&call{client: d}).start(targetsPath) }

// applyUpdate applies one object. While an older watch is live, a newer one may begin behind it; not so at a new address,
// whose versions are its own.
func (d *Client) applyUpdate(c *call, text []byte) error {
	first := c.isWatch && c == d.pendingWatch
	if first && d.addressChanged {
		d.addressChanged = false
	} else if d.watch != nil && d.watch != c {
		if g, err := parseGeneration(text); err == nil && g < d.generation {
			text = fmt.Appendf(nil, `{"generation":%d}`, d.generation)
		}
	}
	change, err := d.list.Apply(text)
	if err != nil {
		return err
	}
	d.generation = change.Generation
	if first {
		if d.watch != nil {
			d.watch.close()
		}
		d.watch, d.pendingWatch = c, nil
	}
	d.watcher.Listed(change)
	return nil
}

// call is one HTTP call on a connection of its own.
type call struct {
	client   *Client
	isWatch  bool
	conn     *eventloop.Conn
	response responseParser
	object   []byte // of the object under way
	nesting  nestingScanner
	scanned  int // bytes of text that are counted in depth
	err      error
	timer    eventloop.Ref
	closed   bool
}

func (c *call) start(target string) {
	c.response.onBody = c.receiveBody
	c.setTimeout(callTimeout)
	conn, err := c.client.loop.Dial(c.client.addr, c)
	if err != nil {
		// Told in a later turn: the caller is in the middle of something.
		c.client.loop.Cancel(&c.timer)
		c.timer = c.client.loop.After(0, func() { c.fail(err) })
		return
	}
	c.conn = conn
	conn.Write([]byte("GET "+target+" HTTP/1.1\r\nHost: "), []byte(c.client.addr.String()), []byte("\r\n\r\n"))
}

func (c *call) setTimeout(span eventloop.Micros) {
	c.client.loop.Cancel(&c.timer)
	c.timer = c.client.loop.After(span, func() { c.fail(ErrTimeout) })
}

// Connected is part of loop.Owner.
func (c *call) Connected(_ *eventloop.Conn, err error) {
	if err != nil {
		c.fail(err)
	}
}

// Flushed is part of loop.Owner.
func (c *call) Flushed(*eventloop.Conn) {}

// Readable is part of loop.Owner.
func (c *call) Readable(conn *eventloop.Conn) {
	for !c.closed {
		n, err := conn.Read(c.client.readBuffer)
		switch {
		case errors.Is(err, eventloop.ErrAgain):
			return
		case errors.Is(err, io.EOF) && !c.isWatch && c.response.completeAtEOF():
			c.complete()
			return
		case err != nil:
			c.fail(err)
			return
		}
		if err = c.response.feed(c.client.readBuffer[:n]); err == nil {
			err = c.err
		}
		switch {
		case c.closed:
		case err != nil:
			c.fail(err)
		case c.response.state == stateComplete && c.isWatch:
			c.fail(io.EOF)
		case c.response.state == stateComplete:
			c.complete()
		}
	}
}

// receiveBody takes what the answer's body brings: a line for each object on a watch, else one object in all.
func (c *call) receiveBody(b []byte) {
	for len(b) > 0 && c.err == nil && !c.closed {
		end := bytes.IndexByte(b, '\n')
		if !c.isWatch || end < 0 {
			if c.object = append(c.object, b...); len(c.object) > maxObjectBytes {
				c.err = ErrMalformedResponse
			}
			return
		}
		c.object = append(c.object, b[:end+1]...)
		b = b[end+1:]
		text := bytes.TrimSpace(c.object)
		if open := c.nesting.feed(c.object[c.scanned:]); open && len(c.object) <= maxObjectBytes {
			c.scanned = len(c.object) // an object may be indented, over many lines
			continue
		}
		c.nesting, c.scanned = nestingScanner{}, 0
		// A whole object, or an empty line, shows that discovery lives; until the first object only the call's own time
		// counts, and lines of an object that does not end show nothing.
		if c.client.watch == c {
			c.setTimeout(watchIdleTimeout)
		}
		if len(text) > 0 {
			if c.err = c.client.applyUpdate(c, text); c.err == nil {
				c.setTimeout(watchIdleTimeout)
			}
		}
		c.object = c.object[:0]
	}
}

func (c *call) complete() {
	if err := c.client.applyUpdate(c, c.object); err != nil {
		c.fail(err)
		return
	}
	c.close()
}

func (c *call) fail(err error) {
	if c.closed {
		return
	}
	c.close()
	d := c.client
	if d.watch == c {
		d.watch = nil
		if d.pendingWatch != nil || d.retryTimer != 0 {
			return // the watch that is being asked for tells
		}
	}
	if d.pendingWatch == c {
		d.pendingWatch = nil
		if d.addressChanged && d.loop.Now() < d.retryUntil {
			d.retryTimer = d.loop.After(addressChangeRetryDelay, d.Watch)
			return
		}
	}
	d.watcher.Failed(err)
}

func (c *call) close() {
	c.closed = true
	c.client.loop.Cancel(&c.timer)
	c.conn.Close()
}
