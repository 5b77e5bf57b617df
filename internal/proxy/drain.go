package proxy

import (
	"spurspread/decision/lifecycle"
	"spurspread/decision/outcome"
	"spurspread/internal/eventloop"
	"spurspread/internal/logging"
)

const (
	maxDrainDeadline   = 3 * second        // deadlines count for no more at a planned restart
	minDrainTime       = 600 * millisecond // new connections come for so long after SIGTERM
	firstMoveDelay     = 50 * millisecond
	finalAnswerDelay   = 200 * millisecond
	drainOvertime      = 450 * millisecond // beyond the longest deadline; SIGKILL comes 0.7 s beyond it
	drainCheckInterval = 20 * millisecond
	// of a lame duck's moves: nobody may be left after 4 s, and a line under way has moveTime
	lameDuckMoveTime = 2800 * millisecond
)

// drainState is the state of a planned stop, or of a lame duck that may be called back.
type drainState struct {
	on             bool // clients are moved away and fronts are told no
	stopping       bool // once they are, the loop ends
	handingOver    bool // another process listens on the same port and takes what is new
	listenerClosed bool // nobody can connect here any more
	began          eventloop.Micros
	duration       eventloop.Micros // what a planned stop waits for, by the settings as they were when it began
	generation     int              // counts drains, so that what a drain taken back had planned does nothing
	transfer       *transferSender  // to a successor that takes standing connections
}

// longestDeadline is the longest deadline of a request, as far as a planned restart waits for it.
func (r *Proxy) longestDeadline() eventloop.Micros {
	var d eventloop.Micros
	for _, c := range r.cfg.Settings.Decision.Classes {
		d = max(d, eventloop.Micros(c.Deadline))
	}
	return min(d, maxDrainDeadline)
}

// LifecycleState is what the relay is there for now.
func (r *Proxy) LifecycleState() lifecycle.State {
	switch {
	case r.drain.stopping:
		return lifecycle.Stopping
	case r.drain.on:
		return lifecycle.LameDuck
	}
	return lifecycle.Serving
}

// HandleAdminCall carries out a call of the management address and returns its answer, without the line end.
func (r *Proxy) HandleAdminCall(c lifecycle.CommandKind) string {
	a := lifecycle.Apply(r.LifecycleState(), c)
	if a.Changed {
		if a.Next == lifecycle.LameDuck {
			r.log.WithField(logging.Connections, r.requests.Len()).Info("lame duck: moving all clients away")
			r.drainAll(lameDuckMoveTime)
		} else {
			r.drain.on = false
			r.drain.generation++
			r.log.Info("rejoined: taking clients again")
		}
	}
	return a.Reply
}

// Drain stops in a planned way: what is new is shed, hops are finished or answered, every standing connection is
// moved, and then the loop stops. What a lame duck still has is moved sooner than it had planned.
func (r *Proxy) Drain() {
	if r.drain.stopping {
		return
	}
	r.log.WithField(logging.Connections, r.requests.Len()).Info("draining")
	r.drainAll(r.longestDeadline())
	r.drain.stopping = true
	r.loop.After(drainCheckInterval, r.checkDrained)
}

// HotRestart stops as Drain does, for a successor that listens on the same port: what waits in the accept queue is
// taken in, the listener closes, so that the kernel gives all that is new to the successor, and what was taken in is
// served, and passed on or moved soon after it stands, rather than shed.
// What stands passes to the successor, which is process pid and listens at the path; what can't pass is moved.
func (r *Proxy) HotRestart(path string, pid int) {
	if r.drain.stopping {
		return
	}
	r.log.WithField(logging.Connections, r.requests.Len()).Info("draining")
	r.startDrain()
	r.drain.stopping, r.drain.handingOver = true, true
	r.closeListener()
	r.log.Info("hot restart: successor accepts new clients")
	r.startTransfer(path, pid)
	r.loop.After(drainCheckInterval, r.checkDrained)
}

// drainAll moves every standing connection, spread within the span, for all clients moved at one moment would come
// back in one moment.
func (r *Proxy) drainAll(span eventloop.Micros) {
	r.startDrain()
	r.moveEstablished(span)
}

// startDrain has fronts told no; connections that were to resume are given back, as far as their class allows.
func (r *Proxy) startDrain() {
	r.drain = drainState{
		on:         true,
		began:      r.loop.Now(),
		duration:   r.longestDeadline(),
		generation: r.drain.generation + 1,
	}
	for _, s := range r.requests.All {
		if s.state == stateReattaching {
			s.rejectReattaching()
		}
	}
}

// moveEstablished moves what stands within what is left of the span since the drain began.
func (r *Proxy) moveEstablished(span eventloop.Micros) {
	round, left := r.drain.generation, max(span-(r.loop.Now()-r.drain.began), 0)
	var standing []*request
	for _, s := range r.requests.All {
		if s.state == stateEstablished {
			standing = append(standing, s)
		}
	}
	for m := range r.muxDownstreams {
		r.loop.After(0, m.closeIfUnused)
	}
	for i, s := range standing {
		r.loop.After(drainMoveDelay(left, i, len(standing)), func() {
			if r.drain.generation == round {
				s.moveAway(outcome.Cancelled, true)
			}
		})
	}
	r.loop.After(left+finalAnswerDelay, func() {
		if r.drain.generation != round {
			return
		}
		for _, s := range r.requests.All {
			if s.state == statePending {
				s.expire()
				continue
			}
			s.moveAway(outcome.Cancelled, true)
		}
	})
}

// drainMoveDelay is when the i-th of n that stand is moved, where all are to be within the span: spread over its second
// half. Until then each is served; and where balancers are restarted one after another, the one before this may
// still be away. The last is told early enough for a line that is under way then to end before the loop does.
func drainMoveDelay(span eventloop.Micros, i, n int) eventloop.Micros {
	last := max(span-(moveLineTimeout-drainOvertime), firstMoveDelay)
	first := min(max(firstMoveDelay, span/2), last)
	return first + (last-first)*eventloop.Micros(i)/eventloop.Micros(n)
}

// rejectsNew tells whether a new request is to be refused: all while stopping, unless handed over; a lame duck, and one
// that handed over, take what still comes for a moment (and move it soon), but no more after that.
func (r *Proxy) rejectsNew() bool {
	return r.drain.stopping && !r.drain.handingOver || r.drain.on && r.loop.Now()-r.drain.began > minDrainTime
}

// moveAfterFirstLines moves a connection that came to stand while draining, after it has had its first lines.
func (r *Proxy) moveAfterFirstLines(s *request) {
	round := r.drain.generation
	r.loop.After(firstMoveDelay, func() {
		if !r.drain.on || r.drain.generation != round {
			return
		}
		if p := r.drain.transfer; p == nil || s.state != stateTransferring && !p.offer(s) {
			s.moveAway(outcome.Cancelled, true)
		}
	})
}

// checkDrained stops the loop once nothing is left, or when time is up. Connections with channels hear goodbye first, also
// one that came late, or whose last channel ended in this very turn.
func (r *Proxy) checkDrained() {
	spent := r.loop.Now() - r.drain.began
	if spent >= minDrainTime {
		for m := range r.muxDownstreams {
			m.closeIfUnused()
		}
		r.closeIdle()
	}
	timeUp := spent >= r.drain.duration+drainOvertime
	if timeUp || spent >= minDrainTime && r.requests.Len()+len(r.muxDownstreams) == 0 {
		r.closeListener()
	}
	if timeUp || spent >= minDrainTime && r.requests.Len()+r.lingering+len(r.muxDownstreams) == 0 {
		r.log.WithField(logging.Aborted, r.requests.Len()).Info("drained")
		r.loop.Stop()
		return
	}
	r.loop.After(drainCheckInterval, r.checkDrained)
}

// closeIdle ends all connections that have asked nothing; who asks in this very turn is answered.
func (r *Proxy) closeIdle() {
	for d := r.idle.oldestUnasked(); d != nil; d = r.idle.oldestUnasked() {
		r.idle.remove(d)
		d.expire()
	}
}

// closeListener takes in what waits in the accept queue, which would be reset by a listener that closes, and listens no more.
func (r *Proxy) closeListener() {
	if r.drain.listenerClosed {
		return
	}
	r.drain.listenerClosed = true
	r.listener.Shut()
	if r.drain.stopping && !r.drain.handingOver {
		r.closeIdle()
	}
}
