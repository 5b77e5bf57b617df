package mux

import (
	"bytes"
	"testing"

	"spurspread/internal/channel"
)

// countingPipe counts the writes to a pipe.
type countingPipe struct {
	pipe
	writes int
}

func (p *countingPipe) Write(parts ...[]byte) {
	p.writes++
	p.pipe.Write(parts...)
}

// Guards against a peer that keeps the process busy with small messages: one call handles a share of them, and their
// replies are written together.
func TestFeedHandlesShareOfMessages(t *testing.T) {
	const messages = 3*messagesPerFeed + 10
	_, server := newPair(1000, 2)
	wire := &countingPipe{}
	server.c.wire = wire
	ping := channel.Append(nil, &channel.Message{
		Type: channel.GlobalRequest, Name: []byte(channel.Keepalive), WantReply: true,
	})
	reply := len(channel.Append(nil, &channel.Message{Type: channel.RequestSuccess}))
	start := append([]byte("SSH-2.0-test\r\n"), channel.Append(nil, &channel.Message{
		Type: channel.ServiceRequest, Name: []byte(channel.Service),
	})...)
	if err := server.c.Feed(start); err != nil {
		t.Fatal(err)
	}
	received := bytes.Repeat(ping, messages)
	for left := messages; left > 0; received = nil {
		share := min(left, messagesPerFeed)
		sent, writes := wire.sent, wire.writes
		if err := server.c.Feed(received); err != nil {
			t.Fatal(err)
		}
		if got := (wire.sent - sent) / reply; got != share || wire.writes != writes+1 {
			t.Fatalf("%d replies in %d writes, want %d in 1", got, wire.writes-writes, share)
		}
		left -= share
		if server.c.Backlogged() != (left > 0) {
			t.Fatalf("backlogged: %v with %d messages left", server.c.Backlogged(), left)
		}
	}
}

// Guards against memory that stays with a connection: of a burst with an incomplete packet at its end, only that part
// is kept.
func TestIncompletePacketIsKeptAlone(t *testing.T) {
	_, server := newPair(1000, 2)
	if err := server.c.Feed([]byte("SSH-2.0-test\r\n")); err != nil {
		t.Fatal(err)
	}
	packet := channel.Append(nil, &channel.Message{Type: channel.Ignore, Data: make([]byte, channel.MaxData)})
	half := packet[:len(packet)/2]
	for _, part := range [][]byte{half[:1], append(bytes.Clone(packet[1:]), half...)} {
		if err := server.c.Feed(part); err != nil {
			t.Fatal(err)
		}
	}
	if kept := cap(server.c.partial) + cap(server.c.backlog); kept > 2*len(half) {
		t.Errorf("%d bytes are kept for an incomplete packet of %d, want at most twice that", kept, len(half))
	}
	if err := server.c.Feed(packet[len(half):]); err != nil || len(server.c.partial) != 0 {
		t.Errorf("the rest of the packet: %v, %d bytes kept, want none", err, len(server.c.partial))
	}
}
