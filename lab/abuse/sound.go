package abuse

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
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

var errNotEstablished = errors.New("a sound client's stream was not established")

// soundClients keep the protocol and measure delays: some have a stream on which they exchange lines, and one opens new
// streams. Those with plain lines have a connection each; with channels, half of them share one.
type soundClients struct {
	addr    string
	shared  *sshchan.Conn // nil for plain lines only
	stopped chan struct{}
	clients sync.WaitGroup

	mu         sync.Mutex
	lines      []time.Duration
	answers    []time.Duration
	refused    int
	unanswered int
}

func startSoundClients(addr string, channels bool) (*soundClients, error) {
	s := &soundClients{addr: addr, stopped: make(chan struct{})}
	if channels {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, err
		}
		if s.shared, err = sshchan.Client(conn, echo.WindowBytes); err != nil {
			return nil, err
		}
	}
	for i := range soundStreams {
		stream, answer, err := s.open(i, s.shared != nil && i%2 == 0)
		if err != nil || len(answer) < 2 || answer[:2] != "UP" {
			return nil, fmt.Errorf("%w: %q, %w", errNotEstablished, answer, err)
		}
		s.clients.Go(func() { s.exchangeLines(stream) })
	}
	s.clients.Go(s.openStreams)
	return s, nil
}

// stream is an established stream, a connection or a channel.
type stream struct {
	io.ReadWriteCloser
	reader *bufio.Reader
}

// open opens a stream and returns the answer.
func (s *soundClients) open(number int, onChannel bool) (stream, string, error) {
	line := fmt.Sprintf("OPEN 5%07x %x c=%s,d=%d", number, number, deployment.IndexSync, soundDeadline.Milliseconds())
	if onChannel {
		channel, err := s.shared.Open(line)
		if err != nil {
			return stream{}, "", err
		}
		select {
		case answer := <-channel.Answered():
			return stream{channel, bufio.NewReader(channel)}, answer.Line, nil
		case <-time.After(replyTimeout):
			return stream{}, "", errNotEstablished
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

// exchangeLines sends a line at each interval and waits for its echo.
func (s *soundClients) exchangeLines(stream stream) {
	defer func() { _ = stream.Close() }()
	for !s.pause(lineInterval) {
		start := time.Now()
		done := make(chan error, 1)
		go func() {
			_, _ = io.WriteString(stream, "a line of a sound client\r\n")
			_, err := stream.reader.ReadString('\n')
			done <- err
		}()
		select {
		case err := <-done:
			s.recordLine(time.Since(start), err)
			if err != nil {
				return
			}
		case <-time.After(replyTimeout):
			s.recordLine(replyTimeout, errNotEstablished)
			return
		}
	}
}

func (s *soundClients) recordLine(delay time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.unanswered++
		return
	}
	s.lines = append(s.lines, delay)
}

// openStreams opens a stream at each interval, in turn on a connection and, with channels, on the shared one.
func (s *soundClients) openStreams() {
	for number := soundStreams; !s.pause(openInterval); number++ {
		start := time.Now()
		stream, answer, err := s.open(number, s.shared != nil && number%2 == 0)
		delay := time.Since(start)
		s.mu.Lock()
		switch {
		case err != nil:
			s.unanswered++
		case len(answer) < 2 || answer[:2] != "UP":
			s.refused++
			fallthrough
		default:
			s.answers = append(s.answers, delay)
		}
		s.mu.Unlock()
		if stream.ReadWriteCloser != nil {
			_ = stream.Close()
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
