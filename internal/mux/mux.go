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
	Rejected(code uint32, description []byte)
	// Readable tells that bytes or an end have come. The owner reads until loop.ErrAgain, or later.
	Readable()
	// Flushed tells that all that was kept back has gone out.
	Flushed()
	// Requested brings a request of the peer's, and returns whether it is known.
	Requested(name, data []byte) bool
}

// Config is what a connection is made with.
type Config struct {
	Server      bool
	Version     string // of the program, for the identification
	MaxChannels int    // channels at once
	Window      uint32 // that the peer is granted on each, at most
	Budget      *Budget
}

const (
	// sendHighWaterMark is how much may wait on the wire before channels queue for their turns: enough to keep it busy.
	sendHighWaterMark = 64 << 10
	// turnBytes is what one channel sends before the next has its turn.
	turnBytes = 8 << 10
	// maxUnreadReplies is how much may wait on the wire of a peer that asks and does not read.
	maxUnreadReplies = 512 << 10
	// minPeerPacket is the least that a peer must take in one message.
	minPeerPacket = 16
)

// ErrDisconnected says that the peer has ended the connection with DISCONNECT.
var ErrDisconnected = errors.New("peer has disconnected")

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

func newProtocolError(format string, args ...any) error {
	return protocolError{channel.ProtocolError, fmt.Sprintf(format, args...)}
}

type connectionStage uint8

const (
	identifying     connectionStage = iota
	agreeingService                 // the service is not agreed on
	running
	finished
)

// Conn is one connection.
type Conn struct {
	cfg             Config
	wire            Wire
	owner           Owner
	stage           connectionStage
	buf             []byte // the start of a packet
	packetsReceived uint32 // packets taken
	channels        eventloop.Slots[*Channel]
	turnHead        *Channel // of those that wait for their turn
	turnTail        *Channel
	pumping         bool
	unansweredPings int // not answered yet
	msg             channel.Message
	out             []byte       // scratch of send
	head            channel.Head // and of sendData
	parts           [][]byte
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
func (c *Conn) Len() int { return c.channels.Len() }

// Identified tells that the peer has identified itself: it speaks channels.
func (c *Conn) Identified() bool { return c.stage == agreeingService || c.stage == running }

// Ready tells that identification and service are agreed on.
func (c *Conn) Ready() bool { return c.stage == running }

func (c *Conn) send(m *channel.Message) {
	c.out = channel.Append(c.out[:0], m)
	c.wire.Write(c.out)
}

// Ping asks the peer for a sign of life.
func (c *Conn) Ping() {
	if c.stage == running {
		c.unansweredPings++
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
		if err == nil && c.wire.Pending() > maxUnreadReplies {
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
	case errors.Is(err, ErrDisconnected), errors.Is(err, ErrNotSSH):
	default:
		c.Disconnect(channel.ProtocolError, err.Error())
	}
	c.stage, c.buf = finished, nil
}

// step takes one identification or packet off b.
func (c *Conn) step(b []byte) (int, error) {
	if c.stage == identifying {
		_, n, err := channel.SplitIdentification(b)
		if err != nil {
			return 0, ErrNotSSH
		}
		if n > 0 {
			c.stage = agreeingService
			if c.cfg.Server {
				c.identify()
			}
		}
		return n, nil
	}
	payload, n, err := channel.SplitPacket(b)
	if err != nil || n == 0 {
		return 0, err
	}
	seq := c.packetsReceived
	c.packetsReceived++
	if err := channel.Parse(payload, &c.msg); err != nil {
		return 0, err
	}
	return n, c.take(&c.msg, seq)
}

func (c *Conn) take(m *channel.Message, seq uint32) error {
	switch m.Type {
	case channel.Disconnect:
		return ErrDisconnected
	case channel.Ignore, channel.Debug, channel.Unimplemented:
		return nil
	case channel.ServiceRequest:
		return c.serve(m)
	case channel.ServiceAccept:
		if c.cfg.Server || c.stage != agreeingService {
			return newProtocolError("SERVICE_ACCEPT that nobody asked for")
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
		return newProtocolError("message %d before the service was asked for", m.Type)
	}
	switch m.Type {
	case channel.GlobalRequest:
		c.global(m)
		return nil
	case channel.RequestSuccess, channel.RequestFailure:
		if c.unansweredPings == 0 {
			return newProtocolError("a reply that nobody asked for")
		}
		c.unansweredPings--
		c.owner.Alive()
		return nil
	case channel.Open:
		c.opened(m)
		return nil
	}
	ch, ok := c.channels.Get(eventloop.Ref(m.Channel))
	if !ok {
		return newProtocolError("message %d for channel %d, which there is not", m.Type, m.Channel)
	}
	return ch.take(m)
}

func (c *Conn) serve(m *channel.Message) error {
	if !c.cfg.Server {
		return newProtocolError("SERVICE_REQUEST of a server")
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
	case m.MaxPacket < minPeerPacket:
		code, why = channel.Prohibited, "ERR"
	case c.channels.Len() >= c.cfg.MaxChannels:
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
	ch := &Channel{conn: c, peerID: m.Channel, sendWindow: m.Window, maxSendPacket: m.MaxPacket, state: openReceived}
	ch.localID = c.channels.Put(ch)
	c.owner.Open(ch, m.Data)
}

// Open opens a channel to the peer, for an owner that will hear of it. It returns nil where no more may be opened.
func (c *Conn) Open(data []byte, o ChannelOwner) *Channel {
	if c.stage != running || c.channels.Len() >= c.cfg.MaxChannels {
		return nil
	}
	ch := &Channel{conn: c, owner: o, state: openSent}
	if ch.localID = c.channels.Put(ch); ch.localID == 0 {
		return nil
	}
	ch.grant(c.cfg.Budget.target(c.cfg.Window))
	c.send(&channel.Message{
		Type: channel.Open, Name: []byte(channel.Stream), Channel: uint32(ch.localID), Window: ch.receiveWindow,
		MaxPacket: channel.MaxData, Data: channel.AppendString(nil, data),
	})
	return ch
}

// Lost ends all channels, for the connection is gone; plain tells whether it ended in order. Each owner is told once.
func (c *Conn) Lost(plain bool) {
	c.stage = finished
	c.turnHead, c.turnTail = nil, nil
	for _, ch := range c.channels.All {
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
	if c.turnTail == nil {
		c.turnHead = ch
	} else {
		c.turnTail.next = ch
	}
	c.turnTail = ch
}

// pump gives channels their turns, one packet each, while the wire has room.
func (c *Conn) pump() {
	if c.pumping || c.stage == finished {
		return
	}
	c.pumping = true
	for c.turnHead != nil && c.wire.Pending() < sendHighWaterMark {
		ch := c.turnHead
		if c.turnHead = ch.next; c.turnHead == nil {
			c.turnTail = nil
		}
		ch.queued = false
		ch.turn()
	}
	c.pumping = false
}
