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

// box keeps what came.
type box struct {
	texts []string
	fds   []int
	ended int
}

func (b *box) Packet(_ *PacketConn, text []byte, fds []int) {
	b.texts, b.fds = append(b.texts, string(text)), append(b.fds, fds...)
}

func (b *box) Ended(p *PacketConn) {
	b.ended++
	p.Close()
}

// turn has the loop take what is there now.
func (l *Loop) turn(t *testing.T) {
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

// linked returns the dialling end of a connection for packets at path, and what comes to the listening one.
func linked(t *testing.T, l *Loop, path string) (near *PacketConn, farBox *box) {
	t.Helper()
	farBox = &box{}
	if _, err := l.ListenPackets(path, func(*PacketConn) PacketOwner { return farBox }); err != nil {
		t.Fatal(err)
	}
	near, err := l.DialPackets(path, os.Getpid(), &box{})
	if err != nil {
		t.Fatal(err)
	}
	l.turn(t)
	return near, farBox
}

// A socket that was passed on and released is the other process's alone: this loop hears no more of it, also while the
// other has it open, and the connection has not ended.
func TestReleasedSocketIsHeardNoMore(t *testing.T) {
	l := newLoop(t)
	deep := filepath.Join(t.TempDir(), strings.Repeat("deep", 40)) // an address alone can't hold the path
	if err := os.Mkdir(deep, 0o700); err != nil {
		t.Fatal(err)
	}
	near, far := linked(t, l, filepath.Join(deep, "s.sock"))
	var served *Conn
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(adopt func(Owner) (*Conn, error)) {
		served, _ = adopt(greeter{})
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
	l.turn(t)
	if err := near.Send([]byte("take it"), served); err != nil {
		t.Fatal(err)
	}
	l.turn(t)
	if len(far.fds) != 1 || far.texts[0] != "take it" {
		t.Fatalf("%+v", far)
	}
	served.Release()
	events := make([]unix.EpollEvent, 8)
	if _, err := unix.Write(fd, []byte("hello")); err != nil {
		t.Fatal(err)
	}
	if n, err := unix.EpollWait(l.epoll, events, 50); n != 0 || err != nil {
		t.Errorf("%d events of what was released, %v", n, err)
	}
	taken, err := l.Adopt(far.fds[0], greeter{})
	if err != nil {
		t.Fatal(err)
	}
	var buf [16]byte
	if n, err := taken.Read(buf[:]); string(buf[:n]) != "hello" {
		t.Errorf("%q, %v", buf[:n], err)
	}
	taken.Close()
	_ = unix.Close(fd)
}

// What is too long or no packet of ours ends the connection, and no descriptor beside it stays open.
func TestPacketsAreBounded(t *testing.T) {
	l := newLoop(t)
	near, far := linked(t, l, filepath.Join(t.TempDir(), "s.sock"))
	if err := near.Send(make([]byte, MaxPacket)); err != nil {
		t.Fatal(err)
	}
	l.turn(t)
	if len(far.texts) != 1 || len(far.texts[0]) != MaxPacket || far.ended != 0 {
		t.Errorf("%d packets, %d ends", len(far.texts), far.ended)
	}
	if err := near.Send(make([]byte, MaxPacket+1)); err != nil {
		t.Fatal(err)
	}
	l.turn(t)
	if len(far.texts) != 1 || far.ended != 1 {
		t.Errorf("%d packets, %d ends", len(far.texts), far.ended)
	}
	if _, err := l.Adopt(l.wake, greeter{}); err == nil {
		t.Error("an eventfd passed for a stream socket")
	}
}

// Once shut, the peer's word no longer comes, and it learns so by its own send: who says yes too late does not have it.
func TestShutRefusesLateAnswers(t *testing.T) {
	l := newLoop(t)
	nearBox := &box{}
	var far *PacketConn
	path := filepath.Join(t.TempDir(), "s.sock")
	if _, err := l.ListenPackets(path, func(p *PacketConn) PacketOwner {
		far = p
		return &box{}
	}); err != nil {
		t.Fatal(err)
	}
	near, err := l.DialPackets(path, os.Getpid(), nearBox)
	if err != nil {
		t.Fatal(err)
	}
	l.turn(t)
	if err := far.Send([]byte("in time")); err != nil {
		t.Fatal(err)
	}
	near.Shutdown()
	if err := far.Send([]byte("late")); !errors.Is(err, unix.EPIPE) {
		t.Errorf("a late answer: %v", err)
	}
	for range 4 {
		l.turn(t)
	}
	if len(nearBox.texts) != 1 || nearBox.texts[0] != "in time" || nearBox.ended != 1 {
		t.Errorf("%+v", nearBox)
	}
}

// Only the process that is meant answers at the path, and a listener takes the place of an earlier one.
func TestWhoListens(t *testing.T) {
	l := newLoop(t)
	path := filepath.Join(t.TempDir(), "s.sock")
	if _, err := l.DialPackets(path, os.Getpid(), &box{}); err == nil {
		t.Error("nobody listens")
	}
	heard := 0
	for i := range 2 {
		if _, err := l.ListenPackets(path, func(*PacketConn) PacketOwner { heard = i + 1; return nil }); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := l.DialPackets(path, 1, &box{}); err == nil || !strings.Contains(err.Error(), "not 1") {
		t.Errorf("another process: %v", err)
	}
	l.turn(t)
	if heard != 2 {
		t.Errorf("listener %d heard it", heard)
	}
	if left, _ := filepath.Glob(filepath.Join(filepath.Dir(path), ".*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info.Mode(), err)
	}
	if _, err := l.ListenPackets(filepath.Join(path, "none", "s"), nil); err == nil {
		t.Error("listened where there is no directory")
	}
}
