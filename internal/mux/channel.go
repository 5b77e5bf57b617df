package mux

import (
	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
)

type channelState uint8

const (
	openReceived channelState = iota // the peer has sent OPEN; not answered
	openSent                         // OPEN was sent; the peer has not answered
	established
	abandoned // closed here before the peer has answered
)

// Channel is one multiplexed channel. Its methods have the contracts of those of eventloop.Conn with the same names, so
// that a caller can use either.
type Channel struct {
	conn    *Conn
	owner   ChannelOwner
	localID eventloop.Ref // the number under which the peer addresses it
	peerID  uint32        // the number under which the peer is addressed
	state   channelState
	next    *Channel // in the connection's queue for turns
	queued  bool     // in that queue

	sendWindow    uint32 // bytes that the peer still takes
	maxSendPacket uint32 // bytes that the peer takes in one message
	sendBuffer    []byte // taken by Write, not sent yet
	flushWanted   bool   // the owner has seen Pending above 0: Flushed is due once the buffer is empty

	receiveWindow uint32 // bytes granted to the peer and not used
	receiveBuffer []byte // received and not read by the owner
	packetData    []byte // of the packet that is being handled

	eof                bool // EOF is due once sendBuffer is empty
	closeAfterEOF      bool // CLOSE follows that EOF
	sentEOF, sentClose bool
	peerEOF, peerClose bool
	answered           bool   // the peer has answered OPEN
	finalRequest       string // name of the request that goes out before EOF; "" for none
	finalRequestData   []byte
}

// SetOwner sets who is notified of a channel that the peer has opened.
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

// Reject refuses a channel that the peer has opened, with a code of RFC 4254 and a description.
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

// drop frees the channel's number once both sides have closed it.
func (ch *Channel) drop() {
	ch.conn.cfg.Budget.promised -= int64(ch.receiveWindow)
	ch.receiveWindow = 0
	ch.conn.channels.Drop(ch.localID)
}

// lost handles the end of the whole connection; plain reports whether it ended in order.
func (ch *Channel) lost(plain bool) {
	o := ch.owner
	refused := ch.state == openSent
	ch.peerEOF, ch.peerClose = ch.peerEOF || plain, true
	ch.sendBuffer = nil
	ch.drop()
	if o == nil {
		ch.discardUnread()
		return
	}
	if refused {
		ch.owner = nil
		o.Rejected(0, nil)
		return
	}
	o.Readable()
}
