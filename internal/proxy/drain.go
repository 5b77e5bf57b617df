package proxy

import (
	"spurspread/decision/lifecycle"
	"spurspread/decision/outcome"
	"spurspread/internal/eventloop"
	"spurspread/internal/logging"
)

const (
	drainMost   = 3 * sec  // deadlines count for no more at a planned restart
	drainLeast  = 600 * ms // new connections come for so long after SIGTERM
	drainFirst  = 50 * ms
	drainAnswer = 200 * ms
	drainRoom   = 450 * ms // beyond the longest deadline; SIGKILL comes 0.7 s beyond it
	drainLook   = 20 * ms
	lameSpan    = 2800 * ms // of a lame duck's moves: nobody may be left after 4 s, and a line under way has moveTime
)

// drain is the state of a planned stop, or of a lame duck that may be called back.
type drain struct {
	on       bool // clients are moved away and fronts are told no
	stopping bool // once they are, the loop ends
	handing  bool // another process listens on the same port and takes what is new
	shut     bool // nobody can connect here any more
	began    eventloop.Micros
	span     eventloop.Micros // what a planned stop waits for, by the settings as they were when it began
	round    int              // counts drains, so that what a drain taken back had planned does nothing
	passer   *passer          // to a successor that takes standing connections
}

// longest is the longest deadline of a request, as far as a planned restart waits for it.
func (r *Relay) longest() eventloop.Micros {
	var d eventloop.Micros
	for _, c := range r.cfg.Settings.Logic.Classes {
		d = max(d, eventloop.Micros(c.Deadline))
	}
	return min(d, drainMost)
}

// Duty is what the relay is there for now.
func (r *Relay) Duty() lifecycle.State {
	switch {
	case r.drain.stopping:
		return lifecycle.Stopping
	case r.drain.on:
		return lifecycle.LameDuck
	}
	return lifecycle.Serving
}

// Manage carries out a call of the management address and returns its answer, without the line end.
func (r *Relay) Manage(c lifecycle.Call) string {
	a := lifecycle.Apply(r.Duty(), c)
	if a.Changed {
		if a.Next == lifecycle.LameDuck {
			r.log.WithField(logging.Standing, r.sessions.Len()).Info("lame duck: moving all clients away")
			r.evacuateAll(lameSpan)
		} else {
			r.drain.on = false
			r.drain.round++
			r.log.Info("rejoined: taking clients again")
		}
	}
	return a.Line
}

// Drain stops in a planned way: what is new is shed, hops are finished or answered, every standing connection is
// moved, and then the loop stops. What a lame duck still has is moved sooner than it had planned.
func (r *Relay) Drain() {
	if r.drain.stopping {
		return
	}
	r.log.WithField(logging.Standing, r.sessions.Len()).Info("draining")
	r.evacuateAll(r.longest())
	r.drain.stopping = true
	r.l.After(drainLook, r.drained)
}

// HandOver stops as Drain does, for a successor that listens on the same port: what waits in the accept queue is
// taken in, the listener closes, so that the kernel gives all that is new to the successor, and what was taken in is
// served, and passed on or moved soon after it stands, rather than shed.
// What stands passes to the successor, which is process pid and listens at the path; what can't pass is moved.
func (r *Relay) HandOver(path string, pid int) {
	if r.drain.stopping {
		return
	}
	r.log.WithField(logging.Standing, r.sessions.Len()).Info("draining")
	r.startDrain()
	r.drain.stopping, r.drain.handing = true, true
	r.shut()
	r.log.Info("handed over: the successor takes new clients")
	r.pass(path, pid)
	r.l.After(drainLook, r.drained)
}

// evacuateAll moves every standing connection, spread within the span, for all clients moved at one moment would come
// back in one moment.
func (r *Relay) evacuateAll(span eventloop.Micros) {
	r.startDrain()
	r.moveStanding(span)
}

// startDrain has fronts told no; connections that were to resume are given back, as far as their class allows.
func (r *Relay) startDrain() {
	r.drain = drain{on: true, began: r.l.Now(), span: r.longest(), round: r.drain.round + 1}
	for _, s := range r.sessions.All {
		if s.phase == resuming {
			s.giveBack()
		}
	}
}

// moveStanding moves what stands within what is left of the span since the drain began.
func (r *Relay) moveStanding(span eventloop.Micros) {
	round, left := r.drain.round, max(span-(r.l.Now()-r.drain.began), 0)
	var standing []*session
	for _, s := range r.sessions.All {
		if s.phase == open {
			standing = append(standing, s)
		}
	}
	for m := range r.muxes {
		r.l.After(0, m.goodbye)
	}
	for i, s := range standing {
		r.l.After(moveAt(left, i, len(standing)), func() {
			if r.drain.round == round {
				s.leave(outcome.Cancelled, true)
			}
		})
	}
	r.l.After(left+drainAnswer, func() {
		if r.drain.round != round {
			return
		}
		for _, s := range r.sessions.All {
			if s.phase == asked {
				s.expire()
				continue
			}
			s.leave(outcome.Cancelled, true)
		}
	})
}

// moveAt is when the i-th of n that stand is moved, where all are to be within the span: spread over its second
// half. Until then each is served; and where balancers are restarted one after another, the one before this may
// still be away. The last is told early enough for a line that is under way then to end before the loop does.
func moveAt(span eventloop.Micros, i, n int) eventloop.Micros {
	last := max(span-(moveTime-drainRoom), drainFirst)
	first := min(max(drainFirst, span/2), last)
	return first + (last-first)*eventloop.Micros(i)/eventloop.Micros(n)
}

// shedding tells whether a new request is to be refused: all while stopping, unless handed over; a lame duck, and one
// that handed over, take what still comes for a moment (and move it soon), but no more after that.
func (r *Relay) shedding() bool {
	return r.drain.stopping && !r.drain.handing || r.drain.on && r.l.Now()-r.drain.began > drainLeast
}

// moveSoon moves a connection that came to stand while draining, after it has had its first lines.
func (r *Relay) moveSoon(s *session) {
	round := r.drain.round
	r.l.After(drainFirst, func() {
		if !r.drain.on || r.drain.round != round {
			return
		}
		if p := r.drain.passer; p == nil || s.phase != passing && !p.offer(s) {
			s.leave(outcome.Cancelled, true)
		}
	})
}

// drained stops the loop once nothing is left, or when time is up. Connections with channels hear goodbye first, also
// one that came late, or whose last channel ended in this very turn.
func (r *Relay) drained() {
	spent := r.l.Now() - r.drain.began
	if spent >= drainLeast {
		for m := range r.muxes {
			m.goodbye()
		}
		r.dismiss()
	}
	timeUp := spent >= r.drain.span+drainRoom
	if timeUp || spent >= drainLeast && r.sessions.Len()+len(r.muxes) == 0 {
		r.shut()
	}
	if timeUp || spent >= drainLeast && r.sessions.Len()+r.ending+len(r.muxes) == 0 {
		r.log.WithField(logging.Left, r.sessions.Len()).Info("drained")
		r.l.Stop()
		return
	}
	r.l.After(drainLook, r.drained)
}

// dismiss ends all connections that have asked nothing; who asks in this very turn is answered.
func (r *Relay) dismiss() {
	for d := r.room.resting(); d != nil; d = r.room.resting() {
		r.room.leave(d)
		d.expire()
	}
}

// shut takes in what waits in the accept queue, which would be reset by a listener that closes, and listens no more.
func (r *Relay) shut() {
	if r.drain.shut {
		return
	}
	r.drain.shut = true
	r.ingress.Shut()
	if r.drain.stopping && !r.drain.handing {
		r.dismiss()
	}
}
