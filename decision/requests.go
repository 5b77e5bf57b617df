package decision

import (
	"spurspread/decision/answercause"
	"spurspread/decision/outcome"
	"spurspread/decision/retry"
)

// requestState is the state of a request's life cycle. Only the functions of this file change it:
//
//	from         to           by          when
//	-            Waiting      addRequest  the request arrives
//	Waiting      Connecting   assign      an attempt starts
//	Waiting      Established  restore     the connection was established before the balancer started
//	Waiting      Ended        endRequest  answered or cancelled
//	Connecting   Established  establish   the connection is established
//	Connecting   Waiting      detach      the attempt has ended without a connection; the request may be retried
//	Connecting   Closing      endRequest  answered or cancelled while the attempt is under way
//	Established  Closing      endRequest  moved or cancelled
//	Established  Ended        detach      the connection has ended
//	Closing      Ended        detach      the attempt or connection has ended
//
// A request has a server in Connecting, Established and Closing. In Closing it causes no further action and is kept
// only for its server's counts, until its attempt or connection has ended. In Ended it is removed from
// Balancer.requests.
type requestState uint8

const (
	requestWaiting     requestState = iota // being placed, or held until a server has capacity
	requestConnecting                      // an attempt is under way
	requestEstablished                     // the connection is established
	requestClosing                         // answered, moved or cancelled; its attempt or connection has not ended yet
	requestEnded                           // nothing is under way; to be removed
)

// request is one client request, from its arrival until its last attempt has ended.
type request struct {
	id         uint32
	state      requestState
	class      Class
	key, group uint64 // see Request
	deadline   Micros // when the final answer is sent; answerMargin before the client's deadline
	resumable  bool   // see Request.Resumable

	load          float64 // cores: measured, hinted or estimated
	relativeWork  float64 // the hinted load over the mean hint; 1 without a hint
	admissionCost float64 // tokens that its connection takes from a server's connection budget

	attempts        int     // attempts started so far
	server          *server // server of the attempt under way or of the connection; nil: neither
	connectionIndex int     // index in server.connections, if established
	wasEstablished  bool    // the last attempt became a connection, which may be closing now
	chargedTo       *server // server whose load includes this request's; nil: none
	pinnedTo        *server // the only server that may serve it; nil: any

	lastAttemptAt  Micros
	lastLocation   retry.Location       // location of the last attempt's server when it started
	attemptHistory retry.AttemptHistory // attempts that may have been executed
	erroredServer  *server              // gave an error that is not confirmed, see errorNeedsConfirmation; nil: none
}

// isCurrentAttempt reports whether the given attempt at the given server is the request's last one and has not ended.
func (r *request) isCurrentAttempt(attempt int, serverID uint32) bool {
	return r.server != nil && attempt == r.attempts-1 && r.server.Server == serverID
}

// assign records the start of the next attempt, at server s.
func (r *request) assign(now Micros, s *server) {
	s.charge(r)
	s.addPending()
	s.lastTriedBy = triedByToken(r.id)
	r.attempts++
	r.server = s
	r.lastAttemptAt = now
	r.lastLocation = s.location()
	r.state = requestConnecting
}

// establish makes the attempt under way an established connection.
func (r *request) establish() {
	r.server.removePending()
	r.server.addConnection(r)
	r.wasEstablished = true
	r.state = requestEstablished
}

// restore makes r a connection that was established at s before this balancer started.
func (r *request) restore(s *server) {
	r.attempts = 1
	r.server = s
	s.charge(r)
	s.addConnection(r)
	r.wasEstablished = true
	r.state = requestEstablished
}

// detach removes the attempt or connection, which has ended, from its server's counts and returns the server.
func (r *request) detach() *server {
	s := r.server
	switch {
	case r.state == requestEstablished:
		s.removeConnection(r)
	case r.wasEstablished:
		s.closingConnections--
	default:
		s.removePending()
	}
	r.release()
	r.server = nil
	if r.state == requestConnecting {
		r.state = requestWaiting
	} else {
		r.state = requestEnded
	}
	return s
}

// endRequest ends the request. It cancels an attempt under way if Settings.AllowCancel is set, and releases an
// established connection. No further action follows for the request. It is removed at once, or when its attempt or
// connection is reported to have ended.
func (b *Balancer) endRequest(r *request) {
	switch r.state {
	case requestWaiting, requestEnded:
		delete(b.requests, r.id)
		r.state = requestEnded
	case requestConnecting:
		r.state = requestClosing
		if b.settings.AllowCancel {
			b.emit(CancelAttempt{ID: r.id, Attempt: r.attempts - 1})
		}
	case requestEstablished:
		r.server.removeConnection(r)
		r.release()
		r.server.closingConnections++
		r.state = requestClosing
	case requestClosing: // removed after detach
	}
}

// addRequest records a new request. It returns nil if a request with the same ID has not ended yet.
func (b *Balancer) addRequest(now Micros, ev *Request) *request {
	if b.requests[ev.ID] != nil {
		return nil
	}
	r := &request{
		id: ev.ID, key: ev.Key, group: ev.Group, resumable: ev.Resumable,
		class:        b.requestClass(ev.Class),
		deadline:     now + ev.TimeLeft - answerMargin,
		relativeWork: 1, admissionCost: 1,
	}
	if ev.Pinned {
		r.pinnedTo = b.pinnedServer(ev.PinnedServer)
	}
	if ev.Reconnected {
		r.admissionCost = b.fleetSize.ChargeReconnect()
	}
	b.estimateLoad(r, ev)
	b.requests[ev.ID] = r
	return r
}

// requestClass returns the class with this number. For a number out of range it returns a NonIdempotent class, the most
// restricted kind.
func (b *Balancer) requestClass(number int) Class {
	if number < len(b.settings.Classes) {
		return b.settings.Classes[number]
	}
	return Class{Idempotency: NonIdempotent}
}

// pinnedServer returns the server with this number. For one that was never listed it returns a server that is not Ready
// and never will be.
func (b *Balancer) pinnedServer(id uint32) *server {
	if s := b.serversByID[id]; s != nil {
		return s
	}
	return &server{}
}

// onRequest records a new request, adds its share to the retry and report budgets, and places it.
func (b *Balancer) onRequest(now Micros, ev *Request) {
	r := b.addRequest(now, ev)
	if r == nil {
		return
	}
	b.addRetryTokens()
	b.setTimer(r.deadline-now, deadlineTimer.forRequest(r.id))
	b.reportBudget.Earn(b.settings.ProbeCost)
	b.refreshListIfLongUnhealthy(now)
	b.placeRequest(now, r)
}

// onExistingConnection records a connection that was established before this balancer started.
func (b *Balancer) onExistingConnection(now Micros, ev *ExistingConnection) {
	s := b.serversByID[ev.Server]
	if s == nil {
		return
	}
	r := b.addRequest(now, &ev.Request)
	if r == nil {
		return
	}
	r.restore(s)
	b.markConnected(now, s)
}

// onEstablished marks the server Connected and records the set-up. A request that was cancelled or answered in the
// meantime stays in Closing.
func (b *Balancer) onEstablished(now Micros, ev Established) {
	r := b.requests[ev.ID]
	if r == nil || r.state == requestEstablished || !r.isCurrentAttempt(ev.Attempt, ev.Server) {
		return
	}
	b.markConnected(now, r.server)
	b.recordSetup(outcome.OK, ev.SetupTime)
	b.confirmError(now, r)
	if r.state == requestConnecting {
		r.establish()
	}
}

// onAttemptEnded records the end of an attempt or connection, then ends the request, answers it or places it again. The
// outcome affects the server's health unless it needs confirmation (errorNeedsConfirmation) or its cause was reported
// already.
func (b *Balancer) onAttemptEnded(now Micros, ev *AttemptEnded) {
	r := b.requests[ev.ID]
	if r == nil || !r.isCurrentAttempt(ev.Attempt, ev.Server) {
		return
	}
	if r.state == requestEstablished && ev.Status != outcome.OK {
		b.fleetSize.ExpectReconnect()
	}
	s := r.detach()
	needsConfirmation := errorNeedsConfirmation(r, ev.Status)
	if !needsConfirmation && !ev.CauseAlreadyReported {
		if !r.wasEstablished {
			b.recordSetup(ev.Status, ev.Duration)
		}
		b.updateHealth(now, s, ev.Status, r.wasEstablished)
	}
	if ev.RequestClosed || r.state == requestEnded {
		b.endRequest(r)
		return
	}
	if needsConfirmation && r.erroredServer != nil {
		b.sendFinalAnswer(r, answercause.ErrorConfirmed)
		return
	}
	if needsConfirmation {
		r.erroredServer = s
	}
	if mayHaveExecuted(ev.Status) {
		r.attemptHistory.RecordAttempt(r.lastAttemptAt, r.lastLocation)
	}
	b.placeRequest(now, r)
}

func (b *Balancer) onRequestCancelled(ev RequestCancelled) {
	if r := b.requests[ev.ID]; r != nil {
		b.endRequest(r)
	}
}
