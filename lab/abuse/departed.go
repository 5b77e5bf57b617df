package abuse

import (
	"net"
	"time"

	"spurspread/internal/channel"
)

const (
	departures = 20 // clients that leave, one after another
	// requestsEach is the number of requests of each.
	requestsEach = 150
	// unreadBytes is what a client with channels sends before its requests, so that these are unread when it leaves.
	unreadBytes = 1 << 20
	// departureSlack is the time in which the balancer may still send on what it read before the client left.
	departureSlack = 50 * time.Millisecond
)

// depart has clients send requests and leave at once, every second one with a reset, and then come again with the same
// ids. After half of the rounds a new version takes over.
func depart(s *stage) error {
	for round := range departures {
		if round == departures/2 {
			if _, err := s.balancer.Upgrade(); err != nil {
				return err
			}
		}
		var ids []string
		for range requestsEach {
			ids = append(ids, s.newID("f"))
		}
		for range 2 { // the second time with the same ids
			leftAt, err := s.sendAndLeave(ids, round%2 == 0)
			if err != nil {
				return err
			}
			time.Sleep(s.Span / departures)
			s.result.SentOn += s.server.receivedAfter("f", leftAt.Add(departureSlack))
		}
	}
	return nil
}

// sendAndLeave sends a request for each id and closes the connections, and returns the time of that.
func (s *stage) sendAndLeave(ids []string, reset bool) (leftAt time.Time, err error) {
	var conns []net.Conn
	send := func(b []byte) error {
		conn, err := s.dial()
		if err != nil {
			return err
		}
		if reset {
			_ = conn.SetLinger(0)
		}
		conns = append(conns, conn)
		write(conn, b)
		return nil
	}
	if s.Channels {
		err = send(requestsBehindUnread(ids))
	} else {
		for _, id := range ids {
			if err = send([]byte(requestLine(id, 0) + "\r\n")); err != nil {
				break
			}
		}
	}
	s.closeAll()
	return time.Now(), err
}

// requestsBehindUnread opens a channel for each id, behind many bytes that the balancer has to read first.
func requestsBehindUnread(ids []string) []byte {
	b := greeting()
	ignored := packets(channel.Message{Type: channel.Ignore})
	for len(b) < unreadBytes {
		b = append(b, ignored...)
	}
	for i, id := range ids {
		b = append(b, packets(openMessage(uint32(i), requestLine(id, 0)))...)
	}
	return b
}
