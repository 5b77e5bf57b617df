package abuse

import (
	"fmt"
	"io"
	"net"
	"time"

	"spurspread/internal/channel"
)

// chunkMessages is the number of messages that a flooding client sends in one write.
const chunkMessages = 1000

// unknownMessage is a message number that the protocol does not use.
const unknownMessage channel.Type = 200

// flood runs one kind of unsound client after another, each for the span at full speed.
func flood(s *environment) error {
	if !s.Channels {
		return s.floodLines()
	}
	for _, kind := range []func(*environment, uint32) channel.Message{
		keepaliveMessage, unknownTypeMessage, malformedOpen, newNamesOpen, ignoredMessage,
	} {
		if err := s.floodChannels(kind); err != nil {
			return err
		}
	}
	return nil
}

// floodChannels has one client send messages of a kind on one connection. It reads and drops all replies.
func (s *environment) floodChannels(kind func(*environment, uint32) channel.Message) error {
	for end := time.Now().Add(s.Span); time.Now().Before(end); {
		conn, err := s.dial()
		if err != nil {
			return err
		}
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		write(conn, greeting())
		for number := uint32(0); time.Now().Before(end); {
			var b []byte
			for range chunkMessages {
				message := kind(s, number)
				number++
				b = channel.Append(b, &message)
			}
			if !write(conn, b) {
				break // the balancer has ended the connection
			}
		}
	}
	return nil
}

func keepaliveMessage(s *environment, _ uint32) channel.Message {
	s.result.Sent++
	return channel.Message{Type: channel.GlobalRequest, Name: []byte(channel.Keepalive), WantReply: true}
}

func unknownTypeMessage(s *environment, _ uint32) channel.Message {
	s.result.Sent++
	return channel.Message{Type: unknownMessage}
}

func ignoredMessage(s *environment, _ uint32) channel.Message {
	s.result.Sent++
	return channel.Message{Type: channel.Ignore}
}

func malformedOpen(s *environment, number uint32) channel.Message {
	s.result.Sent++
	return openMessage(number, "OPEN")
}

// newNamesOpen opens a channel with an id, a group and fields that no other request has.
func newNamesOpen(s *environment, number uint32) channel.Message {
	id := s.newID("d")
	return openMessage(number, fmt.Sprintf("%s,g=%s,owner=%s,at=%s", requestLine(id, 0), id, id, id))
}

// floodLines has one client send lines that can't be served, and requests under new names that it gives up at once, on
// one connection after another.
func (s *environment) floodLines() error {
	for _, kind := range []func(id string) string{
		func(id string) string { return "GET /" + id + " HTTP/1.1\r\n" },
		func(id string) string { return fmt.Sprintf("OPEN %s %s c=%s,d=2000\r\n", id, id, id) },
		func(id string) string { return requestLine(id, 0) + ",g=" + id + ",owner=" + id + "\r\n" },
		func(string) string { return "PING\r\nPING\r\n" },
	} {
		for end := time.Now().Add(s.Span); time.Now().Before(end); {
			conn, err := net.Dial("tcp", s.balancer.Addr())
			if err != nil {
				return err
			}
			write(conn, []byte(kind(s.newID("e"))))
			_ = conn.(*net.TCPConn).SetLinger(0) // a reset, so that the machine does not run out of ports
			_ = conn.Close()
		}
	}
	return nil
}
