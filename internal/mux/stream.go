package mux

import (
	"io"
	"math"
	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
)

type channelState uint8

const (
	openReceived channelState = iota // the peer has asked for it; not answered
	openSent                         // asked for here; not answered
	established
	abandoned // given up before the peer has answered
)

// Channel is one channel. Its calls mean what those of loop.Conn of the same names do, so that whoever has the one can
// have the other.
type Channel struct {
	conn    *Conn
	owner   ChannelOwner
	localID eventloop.Ref // our number for it
	peerID  uint32        // the peer's
	state   channelState
	next    *Channel // in the queue for a turn

	sendWindow    uint32 // that the peer still takes
	maxSendPacket uint32 // in one message
	sendBuffer    []byte // not sent yet

	receiveWindow uint32 // that was granted to the peer, and not used
	receiveBuffer []byte // kept, for its owner did not read it
	packetData    []byte // of the packet under way

	queued             bool
	ending             bool // CLOSE follows EOF
	eof                bool // EOF is due once out is empty
	sentEOF, sentClose bool
	peerEOF, peerClose bool
	waiting            bool // the owner has seen Pending above 0, and hears Flushed
	answered           bool
	finalRequest       string // the request that goes out before the end, if any
	finalRequestData   []byte // its data
}

// Own says who hears of a channel that the peer has opened.
func (ch *Channel) Own(o ChannelOwner) { ch.owner = o }

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

// Reject turns it away.
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

// Request sends a request that wants no reply. It goes out before data that is still kept back.
func (ch *Channel) Request(name string, data []byte) {
	if ch.state == established && !ch.sentClose && ch.conn.stage != finished {
		ch.conn.send(&channel.Message{Type: channel.Request, Channel: ch.peerID, Name: []byte(name), Data: data})
	}
}

// Write sends the parts, as far as the peer has room, and keeps the rest, in order.
func (ch *Channel) Write(parts ...[]byte) {
	if ch.state != established || ch.eof || ch.sentClose || ch.conn.stage == finished {
		return
	}
	n := 0
	for _, p := range parts {
		n += len(p)
	}
	if n == 0 {
		return
	}
	if len(ch.sendBuffer) == 0 && n <= int(min(ch.sendWindow, ch.maxSendPacket, turnBytes)) &&
		ch.conn.turnHead == nil &&
		ch.conn.wire.Pending() < sendHighWaterMark {
		ch.sendData(n, parts...)
		return
	}
	for _, p := range parts {
		ch.sendBuffer = append(ch.sendBuffer, p...)
	}
	ch.ready()
}

// sendData sends one packet round the parts, without copying them. What it hands to the wire lies in the connection,
// for what is handed to an interface would be allocated anew each time.
func (ch *Channel) sendData(n int, parts ...[]byte) {
	c := ch.conn
	pad := channel.DataHead(&c.head, ch.peerID, n)
	ch.sendWindow -= uint32(n)
	c.parts = append(append(append(c.parts[:0], c.head[:]), parts...), pad)
	c.wire.Write(c.parts...)
	clear(c.parts)
}

// ready queues a channel that has something to send, and can.
func (ch *Channel) ready() {
	if len(ch.sendBuffer) > 0 && ch.sendWindow == 0 {
		return // WINDOW_ADJUST brings it back
	}
	ch.conn.queue(ch)
	ch.conn.pump()
}

// turn sends one packet.
func (ch *Channel) turn() {
	if ch.sentClose || ch.state != established {
		return
	}
	if n := min(len(ch.sendBuffer), int(ch.sendWindow), int(ch.maxSendPacket), turnBytes); n > 0 {
		ch.sendData(n, ch.sendBuffer[:n])
		ch.sendBuffer = ch.sendBuffer[n:]
	}
	if len(ch.sendBuffer) > 0 {
		if ch.sendWindow > 0 {
			ch.conn.queue(ch)
		}
		return
	}
	ch.sendBuffer = nil // an idle channel holds no buffer
	ch.finish()
	if ch.waiting && ch.owner != nil && !ch.sentClose {
		ch.waiting = false
		ch.owner.Flushed()
	}
}

// finish sends the ends that are due.
func (ch *Channel) finish() {
	if !ch.eof || len(ch.sendBuffer) > 0 || ch.state != established || ch.sentClose {
		return
	}
	if !ch.sentEOF {
		ch.sentEOF = true
		if ch.finalRequest != "" {
			ch.Request(ch.finalRequest, ch.finalRequestData)
		}
		ch.conn.send(&channel.Message{Type: channel.EOF, Channel: ch.peerID})
	}
	if ch.ending {
		ch.sendClose()
	}
}

func (ch *Channel) sendClose() {
	if ch.sentClose {
		return
	}
	ch.sentClose = true
	ch.discardUnread()
	ch.packetData = nil
	ch.sendBuffer = nil
	if ch.conn.stage == finished {
		return
	}
	ch.conn.send(&channel.Message{Type: channel.Close, Channel: ch.peerID})
	if ch.peerClose {
		ch.drop()
	}
}

// discardUnread drops what was received and will not be read, and returns its bytes to the budget.
func (ch *Channel) discardUnread() {
	ch.conn.cfg.Budget.promised -= int64(len(ch.receiveBuffer) + len(ch.packetData))
	ch.receiveBuffer = nil
}

// Pending tells how many bytes wait for the peer to take them. Flushed comes once there are none.
func (ch *Channel) Pending() int {
	if len(ch.sendBuffer) > 0 {
		ch.waiting = true
	}
	return len(ch.sendBuffer)
}

// CloseWrite ends the sending side once all that is pending is out.
func (ch *Channel) CloseWrite() {
	ch.eof = true
	ch.finish()
}

// End ends both sides once all that is pending is out; a request with a name, if there is one, goes out before the end.
// The owner hears no more.
func (ch *Channel) End(name string, data []byte) {
	ch.eof, ch.ending, ch.owner = true, true, nil
	ch.finalRequest, ch.finalRequestData = name, data
	ch.finish()
	if ch.peerClose && ch.conn.stage != finished && !ch.sentClose {
		ch.sendClose() // nobody is there to take what is pending
	}
}

// Close ends the channel at once, without its end: what is pending is lost. The owner hears no more.
func (ch *Channel) Close() {
	if ch == nil {
		return
	}
	ch.owner, ch.eof = nil, true
	switch ch.state {
	case openReceived:
		ch.Reject(channel.ConnectError, []byte("ERR"))
	case openSent:
		ch.state = abandoned // closed as soon as the peer has told its number
	case established:
		ch.sendClose()
	}
}

// Reset does the same: the peer sees no end before CLOSE.
func (ch *Channel) Reset() { ch.Close() }

// Read reads what has come: loop.ErrAgain where there is nothing yet, io.EOF at the peer's end, and an error where it
// has closed without one.
func (ch *Channel) Read(b []byte) (int, error) {
	n := copy(b, ch.receiveBuffer)
	if ch.receiveBuffer = ch.receiveBuffer[n:]; len(ch.receiveBuffer) == 0 {
		ch.receiveBuffer = nil
		m := copy(b[n:], ch.packetData)
		ch.packetData = ch.packetData[m:]
		n += m
	}
	if n > 0 {
		ch.consumed(n)
		return n, nil
	}
	switch {
	case ch.peerEOF:
		return 0, io.EOF
	case ch.peerClose:
		return 0, errClosed
	}
	return 0, eventloop.ErrAgain
}

// grant adds to what the peer may send.
func (ch *Channel) grant(n uint32) {
	ch.receiveWindow += n
	ch.conn.cfg.Budget.promised += int64(n)
}

// consumed gives the peer back what was read, once it is worth a message.
func (ch *Channel) consumed(n int) {
	ch.conn.cfg.Budget.promised -= int64(n)
	if ch.state != established || ch.peerEOF || ch.peerClose || ch.sentClose || ch.conn.stage == finished {
		return
	}
	target, held := ch.conn.cfg.Budget.target(
		ch.conn.cfg.Window,
	), ch.receiveWindow+uint32(
		len(ch.receiveBuffer)+len(ch.packetData),
	)
	if held > target/2 {
		return
	}
	ch.grant(target - held)
	ch.conn.send(&channel.Message{Type: channel.WindowAdjust, Channel: ch.peerID, Window: target - held})
}

// take handles a message for this channel.
func (ch *Channel) take(m *channel.Message) error {
	switch m.Type {
	case channel.OpenConfirm, channel.OpenFailure:
		return ch.answer(m)
	}
	if ch.state != established {
		return newProtocolError("message %d for channel %d, which is not open", m.Type, m.Channel)
	}
	if ch.peerClose {
		return newProtocolError("message %d after CLOSE", m.Type)
	}
	switch m.Type {
	case channel.WindowAdjust:
		if uint64(ch.sendWindow)+uint64(m.Window) > math.MaxUint32 {
			return newProtocolError("window of channel %d overflows", m.Channel)
		}
		if ch.sendWindow += m.Window; len(ch.sendBuffer) > 0 && ch.sendWindow > 0 {
			ch.ready()
		}
	case channel.Data, channel.ExtendedData:
		return ch.data(m)
	case channel.EOF:
		if ch.peerEOF {
			return newProtocolError("EOF twice on channel %d", m.Channel)
		}
		ch.peerEOF = true
		ch.notifyReadable()
	case channel.Close:
		ch.closed()
	case channel.Request:
		known := ch.owner != nil && !ch.sentClose && ch.owner.Requested(m.Name, m.Data)
		if m.WantReply && !ch.sentClose {
			reply := channel.Failure
			if known {
				reply = channel.Success
			}
			ch.conn.send(&channel.Message{Type: reply, Channel: ch.peerID})
		}
	}
	return nil
}

// answer takes the peer's word on a channel that was asked for here.
func (ch *Channel) answer(m *channel.Message) error {
	if ch.state != openSent && ch.state != abandoned || ch.answered {
		return newProtocolError("an answer to channel %d, which was not asked for", m.Channel)
	}
	ch.answered = true
	if m.Type == channel.OpenFailure {
		o := ch.owner
		ch.state, ch.owner = abandoned, nil
		ch.drop()
		if o != nil {
			o.Rejected(m.Code, m.Data)
		}
		return nil
	}
	gone := ch.state == abandoned
	ch.state, ch.peerID, ch.sendWindow, ch.maxSendPacket = established, m.Sender, m.Window, m.MaxPacket
	if m.MaxPacket < minPeerPacket {
		return newProtocolError("channel %d takes no message", m.Channel)
	}
	if gone {
		ch.sendClose()
	} else if ch.owner != nil {
		ch.owner.Confirmed(m.Data)
	}
	return nil
}

func (ch *Channel) data(m *channel.Message) error {
	n := uint32(len(m.Data))
	switch {
	case ch.peerEOF:
		return newProtocolError("data after EOF on channel %d", m.Channel)
	case n > ch.receiveWindow:
		return newProtocolError("channel %d sends %d bytes with a window of %d", m.Channel, n, ch.receiveWindow)
	case n > channel.MaxData:
		return newProtocolError("channel %d sends %d bytes at once", m.Channel, n)
	}
	ch.receiveWindow -= n
	if ch.sentClose || m.Type == channel.ExtendedData {
		ch.consumed(int(n)) // for nobody
		return nil
	}
	ch.packetData = m.Data
	ch.notifyReadable()
	if len(ch.packetData) > 0 {
		ch.receiveBuffer = append(ch.receiveBuffer, ch.packetData...)
	}
	ch.packetData = nil
	return nil
}

// closed takes the peer's CLOSE, which is answered at once if it was not before.
func (ch *Channel) closed() {
	ch.peerClose = true
	if ch.sentClose {
		ch.drop()
		return
	}
	ch.notifyReadable()
	if len(ch.receiveBuffer) > 0 {
		return // its owner has not read all yet; it will close the channel
	}
	ch.sendClose()
}

func (ch *Channel) notifyReadable() {
	if ch.owner != nil {
		ch.owner.Readable()
	}
}

// drop frees the channel's number: both sides have closed it.
func (ch *Channel) drop() {
	ch.conn.cfg.Budget.promised -= int64(ch.receiveWindow)
	ch.receiveWindow = 0
	ch.conn.channels.Drop(ch.localID)
}

// lost takes the end of the whole connection.
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
