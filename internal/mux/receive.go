package mux

import (
	"io"
	"math"

	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
)

// Read reads what was received. It returns eventloop.ErrAgain where there is nothing yet, io.EOF at the peer's end, and
// errClosed where the peer has closed without one.
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

// grant widens the window of the peer by n bytes.
func (ch *Channel) grant(n uint32) {
	ch.receiveWindow += n
	ch.conn.cfg.Budget.promised += int64(n)
}

// consumed returns n read bytes to the budget, and grants the peer as much again once the grant is worth a message:
// when at most half of the window is left.
func (ch *Channel) consumed(n int) {
	ch.conn.cfg.Budget.promised -= int64(n)
	if ch.state != established || ch.peerEOF || ch.peerClose || ch.sentClose || ch.conn.stage == finished {
		return
	}
	target := ch.conn.cfg.Budget.target(ch.conn.cfg.Window)
	outstanding := ch.receiveWindow + uint32(len(ch.receiveBuffer)+len(ch.packetData))
	if outstanding > target/2 {
		return
	}
	ch.grant(target - outstanding)
	ch.conn.send(&channel.Message{Type: channel.WindowAdjust, Channel: ch.peerID, Window: target - outstanding})
}

// discardUnread drops what was received and will not be read, and returns its bytes to the budget.
func (ch *Channel) discardUnread() {
	ch.conn.cfg.Budget.promised -= int64(len(ch.receiveBuffer) + len(ch.packetData))
	ch.receiveBuffer = nil
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
		return ch.adjustWindow(m)
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
		ch.request(m)
	}
	return nil
}

// adjustWindow handles a grant of the peer's.
func (ch *Channel) adjustWindow(m *channel.Message) error {
	if uint64(ch.sendWindow)+uint64(m.Window) > math.MaxUint32 {
		return newProtocolError("window of channel %d overflows", m.Channel)
	}
	ch.sendWindow += m.Window
	if len(ch.sendBuffer) > 0 && ch.sendWindow > 0 {
		ch.ready()
	}
	return nil
}

// request hands a request of the peer's to the owner, and replies where the peer wants it.
func (ch *Channel) request(m *channel.Message) {
	known := ch.owner != nil && !ch.sentClose && ch.owner.Requested(m.Name, m.Data)
	if !m.WantReply || ch.sentClose {
		return
	}
	reply := channel.Failure
	if known {
		reply = channel.Success
	}
	ch.conn.send(&channel.Message{Type: reply, Channel: ch.peerID})
}

// answer handles the peer's answer to a channel that was opened here.
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

// data handles received bytes; those that nobody reads are granted again at once.
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

// closed handles the peer's CLOSE. It is answered at once, unless the owner still has bytes to read.
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

// notifyReadable tells the owner, if there is one, that bytes or an end can be read.
func (ch *Channel) notifyReadable() {
	if ch.owner != nil {
		ch.owner.Readable()
	}
}
