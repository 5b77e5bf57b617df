package mux

import "spurspread/internal/channel"

// Write sends the parts as far as the peer's window allows, and buffers the rest in order. The caller bounds the buffer
// by looking at Pending. On a channel that is not established, or whose sending side has ended, it does nothing.
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
	if ch.sendsAtOnce(n) {
		ch.sendData(n, parts...)
		return
	}
	for _, p := range parts {
		ch.sendBuffer = append(ch.sendBuffer, p...)
	}
	ch.ready()
}

// sendsAtOnce reports whether n bytes may go out as one packet without waiting for a turn: nothing is buffered before
// them, they fit the peer's limits, and no other channel waits for the wire.
func (ch *Channel) sendsAtOnce(n int) bool {
	return len(ch.sendBuffer) == 0 &&
		n <= int(min(ch.sendWindow, ch.maxSendPacket, turnBytes)) &&
		ch.conn.turnHead == nil &&
		ch.conn.wire.Pending() < sendHighWaterMark
}

// sendData sends one packet with the parts, without copying them. What it hands to the wire lies in the connection:
// arguments of an interface call would be allocated anew each time.
func (ch *Channel) sendData(n int, parts ...[]byte) {
	c := ch.conn
	pad := channel.PutDataHeader(&c.head, ch.peerID, n)
	ch.sendWindow -= uint32(n)
	c.parts = append(append(append(c.parts[:0], c.head[:]), parts...), pad)
	c.wire.Write(c.parts...)
	clear(c.parts)
}

// ready queues the channel for a turn if it has something to send and the peer's window is open.
func (ch *Channel) ready() {
	if len(ch.sendBuffer) > 0 && ch.sendWindow == 0 {
		return // WINDOW_ADJUST brings it back
	}
	ch.conn.queue(ch)
	ch.conn.pump()
}

// turn sends one packet, and the ends that are due once the buffer is empty.
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
	if ch.flushWanted && ch.owner != nil && !ch.sentClose {
		ch.flushWanted = false
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
	if ch.closeAfterEOF {
		ch.sendClose()
	}
}

// sendClose sends CLOSE once and drops what is buffered in both directions.
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

// Pending returns how many bytes wait for the peer's window. The owner's Flushed is called once there are none.
func (ch *Channel) Pending() int {
	if len(ch.sendBuffer) > 0 {
		ch.flushWanted = true
	}
	return len(ch.sendBuffer)
}

// CloseWrite ends the sending side once the buffer is sent.
func (ch *Channel) CloseWrite() {
	ch.eof = true
	ch.finish()
}

// End ends both sides once the buffer is sent; a request with a name, if one is given, goes out before the end. The
// owner is not notified any more.
func (ch *Channel) End(name string, data []byte) {
	ch.eof, ch.closeAfterEOF, ch.owner = true, true, nil
	ch.finalRequest, ch.finalRequestData = name, data
	ch.finish()
	if ch.peerClose && ch.conn.stage != finished && !ch.sentClose {
		ch.sendClose() // nobody is there to take what is pending
	}
}

// Close ends the channel at once, without EOF: what is buffered is lost. The owner is not notified any more.
func (ch *Channel) Close() {
	if ch == nil {
		return
	}
	ch.owner, ch.eof = nil, true
	switch ch.state {
	case openReceived:
		ch.Reject(channel.ConnectFailed, []byte("ERR"))
	case openSent:
		ch.state = abandoned // closed as soon as the peer has told its number
	case established:
		ch.sendClose()
	}
}

// Reset is Close: the peer sees CLOSE without EOF before it.
func (ch *Channel) Reset() { ch.Close() }

// Request sends a request that wants no reply. It goes out before data that is still buffered.
func (ch *Channel) Request(name string, data []byte) {
	if ch.state == established && !ch.sentClose && ch.conn.stage != finished {
		ch.conn.send(&channel.Message{Type: channel.Request, Channel: ch.peerID, Name: []byte(name), Data: data})
	}
}
