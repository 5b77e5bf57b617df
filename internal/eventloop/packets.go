package eventloop

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// MaxPacket is the maximum length of a packet, in bytes; a longer one ends the connection.
const MaxPacket = 8 << 10

// maxPassedFDs is the maximum number of file descriptors that accompany one packet.
const maxPassedFDs = 2

// PacketOwner is notified of the events of a PacketConn. Its methods may close the PacketConn.
type PacketOwner interface {
	// Packet is called for each packet, with the file descriptors that accompany it. The owner has to close these. b is
	// valid until Packet returns.
	Packet(p *PacketConn, b []byte, fds []int)
	// Ended is called when the peer has closed the connection or sent an invalid packet. The PacketConn can only be
	// closed then.
	Ended(p *PacketConn)
}

// PacketConn is a connection between two processes of the same user on this machine. It transfers packets, each with
// optional file descriptors.
type PacketConn struct {
	l     *Loop
	fd    int
	ref   Ref
	owner PacketOwner
}

// PacketListener accepts PacketConns at a path.
type PacketListener struct {
	l      *Loop
	fd     int
	ref    Ref
	accept func(*PacketConn) PacketOwner
}

// ListenPackets listens on a Unix socket at path. It replaces an earlier listener there: the socket is bound under a
// temporary name and then renamed to path. accept is called for each connection from a process of the same user; it
// returns the connection's owner, or nil to reject the connection.
func (l *Loop) ListenPackets(path string, accept func(*PacketConn) PacketOwner) (*PacketListener, error) {
	dir, fd, err := packetSocket(path)
	if err != nil {
		return nil, fmt.Errorf("packets: %s: %w", path, err)
	}
	defer func() { _ = unix.Close(dir) }()
	ln := &PacketListener{l: l, fd: fd, accept: accept}
	tempName := fmt.Sprintf(".%s.%d", filepath.Base(path), os.Getpid())
	_ = unix.Unlinkat(dir, tempName, 0) // left by a killed process with the same process ID
	err = unix.Bind(fd, &unix.SockaddrUnix{Name: procFDPath(dir, tempName)})
	if err == nil {
		// The mode is set before Listen, so that no other user can connect.
		err = errors.Join(unix.Fchmodat(dir, tempName, 0o600, 0), unix.Listen(fd, 1))
	}
	if err == nil {
		err = unix.Renameat(dir, tempName, dir, filepath.Base(path))
	}
	if err == nil {
		ln.ref, err = l.add(fd, ln, unix.EPOLLIN)
	}
	if err != nil {
		_ = unix.Unlinkat(dir, tempName, 0)
		return nil, errors.Join(fmt.Errorf("packets: listen at %s: %w", path, err), unix.Close(fd))
	}
	l.openSockets++
	return ln, nil
}

// packetSocket opens the directory of path and creates a socket. On an error it leaves neither open.
func packetSocket(path string) (dir, fd int, err error) {
	if dir, err = unix.Open(filepath.Dir(path), unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0); err != nil {
		return -1, -1, err
	}
	if fd, err = unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0); err != nil {
		return -1, -1, errors.Join(fmt.Errorf("socket: %w", err), unix.Close(dir))
	}
	return dir, fd, nil
}

// procFDPath returns a path of a file in an open directory. It is short however long the directory's own path is: a
// Unix socket address holds 107 bytes.
func procFDPath(dir int, name string) string { return fmt.Sprintf("/proc/self/fd/%d/%s", dir, name) }

func (ln *PacketListener) handleEvents(uint32) {
	fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return
	}
	p := &PacketConn{l: ln.l, fd: fd}
	if pid, ok := p.peerProcess(); !ok || pid <= 0 {
		_ = unix.Close(fd)
		return
	}
	if p.owner = ln.accept(p); p.owner == nil || p.register() != nil {
		_ = unix.Close(fd)
	}
}

// Close stops listening. It does not remove the path, since another process may listen there by now. It must be called
// only once: its descriptor may have been reused by the time of a second call.
func (ln *PacketListener) Close() {
	ln.l.handlers.Drop(ln.ref)
	_ = unix.Close(ln.fd)
	ln.l.openSockets--
}

// DialPackets connects to the process that listens at path. It fails unless that process has the ID pid and the same
// user.
func (l *Loop) DialPackets(path string, pid int, owner PacketOwner) (*PacketConn, error) {
	dir, fd, err := packetSocket(path)
	if err != nil {
		return nil, fmt.Errorf("packets: %s: %w", path, err)
	}
	defer func() { _ = unix.Close(dir) }()
	p := &PacketConn{l: l, fd: fd, owner: owner}
	if err = unix.Connect(fd, &unix.SockaddrUnix{Name: procFDPath(dir, filepath.Base(path))}); err == nil {
		if got, ok := p.peerProcess(); !ok || got != pid {
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

// peerProcess returns the ID of the peer's process, and whether that process has the same user as this one.
func (p *PacketConn) peerProcess() (pid int, ok bool) {
	c, err := unix.GetsockoptUcred(p.fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	if err != nil {
		return 0, false
	}
	return int(c.Pid), int(c.Uid) == os.Geteuid()
}

// register registers the socket with the loop.
func (p *PacketConn) register() (err error) {
	if p.ref, err = p.l.add(p.fd, p, unix.EPOLLIN|unix.EPOLLRDHUP); err == nil {
		p.l.openSockets++
	}
	return err
}

// handleEvents receives one packet. The socket is registered level-triggered: further packets are received in later
// turns.
func (p *PacketConn) handleEvents(uint32) {
	var buf [MaxPacket + 1]byte
	oob := make([]byte, unix.CmsgSpace(maxPassedFDs*4))
	n, on, flags, _, err := unix.Recvmsg(p.fd, buf[:], oob, unix.MSG_CMSG_CLOEXEC)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return
	}
	if err != nil || n == 0 && on == 0 {
		p.owner.Ended(p)
		return
	}
	fds := parsePassedFDs(oob[:on])
	if n > MaxPacket || flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 {
		closeAll(fds)
		p.owner.Ended(p) // not a packet of this protocol
		return
	}
	p.owner.Packet(p, buf[:n], fds)
}

// parsePassedFDs returns the file descriptors in a control message.
func parsePassedFDs(oob []byte) (fds []int) {
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

// Send sends a packet with copies of the file descriptors of conns, without waiting. unix.EAGAIN means that the peer
// has not yet received earlier packets, any other error that the connection has ended.
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

// Shutdown shuts down both directions, so that the peer can send nothing more. Packets that have already arrived are
// still passed to the owner, followed by Ended.
func (p *PacketConn) Shutdown() {
	if p.fd >= 0 {
		_ = unix.Shutdown(p.fd, unix.SHUT_RDWR)
	}
}

// Close closes the socket at once. It does nothing if p is nil or closed.
func (p *PacketConn) Close() {
	if p == nil || p.fd < 0 {
		return
	}
	p.l.handlers.Drop(p.ref)
	_ = unix.Close(p.fd)
	p.l.openSockets--
	p.fd = -1
}

// Adopt returns a Conn for a stream socket received from another process. On an error it closes fd.
func (l *Loop) Adopt(fd int, owner Owner) (*Conn, error) {
	if kind, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE); err != nil || kind != unix.SOCK_STREAM {
		return nil, errors.Join(errors.New("not a stream socket"), unix.Close(fd))
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, errors.Join(err, unix.Close(fd))
	}
	return l.adopt(fd, owner, false)
}

// Release closes this process's descriptor of a socket that was passed to another process, without ending the
// connection. Close alone would not do: epoll reports events of a socket until every process has closed it.
func (c *Conn) Release() {
	if c.fd >= 0 {
		_ = unix.EpollCtl(c.l.epollFD, unix.EPOLL_CTL_DEL, c.fd, nil)
	}
	c.Close()
}
