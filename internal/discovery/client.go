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
	path = "/api/targets"
	// Discovery serves calls one after another and answers 503 after a second; one that says nothing at all is
	// given up after callTime, so that a further one can still bring what counts as told by then.
	callTime = 1_500_000
	// On a watch an empty line comes every 2 s; one that is silent for longer, with some room, is dead.
	silence = 2_000_000 + 800_000
	// What a new address has to tell counts as told 4 s after it was named. Until it has answered, or moveTime is
	// over, a failed call is repeated here: the pauses between what its user asks are longer.
	moveTime  = 4_000_000
	moveAgain = 150_000
)

var errSilent = errors.New("discovery is silent")

// Watcher is told what discovery says.
type Watcher interface {
	// Listed brings a change that the table holds now.
	Listed(Change)
	// Failed tells that a call failed or that the watch broke.
	Failed(error)
}

// Discovery asks discovery for the route table over one watch, and single calls.
type Discovery struct {
	l          *eventloop.Loop
	addr       netip.AddrPort
	table      *Table
	to         Watcher
	generation uint64
	live       *call // the watch that has answered
	asking     *call // a watch that has not answered yet
	foreign    bool  // generation and live are of the address before
	repeatTill eventloop.Micros
	again      eventloop.Ref
	scratch    []byte
}

// NewDiscovery returns a client that asks nothing yet.
func NewDiscovery(l *eventloop.Loop, addr netip.AddrPort, table *Table, to Watcher) *Discovery {
	return &Discovery{l: l, addr: addr, table: table, to: to, scratch: make([]byte, 16<<10)}
}

// Known applies a list that was held before the process started.
func (d *Discovery) Known(text []byte) (Change, error) {
	c, err := d.table.Apply(text)
	d.generation = c.Generation
	return c, err
}

// Whole is the table as discovery last told it, in discovery's own form, and the address at which that is told. It
// is nil after a move until the new address has answered: whose generation it would have is not known.
func (d *Discovery) Whole() (netip.AddrPort, []byte) {
	if d.foreign {
		return d.addr, nil
	}
	return d.addr, d.table.Whole(d.generation)
}

// Watch subscribes to changes. Asked again, the old watch stays until the new one has answered, so that no change
// falls between them.
func (d *Discovery) Watch() {
	if d.asking != nil {
		d.asking.drop()
		d.asking = nil
	}
	d.l.Cancel(&d.again)
	c := &call{d: d, stream: true}
	d.asking = c
	index := d.generation
	if d.foreign {
		index = 0 // whose versions these are is not known: the whole list is asked for
	}
	c.start(fmt.Sprintf("%s?stream=1&index=%d", path, index))
}

// Watching tells whether a watch is open, or asked for.
func (d *Discovery) Watching() bool { return d.live != nil || d.asking != nil || d.again != 0 }

// Move goes over to another address. The table stays, and so does a watch at the old address until the new one has
// answered or the old one ends it.
func (d *Discovery) Move(to netip.AddrPort) {
	d.addr, d.foreign, d.repeatTill = to, true, d.l.Now()+moveTime
	d.Watch()
}

// Unwatch ends the subscription.
func (d *Discovery) Unwatch() {
	d.l.Cancel(&d.again)
	for _, c := range []*call{d.live, d.asking} {
		if c != nil {
			c.drop()
		}
	}
	d.live, d.asking = nil, nil
}

// Fetch asks once for the whole list.
func (d *Discovery) Fetch() { (&call{d: d}).start(path) }

// listed applies one object. While an older watch is live, a newer one may begin behind it; not so at a new address,
// whose versions are its own.
func (d *Discovery) listed(c *call, text []byte) error {
	first := c.stream && c == d.asking
	if first && d.foreign {
		d.foreign = false
	} else if d.live != nil && d.live != c {
		if g, err := generation(text); err == nil && g < d.generation {
			text = fmt.Appendf(nil, `{"generation":%d}`, d.generation)
		}
	}
	change, err := d.table.Apply(text)
	if err != nil {
		return err
	}
	d.generation = change.Generation
	if first {
		if d.live != nil {
			d.live.drop()
		}
		d.live, d.asking = c, nil
	}
	d.to.Listed(change)
	return nil
}

// call is one HTTP call on a connection of its own.
type call struct {
	d      *Discovery
	stream bool
	conn   *eventloop.Conn
	resp   response
	text   []byte // of the object under way
	depth  nesting
	looked int // bytes of text that are counted in depth
	err    error
	timer  eventloop.Ref
	over   bool
}

func (c *call) start(target string) {
	c.resp.body = c.body
	c.wait(callTime)
	conn, err := c.d.l.Dial(c.d.addr, c)
	if err != nil {
		// Told in a later turn: the caller is in the middle of something.
		c.d.l.Cancel(&c.timer)
		c.timer = c.d.l.After(0, func() { c.fail(err) })
		return
	}
	c.conn = conn
	conn.Write([]byte("GET "+target+" HTTP/1.1\r\nHost: "), []byte(c.d.addr.String()), []byte("\r\n\r\n"))
}

func (c *call) wait(span eventloop.Micros) {
	c.d.l.Cancel(&c.timer)
	c.timer = c.d.l.After(span, func() { c.fail(errSilent) })
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
	for !c.over {
		n, err := conn.Read(c.d.scratch)
		switch {
		case errors.Is(err, eventloop.ErrAgain):
			return
		case errors.Is(err, io.EOF) && !c.stream && c.resp.complete():
			c.finish()
			return
		case err != nil:
			c.fail(err)
			return
		}
		if err = c.resp.feed(c.d.scratch[:n]); err == nil {
			err = c.err
		}
		switch {
		case c.over:
		case err != nil:
			c.fail(err)
		case c.resp.stage == atEnd && c.stream:
			c.fail(io.EOF)
		case c.resp.stage == atEnd:
			c.finish()
		}
	}
}

// body takes what the answer's body brings: a line for each object on a watch, else one object in all.
func (c *call) body(b []byte) {
	for len(b) > 0 && c.err == nil && !c.over {
		end := bytes.IndexByte(b, '\n')
		if !c.stream || end < 0 {
			if c.text = append(c.text, b...); len(c.text) > maxBody {
				c.err = errHTTP
			}
			return
		}
		c.text = append(c.text, b[:end+1]...)
		b = b[end+1:]
		text := bytes.TrimSpace(c.text)
		if open := c.depth.feed(c.text[c.looked:]); open && len(c.text) <= maxBody {
			c.looked = len(c.text) // an object may be indented, over many lines
			continue
		}
		c.depth, c.looked = nesting{}, 0
		// A whole object, or an empty line, shows that discovery lives; until the first object only the call's own time
		// counts, and lines of an object that does not end show nothing.
		if c.d.live == c {
			c.wait(silence)
		}
		if len(text) > 0 {
			if c.err = c.d.listed(c, text); c.err == nil {
				c.wait(silence)
			}
		}
		c.text = c.text[:0]
	}
}

func (c *call) finish() {
	if err := c.d.listed(c, c.text); err != nil {
		c.fail(err)
		return
	}
	c.drop()
}

func (c *call) fail(err error) {
	if c.over {
		return
	}
	c.drop()
	d := c.d
	if d.live == c {
		d.live = nil
		if d.asking != nil || d.again != 0 {
			return // the watch that is being asked for tells
		}
	}
	if d.asking == c {
		d.asking = nil
		if d.foreign && d.l.Now() < d.repeatTill {
			d.again = d.l.After(moveAgain, d.Watch)
			return
		}
	}
	d.to.Failed(err)
}

func (c *call) drop() {
	c.over = true
	c.d.l.Cancel(&c.timer)
	c.conn.Close()
}
