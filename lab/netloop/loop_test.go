package netloop

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"golang.org/x/sys/unix"
)

// must fails the test at an error.
func must[T any](v T, err error) func(t *testing.T) T {
	return func(t *testing.T) T {
		t.Helper()
		if err != nil && !errors.Is(err, unix.EINPROGRESS) {
			t.Fatal(err)
		}
		return v
	}
}

// run runs the loop until it is stopped, and frees it at the test's end.
func run(t *testing.T, l *Loop) {
	t.Cleanup(func() { _ = l.Close() })
	must(0, l.Run())(t)
}

// reader keeps what comes, and hands each part on.
type reader struct {
	got  []byte
	end  error
	part func(c *Conn, b []byte)
}

func (r *reader) Readable(c *Conn) {
	var buf [8 << 10]byte
	for c.fd >= 0 && r.end == nil {
		n, err := c.Read(buf[:])
		if errors.Is(err, ErrAgain) {
			return
		}
		r.got, r.end = append(r.got, buf[:n]...), err
		r.part(c, buf[:n])
	}
}

// pair connects two owners, of which the first dials, over a listener that is closed at the test's end.
func pair(t *testing.T, l *Loop, near, far Owner) (*Conn, *Listener) {
	ln := must(l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(fd int) { _, _ = l.Adopt(fd, far) }))(t)
	t.Cleanup(ln.Close)
	return dial(t, l, ln, near), ln
}

func dial(t *testing.T, l *Loop, to *Listener, owner Owner) *Conn {
	fd := must(unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0))(t)
	must(0, unix.Connect(fd, &unix.SockaddrInet4{Addr: to.Addr().Addr().As4(), Port: int(to.Addr().Port())}))(t)
	return must(l.Adopt(fd, owner))(t)
}

// Far more than the kernel's buffers hold comes back whole and in order, though both sides write it at once; then
// the end of one side is told to the other.
func TestEchoOfPartialWrites(t *testing.T) {
	l, sent, client, server := must(New())(t), make([]byte, 8<<20), &reader{}, &reader{}
	must(rand.NewChaCha8([32]byte{}).Read(sent))(t)
	server.part = func(c *Conn, b []byte) {
		c.Write(b)
		l.stopped = server.end != nil
	}
	client.part = func(c *Conn, _ []byte) {
		if len(client.got) == len(sent) {
			c.Close()
		}
	}
	c, _ := pair(t, l, client, server)
	c.Write(sent[:1])
	if c.Write(sent[1:]); len(c.unsent) == 0 {
		t.Error("the kernel took all at once: nothing was partial")
	}
	if run(t, l); !bytes.Equal(client.got, sent) || !errors.Is(server.end, io.EOF) {
		t.Errorf("%d of %d bytes came back, then %v", len(client.got), len(sent), server.end)
	}
}

// Timers are called by their time, and those of one time as they were set; what is cancelled, also by one of the
// same round, is not. A timer of no delay waits for the next round.
func TestTimers(t *testing.T) {
	l := must(New())(t)
	var got, want []int
	for _, i := range rand.Perm(2000) {
		if timer := l.After(Micros(i/2), func() { got = append(got, i/2) }); i%10 < 2 {
			l.Cancel(timer)
		} else {
			want = append(want, i/2)
		}
	}
	slices.Sort(want)
	again, rounds := func() {}, 0
	again = func() {
		if rounds++; rounds < 3 {
			l.After(-1, again)
		} else {
			l.After(3000, func() { go l.Post(l.Stop) })
		}
	}
	second := &Timer{}
	l.After(0, func() { l.Cancel(second) })
	second = l.After(0, func() { t.Error("cancelled, and called") })
	l.After(0, again)
	if l.timers.fire(0); rounds != 1 {
		t.Errorf("%d rounds in one", rounds)
	}
	if run(t, l); !slices.Equal(got, want) || l.Now() < 3000 {
		t.Errorf("%d of %d timers in order, at %d", len(got), len(want), l.Now())
	}
}

// Calls that other goroutines post all come, each goroutine's in their order.
func TestPost(t *testing.T) {
	const goroutines, each = 8, 1000
	l, next, left := must(New())(t), make([]int, goroutines), goroutines*each
	call := func(g, i int) {
		if next[g]++; next[g] != i+1 {
			t.Errorf("call %d of goroutine %d came as its call %d", i, g, next[g])
		}
		if left--; left == 0 {
			l.Stop()
		}
	}
	for g := range goroutines {
		go func() {
			for i := range each {
				l.Post(func() { call(g, i) })
			}
		}()
	}
	run(t, l)
}

// A listener that finds no descriptor free goes on once there is one, though no event comes again; events of a
// descriptor that was closed with them unread are not those of the next one of the same number.
func TestDescriptors(t *testing.T) {
	l, events := must(New())(t), make([]unix.EpollEvent, batch)
	c, ln := pair(t, l, nil, nil) // an event that is told to an owner fails the test
	stale := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(c.fd), Pad: l.entries[c.fd].generation}
	c.Close()
	if c = dial(t, l, ln, nil); c.fd != int(stale.Fd) {
		t.Errorf("descriptor %d, not %d again", c.fd, stale.Fd)
	}
	l.dispatch(&stale)
	c.Close()
	must(unix.EpollWait(l.epoll, events, -1))(t) // the listener's one event
	var was unix.Rlimit
	must(0, unix.Prlimit(0, unix.RLIMIT_NOFILE, nil, &was))(t)
	must(0, unix.Prlimit(0, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 1, Max: was.Max}, nil))(t)
	ln.ready(0)
	must(0, unix.Prlimit(0, unix.RLIMIT_NOFILE, &was, nil))(t)
	ln.accept = func(fd int) {
		l.Post(l.Stop)
		_ = unix.Close(fd)
	}
	run(t, l)
}
