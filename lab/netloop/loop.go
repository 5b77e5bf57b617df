// Package netloop is an event loop for load generators and stand-in servers with many connections. One goroutine waits
// with epoll for nonblocking IPv4 TCP sockets, for timers and for calls that other goroutines post. The package knows
// no protocol. It shares no code with the balancer's event loop, so that a fault in one can't be masked by the same
// fault in the other.
//
// Create a Loop with New, open sockets with Listen or Adopt, and call Run on a goroutine. Owners handle what their
// connections receive on that goroutine.
package netloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// eventsPerWait is the maximum number of events that one wait returns. It amortizes the cost of the system call
	// over many events, without delaying timers much.
	eventsPerWait = 256
	// maxWaitMillis bounds one wait, in milliseconds, so that the timeout fits the kernel's int for any timer.
	maxWaitMillis = 60_000
	// microsPerMilli converts microseconds to the milliseconds of an epoll timeout.
	microsPerMilli = 1000
	// noTimeout is the epoll timeout of a wait without time limit.
	noTimeout = -1
)

// handler handles the epoll events of one descriptor.
type handler interface{ ready(events uint32) }

// registration is the handler of one descriptor. The generation distinguishes its events from late events of a closed
// descriptor that had the same number.
type registration struct {
	handler    handler
	generation int32
}

// Loop handles one event after another on the goroutine that calls Run. Post may be called from any goroutine; all
// other methods only on the loop, or before and after Run.
type Loop struct {
	epoll         int
	registrations []registration // by descriptor
	timers        timers
	start         time.Time
	now           Micros
	stopped       bool
	posts         *postQueue
}

// New returns a loop, which uses two descriptors until Close. An error means that the kernel refused one.
func New() (*Loop, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wakeup, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("eventfd: %w", err), unix.Close(epoll))
	}
	l := &Loop{epoll: epoll, start: time.Now(), posts: &postQueue{fd: wakeup}}
	if err := l.register(wakeup, l.posts, unix.EPOLLIN); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

// Close closes the descriptors of the loop itself; Run must have returned. Connections and listeners are closed by
// their owners. Calls that are posted from then on are dropped.
func (l *Loop) Close() error { return errors.Join(l.posts.close(), unix.Close(l.epoll)) }

// Now returns the monotonic time since New. The clock is read before each event and each round of timers; the time does
// not advance while one of these is handled.
func (l *Loop) Now() Micros { return l.now }

func (l *Loop) updateNow() { l.now = time.Since(l.start).Microseconds() }

// Post schedules a call of f on the loop, after all calls that were posted before.
func (l *Loop) Post(f func()) { l.posts.post(f) }

// Stop makes Run return after the current round.
func (l *Loop) Stop() { l.stopped = true }

// Run handles events until Stop. An error means that waiting with epoll failed.
func (l *Loop) Run() error {
	var events [eventsPerWait]unix.EpollEvent
	for !l.stopped {
		l.updateNow()
		count, err := unix.EpollWait(l.epoll, events[:], l.timeoutMillis())
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll wait: %w", err)
		}
		for i := 0; i < count; i++ { // count is -1 after an error
			l.dispatch(&events[i])
		}
		l.updateNow()
		l.timers.fire(l.now)
	}
	return nil
}

// dispatch passes an event to the handler of its descriptor, unless the descriptor has been closed since.
func (l *Loop) dispatch(event *unix.EpollEvent) {
	r := l.registrations[event.Fd]
	if r.handler == nil || r.generation != event.Pad {
		return
	}
	l.updateNow()
	r.handler.ready(event.Events)
}

// timeoutMillis returns the timeout of the next wait in milliseconds, rounded up so that no timer is called early;
// noTimeout if there are no timers.
func (l *Loop) timeoutMillis() int {
	at, ok := l.timers.next()
	if !ok {
		return noTimeout
	}
	left := (max(at-l.now, 0) + microsPerMilli - 1) / microsPerMilli
	return int(min(left, maxWaitMillis))
}

// register makes the loop wait for the given events of a descriptor and pass them to h.
func (l *Loop) register(fd int, h handler, events uint32) error {
	for len(l.registrations) <= fd {
		l.registrations = append(l.registrations, registration{})
	}
	r := &l.registrations[fd]
	r.handler = h
	r.generation++
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: r.generation}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		r.handler = nil
		return fmt.Errorf("epoll add: %w", err)
	}
	return nil
}

// closeDescriptor closes a registered descriptor, which removes it from epoll, too.
func (l *Loop) closeDescriptor(fd int) {
	l.registrations[fd].handler = nil
	_ = unix.Close(fd)
}
