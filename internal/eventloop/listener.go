package eventloop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"spurspread/decision/monotime"
)

// Listener accepts TCP connections on one address.
type Listener struct {
	l           *Loop
	fd          int
	ref         Ref
	accept      func(adopt func(Owner) (*Conn, error))
	resumeTimer Ref // set while accepting is paused

	draining    bool
	acceptsLeft int    // while draining: the number of connections that may still be accepted
	onClosed    func() // called when the drain has closed the listener
}

// backlog limits the number of connections in the kernel's accept queue of a listener.
const backlog = 4096

// maxQueued is the maximum number of connections in the accept queue: the kernel admits one more than the backlog.
const maxQueued = backlog + 1

// acceptPause is the time for which a listener stops accepting after it has run out of descriptors.
const acceptPause = 20 * monotime.Millisecond

// acceptsPerTurn is the maximum number of connections accepted in one turn of the loop, so that a burst of connections
// does not delay other events.
const acceptsPerTurn = 64

// Listen starts to listen on addr, even if connections of an earlier process still linger on it (SO_REUSEADDR). accept
// is called for each connection, and has to call adopt to keep it: otherwise the connection is closed.
func (l *Loop) Listen(addr netip.AddrPort, accept func(adopt func(Owner) (*Conn, error))) (*Listener, error) {
	return l.listen(addr, false, accept)
}

// ListenShared is like Listen, but allows other processes of the same user to listen on the address at the same time
// (SO_REUSEPORT). The kernel distributes new connections among them.
func (l *Loop) ListenShared(addr netip.AddrPort, accept func(adopt func(Owner) (*Conn, error))) (*Listener, error) {
	return l.listen(addr, true, accept)
}

func (l *Loop) listen(
	addr netip.AddrPort,
	shared bool,
	accept func(adopt func(Owner) (*Conn, error)),
) (*Listener, error) {
	sa, family := sockaddr(addr)
	fd, err := l.socket(family)
	if err != nil {
		return nil, err
	}
	ln := &Listener{l: l, fd: fd, accept: accept}
	if err := ln.bind(sa, shared); err != nil {
		return nil, errors.Join(fmt.Errorf("listen on %s: %w", addr, err), unix.Close(fd))
	}
	l.openSockets++
	return ln, nil
}

// bind makes the socket listen on an address and registers it with the loop.
func (ln *Listener) bind(sa unix.Sockaddr, shared bool) error {
	if err := unix.SetsockoptInt(ln.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if shared {
		// During an upgrade the old and the new process listen at the same time.
		if err := unix.SetsockoptInt(ln.fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
			return err
		}
	}
	if err := unix.Bind(ln.fd, sa); err != nil {
		return err
	}
	if err := unix.Listen(ln.fd, backlog); err != nil {
		return err
	}
	var err error
	ln.ref, err = ln.l.add(ln.fd, ln, unix.EPOLLIN)
	return err
}

// Addr returns the bound address; the zero value on an error.
func (ln *Listener) Addr() netip.AddrPort {
	sa, err := unix.Getsockname(ln.fd)
	if err != nil {
		return netip.AddrPort{}
	}
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port))
	}
	return netip.AddrPort{}
}

func (ln *Listener) handleEvents(uint32) {
	if ln.draining {
		ln.drainSome(acceptsPerTurn)
		return
	}
	ln.acceptSome(acceptsPerTurn)
}

// acceptSome accepts up to n connections. It reports whether the queue is empty, or can't be emptied because there are
// no free descriptors.
func (ln *Listener) acceptSome(n int) (empty bool) {
	for range n {
		fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
		case errors.Is(err, unix.EAGAIN):
			return true
		case IsResourceExhausted(err):
			// The listener stays readable: without a pause the loop would spin until a descriptor is free.
			ln.pause()
			return true
		default:
			continue // the client has already disconnected
		}
		adopted := false
		ln.accept(func(o Owner) (*Conn, error) {
			adopted = true
			return ln.l.adopt(fd, o, false)
		})
		if !adopted {
			_ = unix.Close(fd)
		}
	}
	return false
}

// Drain accepts the connections in the queue, or those for which there are descriptors, closes the listener and calls
// closed. Just closing it would reset the queued connections. It accepts some connections in each turn of the loop,
// starting at once, and as many as the queue can hold at most: all that wait now are accepted, and the listener is
// closed even if others come faster than they are accepted. It is meant for a listener that shares its address with
// another process, which gets all new connections.
func (ln *Listener) Drain(closed func()) {
	ln.startDrain(closed)
	ln.drainSome(acceptsPerTurn)
}

// DrainAndClose is like Drain, but has closed the listener when it returns. It completes a Drain in progress.
func (ln *Listener) DrainAndClose() {
	if !ln.draining {
		ln.startDrain(func() {})
	}
	ln.drainSome(ln.acceptsLeft)
}

func (ln *Listener) startDrain(closed func()) {
	ln.draining = true
	ln.acceptsLeft = maxQueued
	ln.onClosed = closed
}

// drainSome accepts up to n connections, and ends the drain if no more are to be accepted.
func (ln *Listener) drainSome(n int) {
	n = min(n, ln.acceptsLeft)
	ln.acceptsLeft -= n
	if empty := ln.acceptSome(n); empty || ln.acceptsLeft == 0 {
		ln.Close()
		ln.onClosed()
	}
}

// pause stops accepting for acceptPause.
func (ln *Listener) pause() {
	if ln.resumeTimer != 0 {
		return
	}
	ev := unix.EpollEvent{Fd: int32(ln.ref)}
	_ = unix.EpollCtl(ln.l.epollFD, unix.EPOLL_CTL_MOD, ln.fd, &ev)
	ln.resumeTimer = ln.l.After(acceptPause, func() {
		ln.resumeTimer = 0
		ev := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(ln.ref)}
		_ = unix.EpollCtl(ln.l.epollFD, unix.EPOLL_CTL_MOD, ln.fd, &ev)
	})
}

// Close stops listening. It must be called only once: its descriptor may have been reused by the time of a second call.
func (ln *Listener) Close() {
	ln.l.Cancel(&ln.resumeTimer)
	ln.l.handlers.Drop(ln.ref)
	_ = unix.Close(ln.fd)
	ln.l.openSockets--
}
