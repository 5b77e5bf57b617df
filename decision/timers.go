package decision

// TimerToken identifies a timer: its purpose in the upper 32 bits, the request's ID in the lower 32 bits. The values
// are part of the simulator's wire protocol.
type TimerToken uint64

// timerPurposeShift is the bit offset of the purpose in a TimerToken.
const timerPurposeShift = 32

// Timer purposes.
const (
	tickTimer     TimerToken = iota << timerPurposeShift // periodic work; no request
	deadlineTimer                                        // a request's final answer is due
	holdTimer                                            // a held request is placed again
)

// forRequest returns the token of a timer with purpose t for a request.
func (t TimerToken) forRequest(id uint32) TimerToken { return t | TimerToken(id) }

// purpose returns the token without the request ID: tickTimer, deadlineTimer or holdTimer.
func (t TimerToken) purpose() TimerToken { return t >> timerPurposeShift << timerPurposeShift }

// requestID returns the ID of the timer's request.
func (t TimerToken) requestID() uint32 { return uint32(t) }

// setTimer emits a SetTimer with a delay of at least 1.
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

// onDeadline sends the final answer of a request that has none yet.
func (b *Balancer) onDeadline(now Micros, id uint32) {
	r := b.requests[id]
	if r == nil {
		return
	}
	if r.state == requestWaiting || r.state == requestConnecting {
		b.sendFinalAnswer(r, b.deadlineCause(now, r))
	}
}

// onHoldEnded places a held request again.
func (b *Balancer) onHoldEnded(now Micros, id uint32) {
	if r := b.requests[id]; r != nil && r.state == requestWaiting {
		b.placeRequest(now, r)
	}
}
