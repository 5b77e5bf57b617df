package proxy

import (
	"spurspread/decision/drainschedule"
	"spurspread/decision/lifecycle"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/internal/logging"
)

// drain manages a planned stop, a hot restart, or the drain of a lame duck, which can be cancelled.
type drain struct {
	proxy       *Proxy
	active      bool // clients are moved away, and health checks fail so that no new ones come
	stopping    bool // the loop stops when the drain has finished
	handingOver bool // a successor listens on the same port and accepts the new clients
	startedAt   monotime.Micros
	duration    monotime.Micros // of a planned stop, by the settings at its start
	generation  int             // number of drains started or cancelled; timers of an older one do nothing
	transfer    *transferSender // to a successor that accepts established connections; nil for none
}

// lifecycleState returns the state for the admin listener.
func (d *drain) lifecycleState() lifecycle.State {
	switch {
	case d.stopping:
		return lifecycle.Stopping
	case d.active:
		return lifecycle.LameDuck
	}
	return lifecycle.Serving
}

// handleAdminCommand starts or cancels the drain of a lame duck and returns the reply.
func (d *drain) handleAdminCommand(command lifecycle.CommandKind) string {
	log := d.proxy.log
	transition := lifecycle.Apply(d.lifecycleState(), command)
	if !transition.Changed {
		return transition.Reply
	}
	if transition.Next == lifecycle.LameDuck {
		log.WithField(logging.Connections, d.proxy.requests.len()).Info("lame duck: moving all clients away")
		d.begin()
		d.moveEstablished(drainschedule.LameDuckDuration)
	} else {
		d.active = false
		d.generation++
		log.Info("rejoined: taking clients again")
	}
	return transition.Reply
}

// shutDown implements Proxy.Drain. If the process was a lame duck, connections that it still has are moved sooner than
// scheduled.
func (d *drain) shutDown() {
	if d.stopping {
		return
	}
	d.proxy.log.WithField(logging.Connections, d.proxy.requests.len()).Info("draining")
	d.begin()
	d.moveEstablished(d.duration)
	d.stopping = true
	d.proxy.loop.After(drainschedule.CheckInterval, d.checkFinished)
}

// hotRestart implements Proxy.HotRestart. It accepts the connections in the accept queue and closes the listener, so
// that the kernel gives all new clients to the successor. Connections already accepted are served rather than rejected,
// and are transferred or moved soon after they are established.
func (d *drain) hotRestart(path string, pid int) {
	if d.stopping {
		return
	}
	d.proxy.log.WithField(logging.Connections, d.proxy.requests.len()).Info("draining")
	d.begin()
	d.stopping = true
	d.handingOver = true
	d.proxy.listener.close()
	d.proxy.log.Info("hot restart: successor accepts new clients")
	d.startTransfer(path, pid)
	d.proxy.loop.After(drainschedule.CheckInterval, d.checkFinished)
}

// begin starts a drain, replacing one that was in progress. Requests that are reattaching get their final answer:
// rejected if their class allows a retry, else failed.
func (d *drain) begin() {
	p := d.proxy
	*d = drain{
		proxy:      p,
		active:     true,
		startedAt:  p.loop.Now(),
		duration:   drainschedule.Duration(d.deadlines()),
		generation: d.generation + 1,
	}
	for r := range p.requests.all {
		if r.state == stateReattaching {
			r.answerReattaching()
		}
	}
}

// deadlines returns the deadlines of all request classes.
func (d *drain) deadlines() (deadlines []monotime.Micros) {
	for _, class := range d.proxy.cfg.Settings.Decision.Classes {
		deadlines = append(deadlines, class.Deadline)
	}
	return deadlines
}

// elapsed returns the time since the drain began.
func (d *drain) elapsed() monotime.Micros { return d.proxy.loop.Now() - d.startedAt }

// maxIdleAge returns the age from which on idle connections are currently closed.
func (d *drain) maxIdleAge() monotime.Micros { return drainschedule.IdleAge(d.elapsed(), d.duration) }

// moveEstablished schedules the moves of all established connections within span, counted from the start of the drain,
// and then the final answers of all other requests. It disconnects multiplexed connections without requests.
func (d *drain) moveEstablished(span monotime.Micros) {
	p := d.proxy
	left := drainschedule.Remaining(span, d.elapsed())
	var connections []*request
	for r := range p.requests.all {
		if r.state == stateEstablished {
			connections = append(connections, r)
		}
	}
	for m := range p.listener.muxConns {
		p.loop.After(0, m.closeIfUnused)
	}
	for i, r := range connections {
		delay := drainschedule.MoveDelay(left, i, len(connections))
		d.after(delay, func() { r.startMove(outcome.Cancelled, true) })
	}
	d.after(left+drainschedule.FinalAnswerDelay, d.answerRemaining)
}

// after calls f after a delay, unless this drain has been cancelled or replaced by then.
func (d *drain) after(delay monotime.Micros, f func()) {
	generation := d.generation
	d.proxy.loop.After(delay, func() {
		if d.generation == generation {
			f()
		}
	})
}

// answerRemaining has all pending requests answered at once and moves the connections established since the drain
// began.
func (d *drain) answerRemaining() {
	for r := range d.proxy.requests.all {
		if r.state == statePending {
			r.expire()
			continue
		}
		r.startMove(outcome.Cancelled, true)
	}
}

// rejectsNew reports whether new requests are rejected.
func (d *drain) rejectsNew() bool {
	return drainschedule.RejectsNew(drainschedule.State{
		Draining:    d.active,
		Stopping:    d.stopping,
		HandingOver: d.handingOver,
		Elapsed:     d.elapsed(),
	})
}

// moveAfterFirstLines transfers or moves a connection that was established during the drain, after a delay that lets
// its first lines pass.
func (d *drain) moveAfterFirstLines(r *request) {
	d.after(drainschedule.FirstMoveDelay, func() {
		if !d.active || r.state == stateTransferring {
			return
		}
		if d.transfer == nil || !d.transfer.offer(r) {
			r.startMove(outcome.Cancelled, true)
		}
	})
}

// checkFinished stops the loop once no connection is left or the time is up; until then it reschedules itself. From
// drainschedule.MinDuration on it closes idle connections and disconnects unused multiplexed connections, including
// those opened late or whose last channel has just ended. It closes the listener once no request and no multiplexed
// connection is left or the time is up.
func (d *drain) checkFinished() {
	p := d.proxy
	elapsed := d.elapsed()
	if drainschedule.ClosesIdle(elapsed) {
		p.listener.closeUnusedMux()
		p.listener.closeIdle(d.maxIdleAge())
	}
	if drainschedule.Finished(elapsed, d.duration, p.requests.len()+len(p.listener.muxConns)) {
		p.listener.close()
	}
	if drainschedule.Finished(elapsed, d.duration, d.remaining()) {
		d.finish()
		return
	}
	p.loop.After(drainschedule.CheckInterval, d.checkFinished)
}

// remaining returns the number of requests and connections for which the process still waits; the listener counts as
// one while it is open.
func (d *drain) remaining() int {
	p := d.proxy
	n := p.requests.len() + len(p.listener.muxConns) + p.listener.lingering + p.listener.idle.unanswered()
	if !p.listener.closed {
		n++
	}
	return n
}

// finish stops the loop.
func (d *drain) finish() {
	p := d.proxy
	p.listener.closeNow()
	p.log.WithField(logging.Aborted, p.requests.len()).Info("drained")
	p.listener.disconnectMux()
	p.loop.Stop()
}
