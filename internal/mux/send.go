package mux

import "spurspread/internal/channel"

// Write sends the parts as far as the peer's window allows, and buffers the rest. The caller has to limit the buffer,
// by checking Pending. On a channel that is not established, or whose sending side has ended, Write does nothing.
func (ch *Channel) Write(parts ...[]byte) {
	if ch.state != established || ch.eofRequested || ch.sentClose || ch.conn.stage == finished {
		return
	}
	n := 0
	for _, p := range parts {
		n += len(p)
	}
	if n == 0 {
		return
	}
	if ch.canSendNow(n) {
		ch.sendData(n, parts...)
		return
	}
	for _, p := range parts {
		ch.sendBuffer = append(ch.sendBuffer, p...)
	}
	ch.schedule()
}

// canSendNow reports whether n bytes can be sent as one packet without waiting for a turn: nothing is buffered, they
// are within the peer's limits and turnBytes, no other channel waits for a turn, and the wire is below its high-water
// mark.
func (ch *Channel) canSendNow(n int) bool {
	return len(ch.sendBuffer) == 0 &&
		n <= int(min(ch.sendWindow, ch.maxSendPacket, turnBytes)) &&
		ch.conn.turnHead == nil &&
		ch.conn.wire.Pending() < sendHighWaterMark
}

// sendData sends the parts, n bytes in all, in one packet and without copying them. The slice and the header passed to
// the wire are fields of the connection, since the arguments of an interface call would be allocated at each call.
func (ch *Channel) sendData(n int, parts ...[]byte) {
	c := ch.conn
	pad := channel.PutDataHeader(&c.head, ch.peerID, n)
	ch.sendWindow -= uint32(n)
	c.parts = append(append(append(c.parts[:0], c.head[:]), parts...), pad)
	c.write(c.parts...)
	clear(c.parts)
}

// schedule queues the channel for a turn, unless it has to wait for the peer's window.
func (ch *Channel) schedule() {
	if len(ch.sendBuffer) > 0 && ch.sendWindow == 0 {
		return // the peer's WINDOW_ADJUST schedules it again
	}
	ch.conn.queue(ch)
	ch.conn.pump()
}

// sendTurn sends one packet, and if the buffer is empty then, EOF and CLOSE as far as they are due.
func (ch *Channel) sendTurn() {
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
	ch.sendBuffer = nil // so that an idle channel holds no buffer
	ch.sendDueEnds()
	if ch.flushWanted && ch.owner != nil && !ch.sentClose {
		ch.flushWanted = false
		ch.owner.Flushed()
	}
}

// sendDueEnds sends the final request, EOF and CLOSE as far as they are due. It does nothing before the buffer is
// empty.
func (ch *Channel) sendDueEnds() {
	if !ch.eofRequested || len(ch.sendBuffer) > 0 || ch.state != established || ch.sentClose {
		return
	}
	if !ch.sentEOF {
		ch.sentEOF = true
		if ch.finalRequest != "" {
			ch.Request(ch.finalRequest, ch.finalRequestData)
		}
		ch.conn.send(&channel.Message{Type: channel.EOF, Channel: ch.peerID})
	}
	if ch.closeAfterEOF {
		ch.sendClose()
	}
}

// sendClose sends CLOSE, unless it was sent, and discards the buffers of both directions.
func (ch *Channel) sendClose() {
	if ch.sentClose {
		return
	}
	ch.sentClose = true
	ch.discardUnread()
	ch.packetData = nil
	ch.discardUnsent()
	if ch.conn.stage != finished {
		ch.conn.send(&channel.Message{Type: channel.Close, Channel: ch.peerID})
		if ch.peerClose {
			ch.drop()
		}
	}
	ch.notifyClosed()
}

// discardUnsent discards data that will not be sent.
func (ch *Channel) discardUnsent() {
	ch.conn.cfg.Budget.discarded += int64(len(ch.sendBuffer))
	ch.sendBuffer = nil
}

// Pending returns the number of buffered bytes that are not sent yet. If it is above 0, the owner's Flushed is called
// once they are sent.
func (ch *Channel) Pending() int {
	if len(ch.sendBuffer) > 0 {
		ch.flushWanted = true
	}
	return len(ch.sendBuffer)
}

// CloseWrite ends the sending side with EOF once the buffer is sent.
func (ch *Channel) CloseWrite() {
	ch.eofRequested = true
	ch.sendDueEnds()
}

// CloseAfterFlush closes an established channel in order, with EOF and CLOSE, once the buffer is sent. If name is not
// empty, a request with this name and data is sent before EOF. The owner is not notified any more. onClosed is called,
// once, as soon as CLOSE is sent, or by CloseAfterFlush itself if it was sent already, or when the connection is lost;
// until then something that the peer has to receive may still wait for its window.
func (ch *Channel) CloseAfterFlush(name string, data []byte, onClosed func()) {
	ch.onClosed = onClosed
	ch.eofRequested, ch.closeAfterEOF, ch.owner = true, true, nil
	ch.finalRequest, ch.finalRequestData = name, data
	ch.sendDueEnds()
	if ch.peerClose && ch.conn.stage != finished && !ch.sentClose {
		ch.sendClose() // the peer has closed the channel and does not read pending data
	}
	if ch.sentClose {
		ch.notifyClosed()
	}
}

// Close closes the channel at once, without EOF, and discards buffered data; a channel of the peer that is not
// confirmed yet is rejected. The owner is not notified any more. Close does nothing if ch is nil.
func (ch *Channel) Close() {
	if ch == nil {
		return
	}
	ch.owner, ch.eofRequested = nil, true
	switch ch.state {
	case openReceived:
		ch.Reject(channel.ConnectFailed, []byte("ERR"))
	case openSent:
		ch.state = abandoned // CLOSE is sent when the peer's confirmation has told its channel number
	case established:
		ch.sendClose()
	}
}

// Reset is the same as Close: the peer receives CLOSE without EOF.
func (ch *Channel) Reset() { ch.Close() }

// Request sends a request that wants no reply. It is sent before data that is still buffered.
func (ch *Channel) Request(name string, data []byte) {
	if ch.state == established && !ch.sentClose && ch.conn.stage != finished {
		ch.conn.send(&channel.Message{Type: channel.Request, Channel: ch.peerID, Name: []byte(name), Data: data})
	}
}
