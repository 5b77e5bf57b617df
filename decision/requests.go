package decision

import (
	"spurspread/decision/answercause"
	"spurspread/decision/outcome"
	"spurspread/decision/retry"
)

// requestState is where a request is in its life. Only this file changes it:
//
//	from         to           by          when
//	-            Waiting      addRequest  the request arrives
//	Waiting      Connecting   assign      an attempt starts
//	Waiting      Established  restore     the connection was established before the balancer started
//	Waiting      Ended        endRequest  answered or cancelled
//	Connecting   Established  establish   the server has accepted
//	Connecting   Waiting      detach      the attempt has ended without a connection; the request may be retried
//	Connecting   Closing      endRequest  answered or cancelled while the attempt is under way
//	Established  Closing      endRequest  moved or cancelled
//	Established  Ended        detach      the connection has ended
//	Closing      Ended        detach      the attempt or connection has ended
//
// A request has a server in Connecting, Established and Closing. In Closing it gets no further action: it is kept for
// its server's counts. In Ended it is forgotten.
type requestState uint8

const (
	requestWaiting     requestState = iota // being placed, or held until a server has capacity
	requestConnecting                      // an attempt is under way
	requestEstablished                     // the connection is established
	requestClosing                         // answered, moved or cancelled; its attempt or connection has not ended yet
	requestEnded                           // nothing is under way; to be forgotten
)

// request is one client request, from its arrival until its last attempt has ended.
type request struct {
	id         uint32
	state      requestState
	class      Class
	key, group uint64 // see Request
	deadline   Micros // when the final answer leaves
	resumable  bool   // see Request.Resumable

	load          float64 // cores: measured, hinted or estimated
	relativeWork  float64 // the hinted load over the mean hint; 1 without a hint
	admissionCost float64 // tokens of a server's connection budget that its connection takes

	attempts        int     // started so far
	server          *server // of the attempt under way or of the connection
	connectionIndex int     // in server.connections, if established
	wasEstablished  bool    // the attempt under way became a connection, which may be closing now
	chargedTo       *server // whose load it is counted to
	pinnedTo        *server // the only server that may serve it; nil: any

	lastAttemptAt  Micros
	lastLocation   retry.Location       // of the last attempt's server at that time
	attemptHistory retry.AttemptHistory // of attempts that may have executed
	erroredServer  *server              // answered an error that no other server has confirmed yet
}

// isCurrentAttempt reports whether that attempt at that server is the request's last one, and has not ended.
func (r *request) isCurrentAttempt(attempt int, serverID uint32) bool {
	return r.server != nil && attempt == r.attempts-1 && r.server.Server == serverID
}

// assign starts the next attempt, at server s.
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

// detach takes the attempt or the connection, which has ended, off its server, and returns that server.
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

// endRequest gives up what the request has under way: no further action follows for it. It is forgotten at once, or
// when its last attempt is reported to have ended.
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
	case requestClosing: // until detach
	}
}

// addRequest takes a new request; it returns nil where one of that ID has not ended yet.
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

// requestClass returns a class by its number; one out of range is treated as the most restricted.
func (b *Balancer) requestClass(number int) Class {
	if number < len(b.settings.Classes) {
		return b.settings.Classes[number]
	}
	return Class{Idempotency: NonIdempotent}
}

// pinnedServer returns a server by its number; for one that was never listed, a server that is never Ready.
func (b *Balancer) pinnedServer(id uint32) *server {
	if s := b.serversByID[id]; s != nil {
		return s
	}
	return &server{}
}

func (b *Balancer) onRequest(now Micros, ev *Request) {
	r := b.addRequest(now, ev)
	if r == nil {
		return
	}
	b.earnRetryTokens()
	b.setTimer(r.deadline-now, deadlineTimer.forRequest(r.id))
	b.reportBudget.Earn(b.settings.ProbeCost)
	b.refreshListIfLongUnhealthy(now)
	b.placeRequest(now, r)
}

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
	if !needsConfirmation && !ev.SharedCause {
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
		b.answerFinally(r, answercause.ErrorConfirmed)
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
