package connections

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"

	"spurspread/lab/netloop"
)

// servers are the stand-in servers. They answer a first line with UP and echo each further line. While withholding is
// set they do not answer first lines.
type servers struct {
	workers     workers
	addrs       []netip.AddrPort
	withholding atomic.Bool
	unanswered  atomic.Int64 // first lines whose answer was withheld
	established atomic.Int64 // connections whose first line was answered

	// By worker; each element is used only on its loop.
	listeners   [][]*netloop.Listener
	connections []map[*serverConn]bool
}

// startServers listens on a number of loopback addresses, which are assigned to the loops in turn.
func startServers(loops, listeners int) (*servers, error) {
	all, err := newWorkers(loops)
	s := &servers{
		workers:     all,
		listeners:   make([][]*netloop.Listener, loops),
		connections: make([]map[*serverConn]bool, loops),
	}
	for worker := range s.connections {
		s.connections[worker] = map[*serverConn]bool{}
	}
	for i := 0; i < listeners && err == nil; i++ {
		worker := i % loops
		all[worker].do(func() { err = s.listen(worker) })
	}
	if err != nil {
		s.close()
		return nil, fmt.Errorf("stand-in servers: %w", err)
	}
	return s, nil
}

// listen opens a listener on the loop of a worker.
func (s *servers) listen(worker int) error {
	loop := s.workers[worker].loop
	listener, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(fd int) { s.accept(worker, fd) })
	if err != nil {
		return err
	}
	s.addrs = append(s.addrs, listener.Addr())
	s.listeners[worker] = append(s.listeners[worker], listener)
	return nil
}

// accept adds a connection from a balancer, on the loop of the worker.
func (s *servers) accept(worker, fd int) {
	c := &serverConn{servers: s, worker: worker}
	conn, err := s.workers[worker].loop.Adopt(fd, c)
	if err != nil {
		return // Adopt has closed the descriptor
	}
	s.connections[worker][c] = true
	c.Readable(conn)
}

// reset closes all connections, whose balancer has exited, and answers first lines again.
func (s *servers) reset() {
	s.workers.each(func(index int, _ *worker) { s.closeConnections(index) })
	s.withholding.Store(false)
	s.unanswered.Store(0)
	s.established.Store(0)
}

// closeConnections closes the connections of a worker, on its loop.
func (s *servers) closeConnections(worker int) {
	for c := range s.connections[worker] {
		c.close()
	}
}

// close closes all connections and listeners, and stops the loops.
func (s *servers) close() {
	s.workers.each(func(index int, _ *worker) {
		s.closeConnections(index)
		for _, listener := range s.listeners[index] {
			listener.Close()
		}
	})
	s.workers.close()
}

// serverConn is one connection from a balancer to a stand-in server.
type serverConn struct {
	servers     *servers
	worker      int
	conn        *netloop.Conn
	firstLine   []byte // received part of the first line
	established bool
}

// Readable implements netloop.Owner.
func (c *serverConn) Readable(conn *netloop.Conn) {
	c.conn = conn
	scratch := c.servers.workers[c.worker].scratch
	for {
		n, err := conn.Read(scratch)
		if errors.Is(err, netloop.ErrAgain) {
			return
		}
		if err != nil {
			c.close()
			return
		}
		if c.established {
			conn.Write(scratch[:n])
		} else {
			c.handleFirstLine(scratch[:n])
		}
	}
}

// handleFirstLine handles a part of the first line. A balancer sends nothing more before the answer.
func (c *serverConn) handleFirstLine(part []byte) {
	c.firstLine = append(c.firstLine, part...)
	if c.firstLine[len(c.firstLine)-1] != '\n' {
		return
	}
	isPing := bytes.HasPrefix(c.firstLine, []byte("PING"))
	c.firstLine = nil
	switch {
	case isPing:
		c.conn.Write([]byte("PONG\r\n"))
	case c.servers.withholding.Load():
		c.servers.unanswered.Add(1)
	default:
		c.established = true
		c.servers.established.Add(1)
		c.conn.Write([]byte("UP 1\r\n"))
	}
}

// close closes the connection, unless it is closed already.
func (c *serverConn) close() {
	open := c.servers.connections[c.worker]
	if !open[c] {
		return
	}
	delete(open, c)
	if c.established {
		c.servers.established.Add(-1)
	}
	c.conn.Close()
}
