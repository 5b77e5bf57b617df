package decision

// TimerToken identifies a timer: its purpose in the upper 32 bits, the request's ID in the lower ones. The values cross
// the simulator's wire.
type TimerToken uint64

// timerPurposeShift is the position of the purpose in a TimerToken, in bits.
const timerPurposeShift = 32

// The purposes of timers.
const (
	tickTimer     TimerToken = iota << timerPurposeShift // periodic work; no request
	deadlineTimer                                        // the request's final answer is due
	holdTimer                                            // a held request is placed again
)

// forRequest returns the token of a timer with purpose t for a request.
func (t TimerToken) forRequest(id uint32) TimerToken { return t | TimerToken(id) }

// purpose returns tickTimer, deadlineTimer or holdTimer.
func (t TimerToken) purpose() TimerToken { return t >> timerPurposeShift << timerPurposeShift }

// requestID returns the ID of the timer's request.
func (t TimerToken) requestID() uint32 { return uint32(t) }

func (b *Balancer) setTimer(delay Micros, token TimerToken) {
	b.emit(SetTimer{Delay: max(delay, 1), Token: token})
}

func (b *Balancer) onTimerFired(now Micros, ev TimerFired) {
	switch ev.Token.purpose() {
	case tickTimer:
		b.onTick(now)
	case deadlineTimer:
		b.onDeadline(now, ev.Token.requestID())
	case holdTimer:
		b.onHoldEnded(now, ev.Token.requestID())
	}
}

// onDeadline gives the final answer to a request that has had none.
func (b *Balancer) onDeadline(now Micros, id uint32) {
	r := b.requests[id]
	if r == nil {
		return
	}
	if r.state == requestWaiting || r.state == requestConnecting {
		b.answerFinally(r, b.timeUpCause(now, r))
	}
}

// onHoldEnded places a held request again.
func (b *Balancer) onHoldEnded(now Micros, id uint32) {
	if r := b.requests[id]; r != nil && r.state == requestWaiting {
		b.placeRequest(now, r)
	}
}
