package netloop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	// backlog is the size of a listener's accept queue. It is large, since many clients that connect at once are faster
	// than one loop accepts.
	backlog = 4096
	// acceptsPerRound bounds the connections that a listener accepts in one round, so that others are served in
	// between.
	acceptsPerRound = 64
	// acceptPause is the pause before the next round when the process has no descriptor or memory left.
	acceptPause Micros = 20_000
)

// Listener accepts connections on one address. It is registered edge-triggered: epoll does not report again the
// connections that a round has left in the queue, so a timer starts the next round.
type Listener struct {
	loop      *Loop
	fd        int // closedDescriptor once closed
	addr      netip.AddrPort
	accept    func(fd int)
	nextRound *Timer // nil until a round has been scheduled
}

// Listen listens on an IPv4 address; port 0 chooses a free port. accept is called with the nonblocking descriptor of
// each connection, and must adopt or close it. An error means that the kernel refused the socket or the address.
func (l *Loop) Listen(addr netip.AddrPort, accept func(fd int)) (*Listener, error) {
	fd, bound, err := listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	listener := &Listener{loop: l, fd: fd, addr: bound, accept: accept}
	if err := l.register(fd, listener, unix.EPOLLIN|unix.EPOLLET); err != nil {
		return nil, errors.Join(fmt.Errorf("listen on %s: %w", addr, err), unix.Close(fd))
	}
	return listener, nil
}

// listen opens a listening socket, and returns the address that it is bound to.
func listen(addr netip.AddrPort) (fd int, bound netip.AddrPort, err error) {
	if !addr.Addr().Is4() {
		return closedDescriptor, bound, errors.New("not an IPv4 address")
	}
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return closedDescriptor, bound, err
	}
	err = unix.Bind(fd, &unix.SockaddrInet4{Addr: addr.Addr().As4(), Port: int(addr.Port())})
	if err == nil {
		err = unix.Listen(fd, backlog)
	}
	if err == nil {
		bound, err = boundAddr(fd)
	}
	if err != nil {
		return closedDescriptor, bound, errors.Join(err, unix.Close(fd))
	}
	return fd, bound, nil
}

// boundAddr returns the IPv4 address that a socket is bound to.
func boundAddr(fd int) (netip.AddrPort, error) {
	name, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	addr, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return netip.AddrPort{}, fmt.Errorf("bound to a %T, expected an IPv4 address", name)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(addr.Addr), uint16(addr.Port)), nil
}

// Addr returns the bound address.
func (ln *Listener) Addr() netip.AddrPort { return ln.addr }

// ready implements handler.
func (ln *Listener) ready(uint32) { ln.acceptRound() }

// acceptRound accepts up to acceptsPerRound connections, and schedules the next round unless the queue is empty.
func (ln *Listener) acceptRound() {
	for range acceptsPerRound {
		fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			ln.accept(fd)
			if ln.fd == closedDescriptor {
				return // accept closed the listener
			}
		case errors.Is(err, unix.EAGAIN):
			return
		case exhausted(err):
			ln.scheduleRound(acceptPause)
			return
		} // any other error concerns only one connection, whose client has disconnected
	}
	ln.scheduleRound(0)
}

// scheduleRound schedules the next round after a delay, and cancels an earlier schedule.
func (ln *Listener) scheduleRound(delay Micros) {
	ln.loop.Cancel(ln.nextRound)
	ln.nextRound = ln.loop.After(delay, ln.acceptRound)
}

// exhausted reports whether an error of accept means that the machine or the process has no descriptor or memory left,
// so that the next accept would fail, too.
func exhausted(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) || errors.Is(err, unix.ENOBUFS) ||
		errors.Is(err, unix.ENOMEM)
}

// Close stops listening; connections in the accept queue are reset. On a closed listener it does nothing.
func (ln *Listener) Close() {
	if ln.fd == closedDescriptor {
		return
	}
	ln.loop.Cancel(ln.nextRound)
	ln.loop.closeDescriptor(ln.fd)
	ln.fd = closedDescriptor
}
