// Package mux implements one connection that carries multiplexed channels, as client or server, with the messages of
// the SSH connection protocol (see internal/channel). It manages the channels and their flow control, shares the
// connection fairly among them, and detects protocol errors of the peer.
//
// Channels that have to wait until they can send take turns; in each turn a channel sends one packet.
//
// Received bytes are passed to Conn.Feed, and bytes to send are written to a Wire. The package uses no sockets and no
// clock and does not interpret the data on channels. A Conn must be used from one goroutine only, and nothing blocks.
// Owners are called from Feed, Flushed and Lost; ChannelOwner.Flushed also from Channel.Write.
package mux

import (
	"errors"
	"fmt"

	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
)

// Wire is the transport that a connection writes to. Write does not block; Pending returns the number of written bytes
// that are still buffered.
type Wire interface {
	Write(parts ...[]byte)
	Pending() int
}

// Owner is notified of the events of a connection as a whole. Its methods may close any channel.
type Owner interface {
	// Ready is called on a client when the peer has accepted the service. From then on channels may be opened.
	Ready()
	// Admit decides whether the peer may open another channel now. If reason is not empty, the channel is rejected with
	// this reason and code (of RFC 4254). Admit is also called when Config.MaxChannels is reached; the channel is then
	// rejected in any case. No state is allocated for the channel before.
	Admit(kind []byte) (code uint32, reason string)
	// Open is called for a channel that the peer opens. The owner calls Confirm or Reject on it, now or later.
	Open(ch *Channel, data []byte)
	// PingAnswered is called when the peer has answered a Ping.
	PingAnswered()
}

// ChannelOwner is notified of the events of a channel. Its methods may close the channel.
type ChannelOwner interface {
	// Confirmed is called when the peer has confirmed a channel that was opened here, with the data of the
	// confirmation.
	Confirmed(data []byte)
	// Rejected is called when the peer has rejected the channel, or the connection was lost before an answer (code 0).
	// The channel must not be used any more.
	Rejected(code uint32, description []byte)
	// Readable is called when data or the end of the channel was received. The owner has to read until
	// eventloop.ErrAgain, now or later.
	Readable()
	// Flushed is called when all buffered bytes were sent, if the owner has seen a Pending above 0.
	Flushed()
	// Requested is called when a request arrives, and reports whether the request is known. Data that the peer sent
	// before the request may not have been read yet: Channel.Buffered returns how many bytes.
	Requested(name, data []byte) bool
}

// Config configures a connection.
type Config struct {
	Server      bool    // role: a client opens channels, a server only confirms or rejects them
	Version     string  // program version in the identification line
	MaxChannels int     // maximum number of channels at a time
	Window      uint32  // maximum receive window per channel, in bytes; the budget may allow less
	Budget      *Budget // shared by all connections of the process
}

const (
	// sendHighWaterMark is the number of pending bytes on the wire above which channels have to wait for a turn. It is
	// enough to keep the wire busy.
	sendHighWaterMark = 64 << 10
	// turnBytes is the maximum number of bytes that a channel sends in one turn.
	turnBytes = 8 << 10
	// maxUnreadReplies is the maximum number of bytes that may be pending on the wire after a message of the peer was
	// handled. Beyond it, the peer is taken to send requests without reading the replies.
	maxUnreadReplies = 512 << 10
	// minPeerPacket is the smallest maximum packet size, in bytes, that a peer may announce.
	minPeerPacket = 16
)

// ErrDisconnected is returned by Feed if the peer has ended the connection with DISCONNECT.
var ErrDisconnected = errors.New("peer has disconnected")

// ErrNotSSH is returned by Feed if the peer has not sent a valid SSH identification line.
var ErrNotSSH = errors.New("peer sent no valid SSH identification line")

// errClosed is returned by Channel.Read if the channel was closed without EOF. It corresponds to a connection reset.
var errClosed = errors.New("channel closed without EOF")

// protocolError is a violation of the protocol by the peer. Its code and text are sent to the peer in DISCONNECT.
type protocolError struct {
	code uint32
	text string
}

func (e protocolError) Error() string { return e.text }

func newProtocolError(format string, args ...any) error {
	return protocolError{channel.ProtocolError, fmt.Sprintf(format, args...)}
}

// connectionStage is the stage of a connection. A connection passes through the stages in this order, and may finish
// from any of them.
type connectionStage uint8

const (
	identifying     connectionStage = iota // the peer's identification line has not arrived
	awaitingService                        // identified; the service is not accepted yet
	running                                // channels may be opened
	finished                               // ended by DISCONNECT, a protocol error or a lost connection
)

// Conn is one connection with multiplexed channels. It is created by New.
type Conn struct {
	cfg             Config
	wire            Wire
	owner           Owner
	stage           connectionStage
	buf             []byte // the received part of an incomplete packet or identification line
	packetsReceived uint32
	channels        eventloop.Slots[*Channel]
	turnHead        *Channel // first and last channel in the queue for turns
	turnTail        *Channel
	pumping         bool // whether pump is on the call stack
	unansweredPings int

	// Scratch space, kept to avoid allocations per packet.
	msg   channel.Message
	out   []byte
	head  channel.DataHeader
	parts [][]byte
}

// New returns a connection. A client sends its identification line and its service request at once, a server its
// identification line when it has received the client's.
func New(w Wire, cfg Config, o Owner) *Conn {
	c := &Conn{cfg: cfg, wire: w, owner: o}
	if !cfg.Server {
		c.identify()
		c.send(&channel.Message{Type: channel.ServiceRequest, Name: []byte(channel.Service)})
	}
	return c
}

func (c *Conn) identify() { c.wire.Write([]byte("SSH-2.0-spurspread_" + c.cfg.Version + "\r\n")) }

// Len returns the number of channels, including those that wait for the peer's CLOSE.
func (c *Conn) Len() int { return c.channels.Len() }

// Identified reports whether the peer has sent a valid identification line and the connection has not ended.
func (c *Conn) Identified() bool { return c.stage == awaitingService || c.stage == running }

// Ready reports whether channels may be opened: the service is accepted and the connection has not ended.
func (c *Conn) Ready() bool { return c.stage == running }

func (c *Conn) send(m *channel.Message) {
	c.out = channel.Append(c.out[:0], m)
	c.wire.Write(c.out)
}

// Ping sends a keepalive request; Owner.PingAnswered is called when it is answered. Ping does nothing unless Ready.
func (c *Conn) Ping() {
	if c.stage == running {
		c.unansweredPings++
		c.send(&channel.Message{Type: channel.GlobalRequest, Name: []byte(channel.Keepalive), WantReply: true})
	}
}

// Disconnect sends DISCONNECT with a code of RFC 4253 and a text. The caller then has to close the connection and call
// Lost.
func (c *Conn) Disconnect(code uint32, text string) {
	if c.stage != finished {
		c.send(&channel.Message{Type: channel.Disconnect, Code: code, Data: []byte(text)})
		c.stage = finished
	}
}

// Feed handles received bytes. After an error (ErrDisconnected, ErrNotSSH or a protocol error, of which the peer has
// been informed) the caller has to close the connection and call Lost.
func (c *Conn) Feed(b []byte) error {
	buffered := len(c.buf) > 0
	if buffered {
		c.buf = append(c.buf, b...)
		b = c.buf
	}
	for c.stage != finished {
		n, err := c.step(b)
		if err == nil && c.wire.Pending() > maxUnreadReplies {
			err = protocolError{channel.TooManyConnections, "asks and does not read"}
		}
		if err != nil {
			c.endWithError(err)
			return err
		}
		if n == 0 {
			break
		}
		b = b[n:]
	}
	switch {
	case len(b) == 0 || c.stage == finished:
		c.buf = nil // so that an idle connection holds no buffer
	case buffered:
		c.buf = c.buf[:copy(c.buf, b)]
	default:
		c.buf = append([]byte(nil), b...)
	}
	return nil
}

// endWithError ends the connection. The peer is sent DISCONNECT, unless it has sent one itself or does not speak SSH.
func (c *Conn) endWithError(err error) {
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

// step handles the identification line or packet at the start of b. It returns its length, 0 if it is incomplete.
func (c *Conn) step(b []byte) (int, error) {
	if c.stage == identifying {
		_, n, err := channel.SplitIdentification(b)
		if err != nil {
			return 0, ErrNotSSH
		}
		if n > 0 {
			c.stage = awaitingService
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
	return n, c.handleMessage(&c.msg, seq)
}

// handleMessage handles a message. seq is its number among those received, from 0.
func (c *Conn) handleMessage(m *channel.Message, seq uint32) error {
	switch m.Type {
	case channel.Disconnect:
		return ErrDisconnected
	case channel.Ignore, channel.Debug, channel.Unimplemented:
		return nil
	case channel.ServiceRequest:
		return c.handleServiceRequest(m)
	case channel.ServiceAccept:
		if c.cfg.Server || c.stage != awaitingService {
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
		c.handleGlobalRequest(m)
		return nil
	case channel.RequestSuccess, channel.RequestFailure:
		if c.unansweredPings == 0 {
			return newProtocolError("a reply that nobody asked for")
		}
		c.unansweredPings--
		c.owner.PingAnswered()
		return nil
	case channel.Open:
		c.handleOpen(m)
		return nil
	}
	ch, ok := c.channels.Get(eventloop.Ref(m.Channel))
	if !ok {
		return newProtocolError("message %d for channel %d, which there is not", m.Type, m.Channel)
	}
	return ch.handleMessage(m)
}

// handleServiceRequest accepts channel.Service, the only service.
func (c *Conn) handleServiceRequest(m *channel.Message) error {
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

// handleGlobalRequest answers a global request at once, so that the replies are in the order of the requests.
func (c *Conn) handleGlobalRequest(m *channel.Message) {
	if !m.WantReply {
		return
	}
	reply := channel.RequestFailure
	if string(m.Name) == channel.Keepalive {
		reply = channel.RequestSuccess
	}
	c.send(&channel.Message{Type: reply})
}

// handleOpen handles an OPEN of the peer. It checks the limits and asks the owner, and either rejects the channel or
// passes it to the owner. If the limit on channels is reached, the owner is still asked, because its reason may tell
// the peer when to retry.
func (c *Conn) handleOpen(m *channel.Message) {
	code, reason := uint32(0), ""
	switch {
	case !c.cfg.Server:
		code, reason = channel.AdministrativelyProhibited, "ERR"
	case string(m.Name) != channel.Stream:
		code, reason = channel.UnknownChannelType, "ERR"
	case m.MaxPacket < minPeerPacket:
		code, reason = channel.AdministrativelyProhibited, "ERR"
	case c.channels.Len() >= c.cfg.MaxChannels:
		code, reason = channel.ResourceShortage, "BUSY"
	}
	if reason == "" || code == channel.ResourceShortage {
		if ownerCode, ownerReason := c.owner.Admit(m.Name); ownerReason != "" {
			code, reason = ownerCode, ownerReason
		}
	}
	if reason != "" {
		c.send(&channel.Message{Type: channel.OpenFailure, Channel: m.Channel, Code: code, Data: []byte(reason)})
		return
	}
	ch := &Channel{conn: c, peerID: m.Channel, sendWindow: m.Window, maxSendPacket: m.MaxPacket, state: openReceived}
	ch.localID = c.channels.Put(ch)
	c.owner.Open(ch, m.Data)
}

// Open opens a channel to the peer; o is notified of the answer. It returns nil if the connection is not ready or has
// reached its maximum number of channels.
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

// Lost ends all channels after the connection has ended. graceful tells whether it ended with EOF or DISCONNECT rather
// than an error; its channels then read EOF instead of an error. The owner of each channel is notified once.
func (c *Conn) Lost(graceful bool) {
	c.stage = finished
	c.turnHead, c.turnTail = nil, nil
	for _, ch := range c.channels.All {
		ch.connectionLost(graceful)
	}
}

// Flushed has to be called when the wire has sent all pending bytes. It gives waiting channels their turns.
func (c *Conn) Flushed() { c.pump() }

// queue appends a channel to the queue for turns, unless it is in it.
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

// pump gives queued channels their turns, one packet each, while the wire is below its high-water mark.
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
		ch.sendTurn()
	}
	c.pumping = false
}
