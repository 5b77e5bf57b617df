package abuse

import (
	"fmt"
	"net"
	"strings"
	"time"

	"spurspread/internal/channel"
	"spurspread/lab/deployment"
)

const (
	identification = "SSH-2.0-abuse\r\n"
	// clientWindow is the window that abusive clients grant on each channel, in bytes.
	clientWindow = 64 << 10
	// longLine is the length of long first lines, in bytes; docs/protocol/channels.md allows 4,094.
	longLine = 4000
	// writeTimeout bounds a write to a balancer that does not read.
	writeTimeout = 2 * time.Second
)

// dial opens an abusive client's connection, which closeAll ends.
func (s *environment) dial() (*net.TCPConn, error) {
	conn, err := net.DialTimeout("tcp", s.balancer.Addr(), writeTimeout)
	if err != nil {
		return nil, err
	}
	s.conns = append(s.conns, conn)
	return conn.(*net.TCPConn), nil
}

// greeting returns the start of a connection with channels.
func greeting() []byte {
	return append([]byte(identification), packets(channel.Message{
		Type: channel.ServiceRequest, Name: []byte(channel.Service),
	})...)
}

// packets returns messages as they are sent.
func packets(messages ...channel.Message) (b []byte) {
	for i := range messages {
		b = channel.Append(b, &messages[i])
	}
	return b
}

// openMessage returns the message that opens a channel with a first line.
func openMessage(number uint32, line string) channel.Message {
	return channel.Message{
		Type: channel.Open, Name: []byte(channel.Stream), Channel: number, Window: clientWindow,
		MaxPacket: channel.MaxData, Data: channel.AppendString(nil, []byte(line)),
	}
}

// requestLine returns a first line that the server does not answer, padded with short fields to at least length bytes.
func requestLine(id string, length int) string {
	line := fmt.Sprintf("OPEN %s %s c=%s,d=2000", id, id, deployment.MetadataWatch)
	if missing := length - len(line); missing > 0 {
		line += strings.Repeat(",a=1", missing/len(",a=1"))
	}
	return line
}

// newID returns an id that no other request of the scenario has. The prefix names the group of requests.
func (s *environment) newID(prefix string) string {
	s.result.Sent++
	return fmt.Sprintf("%s%08x", prefix, s.result.Sent)
}

// write writes to a connection; a balancer that does not read, or has ended the connection, is no error.
func write(conn net.Conn, b []byte) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write(b)
	return err == nil
}
