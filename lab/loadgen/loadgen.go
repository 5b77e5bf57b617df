// Package loadgen is a closed-loop load generator: its clients each send a line, wait for its echo and send the
// next, or open and end connections, as fast as a balancer lets them. Two programs are measured in turn, in one
// run, so that a machine that changes its speed changes both.
package loadgen

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"spurspread/lab/deployment"
	"spurspread/lab/echo"
	"spurspread/lab/sshchan"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sample is one measurement of one program.
type Sample struct {
	PerSecond float64 // lines passed on a second, both ways
	PerCPU    float64 // lines passed on a second of the balancer's CPU time
}

// share is how many channels a connection carries.
const share = 8

// Measure runs one balancer between conns clients and an echoing node for span, with a connection for each, or with
// channels of fewer connections on both sides.
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
	return Lines(b.Addr(), b.Pid(), conns, span, channels)
}

// Lines measures a balancer that runs, with clients on a node that echoes.
func Lines(addr string, pid, conns int, span time.Duration, channels bool) (Sample, error) {
	var lines atomic.Int64
	var failed atomic.Pointer[error]
	var clients, up sync.WaitGroup
	stop := make(chan struct{})
	begin := make(chan struct{})
	var shared *sshchan.Conn
	for i := range conns {
		if channels && i%share == 0 {
			var err error
			if shared, err = connect(addr); err != nil {
				return Sample{}, err
			}
			defer func(c *sshchan.Conn) { _ = c.Close() }(shared)
		}
		clients.Add(1)
		up.Add(1)
		over := shared
		go func() {
			defer clients.Done()
			if err := echoLines(addr, over, i, &up, begin, stop, &lines); err != nil {
				failed.Store(&err)
			}
		}()
	}
	up.Wait()
	close(begin)
	time.Sleep(span / 10) // until all run
	return finish(pid, span, 2, &lines, func() error {
		close(stop)
		clients.Wait()
		if err := failed.Load(); err != nil {
			return *err
		}
		return nil
	})
}

// finish counts for a span, and ends what is counted.
func finish(pid int, span time.Duration, each float64, count *atomic.Int64, stop func() error) (Sample, error) {
	from, cpu := count.Load(), CPUTime(pid)
	start := time.Now()
	time.Sleep(span)
	passed, took, used := count.Load()-from, time.Since(start), CPUTime(pid)-cpu
	return Sample{each * float64(passed) / took.Seconds(), each * float64(passed) / used.Seconds()}, stop()
}

// refusedWait is how long a client waits before it asks again.
const refusedWait = 20 * time.Millisecond

// SetUps measures how many connections come to stand, with clients that each open one, end it, and open the next.
func SetUps(addr string, pid, clients int, span time.Duration) (Sample, error) {
	var ups, tries atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, _, err := Open(
					addr,
					fmt.Sprintf("OPEN %x%08x 7f c=%s,d=1200", i+1, tries.Add(1), deployment.IndexSync),
					0,
				)
				if errors.Is(err, ErrRefused) {
					time.Sleep(refusedWait)
				}
				if err != nil {
					continue
				}
				ups.Add(1)
				_ = c.Close()
			}
		}()
	}
	time.Sleep(span / 10)
	return finish(pid, span, 1, &ups, func() error {
		close(stop)
		wg.Wait()
		return nil
	})
}

func connect(addr string) (*sshchan.Conn, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return sshchan.Client(c, echo.Window)
}

func echoLines(
	addr string,
	over *sshchan.Conn,
	i int,
	up *sync.WaitGroup,
	begin, stop chan struct{},
	lines *atomic.Int64,
) error {
	c, rd, err := open(addr, over, i, up)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	<-begin
	line := []byte(fmt.Sprintf("T %d 0123456789abcdef0123456789abcdef\r\n", i))
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		if _, err := c.Write(line); err != nil {
			return err
		}
		if _, err := rd.ReadSlice('\n'); err != nil {
			return err
		}
		lines.Add(1)
	}
}

// ErrRefused says that a balancer was reached, and that the connection did not come to stand.
var ErrRefused = errors.New("the connection did not come to stand")

// Open opens a connection with a first line, written without its end, and waits for the answer, for as long as most
// where that is not 0. The error is ErrRefused where the answer is not UP, and where none comes.
func Open(addr, first string, most time.Duration) (net.Conn, *bufio.Reader, error) {
	c, err := net.DialTimeout("tcp", addr, most)
	if err != nil {
		return nil, nil, err
	}
	if most > 0 {
		_ = c.SetDeadline(time.Now().Add(most))
	}
	rd := bufio.NewReader(c)
	_, _ = fmt.Fprint(c, first+"\r\n") // an error shows at the read
	got, err := rd.ReadString('\n')
	if err != nil || !strings.HasPrefix(got, "UP ") {
		_ = c.Close()
		return nil, nil, ErrRefused
	}
	return c, rd, nil
}

// open comes to stand; a balancer fills its nodes at a rate, so it is asked until it has room.
func open(addr string, over *sshchan.Conn, i int, up *sync.WaitGroup) (io.ReadWriteCloser, *bufio.Reader, error) {
	defer up.Done()
	for try := range 200 {
		first := fmt.Sprintf("OPEN %x%04x 7f c=%s,d=1200", i+1, try, deployment.IndexSync)
		if over != nil {
			ch, err := over.Open(first)
			if err != nil {
				return nil, nil, err
			}
			if a := <-ch.Answered(); a.Up {
				return ch, bufio.NewReader(ch), nil
			}
			time.Sleep(100 * time.Millisecond)
			continue
		}
		c, rd, err := Open(addr, first, 0)
		if err == nil {
			return c, rd, nil
		}
		if !errors.Is(err, ErrRefused) {
			return nil, nil, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, nil, fmt.Errorf("connection %d never came to stand", i)
}

// CPUTime is what a process has used, from /proc; its clock ticks a hundred times a second.
func CPUTime(pid int) time.Duration {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}
