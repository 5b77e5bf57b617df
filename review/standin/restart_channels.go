//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spurspread/lab/sshchan"
)

// streamEnds is how the streams of the clients ended.
type streamEnds struct {
	mu    sync.Mutex
	ended int
	moved int
	cut   []string // those that ended without MOVE
}

// playRestartChannels has one balancer of trinidad-main in front of nine nodes, with channels to clients. Each client
// has a download on a channel of its connection. The balancer gets SIGTERM. It may cut off no stream without MOVE.
func playRestartChannels(b *bench) ([]string, error) {
	const (
		connections = 12
		window      = 32 << 10                // of a client's channel, in bytes
		clientDelay = 1100 * time.Microsecond // between client and balancer, one way
		killWait    = 2700 * time.Millisecond // the longest deadline, 2 s, and 0.7 s
	)
	zones := []string{"chaguanas", "san-fernando", "arima"}
	site := `<spurspread xmlns="urn:spurspread:site:1" name="trinidad-main"><channels clients="true"/></spurspread>`
	all := &attempts{}
	for i := range 9 {
		n, err := startNode(b, fmt.Sprintf("s-%d", i), all)
		if err != nil {
			return nil, err
		}
		n.setUp, n.download = 5*time.Millisecond, true
		b.discovery.set(server{
			ID: n.id, HostPort: n.addr, Zone: zones[i/3], Kind: "standard", Cell: i / 3, State: "Ready", Weight: 1,
		})
	}
	c := balancerConfig{name: "n0", listen: freeAddr(), settings: trinidad(0, 1, 0), site: site}
	p, err := b.startBalancer(c)
	if err != nil {
		return nil, err
	}
	link, err := startLink(c.listen, clientDelay)
	if err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	ends := &streamEnds{}
	var received atomic.Int64
	up := 0
	for range connections {
		raw, err := net.Dial("tcp", link)
		if err != nil {
			return nil, err
		}
		conn, err := sshchan.Client(raw, window)
		if err != nil {
			return nil, err
		}
		defer func() { _ = conn.Close() }()
		if ch, id, err := openChannel(b, conn); err == nil {
			up++
			clients.Go(func() { ends.read(b, conn, ch, id, &received) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	if up < connections {
		return nil, fmt.Errorf("%w: only %d streams are up", errCannotRun, up)
	}
	time.Sleep(2 * time.Second)
	b.logf("%d bytes received", received.Load())
	if !b.trouble {
		time.Sleep(killWait)
		ends.mu.Lock()
		defer ends.mu.Unlock()
		return ends.cut, nil
	}
	p.signal(syscall.SIGTERM)
	began := time.Now()
	select {
	case <-p.done:
	case <-time.After(killWait):
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	b.logf("the balancer ended %v after SIGTERM", time.Since(began).Round(time.Millisecond))
	clients.Wait()
	b.logf("%d streams ended, %d with MOVE", ends.ended, ends.moved)
	return ends.cut, nil
}

// read reads a stream to its end.
func (s *streamEnds) read(b *bench, conn *sshchan.Conn, ch *sshchan.Channel, id string, received *atomic.Int64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := ch.Read(buf)
		received.Add(int64(n))
		if err == nil {
			continue
		}
		_, moved := ch.Moved()
		b.logf("client: %s ended: %v, moved %v, disconnect %q", id, err, moved, conn.DisconnectReason)
		s.mu.Lock()
		s.ended++
		if moved {
			s.moved++
		} else {
			s.cut = append(s.cut, fmt.Sprintf("the stream of %s was cut off without MOVE: %v, DISCONNECT %q",
				id, err, conn.DisconnectReason))
		}
		s.mu.Unlock()
		_ = ch.Close()
		return
	}
}

// sendDownload writes lines until the stream ends, and answers the client's lines between them.
func (n *node) sendDownload(w io.Writer, lines <-chan string) {
	const atOnce, size = 16, 1000
	text := strings.Repeat(strings.Repeat("x", size-len("\r\n"))+"\r\n", atOnce)
	for {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		select {
		case line := <-lines:
			n.answer(w, line)
		default:
		}
	}
}
