// Package mux is the state machine of one connection that carries multiplexed channels (SSH's connection protocol, see
// internal/channel), as client or server: which channels there are, flow control and fair turns among them, and which
// messages of a peer are protocol errors.
//
// Received bytes go in by Conn.Feed, bytes to send go out by a Wire. It has no sockets and no clock, knows nothing of
// what the channels carry, and is used from one goroutine: owners are called from within Feed, Flushed and Lost, and
// nothing blocks.
package mux

import (
	"errors"
	"fmt"

	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
)

// Wire is what a connection writes to, without blocking. Pending returns how many written bytes it still buffers.
type Wire interface {
	Write(parts ...[]byte)
	Pending() int
}

// Owner is notified of what concerns the connection as a whole. It may close any channel in these calls.
type Owner interface {
	// Ready is called on a client once the peer has accepted the service: channels may be opened.
	Ready()
	// Admit decides whether one more channel may be opened now. If why is not "", the peer is sent an open failure with
	// it and the code (of RFC 4254). No state is kept for the channel yet.
	Admit(kind []byte) (code uint32, why string)
	// Open is called for a channel that the peer opens. The owner answers with Confirm or Reject, now or later.
	Open(ch *Channel, data []byte)
	// Alive is called when a Ping was answered.
	Alive()
}

// ChannelOwner is notified of what happens to a channel. It may close the channel in any of these calls.
type ChannelOwner interface {
	// Confirmed is called when the peer has confirmed a channel that was opened here; data is what it sent with it.
	Confirmed(data []byte)
	// Rejected is called when the peer has refused it, or the connection is lost before an answer. The channel is gone.
	Rejected(code uint32, description []byte)
	// Readable is called when bytes or an end were received. The owner reads until eventloop.ErrAgain, now or later.
	Readable()
	// Flushed is called when all that Pending had counted was sent.
	Flushed()
	// Requested is called for a request of the peer's, and returns whether it is known.
	Requested(name, data []byte) bool
}

// Config configures a connection.
type Config struct {
	Server      bool    // the role; a client opens channels, a server only confirms or rejects them
	Version     string  // of the program, for the identification line
	MaxChannels int     // channels at once
	Window      uint32  // bytes granted to the peer on each channel at most; the budget may grant less
	Budget      *Budget // shared by all connections of the process
}

const (
	// sendHighWaterMark is how many bytes may wait on the wire before channels queue for turns: enough to keep it busy.
	sendHighWaterMark = 64 << 10
	// turnBytes is how many bytes one channel sends before the next has its turn.
	turnBytes = 8 << 10
	// maxUnreadReplies is how many bytes may wait on the wire of a peer that sends requests and does not read replies.
	maxUnreadReplies = 512 << 10
	// minPeerPacket is how many bytes a peer must accept in one message.
	minPeerPacket = 16
)

// ErrDisconnected is returned by Feed when the peer has ended the connection with DISCONNECT.
var ErrDisconnected = errors.New("peer has disconnected")

// ErrNotSSH is returned by Feed when the peer's identification is not that of the protocol.
var ErrNotSSH = errors.New("peer does not speak channels")

// errClosed is returned by Channel.Read when the channel was closed without EOF, as a connection that was reset.
var errClosed = errors.New("channel closed without its end")

// protocolError is a violation of the protocol by the peer. It is sent in DISCONNECT, and the connection ends.
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
	identifying     connectionStage = iota // the peer's identification line has not come
	agreeingService                        // identified; the service is not accepted yet
	running                                // channels may be opened
	finished                               // by DISCONNECT, a protocol error or a lost connection
)

// Conn is one connection. New makes one.
type Conn struct {
	cfg             Config
	wire            Wire
	owner           Owner
	stage           connectionStage
	buf             []byte // the start of a packet that is not complete
	packetsReceived uint32
	channels        eventloop.Slots[*Channel]
	turnHead        *Channel // queue of the channels that wait for a turn
	turnTail        *Channel
	pumping         bool // pump is running further up the stack
	unansweredPings int

	// Scratch, kept so that nothing is allocated for each packet.
	msg   channel.Message
	out   []byte
	head  channel.DataHeader
	parts [][]byte
}

// New returns a connection. A client identifies itself at once; a server once the client has.
func New(w Wire, cfg Config, o Owner) *Conn {
	c := &Conn{cfg: cfg, wire: w, owner: o}
	if !cfg.Server {
		c.identify()
		c.send(&channel.Message{Type: channel.ServiceRequest, Name: []byte(channel.Service)})
	}
	return c
}

func (c *Conn) identify() { c.wire.Write([]byte("SSH-2.0-spurspread_" + c.cfg.Version + "\r\n")) }

// Len returns the number of channels, those that wait for the peer's CLOSE included.
func (c *Conn) Len() int { return c.channels.Len() }

// Identified reports whether the peer has identified itself as a speaker of the protocol.
func (c *Conn) Identified() bool { return c.stage == agreeingService || c.stage == running }

// Ready reports whether channels may be opened: identification and service are agreed on.
func (c *Conn) Ready() bool { return c.stage == running }

func (c *Conn) send(m *channel.Message) {
	c.out = channel.Append(c.out[:0], m)
	c.wire.Write(c.out)
}

// Ping sends a keepalive request; Owner.Alive is called when it is answered. Before the service is agreed on it
// does nothing.
func (c *Conn) Ping() {
	if c.stage == running {
		c.unansweredPings++
		c.send(&channel.Message{Type: channel.GlobalRequest, Name: []byte(channel.Keepalive), WantReply: true})
	}
}

// Disconnect tells the peer why the connection ends. The caller then closes it and calls Lost.
func (c *Conn) Disconnect(code uint32, text string) {
	if c.stage != finished {
		c.send(&channel.Message{Type: channel.Disconnect, Code: code, Data: []byte(text)})
		c.stage = finished
	}
}

// Feed handles received bytes. After an error (ErrDisconnected, ErrNotSSH or a violation of the protocol, which the
// peer has been sent) the caller closes the connection and calls Lost.
func (c *Conn) Feed(b []byte) error {
	kept := len(c.buf) > 0
	if kept {
		c.buf = append(c.buf, b...)
		b = c.buf
	}
	for c.stage != finished {
		n, err := c.step(b)
		if err == nil && c.wire.Pending() > maxUnreadReplies {
			err = protocolError{channel.TooManyConnections, "asks and does not read"}
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

// step handles one identification line or packet at the start of b, and returns its length; 0 while it is incomplete.
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

// take handles one message, the seq-th that was received.
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

// global answers a global request at once, so that replies keep the order of the requests.
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

// opened handles an OPEN of the peer: it checks the limits, asks the owner, and refuses or hands the channel over.
func (c *Conn) opened(m *channel.Message) {
	code, why := uint32(0), ""
	switch {
	case !c.cfg.Server:
		code, why = channel.AdministrativelyProhibited, "ERR"
	case string(m.Name) != channel.Stream:
		code, why = channel.UnknownChannelType, "ERR"
	case m.MaxPacket < minPeerPacket:
		code, why = channel.AdministrativelyProhibited, "ERR"
	case c.channels.Len() >= c.cfg.MaxChannels:
		code, why = channel.ResourceShortage, "BUSY"
	}
	if why == "" || code == channel.ResourceShortage {
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

// Open opens a channel to the peer; o is notified of its answer. It returns nil where no more channels may be opened.
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

// Lost ends all channels of a connection that is gone; plain reports whether it ended in order. Each owner is notified
// once.
func (c *Conn) Lost(plain bool) {
	c.stage = finished
	c.turnHead, c.turnTail = nil, nil
	for _, ch := range c.channels.All {
		ch.lost(plain)
	}
}

// Flushed is called by the caller when the wire has sent what was pending.
func (c *Conn) Flushed() { c.pump() }

// queue appends a channel to those that wait for a turn.
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

// pump gives channels their turns, one packet each, while the wire is below its high-water mark.
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
