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

// must returns a function that returns the value, or ends the test if there is an error. It ignores EINPROGRESS, the
// result of a nonblocking connect.
func must[T any](value T, err error) func(t *testing.T) T {
	return func(t *testing.T) T {
		t.Helper()
		if err != nil && !errors.Is(err, unix.EINPROGRESS) {
			t.Fatal(err)
		}
		return value
	}
}

// run runs the loop until it is stopped, and closes it at the end of the test.
func run(t *testing.T, l *Loop) {
	t.Helper()
	t.Cleanup(func() { _ = l.Close() })
	must(0, l.Run())(t)
}

// reader is an Owner that stores all received data, and passes each part to onPart.
type reader struct {
	received []byte
	end      error // the error that ended the connection
	onPart   func(c *Conn, part []byte)
}

func (r *reader) Readable(c *Conn) {
	var buffer [8 << 10]byte
	for c.fd != closedDescriptor && r.end == nil {
		n, err := c.Read(buffer[:])
		if errors.Is(err, ErrAgain) {
			return
		}
		r.received = append(r.received, buffer[:n]...)
		r.end = err
		r.onPart(c, buffer[:n])
	}
}

// connect connects two owners over a listener, which is closed at the end of the test. It returns the dialer's
// connection.
func connect(t *testing.T, l *Loop, dialer, accepter Owner) (*Conn, *Listener) {
	t.Helper()
	listener := must(l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(fd int) {
		_, _ = l.Adopt(fd, accepter)
	}))(t)
	t.Cleanup(listener.Close)
	return dial(t, l, listener, dialer), listener
}

func dial(t *testing.T, l *Loop, listener *Listener, owner Owner) *Conn {
	t.Helper()
	fd := must(unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0))(t)
	to := &unix.SockaddrInet4{Addr: listener.Addr().Addr().As4(), Port: int(listener.Addr().Port())}
	must(0, unix.Connect(fd, to))(t)
	return must(l.Adopt(fd, owner))(t)
}

// Both sides write far more data at once than the kernel's buffers hold. It is echoed completely and in order, and then
// the server reads the end of the client's stream.
func TestEchoOfPartialWrites(t *testing.T) {
	l := must(New())(t)
	sent := make([]byte, 8<<20)
	must(rand.NewChaCha8([32]byte{}).Read(sent))(t)
	client := &reader{}
	server := &reader{}
	server.onPart = func(c *Conn, part []byte) {
		c.Write(part)
		l.stopped = server.end != nil
	}
	client.onPart = func(c *Conn, _ []byte) {
		if len(client.received) == len(sent) {
			c.Close()
		}
	}
	c, _ := connect(t, l, client, server)
	c.Write(sent[:1])
	c.Write(sent[1:])
	if len(c.unsent) == 0 {
		t.Error("the kernel accepted all data at once, so no write was partial")
	}
	run(t, l)
	if !bytes.Equal(client.received, sent) || !errors.Is(server.end, io.EOF) {
		t.Errorf("received %d bytes, want the %d sent ones in order; the server's stream ended with %v",
			len(client.received), len(sent), server.end)
	}
}

// Timers are called in the order of their times. A cancelled timer is not called, even if a timer of the same round has
// cancelled it. A timer without a delay, set by another timer, is called in the next round.
func TestTimers(t *testing.T) {
	l := must(New())(t)
	var got, want []int
	for _, i := range rand.Perm(2000) {
		timer := l.After(Micros(i/2), func() { got = append(got, i/2) })
		if i%10 < 2 {
			l.Cancel(timer)
		} else {
			want = append(want, i/2)
		}
	}
	slices.Sort(want)
	rounds := 0
	var repeat func()
	repeat = func() {
		rounds++
		if rounds < 3 {
			l.After(-1, repeat)
		} else {
			l.After(3000, func() { go l.Post(l.Stop) })
		}
	}
	var cancelled *Timer
	l.After(0, func() { l.Cancel(cancelled) })
	cancelled = l.After(0, func() { t.Error("a cancelled timer was called") })
	l.After(0, repeat)
	l.timers.fire(0)
	if rounds != 1 {
		t.Errorf("%d calls of a timer that sets itself again in one round, want 1", rounds)
	}
	run(t, l)
	if !slices.Equal(got, want) || l.Now() < 3000 {
		t.Errorf("%d timers called, want %d in order of their times; now %d us", len(got), len(want), l.Now())
	}
}

// All calls that other goroutines post are made, and those of one goroutine are made in order.
func TestPost(t *testing.T) {
	const goroutines, callsOfEach = 8, 1000
	l := must(New())(t)
	made := make([]int, goroutines)
	left := goroutines * callsOfEach
	call := func(goroutine, number int) {
		made[goroutine]++
		if made[goroutine] != number+1 {
			t.Errorf("call %d of goroutine %d was made as number %d, want them in order",
				number, goroutine, made[goroutine])
		}
		left--
		if left == 0 {
			l.Stop()
		}
	}
	for goroutine := range goroutines {
		go func() {
			for number := range callsOfEach {
				l.Post(func() { call(goroutine, number) })
			}
		}()
	}
	run(t, l)
}

// A listener that runs out of descriptors accepts its connections once there are descriptors again, although epoll
// reports no further event. Unread events of a closed descriptor are not passed to a new one with the same number.
func TestDescriptors(t *testing.T) {
	l := must(New())(t)
	events := make([]unix.EpollEvent, eventsPerWait)
	c, listener := connect(t, l, nil, nil) // nil owners: any call of Readable panics
	stale := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(c.fd), Pad: l.registrations[c.fd].generation}
	c.Close()
	c = dial(t, l, listener, nil)
	if c.fd != int(stale.Fd) {
		t.Errorf("the new connection has descriptor %d, want %d again", c.fd, stale.Fd)
	}
	l.dispatch(&stale)
	c.Close()
	must(unix.EpollWait(l.epoll, events, -1))(t) // the listener's only event
	var limit unix.Rlimit
	must(0, unix.Prlimit(0, unix.RLIMIT_NOFILE, nil, &limit))(t)
	must(0, unix.Prlimit(0, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 1, Max: limit.Max}, nil))(t)
	listener.ready(0)
	must(0, unix.Prlimit(0, unix.RLIMIT_NOFILE, &limit, nil))(t)
	listener.accept = func(fd int) {
		l.Post(l.Stop)
		_ = unix.Close(fd)
	}
	run(t, l)
}
