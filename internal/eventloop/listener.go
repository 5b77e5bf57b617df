package eventloop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"spurspread/decision/monotime"
)

// Listener accepts connections on one address.
type Listener struct {
	l      *Loop
	fd     int
	ref    Ref
	accept func(adopt func(Owner) (*Conn, error))
	retry  Ref
}

// backlog is the most connections that the kernel queues for a listener.
const backlog = 4096

// acceptPause is how long a listener that found no free descriptor leaves the queue alone.
const acceptPause = 20 * monotime.Millisecond

// acceptsPerTurn bounds how many connections one turn of the loop accepts, so that a burst does not delay the others.
const acceptsPerTurn = 64

// Listen binds addr, also while connections of an earlier process linger on it. accept is called for each
// connection and must adopt it, or it is closed.
func (l *Loop) Listen(addr netip.AddrPort, accept func(adopt func(Owner) (*Conn, error))) (*Listener, error) {
	return l.listen(addr, false, accept)
}

// ListenShared is Listen for an address that other processes of the same user may bind too while this one listens
// (SO_REUSEPORT): the kernel spreads new connections over all of them.
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
	l.open++
	return ln, nil
}

// bind has the socket listen on an address and registers it with the loop.
func (ln *Listener) bind(sa unix.Sockaddr, shared bool) error {
	if err := unix.SetsockoptInt(ln.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if shared {
		// A new version listens beside the old one until the old one has gone.
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

// Addr is the address that was bound.
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

func (ln *Listener) ready(uint32) { ln.acceptSome(acceptsPerTurn) }

// acceptSome accepts up to n connections and reports whether the queue is empty now, or can't be emptied for want of
// descriptors.
func (ln *Listener) acceptSome(n int) (empty bool) {
	for range n {
		fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
		case errors.Is(err, unix.EAGAIN):
			return true
		case IsResourceExhausted(err):
			// The queue stays readable: without a pause the loop would spin until a descriptor is free.
			ln.pause()
			return true
		default:
			continue // that client has gone again
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

// DrainAndClose takes in all that waits in the queue and then stops listening: a listener that is closed resets what it had
// queued, and while another process listens on the same port nothing more comes here.
func (ln *Listener) DrainAndClose() {
	for !ln.acceptSome(backlog) {
	}
	ln.Close()
}

func (ln *Listener) pause() {
	if ln.retry != 0 {
		return
	}
	ev := unix.EpollEvent{Fd: int32(ln.ref)}
	_ = unix.EpollCtl(ln.l.epoll, unix.EPOLL_CTL_MOD, ln.fd, &ev)
	ln.retry = ln.l.After(acceptPause, func() {
		ln.retry = 0
		ev := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(ln.ref)}
		_ = unix.EpollCtl(ln.l.epoll, unix.EPOLL_CTL_MOD, ln.fd, &ev)
	})
}

// Close stops listening.
func (ln *Listener) Close() {
	ln.l.Cancel(&ln.retry)
	ln.l.fds.Drop(ln.ref)
	_ = unix.Close(ln.fd)
	ln.l.open--
}
