package abuse

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"spurspread/lab/deployment"
)

// server accepts requests with plain lines and echoes the lines of those that it accepts. Requests of class
// deployment.MetadataWatch, which only abusive clients send, are never answered.
type server struct {
	listener net.Listener

	mu       sync.Mutex
	received map[string][]time.Time // times at which each id was received
}

func startServer() (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{listener: listener, received: map[string][]time.Time{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *server) addr() string { return s.listener.Addr().String() }

func (s *server) close() { _ = s.listener.Close() }

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	first, err := reader.ReadString('\n')
	fields := strings.Fields(first)
	if err != nil || len(fields) < 2 || fields[0] != "OPEN" {
		_, _ = conn.Write([]byte("PONG queue=0,qps=1,x0=0.1\r\n"))
		return
	}
	s.record(fields[1])
	if !strings.Contains(first, "c="+deployment.MetadataWatch) {
		_, _ = fmt.Fprintf(conn, "UP %s\r\n", fields[1])
	}
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if _, err := conn.Write(line); err != nil {
			return
		}
	}
}

func (s *server) record(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received[id] = append(s.received[id], time.Now())
}

// runTwice returns the number of ids that were received more than once.
func (s *server) runTwice() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, times := range s.received {
		if len(times) > 1 {
			n++
		}
	}
	return n
}

// receivedAfter returns the number of ids with this prefix that were received after a time.
func (s *server) receivedAfter(prefix string, after time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, times := range s.received {
		if strings.HasPrefix(id, prefix) && times[len(times)-1].After(after) {
			n++
		}
	}
	return n
}
