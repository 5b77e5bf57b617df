// Package frontend is a stand-in for the front end before the balancers: it hands clients' connections out in turn,
// uses one once it has answered PING, and notices only after a while that one has died. It forwards bytes and ends,
// and reads nothing.
package frontend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Frontend is one listener in front of some balancers.
type Frontend struct {
	ln       net.Listener
	notice   time.Duration
	mu       sync.Mutex
	backends []*backend
	next     int
	conns    map[net.Conn]bool
	stop     chan struct{}
}

type backend struct {
	addr    string
	healthy bool
}

const (
	pingEvery = 100 * time.Millisecond
	pingTime  = 500 * time.Millisecond
)

// Start listens on loopback. notice is how long a dead balancer is still sent clients.
func Start(notice time.Duration, balancers ...string) (*Frontend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Frontend{ln: ln, notice: notice, conns: map[net.Conn]bool{}, stop: make(chan struct{})}
	for _, addr := range balancers {
		b := &backend{addr: addr}
		f.backends = append(f.backends, b)
		go f.watch(b)
	}
	go f.accept()
	return f, nil
}

// Addr is where clients connect.
func (f *Frontend) Addr() string { return f.ln.Addr().String() }

// Healthy is how many balancers clients are handed to.
func (f *Frontend) Healthy() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, b := range f.backends {
		if b.healthy {
			n++
		}
	}
	return n
}

// Close ends it with all connections.
func (f *Frontend) Close() error {
	close(f.stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_ = c.Close()
	}
	return f.ln.Close()
}

// watch pings one balancer for as long as the front end runs.
func (f *Frontend) watch(b *backend) {
	var badSince time.Time
	for {
		ok := ping(b.addr)
		f.mu.Lock()
		switch {
		case ok:
			b.healthy, badSince = true, time.Time{}
		case badSince.IsZero():
			badSince = time.Now()
		case time.Since(badSince) >= f.notice:
			b.healthy = false
		}
		f.mu.Unlock()
		select {
		case <-f.stop:
			return
		case <-time.After(pingEvery):
		}
	}
}

func ping(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, pingTime)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(pingTime))
	if _, err := c.Write([]byte("PING\r\n")); err != nil {
		return false
	}
	got, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && got == "PONG\r\n"
}

func (f *Frontend) accept() {
	for {
		c, err := f.ln.Accept()
		if err != nil {
			return
		}
		go f.forward(c.(*net.TCPConn))
	}
}

// pick is the next balancer's turn.
func (f *Frontend) pick() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.backends {
		b := f.backends[f.next%len(f.backends)]
		f.next++
		if b.healthy {
			return b.addr
		}
	}
	return ""
}

// forward copies bytes both ways, and each side's end in kind.
func (f *Frontend) forward(client *net.TCPConn) {
	var server *net.TCPConn
	if addr := f.pick(); addr != "" {
		if c, err := net.Dial("tcp", addr); err == nil {
			server = c.(*net.TCPConn)
		}
	}
	if server == nil {
		_ = client.Close()
		return
	}
	f.track(client, server, true)
	defer f.track(client, server, false)
	done := make(chan struct{})
	go func() {
		copyBytes(server, client)
		close(done)
	}()
	copyBytes(client, server)
	<-done
	_ = client.Close()
	_ = server.Close()
}

func (f *Frontend) track(a, b net.Conn, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range []net.Conn{a, b} {
		if on {
			f.conns[c] = true
		} else {
			delete(f.conns, c)
		}
	}
}

func copyBytes(to, from *net.TCPConn) {
	_, err := io.Copy(to, from)
	if errors.Is(err, syscall.ECONNRESET) {
		_ = to.SetLinger(0)
		_ = to.Close()
		return
	}
	_ = to.CloseWrite()
}
