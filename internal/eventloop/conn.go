package eventloop

import (
	"errors"
	"fmt"
	"io"
	"net/netip"

	"golang.org/x/sys/unix"
)

// ErrAgain is returned by Conn.Read when a socket has nothing to read now; Owner.Readable is called when it has.
var ErrAgain = errors.New("nothing to read now")

// IsResourceExhausted reports whether a call failed for want of a local resource (descriptors, memory, ports), which
// says nothing of the peer.
func IsResourceExhausted(err error) bool {
	for _, e := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Owner is notified of what happens to a Conn. It may close the Conn in any of these calls, and must not block.
type Owner interface {
	// Connected is called when a Dial has ended; after an error the Conn can only be closed.
	Connected(c *Conn, err error)
	// Readable is called when bytes, an end or an error may be read. It is edge-triggered: the owner reads until
	// ErrAgain, at once or later.
	Readable(c *Conn)
	// Flushed is called when all that Pending had counted was written.
	Flushed(c *Conn)
}

// Conn is a stream socket that never blocks. It is registered edge-triggered once, for both directions, so that
// neither back pressure nor a half-closed peer costs a further epoll call or spins the loop.
type Conn struct {
	l          *Loop
	fd         int
	ref        Ref
	owner      Owner
	connecting bool
	closing    bool   // the sending side ends once pending is written
	failed     error  // a write failed; the next read reports it
	pending    []byte // taken by Write but not yet by the kernel
}

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

func (l *Loop) adopt(fd int, owner Owner, connecting bool) (*Conn, error) {
	// Lines are short and answered at once: Nagle's delay would count against their aim.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &Conn{l: l, fd: fd, owner: owner, connecting: connecting}
	ref, err := l.add(fd, c, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP|unix.EPOLLET)
	if err != nil {
		return nil, errors.Join(err, unix.Close(fd))
	}
	c.ref = ref
	l.open++
	return c, nil
}

// Dial starts a connection. A failure that is known at once is returned, any other one is passed to Owner.Connected.
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

func (c *Conn) ready(events uint32) {
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
		if c.fd >= 0 && len(c.pending) == 0 && c.failed == nil {
			c.owner.Flushed(c)
		}
	}
	if c.fd >= 0 && events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		c.owner.Readable(c)
	}
}

// CheckConnected checks whether a connection that is coming up has done so by now, its event still unread, and if so
// notifies the owner. Deadlines of a turn run before the next turn's events: without it, a loop that was delayed would
// take every connection for one that never came up.
func (c *Conn) CheckConnected() {
	if c.fd < 0 || !c.connecting {
		return
	}
	poll := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLOUT}}
	if n, err := unix.Poll(poll, 0); n == 1 && err == nil {
		c.ready(uint32(poll[0].Revents)) // the bits are those of epoll
	}
}

// Read reads what was received. It returns ErrAgain where there is nothing yet, io.EOF at the peer's end, else the
// socket's error or that of an earlier write.
func (c *Conn) Read(buf []byte) (int, error) {
	for {
		n, err := unix.Read(c.fd, buf)
		switch {
		case n > 0:
			return n, nil
		case err == nil:
			return 0, io.EOF
		case errors.Is(err, unix.EAGAIN):
			if c.failed != nil {
				return 0, c.failed
			}
			return 0, ErrAgain
		case !errors.Is(err, unix.EINTR):
			return 0, err
		}
	}
}

// Write sends the parts with one gathered write and keeps what the kernel does not take, in order. The caller
// bounds what is kept by looking at Pending. An error shows at the next Read.
func (c *Conn) Write(parts ...[]byte) {
	if c.fd < 0 || c.closing || c.failed != nil {
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
				c.failed = err
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
			c.failed, c.pending = err, nil
			return
		}
		c.pending = c.pending[n:]
	}
	c.pending = nil // an idle connection holds no buffer
	if c.closing {
		c.shutdown()
	}
}

// Pending returns how many bytes wait for the kernel to take them.
func (c *Conn) Pending() int { return len(c.pending) }

// WriteFailed reports whether a write failed: what that call was given, and what was pending, was not sent.
func (c *Conn) WriteFailed() bool { return c.failed != nil }

// CloseWrite ends the sending side once all that is pending is out; the peer sees a plain end.
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

// Close frees the socket at once; what is pending is lost.
func (c *Conn) Close() {
	if c == nil || c.fd < 0 {
		return
	}
	c.l.fds.Drop(c.ref)
	_ = unix.Close(c.fd) // which takes it out of epoll, too
	c.l.open--
	c.fd, c.pending = -1, nil
}

// Reset closes the socket so that the peer sees a reset.
func (c *Conn) Reset() {
	if c != nil && c.fd >= 0 {
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.Close()
}
