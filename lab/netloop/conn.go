package netloop

import (
	"errors"
	"fmt"
	"io"

	"golang.org/x/sys/unix"
)

// ErrAgain means that a connection has nothing to read for now.
var ErrAgain = errors.New("nothing to read for now")

// Owner handles what its connection receives.
type Owner interface {
	// Readable is called when there may be data, an end or an error to read. It is called once for them: the owner
	// has to read until ErrAgain or another error. It may close the connection.
	Readable(c *Conn)
}

// Conn is a TCP connection that never blocks. It has one registration, edge-triggered and for both directions, until
// it is closed, so that neither a full send buffer nor an empty one costs a system call. It belongs to its loop.
type Conn struct {
	loop     *Loop
	fd       int // closedDescriptor once closed
	owner    Owner
	unsent   []byte // what the kernel has not accepted yet, in order
	writeErr error  // returned by Read
}

// Adopt returns a connection for a nonblocking socket, which may still be connecting. It owns the descriptor from now
// on, and closes it where an error is returned: the kernel refused an option or the registration.
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

// ready implements handler.
func (c *Conn) ready(events uint32) {
	if events&unix.EPOLLOUT != 0 && len(c.unsent) > 0 {
		c.flush()
	}
	const readable = unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
	if c.writeErr != nil || events&readable != 0 {
		c.owner.Readable(c)
	}
}

// Read reads what was received into b, which must not be empty. The error is ErrAgain where there is nothing for now,
// io.EOF after the peer's end, and otherwise that of the connection, also of an earlier Write.
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
	case c.writeErr != nil:
		return 0, c.writeErr
	}
	return 0, ErrAgain
}

// Write sends b. It stores a copy of what the kernel does not accept at once, without a bound, and sends that later.
// An error is returned by the next Read. On a closed connection it does nothing.
func (c *Conn) Write(b []byte) {
	if c.fd == closedDescriptor || c.writeErr != nil {
		return
	}
	if len(c.unsent) == 0 {
		b = b[c.send(b):]
	}
	if c.writeErr == nil && len(b) > 0 {
		c.unsent = append(c.unsent, b...)
	}
}

// send writes as much of b as the kernel accepts, and returns how much that is.
func (c *Conn) send(b []byte) (sent int) {
	for sent < len(b) {
		n, err := unix.Write(c.fd, b[sent:])
		switch {
		case err == nil:
			sent += n
		case errors.Is(err, unix.EAGAIN):
			return sent
		case !errors.Is(err, unix.EINTR):
			c.writeErr = err
			return sent
		}
	}
	return sent
}

// flush sends what was not accepted before.
func (c *Conn) flush() {
	c.unsent = c.unsent[c.send(c.unsent):]
	if len(c.unsent) == 0 || c.writeErr != nil {
		c.unsent = nil // a connection at rest holds no buffer
	}
}

// Close closes the socket at once, and discards what has not been sent. On a closed connection it does nothing.
func (c *Conn) Close() {
	if c.fd == closedDescriptor {
		return
	}
	c.loop.closeDescriptor(c.fd)
	c.fd = closedDescriptor
	c.unsent = nil
}
