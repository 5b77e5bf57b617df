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
	"bytes"
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
	// messagesPerFeed is the maximum number of messages that one call of Feed handles, so that a peer that sends small
	// ones at full speed does not keep the process from others.
	messagesPerFeed = 64
	// openCost is the number of messages as which an OPEN counts: it starts a request.
	openCost = 8
	// maxReplyBatch is the number of bytes of messages that are collected, while received ones are handled, before they
	// are written.
	maxReplyBatch = 16 << 10
	// keptReplyBuffer is the largest buffer for replies, in bytes, that a connection keeps while it is idle.
	keptReplyBuffer = 1 << 10
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
	partial         []byte // the received part of an incomplete packet or identification line
	backlog         []byte // received bytes that Feed has not handled yet, see Backlogged
	packetsReceived uint32
	channels        eventloop.Slots[*Channel]
	turnHead        *Channel // first and last channel in the queue for turns
	turnTail        *Channel
	pumping         bool // whether pump is on the call stack
	feeding         bool // whether Feed is on the call stack
	feedLeft        int  // number of messages that this call of Feed may still handle
	unansweredPings int

	// Scratch space, kept to avoid allocations per packet.
	msg   channel.Message
	out   []byte // messages to be written; empty unless feeding
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

func (c *Conn) identify() { c.write([]byte("SSH-2.0-spurspread_" + c.cfg.Version + "\r\n")) }

// Len returns the number of channels, including those that wait for the peer's CLOSE.
func (c *Conn) Len() int { return c.channels.Len() }

// Identified reports whether the peer has sent a valid identification line and the connection has not ended.
func (c *Conn) Identified() bool { return c.stage == awaitingService || c.stage == running }

// Ready reports whether channels may be opened: the service is accepted and the connection has not ended.
func (c *Conn) Ready() bool { return c.stage == running }

// send sends a message. While received messages are handled, those to be sent are collected, so that many small ones
// don't need a system call each.
func (c *Conn) send(m *channel.Message) {
	c.out = channel.Append(c.out, m)
	if !c.feeding || len(c.out) >= maxReplyBatch {
		c.write()
	}
}

// write writes the collected messages and then the parts.
func (c *Conn) write(parts ...[]byte) {
	if len(c.out) > 0 {
		c.wire.Write(c.out)
		c.out = c.out[:0]
	}
	if len(parts) > 0 {
		c.wire.Write(parts...)
	}
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
		c.write() // the caller may close the wire before Feed returns
		c.stage = finished
	}
}

// Feed handles received bytes, but at most messagesPerFeed messages: while Backlogged reports true, the caller has to
// call Feed again, without bytes, before it passes on more. After an error (ErrDisconnected, ErrNotSSH or a protocol
// error, of which the peer has been informed) the caller has to close the connection and call Lost.
func (c *Conn) Feed(b []byte) error {
	if len(c.backlog) > 0 {
		b = append(c.backlog, b...)
		c.backlog = nil
	}
	c.feeding = true
	rest, err := c.handleReceived(b)
	if err != nil {
		c.endWithError(err)
	}
	c.feeding = false
	c.write()
	if cap(c.out) > keptReplyBuffer {
		c.out = nil
	}
	if c.stage == finished {
		c.partial = nil
	} else if len(rest) > 0 {
		c.backlog = bytes.Clone(rest)
	}
	return err
}

// Backlogged reports whether received messages wait for the next call of Feed.
func (c *Conn) Backlogged() bool { return len(c.backlog) > 0 }

// handleReceived handles at most messagesPerFeed messages and returns the bytes after them. It moves an incomplete
// message at the end to partial.
func (c *Conn) handleReceived(b []byte) (rest []byte, err error) {
	c.feedLeft = messagesPerFeed
	for c.feedLeft > 0 && len(b) > 0 && c.stage != finished {
		if b, err = c.handleNext(b); err != nil {
			return nil, err
		}
		if c.wire.Pending()+len(c.out) > maxUnreadReplies {
			return nil, protocolError{channel.TooManyConnections, "asks and does not read"}
		}
	}
	return b, nil
}

// handleNext handles the message at the start of partial and b, or moves bytes of b to partial if it is incomplete. It
// returns the other bytes of b.
func (c *Conn) handleNext(b []byte) (rest []byte, err error) {
	if len(c.partial) == 0 {
		n, err := c.step(b)
		if n == 0 && err == nil {
			c.partial = bytes.Clone(b)
			return nil, nil
		}
		return b[n:], err
	}
	n := min(c.missing(), len(b))
	c.partial = append(c.partial, b[:n]...)
	if handled, err := c.step(c.partial); handled > 0 || err != nil {
		c.partial = nil // so that an idle connection holds no buffer
		return b[n:], err
	}
	return b[n:], nil
}

// missing returns the number of bytes that partial needs at least until its message is complete.
func (c *Conn) missing() int {
	if size := channel.PacketSize(c.partial); c.stage != identifying && size > len(c.partial) {
		return size - len(c.partial)
	}
	return 1 // an identification line, whose length is not known, or a packet's length
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
	c.stage, c.partial = finished, nil
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
	c.feedLeft--
	if c.msg.Type == channel.Open {
		c.feedLeft -= openCost - 1
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
