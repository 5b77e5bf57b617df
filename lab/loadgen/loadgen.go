// Package loadgen is a closed-loop load generator. Its clients send a line, wait for its echo and send the next, or
// they open and close connections, as fast as the balancer allows. A Sample is the rate that they reached. To compare
// two versions of the balancer, callers measure them alternately in one run, so that changes of the machine's speed
// affect both. The package must not know how a balancer forwards.
package loadgen

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"spurspread/lab/deployment"
	"spurspread/lab/echo"
	"spurspread/lab/sshchan"
)

const (
	// streamsPerConnection is the number of channels that share a connection.
	streamsPerConnection = 8
	// The warm-up before a measurement, in which all clients begin, lasts for the measured span over warmUpDivisor.
	warmUpDivisor = 10
	// refusedPause is the pause of a client of MeasureSetUps after a refusal.
	refusedPause = 20 * time.Millisecond
	// A client of MeasureLines makes up to openAttempts attempts to open its stream, openPause apart: a balancer
	// limits the rate of new connections to its nodes.
	openAttempts = 200
	openPause    = 100 * time.Millisecond
	// directions is the number of times that an echoed line is counted: a balancer forwards the line and its echo.
	directions = 2
)

// Sample is the result of one measurement of a balancer.
type Sample struct {
	PerSecond float64 // lines forwarded in both directions, or connections set up, per second
	PerCPU    float64 // the same per second of the balancer's processor time
}

// Measure starts a balancer from the executable program and an echoing node, and returns the result of MeasureLines.
func Measure(program string, conns int, span time.Duration, channels bool) (Sample, error) {
	dir, err := os.MkdirTemp("", "loadgen")
	if err != nil {
		return Sample{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Sample{}, err
	}
	defer func() { _ = ln.Close() }()
	go echo.Serve(ln, nil)
	b, err := deployment.StartSingle(program, dir, ln.Addr().String(), channels)
	if err != nil {
		return Sample{}, err
	}
	defer b.Kill()
	return MeasureLines(b.Addr(), b.Pid(), conns, span, channels)
}

// MeasureLines measures how many lines a running balancer, with the process id pid, forwards during span between conns
// clients and an echoing node. Each client has its own connection, or with channels a channel of a shared connection.
// If a client fails, MeasureLines returns the client's error.
func MeasureLines(addr string, pid, conns int, span time.Duration, channels bool) (Sample, error) {
	clients := newLineClients(addr)
	var shared *sshchan.Conn
	for i := range conns {
		if channels && i%streamsPerConnection == 0 {
			var err error
			if shared, err = dialChannels(addr); err != nil {
				return Sample{}, err
			}
			defer func(c *sshchan.Conn) { _ = c.Close() }(shared)
		}
		clients.start(i, shared)
	}
	clients.opened.Wait()
	close(clients.begin)
	time.Sleep(span / warmUpDivisor)
	return measureRate(pid, span, directions, &clients.lines, clients.stop)
}

// lineClients is a group of clients that begin to send lines once all of them have opened their connections.
type lineClients struct {
	addr    string
	opened  sync.WaitGroup // done for each client that has opened its connection, or failed to
	running sync.WaitGroup
	begin   chan struct{} // closed when they may send
	end     chan struct{} // closed when they must stop
	lines   atomic.Int64  // echoes received
	failed  atomic.Pointer[error]
}

func newLineClients(addr string) *lineClients {
	return &lineClients{addr: addr, begin: make(chan struct{}), end: make(chan struct{})}
}

// start starts client i, on a channel of shared if that is not nil.
func (l *lineClients) start(i int, shared *sshchan.Conn) {
	l.running.Add(1)
	l.opened.Add(1)
	go func() {
		defer l.running.Done()
		if err := l.sendLines(i, shared); err != nil {
			l.failed.Store(&err)
		}
	}()
}

// stop ends the clients, and returns the error of a client that failed; nil if none did.
func (l *lineClients) stop() error {
	close(l.end)
	l.running.Wait()
	if err := l.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// sendLines opens client i's connection, and then sends lines and reads their echoes until the clients are stopped.
func (l *lineClients) sendLines(i int, shared *sshchan.Conn) error {
	conn, reader, err := openAdmitted(l.addr, shared, i)
	l.opened.Done()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	<-l.begin
	line := []byte(fmt.Sprintf("T %d 0123456789abcdef0123456789abcdef\r\n", i))
	for {
		select {
		case <-l.end:
			return nil
		default:
		}
		if _, err := conn.Write(line); err != nil {
			return err
		}
		if _, err := reader.ReadSlice('\n'); err != nil {
			return err
		}
		l.lines.Add(1)
	}
}

// measureRate measures the growth of count during span, multiplied by weight, and then stops the clients.
func measureRate(pid int, span time.Duration, weight float64, count *atomic.Int64, stop func() error) (Sample, error) {
	countBefore := count.Load()
	cpuBefore := CPUTime(pid)
	start := time.Now()
	time.Sleep(span)
	counted := weight * float64(count.Load()-countBefore)
	elapsed := time.Since(start)
	cpu := CPUTime(pid) - cpuBefore
	return Sample{PerSecond: counted / elapsed.Seconds(), PerCPU: counted / cpu.Seconds()}, stop()
}

// MeasureSetUps measures how many connections a running balancer, with the process id pid, sets up during span for
// clients that each open a connection, close it and open the next. Refused and failed connections are neither counted
// nor reported.
func MeasureSetUps(addr string, pid, clients int, span time.Duration) (Sample, error) {
	var established, attempts atomic.Int64
	var running sync.WaitGroup
	end := make(chan struct{})
	for i := range clients {
		running.Add(1)
		go func() {
			defer running.Done()
			for {
				select {
				case <-end:
					return
				default:
				}
				if openAndClose(addr, openLine(fmt.Sprintf("%x%08x", i+1, attempts.Add(1)))) {
					established.Add(1)
				}
			}
		}()
	}
	time.Sleep(span / warmUpDivisor)
	return measureRate(pid, span, 1, &established, func() error {
		close(end)
		running.Wait()
		return nil
	})
}

// openAndClose opens and closes a connection, and reports whether it was established. It waits for refusedPause after a
// refusal.
func openAndClose(addr, first string) bool {
	conn, _, err := Open(addr, first, 0)
	if errors.Is(err, ErrRefused) {
		time.Sleep(refusedPause)
	}
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// openLine returns an OPEN line, without its end.
func openLine(id string) string {
	return fmt.Sprintf("OPEN %s 7f c=%s,d=1200", id, deployment.IndexSync)
}

func dialChannels(addr string) (*sshchan.Conn, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return sshchan.Client(conn, echo.WindowBytes)
}

// ErrRefused is returned if a balancer was reached but did not establish the connection.
var ErrRefused = errors.New("connection refused by the balancer")

// Open opens a connection with a first line, given without its end, and waits for the answer. The timeout bounds the
// dial, and the time from then until the connection is closed; 0 means no bound. The error is ErrRefused if the answer
// is not UP, or if the connection ends without an answer.
func Open(addr, first string, timeout time.Duration) (net.Conn, *bufio.Reader, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, nil, err
	}
	if timeout > 0 {
		_ = conn.SetDeadline(time.Now().Add(timeout))
	}
	reader := bufio.NewReader(conn)
	_, _ = fmt.Fprint(conn, first+"\r\n") // after an error the read fails, too
	answer, err := reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(answer, "UP ") {
		_ = conn.Close()
		return nil, nil, ErrRefused
	}
	return conn, reader, nil
}

// openAdmitted opens client i's connection, or its channel if shared is not nil. It tries again after each refusal,
// openAttempts times in all.
func openAdmitted(addr string, shared *sshchan.Conn, i int) (io.ReadWriteCloser, *bufio.Reader, error) {
	for attempt := range openAttempts {
		first := openLine(fmt.Sprintf("%x%04x", i+1, attempt))
		conn, reader, err := openOnce(addr, shared, first)
		if err == nil {
			return conn, reader, nil
		}
		if !errors.Is(err, ErrRefused) {
			return nil, nil, err
		}
		time.Sleep(openPause)
	}
	return nil, nil, fmt.Errorf("connection %d, %d attempts: %w", i, openAttempts, ErrRefused)
}

// openOnce opens a channel of shared, or a new connection if shared is nil.
func openOnce(addr string, shared *sshchan.Conn, first string) (io.ReadWriteCloser, *bufio.Reader, error) {
	if shared == nil {
		conn, reader, err := Open(addr, first, 0)
		if err != nil {
			return nil, nil, err
		}
		return conn, reader, nil
	}
	channel, err := shared.Open(first)
	if err != nil {
		return nil, nil, err
	}
	if answer := <-channel.Answered(); !answer.Up {
		return nil, nil, ErrRefused
	}
	return channel, bufio.NewReader(channel), nil
}
