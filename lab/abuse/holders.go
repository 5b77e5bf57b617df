package abuse

import (
	"bytes"
	"net"
	"sync"
	"time"

	"spurspread/internal/channel"
)

const (
	// holders is the number of clients at once: nearly as many as the balancer's descriptors allow.
	holders = 850
	// opensAtOnce is the number of channels that a client may open at once.
	opensAtOnce = 200
	// holderReadBuffer is the size of a client's receive buffer, in bytes: unread replies stay with the balancer.
	holderReadBuffer = 4 << 10
	// leastUnread and mostUnread bound the number of messages that a client sends without reading the replies. The
	// kernel buffers some 160,000 replies.
	leastUnread, mostUnread = 150_000, 210_000
	// slowWrites is the number of writes in which a client sends its request byte by byte.
	slowWrites = 40
)

// holdMemory runs one kind of holders after another. All connect at once, stay for the span, and leave.
func holdMemory(s *environment) error {
	kinds := []func(*environment) []byte{halfLine, waitingRequest}
	if s.Channels {
		kinds = []func(*environment) []byte{halfPacket, waitingChannels, unreadReplies}
	}
	for _, kind := range kinds {
		if err := s.holdWith(kind); err != nil {
			return err
		}
		s.closeAll()
		time.Sleep(s.Span / 2)
	}
	return s.holdSlowly(kinds[0])
}

// holdWith has all holders send the same kind of bytes at once.
func (s *environment) holdWith(kind func(*environment) []byte) error {
	var writes sync.WaitGroup
	for range holders {
		conn, err := s.dial()
		if err != nil {
			return err
		}
		_ = conn.SetReadBuffer(holderReadBuffer)
		content := kind(s)
		writes.Go(func() { write(conn, content) })
	}
	writes.Wait()
	time.Sleep(s.Span)
	s.result.PhasesMB = append(s.result.PhasesMB, int(s.balancer.ResidentBytes()/bytesPerMB))
	return nil
}

// holdSlowly has all holders send a first part at once and the rest byte by byte over the span.
func (s *environment) holdSlowly(kind func(*environment) []byte) error {
	contents := make([][]byte, holders)
	conns := make([]net.Conn, holders)
	for i := range holders {
		conn, err := s.dial()
		if err != nil {
			return err
		}
		conns[i], contents[i] = conn, kind(s)
		write(conn, contents[i][:len(contents[i])-slowWrites])
	}
	for step := range slowWrites {
		for i, conn := range conns {
			at := len(contents[i]) - slowWrites + step
			write(conn, contents[i][at:at+1])
		}
		time.Sleep(s.Span / slowWrites)
	}
	return nil
}

// halfLine is a first line of many short fields without its end.
func halfLine(s *environment) []byte { return []byte(requestLine(s.newID("a"), longLine)) }

// waitingRequest is a whole request, which waits for a server.
func waitingRequest(s *environment) []byte {
	return []byte(requestLine(s.newID("b"), longLine) + "\r\n")
}

// halfPacket is a burst of packets that are passed over, and half of a packet of the greatest length.
func halfPacket(s *environment) []byte {
	s.result.Sent++
	large := packets(channel.Message{Type: channel.Ignore, Data: make([]byte, channel.MaxData)})
	return append(append(greeting(), large...), large[:len(large)-1]...)
}

// waitingChannels is as many opens as are allowed at once, with long first lines, which wait for a server.
func waitingChannels(s *environment) []byte {
	b := greeting()
	for number := range uint32(opensAtOnce) {
		b = append(b, packets(openMessage(number, requestLine(s.newID("c"), longLine)))...)
	}
	return b
}

// unreadReplies is messages that are answered at once, sent without reading the answers. Their number varies, so that
// some clients leave nearly as much unread as they may.
func unreadReplies(s *environment) []byte {
	unknown := packets(channel.Message{Type: unknownMessage})
	n := leastUnread + s.random.IntN(mostUnread-leastUnread)
	s.result.Sent += n
	return append(greeting(), bytes.Repeat(unknown, n)...)
}
