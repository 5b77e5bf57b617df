// Package loadgen is a closed-loop load generator. Its clients send a line, wait for its echo and send the next, or
// open and close connections, as fast as a balancer lets them; a Sample is the rate that they reached. Two programs
// are measured by turns in one run, so that a machine that changes its speed changes both. The package must not know
// how a balancer forwards.
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
	// streamsPerConnection channels share a connection.
	streamsPerConnection = 8
	// warmUpDivisor of the measured span is waited before it, until all clients run.
	warmUpDivisor = 10
	// refusedPause is how long a client of SetUps waits after a refusal.
	refusedPause = 20 * time.Millisecond
	// A client of Lines opens openAttempts times, with openPause between: a balancer fills its nodes at a limited
	// rate.
	openAttempts = 200
	openPause    = 100 * time.Millisecond
	// directions are counted for each echoed line.
	directions = 2
)

// Sample is one measurement of one program.
type Sample struct {
	PerSecond float64 // lines forwarded, both ways, or connections set up
	PerCPU    float64 // the same per second of the balancer's processor time
}

// Measure starts a balancer and an echoing node, and measures Lines.
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

// MeasureLines measures how many lines a running balancer forwards for conns clients, whose node echoes, during span. Each
// client has a connection of its own, or with channels a channel of a shared one. The first client that fails ends
// the measurement with its error.
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

// lineClients are clients that send lines, from the time when all have opened their connections.
type lineClients struct {
	addr    string
	opened  sync.WaitGroup // the clients that have opened, or failed to
	running sync.WaitGroup
	begin   chan struct{} // closed when they may send
	end     chan struct{} // closed when they must stop
	lines   atomic.Int64  // echoes received
	failed  atomic.Pointer[error]
}

func newLineClients(addr string) *lineClients {
	return &lineClients{addr: addr, begin: make(chan struct{}), end: make(chan struct{})}
}

// start starts client i, over a channel of shared if that is set.
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

// stop ends the clients, and returns the error of one of them.
func (l *lineClients) stop() error {
	close(l.end)
	l.running.Wait()
	if err := l.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// sendLines opens a connection, and then sends lines and reads their echoes.
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

// measureRate measures how much a count grows during span, each step worth weight, and then stops what is counted.
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

// MeasureSetUps measures how many connections a running balancer sets up during span, for clients that each open one, close
// it and open the next. Refusals and errors are not counted, and not reported.
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

// openAndClose reports whether a connection was established. It waits a little after a refusal.
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

// openLine is a first line, without its end.
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

// ErrRefused is the error of a balancer that was reached, and did not establish the connection.
var ErrRefused = errors.New("the connection did not come to stand")

// Open opens a connection with a first line, given without its end, and waits for the answer. The timeout bounds the
// dial, and the time from then until the connection is closed; 0 is no bound. The error is ErrRefused if the answer
// is not UP, or if the connection ends without one.
func Open(addr, first string, timeout time.Duration) (net.Conn, *bufio.Reader, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, nil, err
	}
	if timeout > 0 {
		_ = conn.SetDeadline(time.Now().Add(timeout))
	}
	reader := bufio.NewReader(conn)
	_, _ = fmt.Fprint(conn, first+"\r\n") // the read shows an error
	answer, err := reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(answer, "UP ") {
		_ = conn.Close()
		return nil, nil, ErrRefused
	}
	return conn, reader, nil
}

// openAdmitted opens client i's connection, or its channel if shared is set, again and again while it is refused.
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

// openOnce opens a channel of shared, or a connection without it.
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
