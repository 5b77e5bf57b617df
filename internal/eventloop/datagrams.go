package eventloop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// MaxDatagram is how long a datagram may be, in bytes; a longer one is dropped.
const MaxDatagram = 1472

// turnDatagrams are taken in one turn; the rest waits for the next, so that a flood leaves the loop to others.
const turnDatagrams = 64

// DatagramSocket is a socket on which datagrams come and go, of UDP over IPv4 or IPv6.
type DatagramSocket struct {
	l    *Loop
	fd   int
	ref  Ref
	take func(from netip.AddrPort, b []byte)
	buf  [MaxDatagram + 1]byte
}

// ListenDatagrams binds an address, in place of a process before this one where that shares it, too. take is given each
// datagram; its bytes are good until it returns.
func (l *Loop) ListenDatagrams(addr netip.AddrPort, take func(from netip.AddrPort, b []byte)) (*DatagramSocket, error) {
	sa, family := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("datagrams: socket: %w", err)
	}
	d := &DatagramSocket{l: l, fd: fd, take: take}
	// So that a new process can bind beside the one that it follows.
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err == nil {
		err = unix.Bind(fd, sa)
	}
	if err == nil {
		d.ref, err = l.add(fd, d, unix.EPOLLIN)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("datagrams at %s: %w", addr, err), unix.Close(fd))
	}
	l.open++
	return d, nil
}

// Addr is where the socket is bound.
func (d *DatagramSocket) Addr() netip.AddrPort {
	sa, err := unix.Getsockname(d.fd)
	if err != nil {
		return netip.AddrPort{}
	}
	return addrPort(sa)
}

func addrPort(sa unix.Sockaddr) netip.AddrPort {
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr).Unmap(), uint16(sa.Port))
	}
	return netip.AddrPort{}
}

// ready takes what has come; epoll is level-triggered here, so that the rest waits for the next turn.
func (d *DatagramSocket) ready(uint32) {
	for range turnDatagrams {
		if d.fd < 0 {
			return
		}
		n, from, err := unix.Recvfrom(d.fd, d.buf[:], 0)
		if errors.Is(err, unix.EAGAIN) {
			return
		}
		if err != nil || n > MaxDatagram || from == nil {
			continue // an error that an earlier datagram brought back says nothing that silence does not
		}
		d.take(addrPort(from), d.buf[:n])
	}
}

// Send sends a datagram. It never waits; what the kernel does not take is lost, as any may be.
func (d *DatagramSocket) Send(to netip.AddrPort, b []byte) {
	if d.fd >= 0 {
		sa, _ := sockaddr(to)
		_ = unix.Sendto(d.fd, b, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, sa)
	}
}

// Close frees the socket.
func (d *DatagramSocket) Close() {
	if d.fd < 0 {
		return
	}
	d.l.fds.Drop(d.ref)
	_ = unix.Close(d.fd)
	d.l.open--
	d.fd = -1
}
