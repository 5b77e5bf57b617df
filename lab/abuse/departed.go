package abuse

import (
	"fmt"
	"time"

	"spurspread/internal/channel"
	"spurspread/lab/deployment"
)

const (
	departures = 20 // clients that leave, one after another
	// requestsEach is the number of requests of each.
	requestsEach = 40
	// unreadBytes is what a client with channels sends before its requests, so that these are unread when it leaves.
	unreadBytes = 4 << 20
	// stayDivisor sets the part of the span for which a client stays.
	stayDivisor = 4
	// departureSlack is the time in which the balancer may still send on what it read before the client left.
	departureSlack = 50 * time.Millisecond
)

// depart has clients send requests and leave, every second one with a reset, and then come again with the same ids.
// Half of them leave at once, the others when the server has received their requests. Between the two times of one
// round a new version takes over.
func depart(s *environment) error {
	for round := range departures {
		var ids []string
		for range requestsEach {
			ids = append(ids, s.newID("f"))
		}
		client := departing{ids: ids, reset: round%2 == 0, stays: round%4 >= 2, answered: round%8 < 4}
		for again := range 2 {
			if again == 1 && round == departures/2 {
				if _, err := s.balancer.Upgrade(); err != nil {
					return err
				}
			}
			if err := s.sendAndLeave(client); err != nil {
				return err
			}
		}
	}
	s.result.Received = s.server.receivedAfter("f", time.Time{})
	return nil
}

// departing is a client that leaves with its requests unanswered.
type departing struct {
	ids   []string
	reset bool // it leaves with a reset
	stays bool // it stays until its requests have had time to reach a server
	// answered means that the server answers the requests that it receives.
	answered bool
}

// sendAndLeave sends a request for each id, leaves, and records the requests that are sent on afterwards.
func (s *environment) sendAndLeave(client departing) error {
	if err := s.sendRequests(client); err != nil {
		return err
	}
	if client.stays {
		time.Sleep(s.Span / stayDivisor)
	}
	s.closeAll()
	left := time.Now()
	time.Sleep(s.Span / departures)
	for _, id := range client.ids {
		s.result.SentOn += s.server.receivedAfter(id, left.Add(departureSlack))
	}
	return nil
}

// sendRequests sends the requests of a client, on one connection with channels or on a connection each.
func (s *environment) sendRequests(client departing) error {
	var contents [][]byte
	if s.Channels {
		contents = append(contents, requestsBehindUnread(client))
	} else {
		for _, id := range client.ids {
			contents = append(contents, []byte(client.line(id)+"\r\n"))
		}
	}
	for _, content := range contents {
		conn, err := s.dial()
		if err != nil {
			return err
		}
		if client.reset {
			_ = conn.SetLinger(0)
		}
		write(conn, content)
	}
	return nil
}

// line returns the first line of a request.
func (c departing) line(id string) string {
	if c.answered {
		return fmt.Sprintf("OPEN %s %s c=%s,d=1200", id, id, deployment.IndexSync)
	}
	return requestLine(id, 0)
}

// requestsBehindUnread opens a channel for each id, behind many bytes that the balancer has to read first.
func requestsBehindUnread(client departing) []byte {
	b := greeting()
	ignored := packets(channel.Message{Type: channel.Ignore})
	for len(b) < unreadBytes {
		b = append(b, ignored...)
	}
	for i, id := range client.ids {
		b = append(b, packets(openMessage(uint32(i), client.line(id)))...)
	}
	return b
}
