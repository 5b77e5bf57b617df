// Package sshchan has multiplexed channels for the laboratory's clients and nodes. It is written from
// docs/protocol/channels.md and the RFCs, with the messages of golang.org/x/crypto/ssh, and must not share code with
// the balancer, which it tests. Calls block, and each connection has a goroutine that reads it. A peer must keep the
// rules: a connection ends at the first message that does not.
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

// maxWaitingOpens channels that the peer has opened may wait for Accept.
const maxWaitingOpens = 4096

var (
	errUnknownChannel    = errors.New("a message for a channel that there is not")
	errTooManyOpens      = errors.New("too many opens wait")
	errIdentification    = errors.New("not an identification")
	errUnexpectedService = errors.New("not the service ssh-connection")
	errInvalidOpen       = errors.New("an open that may not be")
	errMalformedPacket   = errors.New("malformed packet")
)

// Conn is one connection with channels, of either side. Its methods may be called from any goroutine.
type Conn struct {
	raw      net.Conn
	reader   *bufio.Reader
	server   bool
	window   uint32        // receive window that is granted on each channel, in bytes
	incoming chan *Channel // by the peer, for Accept

	mu            sync.Mutex // of all below, of the channels, and of writing
	writable      sync.Cond  // signals that a send window has grown, or that the connection or a channel has ended
	channels      map[uint32]*Channel
	lastNumber    uint32 // of the channels that this side has numbered
	err           error  // why the connection has ended
	sendBuffer    []byte // of a message with data
	unimplemented int    // messages that the peer answered by UNIMPLEMENTED

	// DisconnectReason is what DISCONNECT gave. It may be read once the connection has ended.
	DisconnectReason string
}

// Client begins a connection that was dialled, and waits until the peer accepts the service. window is the receive
// window that it grants on each channel, in bytes.
func Client(raw net.Conn, window uint32) (*Conn, error) {
	c := newConn(raw, bufio.NewReaderSize(raw, maxPacket+len(identification)), false, window)
	if _, err := fmt.Fprint(raw, identification); err != nil {
		return nil, err
	}
	if err := c.write(ssh.Marshal(serviceRequestMsg{serviceName})); err != nil {
		return nil, err
	}
	peer, err := c.reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(peer, identificationPrefix) {
		return nil, fmt.Errorf("%w: %q", errIdentification, peer)
	}
	payload, err := c.readPacket()
	if err != nil {
		return nil, err
	}
	var accepted serviceAcceptMsg
	if err := ssh.Unmarshal(payload, &accepted); err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	if accepted.Service != serviceName {
		return nil, fmt.Errorf("%w: %q", errUnexpectedService, accepted.Service)
	}
	go c.readPackets()
	return c, nil
}

// Server continues a connection whose identification line has been read with reader. window is as for Client.
func Server(raw net.Conn, reader *bufio.Reader, window uint32) (*Conn, error) {
	c := newConn(raw, reader, true, window)
	if _, err := fmt.Fprint(raw, identification); err != nil {
		return nil, err
	}
	payload, err := c.readPacket()
	if err != nil {
		return nil, err
	}
	var requested serviceRequestMsg
	if err := ssh.Unmarshal(payload, &requested); err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	if requested.Service != serviceName {
		return nil, fmt.Errorf("%w: %q", errUnexpectedService, requested.Service)
	}
	if err := c.write(ssh.Marshal(serviceAcceptMsg{serviceName})); err != nil {
		return nil, err
	}
	go c.readPackets()
	return c, nil
}

func newConn(raw net.Conn, reader *bufio.Reader, server bool, window uint32) *Conn {
	c := &Conn{
		raw:      raw,
		reader:   reader,
		server:   server,
		window:   window,
		incoming: make(chan *Channel, maxWaitingOpens),
		channels: map[uint32]*Channel{},
	}
	c.writable.L = &c.mu
	return c
}

// write sends a payload as a packet. The caller holds the mutex, unless nothing else is sent yet.
func (c *Conn) write(payload []byte) error {
	padding := blockBytes - (packetHeaderBytes+len(payload))%blockBytes
	if padding < minPadding {
		padding += blockBytes
	}
	if len(payload)+padding < minPacketLength-1 {
		padding += blockBytes
	}
	packet := make([]byte, packetHeaderBytes, packetHeaderBytes+len(payload)+padding)
	binary.BigEndian.PutUint32(packet, uint32(1+len(payload)+padding))
	packet[lengthBytes] = byte(padding)
	packet = append(packet, payload...)
	packet = append(packet, make([]byte, padding)...)
	_, err := c.raw.Write(packet)
	return err
}

// WriteRaw sends bytes as they are, for tests with a peer that breaks the rules.
func (c *Conn) WriteRaw(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.raw.Write(b)
	return err
}

// WritePayload sends a message of any kind, for such tests.
func (c *Conn) WritePayload(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write(b)
}

// readPacket reads a packet, and returns its payload.
func (c *Conn) readPacket() ([]byte, error) {
	var head [packetHeaderBytes]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	padding := head[lengthBytes]
	if !validPacket(length, padding) {
		return nil, fmt.Errorf("%w: %d bytes, padding %d", errMalformedPacket, length, padding)
	}
	b := make([]byte, length-1)
	if _, err := io.ReadFull(c.reader, b); err != nil {
		return nil, err
	}
	return b[:len(b)-int(padding)], nil
}

// validPacket reports whether a packet may have this length, which does not count the length field itself, and this
// padding: it has a payload, and is a multiple of blockBytes.
func validPacket(length uint32, padding byte) bool {
	if length < minPacketLength || length > maxPacket-lengthBytes || (length+lengthBytes)%blockBytes != 0 {
		return false
	}
	return padding >= minPadding && uint32(padding)+1 < length
}

// readPackets handles messages until the connection ends, and then ends its channels.
func (c *Conn) readPackets() {
	var err error
	for err == nil {
		var payload []byte
		if payload, err = c.readPacket(); err == nil {
			err = c.handle(payload)
		}
	}
	c.mu.Lock()
	c.err = err
	for _, ch := range c.channels {
		ch.finish(err)
	}
	c.writable.Broadcast()
	c.mu.Unlock()
	close(c.incoming)
	_ = c.raw.Close()
}

// handle handles one message. An error ends the connection.
func (c *Conn) handle(payload []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch payload[0] {
	case numDisconnect:
		var m disconnectMsg
		_ = ssh.Unmarshal(payload, &m) // the connection ends in any case
		c.DisconnectReason = fmt.Sprintf("%d %s", m.Reason, m.Message)
		return io.EOF
	case numIgnore, numDebug, numRequestSuccess, numRequestFailure:
		return nil
	case numUnimplemented:
		c.unimplemented++
		return nil
	case numGlobalRequest:
		return c.handleGlobalRequest(payload)
	case numOpen:
		return c.handleOpen(payload)
	default:
		return c.handleChannelMessage(payload)
	}
}

// handleGlobalRequest answers keepalives, and refuses other requests that want a reply.
func (c *Conn) handleGlobalRequest(payload []byte) error {
	var m globalRequestMsg
	if err := ssh.Unmarshal(payload, &m); err != nil || !m.WantReply {
		return err
	}
	if m.Type == keepaliveRequest {
		return c.write(ssh.Marshal(requestSuccessMsg{}))
	}
	return c.write([]byte{numRequestFailure})
}

// handleChannelMessage passes a message on to its channel.
func (c *Conn) handleChannelMessage(payload []byte) error {
	if len(payload) < channelHeaderBytes {
		return errUnknownChannel
	}
	ch := c.channels[binary.BigEndian.Uint32(payload[1:])]
	if ch == nil {
		return errUnknownChannel
	}
	return ch.handle(payload)
}

// handleOpen makes a channel that the peer opens, for Accept. Only servers accept channels.
func (c *Conn) handleOpen(payload []byte) error {
	var m openMsg
	if err := ssh.Unmarshal(payload, &m); err != nil {
		return fmt.Errorf("%w: %w", errInvalidOpen, err)
	}
	if !c.server || m.Type != channelType {
		return fmt.Errorf("%w: of type %q", errInvalidOpen, m.Type)
	}
	ch := c.newChannel(m.Line)
	ch.peerNumber = m.ID
	ch.sendWindow = m.Window
	ch.maxPacket = m.MaxPacket
	select {
	case c.incoming <- ch:
		return nil
	default:
		return errTooManyOpens
	}
}

// newChannel makes a channel with the next number of this side. The caller holds the mutex.
func (c *Conn) newChannel(line string) *Channel {
	c.lastNumber++
	ch := &Channel{
		Line:          line,
		conn:          c,
		number:        c.lastNumber,
		receiveWindow: c.window,
		answer:        make(chan Answer, 1),
	}
	ch.readable.L = &c.mu
	c.channels[ch.number] = ch
	return ch
}

// Open opens a channel with a first line. Its answer comes on Answered.
func (c *Conn) Open(line string) (*Channel, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, c.err
	}
	ch := c.newChannel(line)
	return ch, c.write(ssh.Marshal(openMsg{
		Type:      channelType,
		ID:        ch.number,
		Window:    ch.receiveWindow,
		MaxPacket: maxChannelPacket,
		Line:      line,
	}))
}

// Accept waits for a channel that the peer opens; nil once the connection has ended.
func (c *Conn) Accept() *Channel { return <-c.incoming }

// ChannelCount is the number of channels.
func (c *Conn) ChannelCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.channels)
}

// Unimplemented is the number of messages that the peer answered by UNIMPLEMENTED.
func (c *Conn) Unimplemented() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unimplemented
}

// Err is why the connection has ended; nil before that.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Close ends the connection.
func (c *Conn) Close() error { return c.raw.Close() }

// Abort ends the connection by a reset.
func (c *Conn) Abort() error {
	if conn, ok := c.raw.(interface{ SetLinger(sec int) error }); ok {
		_ = conn.SetLinger(0)
	}
	return c.raw.Close()
}
