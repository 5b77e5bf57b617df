// Package sshchan speaks multiplexed channels for the laboratory's clients and nodes, from
// docs/protocol/channels.md and the RFCs alone: its messages are written and read by golang.org/x/crypto/ssh, and
// it shares no code with the balancer. It blocks, has goroutines, and is made to be simple; a peer that it talks to
// must keep the rules.
package sshchan

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"

	"golang.org/x/crypto/ssh"
)

// The messages.
type (
	disconnectMsg struct {
		Reason            uint32 `sshtype:"1"`
		Message, Language string
	}
	serviceRequestMsg struct {
		Service string `sshtype:"5"`
	}
	serviceAcceptMsg struct {
		Service string `sshtype:"6"`
	}
	globalRequestMsg struct {
		Type      string `sshtype:"80"`
		WantReply bool
		Data      []byte `ssh:"rest"`
	}
	requestSuccessMsg struct {
		Data []byte `ssh:"rest" sshtype:"81"`
	}
	openMsg struct {
		Type                  string `sshtype:"90"`
		ID, Window, MaxPacket uint32
		Line                  string
	}
	confirmMsg struct {
		ID, Sender, Window, MaxPacket uint32 `sshtype:"91"`
		Data                          []byte `ssh:"rest"`
	}
	failureMsg struct {
		ID, Reason        uint32 `sshtype:"92"`
		Message, Language string
	}
	adjustMsg struct {
		ID, Bytes uint32 `sshtype:"93"`
	}
	eofMsg struct {
		ID uint32 `sshtype:"96"`
	}
	closeMsg struct {
		ID uint32 `sshtype:"97"`
	}
	requestMsg struct {
		ID        uint32 `sshtype:"98"`
		Type      string
		WantReply bool
		Token     string
	}
)

// The messages' numbers, of the RFCs.
const (
	numDisconnect     = 1
	numIgnore         = 2
	numUnimplemented  = 3
	numDebug          = 4
	numGlobalRequest  = 80
	numRequestSuccess = 81
	numRequestFailure = 82
	numOpen           = 90
	numConfirm        = 91
	numFailure        = 92
	numAdjust         = 93
	numData           = 94
	numEOF            = 96
	numClose          = 97
	numRequest        = 98
)

// Names and codes of the page.
const (
	service   = "ssh-connection"
	kind      = "stream@spurspread"
	move      = "move@spurspread"
	keepalive = "keepalive@spurspread"

	// Shortage is the code of a refusal for now, Failed of one for good.
	Shortage uint32 = 4
	Failed   uint32 = 2

	maxPacket = 35_000
	chunk     = 16 << 10
)

// Conn is one connection with channels, of either side.
type Conn struct {
	raw    net.Conn
	rd     *bufio.Reader
	server bool
	window uint32

	mu               sync.Mutex // of all below, and of writing
	wr               sync.Cond  // a window has grown, or the connection has ended
	chans            map[uint32]*Channel
	next             uint32
	err              error
	accept           chan *Channel
	scratch          []byte // of data that is sent
	unknown          int    // messages that were answered by UNIMPLEMENTED
	DisconnectReason string // what DISCONNECT said; to be read once the connection has ended
}

// Client begins to speak on a connection that was dialled. window is what it grants on each channel.
func Client(raw net.Conn, window uint32) (*Conn, error) {
	c := newConn(raw, bufio.NewReaderSize(raw, maxPacket+10), false, window)
	if _, err := fmt.Fprint(raw, "SSH-2.0-spurlab\r\n"); err != nil {
		return nil, err
	}
	if err := c.write(ssh.Marshal(serviceRequestMsg{service})); err != nil {
		return nil, err
	}
	ident, err := c.rd.ReadString('\n')
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(ident, "SSH-2.0-") {
		return nil, fmt.Errorf("identified as %q", ident)
	}
	payload, err := c.packet()
	if err != nil {
		return nil, err
	}
	var ok serviceAcceptMsg
	if err := ssh.Unmarshal(payload, &ok); err != nil || ok.Service != service {
		return nil, fmt.Errorf("service: %w", err)
	}
	go c.run()
	return c, nil
}

// Server goes on with a connection whose identification has been read, up to its end, with rd.
func Server(raw net.Conn, rd *bufio.Reader, window uint32) (*Conn, error) {
	c := newConn(raw, rd, true, window)
	if _, err := fmt.Fprint(raw, "SSH-2.0-spurlab\r\n"); err != nil {
		return nil, err
	}
	payload, err := c.packet()
	if err != nil {
		return nil, err
	}
	var ask serviceRequestMsg
	if err := ssh.Unmarshal(payload, &ask); err != nil || ask.Service != service {
		return nil, fmt.Errorf("service: %w", err)
	}
	if err := c.write(ssh.Marshal(serviceAcceptMsg{service})); err != nil {
		return nil, err
	}
	go c.run()
	return c, nil
}

func newConn(raw net.Conn, rd *bufio.Reader, server bool, window uint32) *Conn {
	c := &Conn{
		raw:    raw,
		rd:     rd,
		server: server,
		window: window,
		chans:  map[uint32]*Channel{},
		accept: make(chan *Channel, 4096),
	}
	c.wr.L = &c.mu
	return c
}

// write sends a payload as a packet.
func (c *Conn) write(payload []byte) error {
	pad := 8 - (5+len(payload))%8
	if pad < 4 {
		pad += 8
	}
	if len(payload)+pad < 11 {
		pad += 8
	}
	b := make([]byte, 5, 5+len(payload)+pad)
	binary.BigEndian.PutUint32(b, uint32(1+len(payload)+pad))
	b[4] = byte(pad)
	_, err := c.raw.Write(append(append(b, payload...), make([]byte, pad)...))
	return err
}

// Raw sends bytes as they are, for peers that break the rules.
func (c *Conn) Raw(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.raw.Write(b)
	return err
}

// Payload sends a message of any kind.
func (c *Conn) Payload(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write(b)
}

func (c *Conn) packet() ([]byte, error) {
	var head [5]byte
	if _, err := io.ReadFull(c.rd, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 12 || n > maxPacket-4 || (n+4)%8 != 0 || head[4] < 4 || uint32(head[4])+1 >= n {
		return nil, fmt.Errorf("a packet of %d bytes, padding %d", n, head[4])
	}
	b := make([]byte, n-1)
	if _, err := io.ReadFull(c.rd, b); err != nil {
		return nil, err
	}
	return b[:len(b)-int(head[4])], nil
}

// run takes packets until the connection ends.
func (c *Conn) run() {
	var err error
	for err == nil {
		var payload []byte
		if payload, err = c.packet(); err == nil {
			err = c.take(payload)
		}
	}
	c.mu.Lock()
	c.err = err
	for _, ch := range c.chans {
		ch.finish(err)
	}
	c.wr.Broadcast()
	c.mu.Unlock()
	close(c.accept)
	_ = c.raw.Close()
}

var errUnknown = errors.New("a message for a channel that there is not")

// take handles one message.
func (c *Conn) take(payload []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch payload[0] {
	case numDisconnect:
		var m disconnectMsg
		_ = ssh.Unmarshal(payload, &m) // it ends in any case
		c.DisconnectReason = fmt.Sprintf("%d %s", m.Reason, m.Message)
		return io.EOF
	case numIgnore, numDebug:
		return nil
	case numUnimplemented:
		c.unknown++
		return nil
	case numGlobalRequest:
		var m globalRequestMsg
		if err := ssh.Unmarshal(payload, &m); err != nil || !m.WantReply {
			return err
		}
		if m.Type == keepalive {
			return c.write(ssh.Marshal(requestSuccessMsg{}))
		}
		return c.write([]byte{numRequestFailure})
	case numRequestSuccess, numRequestFailure:
		return nil
	case numOpen:
		return c.opened(payload)
	}
	if len(payload) < 5 {
		return errUnknown
	}
	ch := c.chans[binary.BigEndian.Uint32(payload[1:])]
	if ch == nil {
		return errUnknown
	}
	return ch.take(payload)
}

func (c *Conn) opened(payload []byte) error {
	var m openMsg
	if err := ssh.Unmarshal(payload, &m); err != nil || !c.server || m.Type != kind {
		return fmt.Errorf("an open that may not be: %w", err)
	}
	ch := c.channel(m.Line)
	ch.peer, ch.sendWindow, ch.maxPacket = m.ID, m.Window, m.MaxPacket
	select {
	case c.accept <- ch:
		return nil
	default:
		return errors.New("too many opens wait")
	}
}

// channel makes a channel with a number of ours; under the mutex.
func (c *Conn) channel(text string) *Channel {
	c.next++
	ch := &Channel{c: c, num: c.next, Line: text, window: c.window, answer: make(chan Answer, 1)}
	ch.more.L = &c.mu
	c.chans[ch.num] = ch
	return ch
}

// Accept waits for a channel that the peer opens; nil once the connection has ended.
func (c *Conn) Accept() *Channel { return <-c.accept }

// Len is how many channels there are.
func (c *Conn) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.chans)
}

// Close ends the connection.
func (c *Conn) Close() error { return c.raw.Close() }

// Unknown is how many messages the peer did not know.
func (c *Conn) Unknown() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unknown
}

// Abort ends the connection so that the peer sees a reset.
func (c *Conn) Abort() error {
	if t, ok := c.raw.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
	return c.raw.Close()
}

// Err is why the connection has ended, nil while it stands.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Channel is one channel. It is a stream of bytes, with deadlines of nobody.
type Channel struct {
	c    *Conn
	num  uint32
	Line string // its first line

	answer     chan Answer
	peer       uint32
	sendWindow uint32 // that the peer takes
	maxPacket  uint32
	window     uint32 // that the peer was granted and has not used
	in         []byte
	more       sync.Cond
	err        error // after what is in
	moved      *string
	up         bool // confirmed, by either side
	answered   bool // answer is closed
	sent       bool // CLOSE
	sentE      bool // EOF
	hold       bool // nothing is given back: the peer stalls once its window is used
}

// Answer is what an open was answered.
type Answer struct {
	Up   bool
	Code uint32
	Line string // UP's, or the refusal's
}

// Open asks for a channel; Answer tells what came of it.
func (c *Conn) Open(text string) (*Channel, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, c.err
	}
	ch := c.channel(text)
	return ch, c.write(ssh.Marshal(openMsg{kind, ch.num, ch.window, 32 << 10, text}))
}

// Answered is where the answer comes; it is closed where none will.
func (ch *Channel) Answered() <-chan Answer { return ch.answer }

// Confirm accepts a channel that the peer has opened.
func (ch *Channel) Confirm(up string) error {
	ch.c.mu.Lock()
	defer ch.c.mu.Unlock()
	ch.up = true
	return ch.c.write(ssh.Marshal(confirmMsg{ch.peer, ch.num, ch.window, 32 << 10, []byte(up)}))
}

// Refuse turns it away.
func (ch *Channel) Refuse(code uint32, text string) error {
	ch.c.mu.Lock()
	defer ch.c.mu.Unlock()
	delete(ch.c.chans, ch.num)
	ch.sent = true // nothing more is to be said on it
	return ch.c.write(ssh.Marshal(failureMsg{ch.peer, code, text, ""}))
}

// errReset is a CLOSE without EOF.
var errReset = errors.New("channel closed without its end")

// take handles a message for this channel; under the mutex.
func (ch *Channel) take(payload []byte) error {
	switch payload[0] {
	case numConfirm:
		var m confirmMsg
		if err := ssh.Unmarshal(payload, &m); err != nil {
			return err
		}
		ch.peer, ch.sendWindow, ch.maxPacket, ch.up = m.Sender, m.Window, m.MaxPacket, true
		ch.sendAnswer(Answer{true, 0, string(m.Data)})
	case numFailure:
		var m failureMsg
		if err := ssh.Unmarshal(payload, &m); err != nil {
			return err
		}
		delete(ch.c.chans, ch.num)
		ch.sendAnswer(Answer{false, m.Reason, m.Message})
		ch.err = errReset
	case numAdjust:
		var m adjustMsg
		if err := ssh.Unmarshal(payload, &m); err != nil {
			return err
		}
		ch.sendWindow += m.Bytes
		ch.c.wr.Broadcast()
	case numData:
		return ch.data(payload)
	case numEOF:
		ch.finish(io.EOF)
	case numClose:
		ch.closed()
	case numRequest:
		return ch.request(payload)
	}
	return nil
}

// data takes bytes of the stream. It is read by hand: measurements of throughput are to measure the balancer.
func (ch *Channel) data(payload []byte) error {
	if len(payload) < 9 || int(binary.BigEndian.Uint32(payload[5:])) != len(payload)-9 {
		return errors.New("DATA is malformed")
	}
	data := payload[9:]
	if uint32(len(data)) > ch.window || ch.err != nil {
		return fmt.Errorf("%d bytes with a window of %d, after %w", len(data), ch.window, ch.err)
	}
	ch.window -= uint32(len(data))
	ch.in = append(ch.in, data...)
	ch.more.Broadcast()
	return nil
}

// closed answers the peer's CLOSE, unless this side's was sent.
func (ch *Channel) closed() {
	ch.finish(errReset)
	if !ch.sent {
		ch.sent = true
		_ = ch.c.write(ssh.Marshal(closeMsg{ch.peer}))
	}
	delete(ch.c.chans, ch.num)
	ch.c.wr.Broadcast()
}

// request takes a request; one to move is kept for Moved, any that wants a reply is refused.
func (ch *Channel) request(payload []byte) error {
	var m requestMsg
	if err := ssh.Unmarshal(payload, &m); err != nil {
		return err
	}
	if m.Type == move {
		ch.moved = &m.Token
	}
	if !m.WantReply {
		return nil
	}
	return ch.c.write(ssh.Marshal(struct {
		ID uint32 `sshtype:"100"`
	}{ch.peer}))
}

// finish notes an end; under the mutex.
func (ch *Channel) finish(err error) {
	if ch.err == nil {
		ch.err = err
	}
	if !ch.answered {
		ch.answered = true
		close(ch.answer)
	}
	ch.more.Broadcast()
}

// sendAnswer gives the answer to the open; under the mutex.
func (ch *Channel) sendAnswer(a Answer) {
	if !ch.answered {
		ch.answered = true
		ch.answer <- a
		close(ch.answer)
	}
}

// Read reads the stream: io.EOF at its end in order.
func (ch *Channel) Read(b []byte) (int, error) {
	ch.c.mu.Lock()
	defer ch.c.mu.Unlock()
	for len(ch.in) == 0 && ch.err == nil {
		ch.more.Wait()
	}
	if len(ch.in) == 0 {
		return 0, ch.err
	}
	n := copy(b, ch.in)
	ch.in = ch.in[n:]
	if given := ch.c.window - ch.window - uint32(len(ch.in)); given >= ch.c.window/2 && !ch.hold && ch.err == nil &&
		!ch.sent {
		ch.window += given
		if err := ch.c.write(ssh.Marshal(adjustMsg{ch.peer, given})); err != nil {
			return n, nil // the end shows with the next
		}
	}
	return n, nil
}

// Write sends bytes as the peer has room for them.
func (ch *Channel) Write(b []byte) (int, error) {
	ch.c.mu.Lock()
	defer ch.c.mu.Unlock()
	sent := 0
	for len(b) > 0 {
		for ch.sendWindow == 0 && ch.c.err == nil && !ch.sent {
			ch.c.wr.Wait()
		}
		if ch.c.err != nil || ch.sent || ch.sentE {
			return sent, io.ErrClosedPipe
		}
		n := min(len(b), int(ch.sendWindow), int(ch.maxPacket), chunk)
		ch.c.scratch = append(ch.c.scratch[:0], numData)
		ch.c.scratch = binary.BigEndian.AppendUint32(ch.c.scratch, ch.peer)
		ch.c.scratch = binary.BigEndian.AppendUint32(ch.c.scratch, uint32(n))
		ch.c.scratch = append(ch.c.scratch, b[:n]...)
		if err := ch.c.write(ch.c.scratch); err != nil {
			return sent, err
		}
		ch.sendWindow -= uint32(n)
		sent, b = sent+n, b[n:]
	}
	return sent, nil
}

// CloseWrite sends EOF.
func (ch *Channel) CloseWrite() error {
	ch.c.mu.Lock()
	defer ch.c.mu.Unlock()
	if ch.sentE || ch.sent || !ch.up {
		return nil // before it is confirmed its number is not known, and there is nothing to end
	}
	ch.sentE = true
	return ch.c.write(ssh.Marshal(eofMsg{ch.peer}))
}

// Reset sends CLOSE without EOF.
func (ch *Channel) Reset() error {
	ch.c.mu.Lock()
	defer ch.c.mu.Unlock()
	if ch.sent || !ch.up || ch.c.err != nil {
		return nil
	}
	ch.sent = true
	if ch.err == nil {
		ch.err = errReset
		ch.more.Broadcast()
	}
	return ch.c.write(ssh.Marshal(closeMsg{ch.peer}))
}

// Close ends the channel in order.
func (ch *Channel) Close() error {
	return errors.Join(ch.CloseWrite(), ch.Reset())
}

// Move sends the other side away, and ends the channel.
func (ch *Channel) Move(token string) error {
	ch.c.mu.Lock()
	err := ch.c.write(ssh.Marshal(requestMsg{ch.peer, move, false, token}))
	ch.c.mu.Unlock()
	return errors.Join(err, ch.Close())
}

// Moved tells whether the peer has sent this side away, and with which token.
func (ch *Channel) Moved() (token string, moved bool) {
	ch.c.mu.Lock()
	defer ch.c.mu.Unlock()
	if ch.moved == nil {
		return "", false
	}
	return *ch.moved, true
}

// Hold has nothing given back to the peer, so that it stalls.
func (ch *Channel) Hold(on bool) {
	ch.c.mu.Lock()
	defer ch.c.mu.Unlock()
	ch.hold = on
}
