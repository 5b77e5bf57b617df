package eventloop

import (
	"errors"
	"fmt"
	"io"
	"net/netip"

	"golang.org/x/sys/unix"
)

// ErrAgain is returned by Conn.Read if there is nothing to read now. Owner.Readable is called when there is.
var ErrAgain = errors.New("nothing to read now")

// IsResourceExhausted reports whether a call failed because a local resource (descriptors, memory, ports) was
// exhausted. Such an error says nothing about the peer.
func IsResourceExhausted(err error) bool {
	for _, e := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Owner is notified of the events of a Conn. Its methods may close the Conn, and must not block.
type Owner interface {
	// Connected is called when a Dial has succeeded or failed. After an error the Conn can only be closed.
	Connected(c *Conn, err error)
	// Readable is called when data, the end of the stream or an error may be read. It is edge-triggered: the owner has
	// to read until ErrAgain, at once or later.
	Readable(c *Conn)
	// Flushed is called when all pending bytes have been written (see Conn.Pending).
	Flushed(c *Conn)
}

// Conn is a non-blocking stream socket. It is registered with epoll once, edge-triggered and for both directions, so
// that neither back pressure nor a half-closed peer needs another epoll call or makes the loop spin.
type Conn struct {
	l          *Loop
	fd         int // -1 once closed
	ref        Ref
	owner      Owner
	connecting bool
	closing    bool   // the sending side is shut down once pending is written
	writeErr   error  // error of a write, which a later Read reports
	pending    []byte // passed to Write, not yet accepted by the kernel
}

// sockaddr returns an address in the form of package unix, and its address family.
func sockaddr(a netip.AddrPort) (unix.Sockaddr, int) {
	if a.Addr().Is4() || a.Addr().Is4In6() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}, unix.AF_INET
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}, unix.AF_INET6
}

func (l *Loop) socket(family int) (int, error) {
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	return fd, nil
}

// adopt registers a connected or connecting socket and returns its Conn. On an error it closes the socket.
func (l *Loop) adopt(fd int, owner Owner, connecting bool) (*Conn, error) {
	// Lines are short and answered at once: the delay of Nagle's algorithm would add to their latency.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &Conn{l: l, fd: fd, owner: owner, connecting: connecting}
	ref, err := l.add(fd, c, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP|unix.EPOLLET)
	if err != nil {
		return nil, errors.Join(err, unix.Close(fd))
	}
	c.ref = ref
	l.openSockets++
	return c, nil
}

// Dial starts to connect. A failure that is known at once is returned, a later one is passed to Owner.Connected.
func (l *Loop) Dial(to netip.AddrPort, owner Owner) (*Conn, error) {
	sa, family := sockaddr(to)
	fd, err := l.socket(family)
	if err != nil {
		return nil, err
	}
	if err := unix.Connect(fd, sa); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		return nil, errors.Join(fmt.Errorf("connect: %w", err), unix.Close(fd))
	}
	return l.adopt(fd, owner, true)
}

func (c *Conn) handleEvents(events uint32) {
	if c.connecting {
		if events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) == 0 {
			return
		}
		c.connecting = false
		code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && code != 0 {
			err = unix.Errno(code)
		}
		c.owner.Connected(c, err)
		if err != nil || c.fd < 0 {
			return
		}
		events |= unix.EPOLLOUT
	}
	if events&unix.EPOLLOUT != 0 && len(c.pending) > 0 {
		c.flush()
		if c.fd >= 0 && len(c.pending) == 0 && c.writeErr == nil {
			c.owner.Flushed(c)
		}
	}
	if c.fd >= 0 && events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		c.owner.Readable(c)
	}
}

// CheckConnected checks whether a pending Dial has completed although its event was not handled yet, and if so notifies
// the owner. A connect timeout has to call it first: callbacks of After run before the events of the next turn are
// received, so if the loop was delayed, the timeout may run before the event of a connection that was established in
// time.
func (c *Conn) CheckConnected() {
	if c.fd < 0 || !c.connecting {
		return
	}
	poll := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLOUT}}
	if n, err := unix.Poll(poll, 0); n == 1 && err == nil {
		c.handleEvents(uint32(poll[0].Revents)) // the bits are those of epoll
	}
}

// Read reads received bytes. It returns ErrAgain if there are none yet, io.EOF after the peer has closed its sending
// side, or the error of the socket or of an earlier write.
func (c *Conn) Read(buf []byte) (int, error) {
	for {
		n, err := unix.Read(c.fd, buf)
		switch {
		case n > 0:
			return n, nil
		case err == nil:
			return 0, io.EOF
		case errors.Is(err, unix.EAGAIN):
			if c.writeErr != nil {
				return 0, c.writeErr
			}
			return 0, ErrAgain
		case !errors.Is(err, unix.EINTR):
			return 0, err
		}
	}
}

// Buffered returns the number of received bytes that the process holds and Read has not returned yet. It is always 0,
// since they stay in the kernel until Read.
func (c *Conn) Buffered() int { return 0 }

// Write sends the parts in one gathered write and buffers the bytes that the kernel does not accept, or all while the
// Conn is connecting. The caller has to limit that buffer, by checking Pending. An error is reported by a later Read.
// After an error, CloseWrite or Close, Write does nothing.
func (c *Conn) Write(parts ...[]byte) {
	if c.fd < 0 || c.closing || c.writeErr != nil {
		return
	}
	sent := 0
	if len(c.pending) == 0 && !c.connecting {
		for {
			n, err := unix.Writev(c.fd, parts)
			if errors.Is(err, unix.EINTR) {
				continue
			}
			if err != nil && !errors.Is(err, unix.EAGAIN) {
				c.writeErr = err
				return
			}
			sent = max(n, 0)
			break
		}
	}
	for _, p := range parts {
		skip := min(sent, len(p))
		sent -= skip
		c.pending = append(c.pending, p[skip:]...)
	}
}

// flush writes pending bytes until the kernel accepts no more.
func (c *Conn) flush() {
	for len(c.pending) > 0 {
		n, err := unix.Write(c.fd, c.pending)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if errors.Is(err, unix.EAGAIN) {
			return
		}
		if err != nil {
			c.writeErr, c.pending = err, nil
			return
		}
		c.pending = c.pending[n:]
	}
	c.pending = nil // so that an idle connection holds no buffer
	if c.closing {
		c.shutdown()
	}
}

// Pending returns the number of bytes that were passed to Write and not yet accepted by the kernel.
func (c *Conn) Pending() int { return len(c.pending) }

// WriteFailed reports whether a write has failed. The bytes passed to that Write, and those that were pending, were not
// sent.
func (c *Conn) WriteFailed() bool { return c.writeErr != nil }

// CloseWrite shuts down the sending side once all pending bytes are sent. The peer sees the end of the stream.
func (c *Conn) CloseWrite() {
	if c.fd < 0 || c.closing {
		return
	}
	c.closing = true
	if len(c.pending) == 0 {
		c.shutdown()
	}
}

func (c *Conn) shutdown() { _ = unix.Shutdown(c.fd, unix.SHUT_WR) }

// Close closes the socket at once and discards pending bytes. It does nothing if c is nil or closed.
func (c *Conn) Close() {
	if c == nil || c.fd < 0 {
		return
	}
	c.l.handlers.Drop(c.ref)
	_ = unix.Close(c.fd) // also removes it from epoll
	c.l.openSockets--
	c.fd, c.pending = -1, nil
}

// Reset closes the socket and sends the peer a TCP reset.
func (c *Conn) Reset() {
	if c != nil && c.fd >= 0 {
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.Close()
}
