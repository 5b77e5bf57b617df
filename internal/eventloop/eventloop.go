// Package eventloop runs the network I/O of a process on one goroutine, with epoll.
//
// A Loop dispatches socket events, timers and functions posted by other goroutines. Conn is a non-blocking stream
// socket (edge-triggered, with gathered writes), Listener accepts connections, DatagramSocket sends and receives UDP
// datagrams, and PacketConn transfers packets and file descriptors between processes of the same user. Refs into a
// Slots table identify sockets and timers.
//
// Only Loop.Post may be called from other goroutines, and nothing blocks. Owners (Owner, PacketOwner) are called from
// Loop.Run, one at a time. The package implements no application protocol and no policy.
package eventloop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"spurspread/decision/monotime"
)

// eventHandler handles the epoll events of one registered file descriptor.
type eventHandler interface{ handleEvents(events uint32) }

// Loop is an event loop over sockets, timers and posted functions. Only Post may be called from other goroutines.
type Loop struct {
	epollFD     int
	wakeFD      int // an eventfd, which Post writes to
	handlers    Slots[eventHandler]
	deadlines   deadlines
	startTime   time.Time
	startMicros Micros // wall time of startTime
	now         Micros
	openSockets int
	stopped     bool

	mu     sync.Mutex
	posted []func()
}

// New returns a loop. It holds two file descriptors, an epoll instance and an eventfd, until Close.
func New() (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("eventfd: %w", err), unix.Close(epollFD))
	}
	start := time.Now()
	l := &Loop{epollFD: epollFD, wakeFD: wakeFD, startTime: start, startMicros: Micros(start.UnixMicro())}
	l.now = l.startMicros
	if _, err := l.add(wakeFD, waker{l}, unix.EPOLLIN); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

// Close closes the loop's own file descriptors. It does not close sockets.
func (l *Loop) Close() error { return errors.Join(unix.Close(l.wakeFD), unix.Close(l.epollFD)) }

// Now returns the current time, in microseconds since 1970: the wall time at New, advanced by the monotonic clock. It
// is comparable with the clocks of other machines, but never jumps. It is constant while one event is handled.
func (l *Loop) Now() Micros { return l.now }

func (l *Loop) updateNow() { l.now = l.startMicros + Micros(time.Since(l.startTime).Microseconds()) }

// OpenSockets returns the number of open sockets, including listeners but not the loop's own two file descriptors.
func (l *Loop) OpenSockets() int { return l.openSockets }

// After schedules callback to be called once the delay has passed and the event or callback that is being handled has
// returned; a negative delay counts as 0. With delay 0, callback is called at the end of the same turn if After was
// called for a socket's event, and in the next turn if it was called from another callback. The Ref is for Cancel; it
// is zero, and the call can't be cancelled, if maxSlots calls are pending already.
func (l *Loop) After(delay Micros, callback func()) Ref {
	return l.deadlines.set(l.now+max(delay, 0), callback)
}

// Cancel cancels a call scheduled with After and clears its Ref. If the call was made already, it only clears the Ref.
func (l *Loop) Cancel(r *Ref) {
	l.deadlines.cancel(*r)
	*r = 0
}

// Post makes the loop call f soon. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	// The error is ignored: the write fails if the counter is at its maximum, which wakes the loop as well.
	_, _ = unix.Write(l.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0})
}

// Stop makes Run return after the current turn.
func (l *Loop) Stop() { l.stopped = true }

// eventsPerTurn is the maximum number of sockets whose events are handled in one turn, before deadlines are checked
// again.
const eventsPerTurn = 256

// maxSleep is the longest wait for events while a deadline is pending; without one there is no limit.
const maxSleep = 60_000 // milliseconds

// Run runs the loop until Stop. It returns an error only if waiting for events fails.
func (l *Loop) Run() error {
	events := make([]unix.EpollEvent, eventsPerTurn)
	for !l.stopped {
		l.updateNow()
		n, err := unix.EpollWait(l.epollFD, events, l.epollTimeout())
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll wait: %w", err)
		}
		for i := range max(n, 0) {
			l.updateNow()
			if handler, ok := l.handlers.Get(Ref(events[i].Fd)); ok {
				handler.handleEvents(events[i].Events)
			}
		}
		l.updateNow()
		l.deadlines.run(l.now)
	}
	return nil
}

// epollTimeout returns the time until the next deadline in milliseconds, rounded up and at most maxSleep; -1, which
// means no timeout, if there is no deadline.
func (l *Loop) epollTimeout() int {
	at, ok := l.deadlines.next()
	if !ok {
		return -1
	}
	return int(min(max((at-l.now+monotime.Millisecond-1)/monotime.Millisecond, 0), maxSleep))
}

// add registers a file descriptor with epoll. Its events are passed to handler until the Ref is dropped from
// l.handlers.
func (l *Loop) add(fd int, handler eventHandler, events uint32) (Ref, error) {
	ref := l.handlers.Put(handler)
	if ref == 0 {
		return 0, unix.EMFILE
	}
	ev := unix.EpollEvent{Events: events, Fd: int32(ref)}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		l.handlers.Drop(ref)
		return 0, fmt.Errorf("epoll add: %w", err)
	}
	return ref, nil
}

// waker calls the posted functions when the eventfd is readable.
type waker struct{ l *Loop }

func (w waker) handleEvents(uint32) {
	var count [8]byte
	_, _ = unix.Read(w.l.wakeFD, count[:])
	w.l.mu.Lock()
	calls := w.l.posted
	w.l.posted = nil
	w.l.mu.Unlock()
	for _, f := range calls {
		f()
	}
}
