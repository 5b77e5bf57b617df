package eventloop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// MaxDatagram is the maximum length of a datagram, in bytes; a longer one is dropped when it is received. It is what an
// Ethernet frame holds, 1500 bytes, without the headers of IPv4 (20) and UDP (8).
const MaxDatagram = 1472

// datagramsPerTurn is the maximum number of datagrams received in one turn, so that a flood does not starve other
// events.
const datagramsPerTurn = 64

// DatagramSocket sends and receives UDP datagrams, over IPv4 or IPv6.
type DatagramSocket struct {
	l    *Loop
	fd   int
	ref  Ref
	recv func(from netip.AddrPort, b []byte)
	buf  [MaxDatagram + 1]byte
}

// ListenDatagrams binds a UDP socket to an address, even if an earlier process still uses the address (SO_REUSEPORT).
// recv is called for each datagram; b is valid until it returns.
func (l *Loop) ListenDatagrams(addr netip.AddrPort, recv func(from netip.AddrPort, b []byte)) (*DatagramSocket, error) {
	sa, family := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("datagrams: socket: %w", err)
	}
	d := &DatagramSocket{l: l, fd: fd, recv: recv}
	// SO_REUSEPORT allows a new process to bind the address while its predecessor still uses it.
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err == nil {
		err = unix.Bind(fd, sa)
	}
	if err == nil {
		d.ref, err = l.add(fd, d, unix.EPOLLIN)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("datagrams at %s: %w", addr, err), unix.Close(fd))
	}
	l.openSockets++
	return d, nil
}

// Addr returns the bound address; the zero value on an error.
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

// handleEvents receives up to datagramsPerTurn datagrams. The socket is registered level-triggered: any further
// datagrams are received in the next turn.
func (d *DatagramSocket) handleEvents(uint32) {
	for range datagramsPerTurn {
		if d.fd < 0 {
			return
		}
		n, from, err := unix.Recvfrom(d.fd, d.buf[:], 0)
		if errors.Is(err, unix.EAGAIN) {
			return
		}
		if err != nil || n > MaxDatagram || from == nil {
			continue // ICMP errors of datagrams sent earlier are ignored: senders notice missing answers anyway
		}
		d.recv(addrPort(from), d.buf[:n])
	}
}

// Send sends a datagram without waiting. It drops the datagram if the kernel does not accept it, or after Close.
func (d *DatagramSocket) Send(to netip.AddrPort, b []byte) {
	if d.fd >= 0 {
		sa, _ := sockaddr(to)
		_ = unix.Sendto(d.fd, b, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, sa)
	}
}

// Close closes the socket. A second call does nothing.
func (d *DatagramSocket) Close() {
	if d.fd < 0 {
		return
	}
	d.l.handlers.Drop(d.ref)
	_ = unix.Close(d.fd)
	d.l.openSockets--
	d.fd = -1
}
