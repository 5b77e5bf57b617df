package netloop

import (
	"errors"
	"fmt"
	"io"

	"golang.org/x/sys/unix"
)

// ErrAgain tells that a connection has nothing to read for now.
var ErrAgain = errors.New("nothing to read for now")

// Owner is told of its connection, and may close it then.
type Owner interface {
	// Readable tells that there may be something to read, an end or an error. It is told once: the owner reads
	// until ErrAgain or an error.
	Readable(c *Conn)
}

// Conn is a TCP connection that never blocks. One registration, edge-triggered and for both directions, serves it
// until it is closed, so that neither a full send buffer nor an empty one costs a system call.
type Conn struct {
	loop   *Loop
	fd     int // -1 once closed
	owner  Owner
	unsent []byte // in order; the kernel has not taken it yet
	failed error  // of a write; reads return it
}

// Adopt takes over a nonblocking socket, which may still be connecting. On an error the descriptor is closed.
func (l *Loop) Adopt(fd int, owner Owner) (*Conn, error) {
	c := &Conn{loop: l, fd: fd, owner: owner}
	// Short messages are sent at once: a delay by Nagle's algorithm would count as the delay of what is measured.
	err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err == nil {
		err = l.register(fd, c, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP|unix.EPOLLET)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("adopt: %w", err), unix.Close(fd))
	}
	return c, nil
}

func (c *Conn) ready(events uint32) {
	if events&unix.EPOLLOUT != 0 && len(c.unsent) > 0 {
		c.flush()
	}
	if c.failed != nil || events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		c.owner.Readable(c)
	}
}

// Read reads what has come into b, which must not be empty. The error is ErrAgain where there is nothing for now,
// io.EOF after the peer's end, else the connection's, also that of an earlier Write.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := unix.Read(c.fd, b)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Read(c.fd, b)
	}
	switch {
	case n > 0:
		return n, nil
	case err == nil:
		return 0, io.EOF
	case !errors.Is(err, unix.EAGAIN):
		return 0, err
	case c.failed != nil:
		return 0, c.failed
	}
	return 0, ErrAgain
}

// Write sends b, and keeps a copy of what the kernel does not take at once until it does. What is kept has no
// bound. An error is returned by Read. On a closed connection it does nothing.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.failed != nil {
		return
	}
	if len(c.unsent) == 0 {
		b = b[c.send(b):]
	}
	if c.failed == nil && len(b) > 0 {
		c.unsent = append(c.unsent, b...)
	}
}

// send gives the kernel as much of b as it takes, and returns how much that is.
func (c *Conn) send(b []byte) (sent int) {
	for sent < len(b) {
		n, err := unix.Write(c.fd, b[sent:])
		switch {
		case err == nil:
			sent += n
		case errors.Is(err, unix.EAGAIN):
			return sent
		case !errors.Is(err, unix.EINTR):
			c.failed = err
			return sent
		}
	}
	return sent
}

func (c *Conn) flush() {
	c.unsent = c.unsent[c.send(c.unsent):]
	if len(c.unsent) == 0 || c.failed != nil {
		c.unsent = nil // a connection at rest holds no buffer
	}
}

// Close frees the socket at once, and drops what has not been sent. It does nothing where the connection is closed.
func (c *Conn) Close() {
	if c.fd < 0 {
		return
	}
	c.loop.drop(c.fd)
	c.fd, c.unsent = -1, nil
}
