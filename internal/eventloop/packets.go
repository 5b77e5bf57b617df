package eventloop

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// MaxPacket is how long a packet may be, in bytes; a longer one is not taken.
const MaxPacket = 8 << 10

// maxPassed is how many descriptors come beside one packet.
const maxPassed = 2

// PacketOwner is notified of what happens to a Packets. It may close it in any of these calls.
type PacketOwner interface {
	// Packet takes one packet and the descriptors beside it, which are the owner's from then on. The bytes are only
	// good until it returns.
	Packet(p *PacketConn, b []byte, fds []int)
	// Ended is called once, when the peer has gone; the Packets can only be closed then.
	Ended(p *PacketConn)
}

// PacketConn is a connection between two processes of one user on this machine, on which whole packets come, each with
// descriptors beside it.
type PacketConn struct {
	l     *Loop
	fd    int
	ref   Ref
	owner PacketOwner
}

// PacketListener takes such connections at a path.
type PacketListener struct {
	l      *Loop
	fd     int
	ref    Ref
	accept func(*PacketConn) PacketOwner
}

// ListenPackets listens at path, in place of whoever did before: the socket is bound beside it and renamed over it.
// accept may return nil to refuse a connection. Only processes of the same user get as far as accept.
func (l *Loop) ListenPackets(path string, accept func(*PacketConn) PacketOwner) (*PacketListener, error) {
	dir, fd, err := packetSocket(path)
	if err != nil {
		return nil, fmt.Errorf("packets: %s: %w", path, err)
	}
	defer func() { _ = unix.Close(dir) }()
	ln := &PacketListener{l: l, fd: fd, accept: accept}
	fresh := fmt.Sprintf(".%s.%d", filepath.Base(path), os.Getpid())
	_ = unix.Unlinkat(dir, fresh, 0) // of a process with the same id that was killed in between
	err = unix.Bind(fd, &unix.SockaddrUnix{Name: within(dir, fresh)})
	if err == nil {
		// Nobody can connect before Listen.
		err = errors.Join(unix.Fchmodat(dir, fresh, 0o600, 0), unix.Listen(fd, 1))
	}
	if err == nil {
		err = unix.Renameat(dir, fresh, dir, filepath.Base(path))
	}
	if err == nil {
		ln.ref, err = l.add(fd, ln, unix.EPOLLIN)
	}
	if err != nil {
		_ = unix.Unlinkat(dir, fresh, 0)
		return nil, errors.Join(fmt.Errorf("packets: listen at %s: %w", path, err), unix.Close(fd))
	}
	l.open++
	return ln, nil
}

// packetSocket opens the path's directory and a socket, neither of which it leaves open on an error.
func packetSocket(path string) (dir, fd int, err error) {
	if dir, err = unix.Open(filepath.Dir(path), unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0); err != nil {
		return -1, -1, err
	}
	if fd, err = unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0); err != nil {
		return -1, -1, errors.Join(fmt.Errorf("socket: %w", err), unix.Close(dir))
	}
	return dir, fd, nil
}

// within is a name in a directory that is open, however long the directory's own path is: an address holds 107 bytes.
func within(dir int, name string) string { return fmt.Sprintf("/proc/self/fd/%d/%s", dir, name) }

func (ln *PacketListener) ready(uint32) {
	fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return
	}
	p := &PacketConn{l: ln.l, fd: fd}
	if pid, ok := p.peer(); !ok || pid <= 0 {
		_ = unix.Close(fd)
		return
	}
	if p.owner = ln.accept(p); p.owner == nil || p.register() != nil {
		_ = unix.Close(fd)
	}
}

// Close stops listening; the path is left, since another process may listen there by now.
func (ln *PacketListener) Close() {
	ln.l.fds.Drop(ln.ref)
	_ = unix.Close(ln.fd)
	ln.l.open--
}

// DialPackets connects to the process that listens at path, which must be pid and of the same user.
func (l *Loop) DialPackets(path string, pid int, owner PacketOwner) (*PacketConn, error) {
	dir, fd, err := packetSocket(path)
	if err != nil {
		return nil, fmt.Errorf("packets: %s: %w", path, err)
	}
	defer func() { _ = unix.Close(dir) }()
	p := &PacketConn{l: l, fd: fd, owner: owner}
	if err = unix.Connect(fd, &unix.SockaddrUnix{Name: within(dir, filepath.Base(path))}); err == nil {
		if got, ok := p.peer(); !ok || got != pid {
			err = fmt.Errorf("process %d listens there, not %d", got, pid)
		} else {
			err = p.register()
		}
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("packets: %s: %w", path, err), unix.Close(fd))
	}
	return p, nil
}

// peer is the process on the other side, and whether it is of this one's user.
func (p *PacketConn) peer() (pid int, ok bool) {
	c, err := unix.GetsockoptUcred(p.fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	if err != nil {
		return 0, false
	}
	return int(c.Pid), int(c.Uid) == os.Geteuid()
}

func (p *PacketConn) register() (err error) {
	if p.ref, err = p.l.add(p.fd, p, unix.EPOLLIN|unix.EPOLLRDHUP); err == nil {
		p.l.open++
	}
	return err
}

// ready takes one packet; epoll is level-triggered here, so that the rest waits for the next turn.
func (p *PacketConn) ready(uint32) {
	var buf [MaxPacket + 1]byte
	oob := make([]byte, unix.CmsgSpace(maxPassed*4))
	n, on, flags, _, err := unix.Recvmsg(p.fd, buf[:], oob, unix.MSG_CMSG_CLOEXEC)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return
	}
	if err != nil || n == 0 && on == 0 {
		p.owner.Ended(p)
		return
	}
	fds := passed(oob[:on])
	if n > MaxPacket || flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 {
		closeAll(fds)
		p.owner.Ended(p) // it speaks something else
		return
	}
	p.owner.Packet(p, buf[:n], fds)
}

func passed(oob []byte) (fds []int) {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for i := range messages {
		if got, err := unix.ParseUnixRights(&messages[i]); err == nil {
			fds = append(fds, got...)
		}
	}
	return fds
}

func closeAll(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

// Send sends a packet with copies of the connections' descriptors beside it. It never waits: unix.EAGAIN says that the
// peer has not yet taken what it was sent, any other error that it has gone.
func (p *PacketConn) Send(b []byte, conns ...*Conn) error {
	if p.fd < 0 {
		return unix.EBADF
	}
	var oob []byte
	if len(conns) > 0 {
		fds := make([]int, len(conns))
		for i, c := range conns {
			fds[i] = c.fd
		}
		oob = unix.UnixRights(fds...)
	}
	return unix.Sendmsg(p.fd, b, oob, nil, unix.MSG_NOSIGNAL|unix.MSG_DONTWAIT)
}

// Shutdown ends the connection in both directions: what the peer has not sent yet can't be sent any more. What has come
// already is still handed to the owner, then Ended.
func (p *PacketConn) Shutdown() {
	if p.fd >= 0 {
		_ = unix.Shutdown(p.fd, unix.SHUT_RDWR)
	}
}

// Close frees the socket at once.
func (p *PacketConn) Close() {
	if p == nil || p.fd < 0 {
		return
	}
	p.l.fds.Drop(p.ref)
	_ = unix.Close(p.fd)
	p.l.open--
	p.fd = -1
}

// Adopt takes over a stream socket that another process passed on. On an error the descriptor is closed.
func (l *Loop) Adopt(fd int, owner Owner) (*Conn, error) {
	if kind, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE); err != nil || kind != unix.SOCK_STREAM {
		return nil, errors.Join(errors.New("not a stream socket"), unix.Close(fd))
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, errors.Join(err, unix.Close(fd))
	}
	return l.adopt(fd, owner, false)
}

// Release gives a socket up without ending the connection, for a process that has it, too. Closing alone would leave
// it in this process's epoll, which knows it until the last process has closed it.
func (c *Conn) Release() {
	if c.fd >= 0 {
		_ = unix.EpollCtl(c.l.epoll, unix.EPOLL_CTL_DEL, c.fd, nil)
	}
	c.Close()
}
