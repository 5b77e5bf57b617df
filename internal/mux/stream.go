package mux

import (
	"io"
	"math"
	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
)

type state uint8

const (
	asked  state = iota // the peer has asked for it; not answered
	asking              // asked for here; not answered
	opened
	dropped // given up before the peer has answered
)

// Channel is one channel. Its calls mean what those of loop.Conn of the same names do, so that whoever has the one can
// have the other.
type Channel struct {
	c     *Conn
	owner ChannelOwner
	num   eventloop.Ref // our number for it
	peer  uint32        // the peer's
	state state
	next  *Channel // in the queue for a turn

	room uint32 // that the peer still takes
	most uint32 // in one message
	out  []byte // not sent yet

	window uint32 // that was granted to the peer, and not used
	in     []byte // kept, for its owner did not read it
	now    []byte // of the packet under way

	queued             bool
	ending             bool // CLOSE follows EOF
	eof                bool // EOF is due once out is empty
	sentEOF, sentClose bool
	peerEOF, peerClose bool
	waiting            bool // the owner has seen Pending above 0, and hears Flushed
	answered           bool
	word               string // the request that goes out before the end, if any
	said               []byte // its data
}

// Own says who hears of a channel that the peer has opened.
func (ch *Channel) Own(o ChannelOwner) { ch.owner = o }

// Confirm accepts a channel that the peer has opened.
func (ch *Channel) Confirm(data []byte) {
	if ch.state != asked || ch.c.stage == finished {
		return
	}
	ch.state = opened
	ch.grant(ch.c.cfg.Budget.target(ch.c.cfg.Window))
	ch.c.send(&channel.Message{
		Type: channel.OpenConfirm, Channel: ch.peer, Sender: uint32(ch.num), Window: ch.window,
		MaxPacket: channel.MaxData, Data: data,
	})
}

// Refuse turns it away.
func (ch *Channel) Refuse(code uint32, description []byte) {
	if ch.state != asked {
		return
	}
	ch.state, ch.owner = dropped, nil
	if ch.c.stage != finished {
		ch.c.send(&channel.Message{Type: channel.OpenFailure, Channel: ch.peer, Code: code, Data: description})
	}
	ch.c.chans.Drop(ch.num)
}

// Request sends a request that wants no reply. It goes out before data that is still kept back.
func (ch *Channel) Request(name string, data []byte) {
	if ch.state == opened && !ch.sentClose && ch.c.stage != finished {
		ch.c.send(&channel.Message{Type: channel.Request, Channel: ch.peer, Name: []byte(name), Data: data})
	}
}

// Write sends the parts, as far as the peer has room, and keeps the rest, in order.
func (ch *Channel) Write(parts ...[]byte) {
	if ch.state != opened || ch.eof || ch.sentClose || ch.c.stage == finished {
		return
	}
	n := 0
	for _, p := range parts {
		n += len(p)
	}
	if n == 0 {
		return
	}
	if len(ch.out) == 0 && n <= int(min(ch.room, ch.most, turn)) && ch.c.first == nil &&
		ch.c.wire.Pending() < highWater {
		ch.sendData(n, parts...)
		return
	}
	for _, p := range parts {
		ch.out = append(ch.out, p...)
	}
	ch.ready()
}

// sendData sends one packet round the parts, without copying them. What it hands to the wire lies in the connection,
// for what is handed to an interface would be allocated anew each time.
func (ch *Channel) sendData(n int, parts ...[]byte) {
	c := ch.c
	pad := channel.DataHead(&c.head, ch.peer, n)
	ch.room -= uint32(n)
	c.parts = append(append(append(c.parts[:0], c.head[:]), parts...), pad)
	c.wire.Write(c.parts...)
	clear(c.parts)
}

// ready queues a channel that has something to send, and can.
func (ch *Channel) ready() {
	if len(ch.out) > 0 && ch.room == 0 {
		return // WINDOW_ADJUST brings it back
	}
	ch.c.queue(ch)
	ch.c.pump()
}

// turn sends one packet.
func (ch *Channel) turn() {
	if ch.sentClose || ch.state != opened {
		return
	}
	if n := min(len(ch.out), int(ch.room), int(ch.most), turn); n > 0 {
		ch.sendData(n, ch.out[:n])
		ch.out = ch.out[n:]
	}
	if len(ch.out) > 0 {
		if ch.room > 0 {
			ch.c.queue(ch)
		}
		return
	}
	ch.out = nil // an idle channel holds no buffer
	ch.finish()
	if ch.waiting && ch.owner != nil && !ch.sentClose {
		ch.waiting = false
		ch.owner.Flushed()
	}
}

// finish sends the ends that are due.
func (ch *Channel) finish() {
	if !ch.eof || len(ch.out) > 0 || ch.state != opened || ch.sentClose {
		return
	}
	if !ch.sentEOF {
		ch.sentEOF = true
		if ch.word != "" {
			ch.Request(ch.word, ch.said)
		}
		ch.c.send(&channel.Message{Type: channel.EOF, Channel: ch.peer})
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
	ch.out, ch.in, ch.now = nil, ch.forgetIn(), nil
	if ch.c.stage == finished {
		return
	}
	ch.c.send(&channel.Message{Type: channel.Close, Channel: ch.peer})
	if ch.peerClose {
		ch.drop()
	}
}

// forgetIn gives back the promise of what is kept and will not be read.
func (ch *Channel) forgetIn() []byte {
	ch.c.cfg.Budget.promised -= int64(len(ch.in) + len(ch.now))
	return nil
}

// Pending tells how many bytes wait for the peer to take them. Flushed comes once there are none.
func (ch *Channel) Pending() int {
	if len(ch.out) > 0 {
		ch.waiting = true
	}
	return len(ch.out)
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
	ch.word, ch.said = name, data
	ch.finish()
	if ch.peerClose && ch.c.stage != finished && !ch.sentClose {
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
	case asked:
		ch.Refuse(channel.ConnectError, []byte("ERR"))
	case asking:
		ch.state = dropped // closed as soon as the peer has told its number
	case opened:
		ch.sendClose()
	}
}

// Reset does the same: the peer sees no end before CLOSE.
func (ch *Channel) Reset() { ch.Close() }

// Read reads what has come: loop.ErrAgain where there is nothing yet, io.EOF at the peer's end, and an error where it
// has closed without one.
func (ch *Channel) Read(b []byte) (int, error) {
	n := copy(b, ch.in)
	if ch.in = ch.in[n:]; len(ch.in) == 0 {
		ch.in = nil
		m := copy(b[n:], ch.now)
		ch.now = ch.now[m:]
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
	ch.window += n
	ch.c.cfg.Budget.promised += int64(n)
}

// consumed gives the peer back what was read, once it is worth a message.
func (ch *Channel) consumed(n int) {
	ch.c.cfg.Budget.promised -= int64(n)
	if ch.state != opened || ch.peerEOF || ch.peerClose || ch.sentClose || ch.c.stage == finished {
		return
	}
	target, held := ch.c.cfg.Budget.target(ch.c.cfg.Window), ch.window+uint32(len(ch.in)+len(ch.now))
	if held > target/2 {
		return
	}
	ch.grant(target - held)
	ch.c.send(&channel.Message{Type: channel.WindowAdjust, Channel: ch.peer, Window: target - held})
}

// take handles a message for this channel.
func (ch *Channel) take(m *channel.Message) error {
	switch m.Type {
	case channel.OpenConfirm, channel.OpenFailure:
		return ch.answer(m)
	}
	if ch.state != opened {
		return wrong("message %d for channel %d, which is not open", m.Type, m.Channel)
	}
	if ch.peerClose {
		return wrong("message %d after CLOSE", m.Type)
	}
	switch m.Type {
	case channel.WindowAdjust:
		if uint64(ch.room)+uint64(m.Window) > math.MaxUint32 {
			return wrong("window of channel %d overflows", m.Channel)
		}
		if ch.room += m.Window; len(ch.out) > 0 && ch.room > 0 {
			ch.ready()
		}
	case channel.Data, channel.ExtendedData:
		return ch.data(m)
	case channel.EOF:
		if ch.peerEOF {
			return wrong("EOF twice on channel %d", m.Channel)
		}
		ch.peerEOF = true
		ch.tell()
	case channel.Close:
		ch.closed()
	case channel.Request:
		known := ch.owner != nil && !ch.sentClose && ch.owner.Requested(m.Name, m.Data)
		if m.WantReply && !ch.sentClose {
			reply := channel.Failure
			if known {
				reply = channel.Success
			}
			ch.c.send(&channel.Message{Type: reply, Channel: ch.peer})
		}
	}
	return nil
}

// answer takes the peer's word on a channel that was asked for here.
func (ch *Channel) answer(m *channel.Message) error {
	if ch.state != asking && ch.state != dropped || ch.answered {
		return wrong("an answer to channel %d, which was not asked for", m.Channel)
	}
	ch.answered = true
	if m.Type == channel.OpenFailure {
		o := ch.owner
		ch.state, ch.owner = dropped, nil
		ch.drop()
		if o != nil {
			o.Refused(m.Code, m.Data)
		}
		return nil
	}
	gone := ch.state == dropped
	ch.state, ch.peer, ch.room, ch.most = opened, m.Sender, m.Window, m.MaxPacket
	if m.MaxPacket < leastPacket {
		return wrong("channel %d takes no message", m.Channel)
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
		return wrong("data after EOF on channel %d", m.Channel)
	case n > ch.window:
		return wrong("channel %d sends %d bytes with a window of %d", m.Channel, n, ch.window)
	case n > channel.MaxData:
		return wrong("channel %d sends %d bytes at once", m.Channel, n)
	}
	ch.window -= n
	if ch.sentClose || m.Type == channel.ExtendedData {
		ch.consumed(int(n)) // for nobody
		return nil
	}
	ch.now = m.Data
	ch.tell()
	if len(ch.now) > 0 {
		ch.in = append(ch.in, ch.now...)
	}
	ch.now = nil
	return nil
}

// closed takes the peer's CLOSE, which is answered at once if it was not before.
func (ch *Channel) closed() {
	ch.peerClose = true
	if ch.sentClose {
		ch.drop()
		return
	}
	ch.tell()
	if len(ch.in) > 0 {
		return // its owner has not read all yet; it will close the channel
	}
	ch.sendClose()
}

func (ch *Channel) tell() {
	if ch.owner != nil {
		ch.owner.Readable()
	}
}

// drop frees the channel's number: both sides have closed it.
func (ch *Channel) drop() {
	ch.c.cfg.Budget.promised -= int64(ch.window)
	ch.window = 0
	ch.c.chans.Drop(ch.num)
}

// lost takes the end of the whole connection.
func (ch *Channel) lost(plain bool) {
	o := ch.owner
	refused := ch.state == asking
	ch.peerEOF, ch.peerClose = ch.peerEOF || plain, true
	ch.out = nil
	ch.drop()
	if o == nil {
		ch.in = ch.forgetIn()
		return
	}
	if refused {
		ch.owner = nil
		o.Refused(0, nil)
		return
	}
	o.Readable()
}
