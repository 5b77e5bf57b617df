// Package sshchan implements multiplexed channels, in the format of SSH channels without encryption, for the
// laboratory's clients and nodes. It follows docs/protocol/channels.md and the RFCs, encodes messages with
// golang.org/x/crypto/ssh, and must not share code with the balancer, which it tests. Calls block, and a goroutine
// reads each connection. A message that violates the protocol ends the connection.
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

// maxWaitingOpens is the number of channels opened by the peer that may wait for Accept.
const maxWaitingOpens = 4096

var (
	errUnknownChannel    = errors.New("message for an unknown channel")
	errTooManyOpens      = errors.New("too many channel opens wait for Accept")
	errIdentification    = errors.New("invalid identification line")
	errUnexpectedService = errors.New("unexpected service, want ssh-connection")
	errInvalidOpen       = errors.New("invalid channel open")
	errMalformedPacket   = errors.New("malformed packet")
)

// Conn is one side of a connection with channels. Its methods may be called from any goroutine.
type Conn struct {
	raw      net.Conn
	reader   *bufio.Reader
	server   bool
	window   uint32        // receive window that is granted on each channel, in bytes
	incoming chan *Channel // opened by the peer, for Accept

	mu            sync.Mutex // guards all fields below, the channels' state, and writing
	writable      sync.Cond  // signals that a send window has grown, or that the connection or a channel has ended
	channels      map[uint32]*Channel
	lastNumber    uint32 // number of the last channel created on this side
	err           error  // the reason for the connection's end; nil before
	sendBuffer    []byte // reused for DATA messages
	unimplemented int    // messages that the peer answered with UNIMPLEMENTED

	// DisconnectReason is the code and the text of the peer's DISCONNECT. It may be read once the connection has ended.
	DisconnectReason string
}

// Client starts the protocol on a dialed connection, and waits until the peer accepts the service. window is the
// receive window to grant on each channel, in bytes. After an error the caller has to close raw.
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

// Server starts the protocol on an accepted connection whose identification line has already been read with reader.
// window is as for Client. After an error the caller has to close raw.
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

// write sends a payload as a packet. The caller holds the mutex, except before readPackets is started.
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

// WriteRaw sends bytes unchanged, for tests with a peer that violates the protocol.
func (c *Conn) WriteRaw(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.raw.Write(b)
	return err
}

// WritePayload sends any payload as a packet, for tests with a peer that violates the protocol.
func (c *Conn) WritePayload(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write(b)
}

// readPacket reads a packet and returns its payload.
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

// validPacket reports whether a packet may have this length field, which does not count itself, and this padding: the
// packet must have a payload, and its total length must be a multiple of blockBytes.
func validPacket(length uint32, padding byte) bool {
	if length < minPacketLength || length > maxPacket-lengthBytes || (length+lengthBytes)%blockBytes != 0 {
		return false
	}
	return padding >= minPadding && uint32(padding)+1 < length
}

// readPackets handles messages until the connection ends or one violates the protocol, and then ends all channels.
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
		_ = ssh.Unmarshal(payload, &m) // the connection ends even if the message is malformed
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

// handleGlobalRequest answers keepalives with success, and other requests with a failure, if they want a reply.
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

// handleChannelMessage passes a message to its channel.
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

// handleOpen creates a channel that the peer opens, for Accept. Only servers accept channels.
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

// newChannel creates a channel with the next number of this side. The caller holds the mutex.
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

// Open opens a channel with a first line. Channel.Answered provides the answer.
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

// Accept waits for a channel that the peer opens. It returns nil once the connection has ended.
func (c *Conn) Accept() *Channel { return <-c.incoming }

// ChannelCount returns the number of channels, without those that were refused or that the peer has closed.
func (c *Conn) ChannelCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.channels)
}

// Unimplemented returns the number of messages that the peer answered with UNIMPLEMENTED.
func (c *Conn) Unimplemented() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unimplemented
}

// Err returns the reason for the connection's end; nil before.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Close closes the connection.
func (c *Conn) Close() error { return c.raw.Close() }

// Abort resets the connection.
func (c *Conn) Abort() error {
	if conn, ok := c.raw.(interface{ SetLinger(sec int) error }); ok {
		_ = conn.SetLinger(0)
	}
	return c.raw.Close()
}
