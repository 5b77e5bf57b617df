// Package mux is the state of one connection with multiplexed channels, in either role: which channels there are, what
// may be sent on each, whose turn it is, and what a peer may not do. Bytes go in by Feed and out by a Wire: it has no
// sockets and no clock, and knows nothing of what the channels are for.
package mux

import (
	"errors"
	"fmt"
	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
)

// Wire is what a connection writes to. What it does not get rid of at once it keeps, and tells how much that is.
type Wire interface {
	Write(parts ...[]byte)
	Pending() int
}

// Owner is told what concerns the connection as a whole. It may close any channel in these calls.
type Owner interface {
	// Ready tells a client that its peer has taken the service: channels may be opened.
	Ready()
	// Admit tells whether one more channel may be opened now; if not, the peer hears code and why. Nothing was kept for
	// it yet.
	Admit(kind []byte) (code uint32, why string)
	// Open brings a channel that the peer opens. The owner answers with Confirm or Refuse, now or later.
	Open(ch *Channel, data []byte)
	// Alive tells that a Ping was answered.
	Alive()
}

// ChannelOwner is told what happens to a channel. It may close the channel in any of these calls.
type ChannelOwner interface {
	// Confirmed tells that the peer has confirmed a channel that was opened here, and what it said.
	Confirmed(data []byte)
	// Refused tells that it has not; the channel is gone.
	Refused(code uint32, description []byte)
	// Readable tells that bytes or an end have come. The owner reads until loop.ErrAgain, or later.
	Readable()
	// Flushed tells that all that was kept back has gone out.
	Flushed()
	// Requested brings a request of the peer's, and returns whether it is known.
	Requested(name, data []byte) bool
}

// Config is what a connection is made with.
type Config struct {
	Server  bool
	Version string // of the program, for the identification
	Most    int    // channels at once
	Window  uint32 // that the peer is granted on each, at most
	Budget  *Budget
}

const (
	// highWater is how much may wait on the wire before channels queue for their turns: enough to keep it busy.
	highWater = 64 << 10
	// turn is what one channel sends before the next has its turn.
	turn = 8 << 10
	// maxBacklog is how much may wait on the wire of a peer that asks and does not read.
	maxBacklog = 512 << 10
	// leastPacket is the least that a peer must take in one message.
	leastPacket = 16
)

// ErrEnded says that the peer has ended the connection with DISCONNECT.
var ErrEnded = errors.New("peer has disconnected")

// ErrNotSSH says that the peer does not speak channels.
var ErrNotSSH = errors.New("peer does not speak channels")

// errClosed is what a channel's reader gets that was closed without an end, as of a connection that was reset.
var errClosed = errors.New("channel closed without its end")

// protocolError is what a peer did that it may not; it is told so, and the connection ends.
type protocolError struct {
	code uint32
	text string
}

func (e protocolError) Error() string { return e.text }

func wrong(format string, args ...any) error {
	return protocolError{channel.ProtocolError, fmt.Sprintf(format, args...)}
}

type stage uint8

const (
	identifying stage = iota
	settling          // the service is not agreed on
	running
	finished
)

// Conn is one connection.
type Conn struct {
	cfg     Config
	wire    Wire
	owner   Owner
	stage   stage
	buf     []byte // the start of a packet
	seq     uint32 // packets taken
	chans   eventloop.Slots[*Channel]
	first   *Channel // of those that wait for their turn
	last    *Channel
	pumping bool
	pings   int // not answered yet
	msg     channel.Message
	out     []byte       // scratch of send
	head    channel.Head // and of sendData
	parts   [][]byte
}

// New returns a connection. A client begins to speak at once; a server once it was identified to.
func New(w Wire, cfg Config, o Owner) *Conn {
	c := &Conn{cfg: cfg, wire: w, owner: o}
	if !cfg.Server {
		c.identify()
		c.send(&channel.Message{Type: channel.ServiceRequest, Name: []byte(channel.Service)})
	}
	return c
}

func (c *Conn) identify() { c.wire.Write([]byte("SSH-2.0-spurspread_" + c.cfg.Version + "\r\n")) }

// Len is how many channels there are, those that wait for the peer's CLOSE included.
func (c *Conn) Len() int { return c.chans.Len() }

// Identified tells that the peer has identified itself: it speaks channels.
func (c *Conn) Identified() bool { return c.stage == settling || c.stage == running }

// Settled tells that identification and service are agreed on.
func (c *Conn) Settled() bool { return c.stage == running }

func (c *Conn) send(m *channel.Message) {
	c.out = channel.Append(c.out[:0], m)
	c.wire.Write(c.out)
}

// Ping asks the peer for a sign of life.
func (c *Conn) Ping() {
	if c.stage == running {
		c.pings++
		c.send(&channel.Message{Type: channel.GlobalRequest, Name: []byte(channel.Keepalive), WantReply: true})
	}
}

// Disconnect says why the connection ends. It must be ended by the caller then, and Lost be called.
func (c *Conn) Disconnect(code uint32, text string) {
	if c.stage != finished {
		c.send(&channel.Message{Type: channel.Disconnect, Code: code, Data: []byte(text)})
		c.stage = finished
	}
}

// Feed takes what the peer sent. After an error the peer has been told; the caller ends the connection and calls Lost.
func (c *Conn) Feed(b []byte) error {
	kept := len(c.buf) > 0
	if kept {
		c.buf = append(c.buf, b...)
		b = c.buf
	}
	for c.stage != finished {
		n, err := c.step(b)
		if err == nil && c.wire.Pending() > maxBacklog {
			err = protocolError{channel.TooMany, "asks and does not read"}
		}
		if err != nil {
			c.reject(err)
			return err
		}
		if n == 0 {
			break
		}
		b = b[n:]
	}
	switch {
	case len(b) == 0 || c.stage == finished:
		c.buf = nil // an idle connection holds no buffer
	case kept:
		c.buf = c.buf[:copy(c.buf, b)]
	default:
		c.buf = append([]byte(nil), b...)
	}
	return nil
}

func (c *Conn) reject(err error) {
	var p protocolError
	switch {
	case errors.As(err, &p):
		c.Disconnect(p.code, p.text)
	case errors.Is(err, ErrEnded), errors.Is(err, ErrNotSSH):
	default:
		c.Disconnect(channel.ProtocolError, err.Error())
	}
	c.stage, c.buf = finished, nil
}

// step takes one identification or packet off b.
func (c *Conn) step(b []byte) (int, error) {
	if c.stage == identifying {
		_, n, err := channel.CutIdent(b)
		if err != nil {
			return 0, ErrNotSSH
		}
		if n > 0 {
			c.stage = settling
			if c.cfg.Server {
				c.identify()
			}
		}
		return n, nil
	}
	payload, n, err := channel.CutPacket(b)
	if err != nil || n == 0 {
		return 0, err
	}
	seq := c.seq
	c.seq++
	if err := channel.Parse(payload, &c.msg); err != nil {
		return 0, err
	}
	return n, c.take(&c.msg, seq)
}

func (c *Conn) take(m *channel.Message, seq uint32) error {
	switch m.Type {
	case channel.Disconnect:
		return ErrEnded
	case channel.Ignore, channel.Debug, channel.Unimplemented:
		return nil
	case channel.ServiceRequest:
		return c.serve(m)
	case channel.ServiceAccept:
		if c.cfg.Server || c.stage != settling {
			return wrong("SERVICE_ACCEPT that nobody asked for")
		}
		c.stage = running
		c.owner.Ready()
		return nil
	}
	known := m.Type >= channel.GlobalRequest && m.Type <= channel.RequestFailure ||
		m.Type >= channel.Open && m.Type <= channel.Failure
	switch {
	case !known:
		c.send(&channel.Message{Type: channel.Unimplemented, Code: seq})
		return nil
	case c.stage != running:
		return wrong("message %d before the service was asked for", m.Type)
	}
	switch m.Type {
	case channel.GlobalRequest:
		c.global(m)
		return nil
	case channel.RequestSuccess, channel.RequestFailure:
		if c.pings == 0 {
			return wrong("a reply that nobody asked for")
		}
		c.pings--
		c.owner.Alive()
		return nil
	case channel.Open:
		c.opened(m)
		return nil
	}
	ch, ok := c.chans.Get(eventloop.Ref(m.Channel))
	if !ok {
		return wrong("message %d for channel %d, which there is not", m.Type, m.Channel)
	}
	return ch.take(m)
}

func (c *Conn) serve(m *channel.Message) error {
	if !c.cfg.Server {
		return wrong("SERVICE_REQUEST of a server")
	}
	if string(m.Name) != channel.Service {
		return protocolError{channel.ServiceNotAvailable, "the only service is " + channel.Service}
	}
	c.stage = running
	c.send(&channel.Message{Type: channel.ServiceAccept, Name: m.Name})
	return nil
}

// global answers a request at once, so that replies have the order of the requests.
func (c *Conn) global(m *channel.Message) {
	if !m.WantReply {
		return
	}
	reply := channel.RequestFailure
	if string(m.Name) == channel.Keepalive {
		reply = channel.RequestSuccess
	}
	c.send(&channel.Message{Type: reply})
}

func (c *Conn) opened(m *channel.Message) {
	code, why := uint32(0), ""
	switch {
	case !c.cfg.Server:
		code, why = channel.Prohibited, "ERR"
	case string(m.Name) != channel.Stream:
		code, why = channel.UnknownKind, "ERR"
	case m.MaxPacket < leastPacket:
		code, why = channel.Prohibited, "ERR"
	case c.chans.Len() >= c.cfg.Most:
		code, why = channel.NoResources, "BUSY"
	}
	if why == "" || code == channel.NoResources {
		if over, more := c.owner.Admit(m.Name); more != "" {
			code, why = over, more
		}
	}
	if why != "" {
		c.send(&channel.Message{Type: channel.OpenFailure, Channel: m.Channel, Code: code, Data: []byte(why)})
		return
	}
	ch := &Channel{c: c, peer: m.Channel, room: m.Window, most: m.MaxPacket, state: asked}
	ch.num = c.chans.Put(ch)
	c.owner.Open(ch, m.Data)
}

// Open opens a channel to the peer, for an owner that will hear of it. It returns nil where no more may be opened.
func (c *Conn) Open(data []byte, o ChannelOwner) *Channel {
	if c.stage != running || c.chans.Len() >= c.cfg.Most {
		return nil
	}
	ch := &Channel{c: c, owner: o, state: asking}
	if ch.num = c.chans.Put(ch); ch.num == 0 {
		return nil
	}
	ch.grant(c.cfg.Budget.target(c.cfg.Window))
	c.send(&channel.Message{
		Type: channel.Open, Name: []byte(channel.Stream), Channel: uint32(ch.num), Window: ch.window,
		MaxPacket: channel.MaxData, Data: channel.AppendString(nil, data),
	})
	return ch
}

// Lost ends all channels, for the connection is gone; plain tells whether it ended in order. Each owner is told once.
func (c *Conn) Lost(plain bool) {
	c.stage = finished
	c.first, c.last = nil, nil
	for _, ch := range c.chans.All {
		ch.lost(plain)
	}
}

// Flushed tells that the wire has room again.
func (c *Conn) Flushed() { c.pump() }

// queue has a channel wait for its turn.
func (c *Conn) queue(ch *Channel) {
	if ch.queued {
		return
	}
	ch.queued, ch.next = true, nil
	if c.last == nil {
		c.first = ch
	} else {
		c.last.next = ch
	}
	c.last = ch
}

// pump gives channels their turns, one packet each, while the wire has room.
func (c *Conn) pump() {
	if c.pumping || c.stage == finished {
		return
	}
	c.pumping = true
	for c.first != nil && c.wire.Pending() < highWater {
		ch := c.first
		if c.first = ch.next; c.first == nil {
			c.last = nil
		}
		ch.queued = false
		ch.turn()
	}
	c.pumping = false
}
