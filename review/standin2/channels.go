//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/crypto/ssh"
)

// Messages of docs/protocol/channels.md.
type (
	serviceRequest struct {
		Service string `sshtype:"5"`
	}
	channelOpen struct {
		Kind      string `sshtype:"90"`
		Sender    uint32
		Window    uint32
		MaxPacket uint32
		Line      string
	}
	channelConfirm struct {
		Recipient uint32 `sshtype:"91"`
		Sender    uint32
		Window    uint32
		MaxPacket uint32
		Up        []byte `ssh:"rest"`
	}
	channelFailure struct {
		Recipient uint32 `sshtype:"92"`
		Code      uint32
		Text      string
		Language  string
	}
	disconnect struct {
		Code     uint32 `sshtype:"1"`
		Text     string
		Language string
	}
)

// Numbers of messages.
const (
	msgDisconnect = 1
	msgGlobal     = 80
	msgConfirm    = 91
	msgFailure    = 92
	msgClose      = 97
	msgRequest    = 98
)

const channelWindow = 65536

// packet returns a payload as a packet.
func packet(payload []byte) []byte {
	const header, block, least = 5, 8, 4
	padding := block - (header+len(payload))%block
	if padding < least {
		padding += block
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(1+len(payload)+padding))
	b = append(b, byte(padding))
	b = append(b, payload...)
	return append(b, make([]byte, padding)...)
}

// openPacket returns a CHANNEL_OPEN.
func openPacket(number uint32, line string) []byte {
	return packet(ssh.Marshal(channelOpen{"stream@spurspread", number, channelWindow, 32768, line}))
}

// stream is a channel of a client.
type stream struct {
	number   uint32 // at the client
	peer     uint32 // at the balancer
	line     string
	openedAt time.Time
	answer   string // the line that answered it; "" for none yet
	answerAt time.Time
	ended    string // how it ended: "moved", "closed"; "" while it stands
}

func (s *stream) up() bool { return strings.HasPrefix(s.answer, "UP ") }

// muxClient is a client of multiplexed channels that keeps docs/protocol/channels.md.
type muxClient struct {
	w    *world
	name string
	conn net.Conn

	mu      sync.Mutex
	streams map[uint32]*stream
	odd     []string // what the balancer sent against the page
	ended   string   // how the connection ended; "" while it stands
}

// dialMux connects a client, and waits until the service is accepted.
func dialMux(w *world, name, addr string) (*muxClient, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &muxClient{w: w, name: name, conn: conn, streams: map[uint32]*stream{}}
	_, _ = conn.Write([]byte("SSH-2.0-client\r\n"))
	_, _ = conn.Write(packet(ssh.Marshal(serviceRequest{"ssh-connection"})))
	in := bufio.NewReaderSize(conn, 1<<16)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := in.ReadString('\n'); err != nil {
		return nil, fmt.Errorf("%s: no identification: %w", name, err)
	}
	if _, err := readPacket(in); err != nil {
		return nil, fmt.Errorf("%s: no service: %w", name, err)
	}
	_ = conn.SetReadDeadline(time.Time{})
	go c.read(in)
	return c, nil
}

func readPacket(in io.Reader) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(in, length[:]); err != nil {
		return nil, err
	}
	b := make([]byte, binary.BigEndian.Uint32(length[:]))
	if _, err := io.ReadFull(in, b); err != nil {
		return nil, err
	}
	return b[1 : len(b)-int(b[0])], nil
}

// open opens channels with the given first lines, all in one write.
func (c *muxClient) open(first uint32, lines ...string) error {
	var b []byte
	c.mu.Lock()
	for i, line := range lines {
		number := first + uint32(i)
		c.streams[number] = &stream{number: number, line: line, openedAt: time.Now()}
		b = append(b, openPacket(number, line)...)
	}
	c.mu.Unlock()
	_, err := c.conn.Write(b)
	return err
}

func (c *muxClient) read(in io.Reader) {
	for {
		payload, err := readPacket(in)
		if err != nil {
			c.end("end: " + err.Error())
			return
		}
		c.mu.Lock()
		c.handle(payload)
		c.mu.Unlock()
	}
}

func (c *muxClient) end(how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == "" {
		c.ended = how
	}
}

// handle handles a message of the balancer.
func (c *muxClient) handle(payload []byte) {
	switch payload[0] {
	case msgDisconnect:
		var m disconnect
		_ = ssh.Unmarshal(payload, &m)
		c.ended = fmt.Sprintf("DISCONNECT %d %s", m.Code, m.Text)
	case msgGlobal:
		_, _ = c.conn.Write(packet([]byte{81}))
	case msgConfirm:
		var m channelConfirm
		_ = ssh.Unmarshal(payload, &m)
		if s := c.waiting(m.Recipient, "confirmed"); s != nil {
			s.peer, s.answer, s.answerAt = m.Sender, string(m.Up), time.Now()
		}
	case msgFailure:
		var m channelFailure
		_ = ssh.Unmarshal(payload, &m)
		if s := c.waiting(m.Recipient, "refused with "+m.Text); s != nil {
			s.answer, s.answerAt = m.Text, time.Now()
		}
	case msgClose, msgRequest:
		c.handleStanding(payload)
	}
}

// waiting returns the stream that waits for its answer, and notes an answer that belongs to no such stream.
func (c *muxClient) waiting(number uint32, what string) *stream {
	s := c.streams[number]
	if s == nil || s.answer != "" {
		c.odd = append(c.odd, fmt.Sprintf("channel %d, which does not wait for an answer, was %s", number, what))
		return nil
	}
	return s
}

func (c *muxClient) handleStanding(payload []byte) {
	s := c.streams[binary.BigEndian.Uint32(payload[1:])]
	if s == nil {
		return
	}
	switch payload[0] {
	case msgRequest:
		s.ended = "moved"
	case msgClose:
		if s.ended == "" {
			s.ended = "closed"
		}
		_, _ = c.conn.Write(packet(ssh.Marshal(struct {
			Recipient uint32 `sshtype:"97"`
		}{s.peer})))
	}
}

// summary counts the streams by the first word of their answers, and tells how the connection ended.
func (c *muxClient) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, s := range c.streams {
		word, _, _ := strings.Cut(s.answer, " ")
		if word == "" {
			word = "none"
		}
		counts[word]++
	}
	return fmt.Sprintf("%v; end %q", counts, c.ended)
}
