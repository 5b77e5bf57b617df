// Package frontend emulates the front end that clients connect to. A Frontend forwards each connection to the next
// healthy balancer, one that answers PING, and stops using a dead balancer only after a delay. It forwards bytes, ends
// and resets, and must not interpret what it forwards.
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
	nextBackend int // counts up; modulo the number of backends it is the index of the next one
	conns       map[net.Conn]bool
}

// backend is one balancer.
type backend struct {
	addr    string
	healthy bool
}

// Start starts a front end on loopback for balancers at the given addresses. A balancer that no longer answers still
// gets connections for failureDelay.
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

// Addr returns the address at which the front end listens for clients.
func (f *Frontend) Addr() string { return f.listener.Addr().String() }

// Healthy returns the number of balancers that get connections.
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

// Close stops the front end and closes all its connections. It may be called only once.
func (f *Frontend) Close() error {
	close(f.stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		_ = conn.Close()
	}
	return f.listener.Close()
}

// checkHealth pings one balancer periodically until the front end is closed. The balancer becomes healthy by its first
// answer, and unhealthy once all pings have failed for failureDelay.
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

// ping reports whether the balancer answers a PING. Dial and answer are bounded by pingTimeout each.
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

// nextHealthy returns the address of the next healthy balancer in round-robin order; "" if there is none.
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

// dial connects to the next healthy balancer. It returns nil if there is none or it can't be reached.
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

// forward copies bytes in both directions, and ends each side in the way in which the other was ended. If no balancer
// can be reached it closes the client's connection.
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

// copyBytes copies until the source ends, and then ends the destination in the same way: by a reset or by FIN.
func copyBytes(to, from *net.TCPConn) {
	_, err := io.Copy(to, from)
	if errors.Is(err, syscall.ECONNRESET) {
		_ = to.SetLinger(0)
		_ = to.Close()
		return
	}
	_ = to.CloseWrite()
}
