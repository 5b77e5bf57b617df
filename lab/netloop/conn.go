package netloop

import (
	"errors"
	"fmt"
	"io"

	"golang.org/x/sys/unix"
)

// ErrAgain means that a connection has no more data to read until the next call of Readable.
var ErrAgain = errors.New("no data available to read")

// Owner handles the input of its connection.
type Owner interface {
	// Readable is called when there may be data, an end of stream or an error to read. It is not called again for the
	// same data, so the owner must read until ErrAgain or another error. It may close the connection.
	Readable(c *Conn)
}

// Conn is a nonblocking TCP connection of a loop. It stays registered with epoll for both directions, edge-triggered,
// until it is closed, so that no system call is needed when its send buffer becomes full or empty.
type Conn struct {
	loop     *Loop
	fd       int // closedDescriptor once closed
	owner    Owner
	unsent   []byte // written data that the kernel has not accepted yet
	writeErr error  // returned by Read
}

// Adopt returns a connection for a nonblocking socket, which may still be connecting. It takes ownership of the
// descriptor, and closes it if it returns an error, which means that the kernel refused an option or the registration.
func (l *Loop) Adopt(fd int, owner Owner) (*Conn, error) {
	c := &Conn{loop: l, fd: fd, owner: owner}
	// Disable Nagle's algorithm: its delay of short messages would distort the measured latencies.
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

// Read reads received data into b, which must not be empty. The error is ErrAgain if no data is available, io.EOF after
// the peer has closed its direction, or else the error of the connection or of an earlier Write.
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

// Write sends b. Data that the kernel does not accept at once is copied to a buffer without a size limit, and sent
// later. An error is returned by the next Read. On a closed connection Write does nothing.
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

// send writes data until the kernel accepts no more, and returns the number of bytes it has written.
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

// flush sends the buffered data.
func (c *Conn) flush() {
	c.unsent = c.unsent[c.send(c.unsent):]
	if len(c.unsent) == 0 || c.writeErr != nil {
		c.unsent = nil // an idle connection keeps no buffer
	}
}

// Close closes the socket at once and discards unsent data. On a closed connection it does nothing.
func (c *Conn) Close() {
	if c.fd == closedDescriptor {
		return
	}
	c.loop.closeDescriptor(c.fd)
	c.fd = closedDescriptor
	c.unsent = nil
}
