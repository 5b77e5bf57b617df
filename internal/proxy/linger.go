package proxy

import (
	"spurspread/decision/timeouts"
	"spurspread/internal/eventloop"
)

// linger gives a client time to read what is pending for it after its stream has ended.
type linger struct {
	loop    *eventloop.Loop
	timer   eventloop.Ref
	pending func() int // number of bytes that are pending for the client
	before  int        // result of pending when the timer was started
	close   func()     // called once the client's time is up
}

// startLinger gives a client time to read what pending counts, and then calls close.
func startLinger(loop *eventloop.Loop, pending func() int, closeNow func()) *linger {
	l := &linger{loop: loop, pending: pending, close: closeNow}
	l.start()
	return l
}

// stop cancels the timer; it does nothing if l is nil.
func (l *linger) stop() {
	if l != nil {
		l.loop.Cancel(&l.timer)
	}
}

// start gives the client timeouts.Linger.
func (l *linger) start() {
	l.before = l.pending()
	l.timer = l.loop.After(timeouts.Linger, l.check)
}

// check gives the client the same time again if it has read part of what is pending for it, and else calls close.
func (l *linger) check() {
	if timeouts.KeepsLingering(l.before, l.pending()) {
		l.start()
		return
	}
	l.close()
}
