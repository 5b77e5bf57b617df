package abuse

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"spurspread/lab/deployment"
	"spurspread/lab/echo"
	"spurspread/lab/sshchan"
)

const (
	soundStreams  = 20 // established streams that exchange lines
	lineInterval  = 20 * time.Millisecond
	openInterval  = 50 * time.Millisecond // between two new requests
	soundDeadline = deployment.IndexSyncDeadline
	// replyTimeout is the time after which a line counts as unanswered.
	replyTimeout = 10 * time.Second
)

// soundLine is the line that sound clients send.
const soundLine = "a line of a sound client\r\n"

var errNoReply = errors.New("no reply")

// soundClients keep the protocol and measure delays: some have a stream on which they exchange lines, and one opens new
// streams. Those with plain lines have a connection each; with channels, half of them share one. A client whose stream
// is moved opens another.
type soundClients struct {
	addr     string
	channels bool
	stopped  chan struct{}
	clients  sync.WaitGroup

	mu         sync.Mutex
	shared     *sshchan.Conn
	opened     int // number of requests so far
	lines      []time.Duration
	answers    []time.Duration
	refused    int
	unanswered int
}

func startSoundClients(addr string, channels bool) *soundClients {
	s := &soundClients{addr: addr, channels: channels, stopped: make(chan struct{})}
	for i := range soundStreams {
		s.clients.Go(func() { s.keepStream(channels && i%2 == 0) })
	}
	s.clients.Go(s.openStreams)
	return s
}

// stream is an established stream, a connection or a channel.
type stream struct {
	io.ReadWriteCloser
	reader *bufio.Reader
}

// open opens a stream and records the answer. It returns false unless the stream is established.
func (s *soundClients) open(onChannel bool) (stream, bool) {
	s.mu.Lock()
	s.opened++
	deadline := soundDeadline.Milliseconds()
	line := fmt.Sprintf("OPEN 5%07x %x c=%s,d=%d", s.opened, s.opened, deployment.IndexSync, deadline)
	s.mu.Unlock()
	start := time.Now()
	opened, answer, err := s.openLine(line, onChannel)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.unanswered++
		return opened, false
	}
	s.answers = append(s.answers, time.Since(start))
	if !strings.HasPrefix(answer, "UP ") {
		s.refused++
		return opened, false
	}
	return opened, true
}

// openLine opens a stream and returns the answer.
func (s *soundClients) openLine(line string, onChannel bool) (stream, string, error) {
	if onChannel {
		shared, err := s.sharedConn()
		if err != nil {
			return stream{}, "", err
		}
		channel, err := shared.Open(line)
		if err != nil {
			return stream{}, "", err
		}
		select {
		case answer := <-channel.Answered():
			return stream{channel, bufio.NewReader(channel)}, answer.Line, nil
		case <-time.After(replyTimeout):
			return stream{}, "", errNoReply
		}
	}
	conn, err := net.DialTimeout("tcp", s.addr, replyTimeout)
	if err != nil {
		return stream{}, "", err
	}
	_ = conn.SetReadDeadline(time.Now().Add(replyTimeout))
	_, _ = io.WriteString(conn, line+"\r\n")
	reader := bufio.NewReader(conn)
	answer, err := reader.ReadString('\n')
	_ = conn.SetReadDeadline(time.Time{})
	return stream{conn, reader}, answer, err
}

// sharedConn returns the connection that the channels share; a new one if the balancer has ended it.
func (s *soundClients) sharedConn() (*sshchan.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shared != nil && s.shared.Err() == nil {
		return s.shared, nil
	}
	conn, err := net.DialTimeout("tcp", s.addr, replyTimeout)
	if err != nil {
		return nil, err
	}
	s.shared, err = sshchan.Client(conn, echo.WindowBytes)
	return s.shared, err
}

// keepStream exchanges lines on a stream and opens another when it has ended.
func (s *soundClients) keepStream(onChannel bool) {
	for !s.pause(lineInterval) {
		if opened, up := s.open(onChannel); up {
			s.exchangeLines(opened)
			_ = opened.Close()
		}
	}
}

// exchangeLines sends a line at each interval and waits for its echo, until the stream is moved or broken.
func (s *soundClients) exchangeLines(on stream) {
	for !s.pause(lineInterval) {
		start := time.Now()
		replied := make(chan error, 1)
		var reply string
		go func() {
			_, _ = io.WriteString(on, soundLine)
			var err error
			reply, err = on.reader.ReadString('\n')
			replied <- err
		}()
		var err error
		select {
		case err = <-replied:
		case <-time.After(replyTimeout):
			err = errNoReply
		}
		if err != nil || reply != soundLine {
			s.recordEnd(on, reply, err)
			return
		}
		s.mu.Lock()
		s.lines = append(s.lines, time.Since(start))
		s.mu.Unlock()
	}
}

// recordEnd records the end of a stream. One that was moved is no fault.
func (s *soundClients) recordEnd(on stream, reply string, err error) {
	if strings.HasPrefix(reply, "MOVE") {
		return
	}
	if channel, ok := on.ReadWriteCloser.(*sshchan.Channel); ok && errors.Is(err, io.EOF) {
		if _, moved := channel.Moved(); moved {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered++
}

// openStreams opens a stream at each interval, in turn on a connection and, with channels, on the shared one.
func (s *soundClients) openStreams() {
	for onChannel := false; !s.pause(openInterval); onChannel = s.channels && !onChannel {
		if opened, _ := s.open(onChannel); opened.ReadWriteCloser != nil {
			_ = opened.Close()
		}
	}
}

// pause waits, and reports whether the clients are to stop.
func (s *soundClients) pause(span time.Duration) bool {
	select {
	case <-s.stopped:
		return true
	case <-time.After(span):
		return false
	}
}

// stop ends the clients and adds their figures to the result.
func (s *soundClients) stop(result *Result) {
	close(s.stopped)
	s.clients.Wait()
	if s.shared != nil {
		_ = s.shared.Close()
	}
	result.Lines = len(s.lines)
	result.LineP99 = percentile(s.lines, 0.99)
	result.LineMax = percentile(s.lines, 1)
	result.Answers = len(s.answers)
	result.AnswerMax = percentile(s.answers, 1)
	result.Refused = s.refused
	result.Unanswered = s.unanswered
}
