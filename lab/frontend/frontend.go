// Package frontend is the emulated front end before the balancers. It gives each connection to the next balancer that
// answers PING, and notices only after a while that one has died. It forwards bytes, ends and resets, and must not
// read what it forwards.
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

const (
	pingInterval = 100 * time.Millisecond
	pingTimeout  = 500 * time.Millisecond
)

// Frontend is one listener in front of some balancers. Its methods may be called from any goroutine.
type Frontend struct {
	listener     net.Listener
	failureDelay time.Duration
	stop         chan struct{}

	mu          sync.Mutex
	backends    []*backend
	nextBackend int // by round robin
	conns       map[net.Conn]bool
}

// backend is one balancer.
type backend struct {
	addr    string
	healthy bool
}

// Start starts a front end on loopback. A balancer that no longer answers is given connections for failureDelay more.
func Start(failureDelay time.Duration, balancers ...string) (*Frontend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Frontend{
		listener:     ln,
		failureDelay: failureDelay,
		stop:         make(chan struct{}),
		conns:        map[net.Conn]bool{},
	}
	for _, addr := range balancers {
		f.backends = append(f.backends, &backend{addr: addr})
	}
	for _, b := range f.backends {
		go f.checkHealth(b)
	}
	go f.accept()
	return f, nil
}

// Addr is the address at which clients connect.
func (f *Frontend) Addr() string { return f.listener.Addr().String() }

// Healthy is the number of balancers that are given connections.
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

// Close ends the front end with all its connections. It may be called once.
func (f *Frontend) Close() error {
	close(f.stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		_ = conn.Close()
	}
	return f.listener.Close()
}

// checkHealth pings one balancer periodically until the front end is closed. The balancer is healthy from its first
// answer on, and no longer once all pings of failureDelay have failed.
func (f *Frontend) checkHealth(b *backend) {
	var failingSince time.Time
	for {
		ok := ping(b.addr)
		f.mu.Lock()
		switch {
		case ok:
			b.healthy = true
			failingSince = time.Time{}
		case failingSince.IsZero():
			failingSince = time.Now()
		case time.Since(failingSince) >= f.failureDelay:
			b.healthy = false
		}
		f.mu.Unlock()
		select {
		case <-f.stop:
			return
		case <-time.After(pingInterval):
		}
	}
}

// ping reports whether a balancer answers within pingTimeout.
func ping(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, pingTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(pingTimeout))
	if _, err := conn.Write([]byte("PING\r\n")); err != nil {
		return false
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && answer == "PONG\r\n"
}

func (f *Frontend) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.forward(conn.(*net.TCPConn))
	}
}

// nextHealthy is the address of the next healthy balancer by round robin, "" if none is.
func (f *Frontend) nextHealthy() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.backends {
		b := f.backends[f.nextBackend%len(f.backends)]
		f.nextBackend++
		if b.healthy {
			return b.addr
		}
	}
	return ""
}

// dial connects to the next healthy balancer; nil if there is none or it can't be reached.
func (f *Frontend) dial() *net.TCPConn {
	addr := f.nextHealthy()
	if addr == "" {
		return nil
	}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil
	}
	return conn.(*net.TCPConn)
}

// forward copies bytes both ways, and ends each side as the other was ended. Without a balancer the client's
// connection is closed.
func (f *Frontend) forward(client *net.TCPConn) {
	server := f.dial()
	if server == nil {
		_ = client.Close()
		return
	}
	f.track(client, server)
	defer f.untrack(client, server)
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

func (f *Frontend) track(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range conns {
		f.conns[conn] = true
	}
}

func (f *Frontend) untrack(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range conns {
		delete(f.conns, conn)
	}
}

// copyBytes copies until the source ends, and then ends the destination alike: by a reset or by FIN.
func copyBytes(to, from *net.TCPConn) {
	_, err := io.Copy(to, from)
	if errors.Is(err, syscall.ECONNRESET) {
		_ = to.SetLinger(0)
		_ = to.Close()
		return
	}
	_ = to.CloseWrite()
}
