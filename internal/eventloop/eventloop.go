// Package eventloop runs a process's network I/O on one goroutine: an edge-triggered epoll loop over numbered slots,
// one heap of all deadlines, stream sockets with gathered writes, datagrams, and packets that carry descriptors between
// processes of one user.
//
// Everything but Loop.Post is called on the loop's goroutine only, and nothing blocks. Owners (Owner, PacketOwner) are
// called from Loop.Run, one at a time. The package knows no protocol and decides nothing.
package eventloop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"spurspread/decision/monotime"
)

// ready is what a slot of the epoll table holds.
type ready interface{ ready(events uint32) }

// Loop waits for sockets, deadlines and posted calls. Only Post may be called from other goroutines.
type Loop struct {
	epoll     int
	wake      int // an eventfd
	fds       Slots[ready]
	deadlines deadlines
	start     time.Time
	wall      Micros
	now       Micros
	open      int // descriptors of sockets held
	stopped   bool

	mu     sync.Mutex
	posted []func()
}

// New returns a loop that holds an epoll instance and an eventfd.
func New() (*Loop, error) {
	ep, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("eventfd: %w", err), unix.Close(ep))
	}
	start := time.Now()
	l := &Loop{epoll: ep, wake: wake, start: start, wall: Micros(start.UnixMicro())}
	l.now = l.wall
	if _, err := l.add(wake, waker{l}, unix.EPOLLIN); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

// Close frees what the loop itself holds; sockets are their owners' to close.
func (l *Loop) Close() error { return errors.Join(unix.Close(l.wake), unix.Close(l.epoll)) }

// Now is the wall time at the start of the process advanced by the monotonic clock, so that it agrees with the
// other machines' clocks but never jumps. It does not advance while one event is handled.
func (l *Loop) Now() Micros { return l.now }

func (l *Loop) tick() { l.now = l.wall + Micros(time.Since(l.start).Microseconds()) }

// OpenSockets returns how many sockets are open.
func (l *Loop) OpenSockets() int { return l.open }

// After calls due once the delay has passed, in a later turn of the loop.
func (l *Loop) After(delay Micros, due func()) Ref { return l.deadlines.set(l.now+max(delay, 0), due) }

// Cancel takes back a deadline and clears its Ref; one that was due already is ignored.
func (l *Loop) Cancel(r *Ref) {
	l.deadlines.cancel(*r)
	*r = 0
}

// Post has the loop call f soon, from whatever goroutine it comes.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	// A full counter wakes the loop just as well, so the error says nothing.
	_, _ = unix.Write(l.wake, []byte{1, 0, 0, 0, 0, 0, 0, 0})
}

// Stop ends Run after the present turn.
func (l *Loop) Stop() { l.stopped = true }

// eventsPerTurn bounds how many sockets' events one turn handles before deadlines are looked at again.
const eventsPerTurn = 256

// maxSleep bounds one wait for events.
const maxSleep = 60_000 // milliseconds

// Run runs the loop until Stop. It returns an error only if epoll itself fails.
func (l *Loop) Run() error {
	events := make([]unix.EpollEvent, eventsPerTurn)
	for !l.stopped {
		l.tick()
		n, err := unix.EpollWait(l.epoll, events, l.wait())
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll wait: %w", err)
		}
		for i := range max(n, 0) {
			l.tick()
			if r, ok := l.fds.Get(Ref(events[i].Fd)); ok {
				r.ready(events[i].Events)
			}
		}
		l.tick()
		l.deadlines.run(l.now)
	}
	return nil
}

// wait returns how long epoll may sleep, in milliseconds, rounded up; -1 without a deadline.
func (l *Loop) wait() int {
	at, ok := l.deadlines.next()
	if !ok {
		return -1
	}
	return int(min(max((at-l.now+monotime.Millisecond-1)/monotime.Millisecond, 0), maxSleep))
}

func (l *Loop) add(fd int, r ready, events uint32) (Ref, error) {
	ref := l.fds.Put(r)
	if ref == 0 {
		return 0, unix.EMFILE
	}
	ev := unix.EpollEvent{Events: events, Fd: int32(ref)}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		l.fds.Drop(ref)
		return 0, fmt.Errorf("epoll add: %w", err)
	}
	return ref, nil
}

type waker struct{ l *Loop }

func (w waker) ready(uint32) {
	var count [8]byte
	_, _ = unix.Read(w.l.wake, count[:])
	w.l.mu.Lock()
	calls := w.l.posted
	w.l.posted = nil
	w.l.mu.Unlock()
	for _, f := range calls {
		f()
	}
}
