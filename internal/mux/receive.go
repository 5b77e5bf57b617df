package mux

import (
	"io"
	"math"

	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
)

// Read reads received data. It returns eventloop.ErrAgain if there is none yet, io.EOF after the peer's EOF, and
// errClosed if the peer has closed the channel without EOF.
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

// Buffered returns the number of received bytes that Read has not returned yet.
func (ch *Channel) Buffered() int { return len(ch.receiveBuffer) + len(ch.packetData) }

// grant enlarges the receive window by n bytes. The caller tells the peer.
func (ch *Channel) grant(n uint32) {
	ch.receiveWindow += n
	ch.conn.cfg.Budget.committed += int64(n)
}

// consumed returns n read bytes to the budget. If the rest of the window, unread bytes included, is at most half of its
// target, it sends the peer a grant that restores the window; at more than half, a grant is not worth a message.
func (ch *Channel) consumed(n int) {
	ch.conn.cfg.Budget.committed -= int64(n)
	if ch.state != established || ch.peerEOF || ch.peerClose || ch.sentClose || ch.conn.stage == finished {
		return
	}
	target := ch.conn.cfg.Budget.target(ch.conn.cfg.Window)
	outstanding := ch.receiveWindow + uint32(ch.Buffered())
	if outstanding > target/2 {
		return
	}
	ch.grant(target - outstanding)
	ch.conn.send(&channel.Message{Type: channel.WindowAdjust, Channel: ch.peerID, Window: target - outstanding})
}

// discardUnread discards received data that will not be read, and returns its bytes to the budget. This includes the
// bytes of packetData, which the caller clears if the channel may still be read.
func (ch *Channel) discardUnread() {
	ch.conn.cfg.Budget.committed -= int64(ch.Buffered())
	ch.conn.cfg.Budget.discarded += int64(ch.Buffered())
	ch.receiveBuffer = nil
}

// handleMessage handles a message for this channel.
func (ch *Channel) handleMessage(m *channel.Message) error {
	switch m.Type {
	case channel.OpenConfirm, channel.OpenFailure:
		return ch.handleOpenReply(m)
	}
	if ch.state != established {
		return newProtocolError("message %d for channel %d, which is not open", m.Type, m.Channel)
	}
	if ch.peerClose {
		return newProtocolError("message %d after CLOSE", m.Type)
	}
	switch m.Type {
	case channel.WindowAdjust:
		return ch.handleWindowAdjust(m)
	case channel.Data, channel.ExtendedData:
		return ch.handleData(m)
	case channel.EOF:
		if ch.peerEOF {
			return newProtocolError("EOF twice on channel %d", m.Channel)
		}
		ch.peerEOF = true
		ch.notifyReadable()
	case channel.Close:
		ch.handleClose()
	case channel.Request:
		ch.handleRequest(m)
	}
	return nil
}

// handleWindowAdjust handles a WINDOW_ADJUST of the peer.
func (ch *Channel) handleWindowAdjust(m *channel.Message) error {
	if uint64(ch.sendWindow)+uint64(m.Window) > math.MaxUint32 {
		return newProtocolError("window of channel %d overflows", m.Channel)
	}
	ch.sendWindow += m.Window
	if len(ch.sendBuffer) > 0 && ch.sendWindow > 0 {
		ch.schedule()
	}
	return nil
}

// handleRequest passes a request of the peer to the owner, and replies if the peer wants a reply.
func (ch *Channel) handleRequest(m *channel.Message) {
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

// handleOpenReply handles the peer's answer to a channel that was opened here.
func (ch *Channel) handleOpenReply(m *channel.Message) error {
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
	closedHere := ch.state == abandoned
	ch.state, ch.peerID, ch.sendWindow, ch.maxSendPacket = established, m.Sender, m.Window, m.MaxPacket
	if m.MaxPacket < minPeerPacket {
		return newProtocolError("channel %d takes no message", m.Channel)
	}
	if closedHere {
		ch.sendClose()
	} else if ch.owner != nil {
		ch.owner.Confirmed(m.Data)
	}
	return nil
}

// handleData handles received data. Extended data, and data that arrives after CLOSE was sent, is discarded and counts
// as consumed at once.
func (ch *Channel) handleData(m *channel.Message) error {
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
		ch.consumed(int(n)) // discarded
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

// handleClose handles the peer's CLOSE. It is answered at once, unless the owner still has data to read.
func (ch *Channel) handleClose() {
	ch.peerClose = true
	if ch.sentClose {
		ch.drop()
		return
	}
	ch.notifyReadable()
	if len(ch.receiveBuffer) > 0 {
		return // the owner closes the channel when it has read all data
	}
	ch.sendClose()
}

// notifyReadable notifies the owner, if there is one, that data or the end of the channel can be read.
func (ch *Channel) notifyReadable() {
	if ch.owner != nil {
		ch.owner.Readable()
	}
}
