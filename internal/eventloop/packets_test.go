package eventloop

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// packetRecorder records received packets and file descriptors.
type packetRecorder struct {
	texts []string
	fds   []int
	ended int
}

func (r *packetRecorder) Packet(_ *PacketConn, text []byte, fds []int) {
	r.texts, r.fds = append(r.texts, string(text)), append(r.fds, fds...)
}

func (r *packetRecorder) Ended(p *PacketConn) {
	r.ended++
	p.Close()
}

// runTurn makes the loop handle the events that are pending now.
func (l *Loop) runTurn(t *testing.T) {
	t.Helper()
	l.After(0, l.Stop)
	l.stopped = false
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
}

func newLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// connectPackets returns the dialing end of a connection at path, and the recorder of the accepting end.
func connectPackets(t *testing.T, l *Loop, path string) (near *PacketConn, far *packetRecorder) {
	t.Helper()
	far = &packetRecorder{}
	if _, err := l.ListenPackets(path, func(*PacketConn) PacketOwner { return far }); err != nil {
		t.Fatal(err)
	}
	near, err := l.DialPackets(path, os.Getpid(), &packetRecorder{})
	if err != nil {
		t.Fatal(err)
	}
	l.runTurn(t)
	return near, far
}

// After a socket was passed to another process and released, this loop receives no more of its events, even while the
// other process keeps it open. The connection does not end.
func TestReleaseStopsEvents(t *testing.T) {
	l := newLoop(t)
	deep := filepath.Join(t.TempDir(), strings.Repeat("deep", 40)) // too long for a Unix socket address
	if err := os.Mkdir(deep, 0o700); err != nil {
		t.Fatal(err)
	}
	near, far := connectPackets(t, l, filepath.Join(deep, "s.sock"))
	var served *Conn
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(adopt func(Owner) (*Conn, error)) {
		served, _ = adopt(noopOwner{})
	})
	if err != nil {
		t.Fatal(err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	sa, _ := sockaddr(ln.Addr())
	if err := unix.Connect(fd, sa); err != nil {
		t.Fatal(err)
	}
	l.runTurn(t)
	if err := near.Send([]byte("take it"), served); err != nil {
		t.Fatal(err)
	}
	l.runTurn(t)
	if len(far.fds) != 1 || far.texts[0] != "take it" {
		t.Fatalf("received %+v, want one descriptor with the text \"take it\"", far)
	}
	served.Release()
	events := make([]unix.EpollEvent, 8)
	if _, err := unix.Write(fd, []byte("hello")); err != nil {
		t.Fatal(err)
	}
	if n, err := unix.EpollWait(l.epollFD, events, 50); n != 0 || err != nil {
		t.Errorf("%d events of the released socket, %v, want none", n, err)
	}
	adopted, err := l.Adopt(far.fds[0], noopOwner{})
	if err != nil {
		t.Fatal(err)
	}
	var buf [16]byte
	if n, err := adopted.Read(buf[:]); string(buf[:n]) != "hello" {
		t.Errorf("read %q, %v from the adopted socket, want hello", buf[:n], err)
	}
	adopted.Close()
	_ = unix.Close(fd)
}

// A packet over MaxPacket ends the connection, and Adopt rejects a file descriptor that is not a stream socket.
func TestPacketsAreBounded(t *testing.T) {
	l := newLoop(t)
	near, far := connectPackets(t, l, filepath.Join(t.TempDir(), "s.sock"))
	if err := near.Send(make([]byte, MaxPacket)); err != nil {
		t.Fatal(err)
	}
	l.runTurn(t)
	if len(far.texts) != 1 || len(far.texts[0]) != MaxPacket || far.ended != 0 {
		t.Errorf("%d packets, %d ends after one of MaxPacket, want 1 and 0", len(far.texts), far.ended)
	}
	if err := near.Send(make([]byte, MaxPacket+1)); err != nil {
		t.Fatal(err)
	}
	l.runTurn(t)
	if len(far.texts) != 1 || far.ended != 1 {
		t.Errorf("%d packets, %d ends after one over MaxPacket, want 1 and 1", len(far.texts), far.ended)
	}
	if _, err := l.Adopt(l.wakeFD, noopOwner{}); err == nil {
		t.Error("Adopt accepted an eventfd as a stream socket, want an error")
	}
}

// After Shutdown the peer's sends fail, so that it knows that an answer sent too late was not received. Packets sent
// before still arrive.
func TestShutdownRejectsLateSends(t *testing.T) {
	l := newLoop(t)
	received := &packetRecorder{}
	var far *PacketConn
	path := filepath.Join(t.TempDir(), "s.sock")
	if _, err := l.ListenPackets(path, func(p *PacketConn) PacketOwner {
		far = p
		return &packetRecorder{}
	}); err != nil {
		t.Fatal(err)
	}
	near, err := l.DialPackets(path, os.Getpid(), received)
	if err != nil {
		t.Fatal(err)
	}
	l.runTurn(t)
	if err := far.Send([]byte("in time")); err != nil {
		t.Fatal(err)
	}
	near.Shutdown()
	if err := far.Send([]byte("late")); !errors.Is(err, unix.EPIPE) {
		t.Errorf("send after the peer's Shutdown: %v, want %v", err, unix.EPIPE)
	}
	for range 4 {
		l.runTurn(t)
	}
	if len(received.texts) != 1 || received.texts[0] != "in time" || received.ended != 1 {
		t.Errorf("received %+v, want only \"in time\", then the end", received)
	}
}

// DialPackets fails unless the expected process listens at the path, and a new listener replaces an earlier one there.
func TestPacketListenerIdentity(t *testing.T) {
	l := newLoop(t)
	path := filepath.Join(t.TempDir(), "s.sock")
	if _, err := l.DialPackets(path, os.Getpid(), &packetRecorder{}); err == nil {
		t.Error("DialPackets connected without a listener, want an error")
	}
	accepted := 0
	for i := range 2 {
		if _, err := l.ListenPackets(path, func(*PacketConn) PacketOwner { accepted = i + 1; return nil }); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := l.DialPackets(path, 1, &packetRecorder{}); err == nil || !strings.Contains(err.Error(), "not 1") {
		t.Errorf("another process listens: %v, want an error that it is not 1", err)
	}
	l.runTurn(t)
	if accepted != 2 {
		t.Errorf("accepted by listener %d, want 2", accepted)
	}
	if leftovers, _ := filepath.Glob(filepath.Join(filepath.Dir(path), ".*")); len(leftovers) > 0 {
		t.Errorf("temporary files left: %v, want none", leftovers)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode of the socket file: %v, %v, want 0600", info.Mode(), err)
	}
	if _, err := l.ListenPackets(filepath.Join(path, "none", "s"), nil); err == nil {
		t.Error("ListenPackets in a directory that does not exist returned no error")
	}
}
