package mux

import (
	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
)

// channelState is the state of a channel with respect to its OPEN.
type channelState uint8

const (
	openReceived channelState = iota // the peer has sent OPEN, which is not answered yet
	openSent                         // OPEN was sent, and the peer has not answered yet
	established
	abandoned // rejected by either side, or closed here before the peer has answered
)

// Channel is one multiplexed channel. Methods that have the same name as one of eventloop.Conn have the same contract,
// so that a caller can use either type.
type Channel struct {
	conn    *Conn
	owner   ChannelOwner
	localID eventloop.Ref // channel number in messages from the peer
	peerID  uint32        // channel number in messages to the peer
	state   channelState
	next    *Channel // in the connection's queue for turns
	queued  bool     // whether the channel is in that queue

	sendWindow    uint32 // bytes that may still be sent to the peer
	maxSendPacket uint32 // maximum number of data bytes in one message to the peer
	sendBuffer    []byte // passed to Write, not sent yet
	flushWanted   bool   // the owner has seen Pending above 0: Flushed is called once the buffer is empty

	receiveWindow uint32 // bytes that the peer may still send
	receiveBuffer []byte // received, not read by the owner yet
	packetData    []byte // unread data of the packet that is being handled

	eofRequested       bool // EOF is to be sent once sendBuffer is empty
	closeAfterEOF      bool // CLOSE is to be sent after that EOF
	sentEOF, sentClose bool
	peerEOF, peerClose bool
	answered           bool   // the peer has answered OPEN
	finalRequest       string // name of a request to be sent before EOF; "" for none
	finalRequestData   []byte
	onClosed           func() // to be called once CLOSE is sent or the connection is lost; nil for none
}

// SetOwner sets the owner of a channel that the peer has opened.
func (ch *Channel) SetOwner(o ChannelOwner) { ch.owner = o }

// Confirm accepts a channel that the peer has opened.
func (ch *Channel) Confirm(data []byte) {
	if ch.state != openReceived || ch.conn.stage == finished {
		return
	}
	ch.state = established
	ch.grant(ch.conn.cfg.Budget.target(ch.conn.cfg.Window))
	ch.conn.send(&channel.Message{
		Type: channel.OpenConfirm, Channel: ch.peerID, Sender: uint32(ch.localID), Window: ch.receiveWindow,
		MaxPacket: channel.MaxData, Data: data,
	})
}

// Reject rejects a channel that the peer has opened, with a code of RFC 4254 and a description.
func (ch *Channel) Reject(code uint32, description []byte) {
	if ch.state != openReceived {
		return
	}
	ch.state, ch.owner = abandoned, nil
	if ch.conn.stage != finished {
		ch.conn.send(&channel.Message{Type: channel.OpenFailure, Channel: ch.peerID, Code: code, Data: description})
	}
	ch.conn.channels.Drop(ch.localID)
}

// drop frees the channel's number and returns its window to the budget. The channel must have ended on both sides.
func (ch *Channel) drop() {
	ch.conn.cfg.Budget.committed -= int64(ch.receiveWindow)
	ch.receiveWindow = 0
	ch.conn.channels.Drop(ch.localID)
}

// notifyClosed calls onClosed, once.
func (ch *Channel) notifyClosed() {
	if f := ch.onClosed; f != nil {
		ch.onClosed = nil
		f()
	}
}

// connectionLost ends the channel after the connection has ended; graceful is as for Conn.Lost.
func (ch *Channel) connectionLost(graceful bool) {
	o := ch.owner
	unanswered := ch.state == openSent
	ch.peerEOF, ch.peerClose = ch.peerEOF || graceful, true
	ch.discardUnsent()
	ch.drop()
	if o == nil {
		ch.discardUnread()
		ch.notifyClosed()
		return
	}
	if unanswered {
		ch.owner = nil
		o.Rejected(0, nil)
		return
	}
	o.Readable()
}
