package decision

import "spurspread/decision/answercause"

// Action is an instruction to the caller of Balancer.Handle: one of the types below.
type Action interface{ isAction() }

// The actions.
type (
	// WatchDiscovery subscribes to discovery's updates, or polls discovery again if there is a subscription. With On
	// unset it would end the subscription; the core always sets On.
	WatchDiscovery struct{ On bool }
	// FetchServerList fetches the whole server list once. The core never emits it; the simulator's wire protocol
	// includes it.
	FetchServerList struct{}
	// StartAttempt sends the request to a server. A request's attempts are numbered from 0 in the order of these
	// actions.
	StartAttempt struct {
		ID      uint32
		Timeout Micros // from now until the attempt has to be established
		// WriteTimeout is the time from now within which the request must be written to the server; 0 means no limit.
		// A request that is written later might be executed a second time.
		WriteTimeout Micros
		Server       uint32
	}
	// Reject is a final answer that allows the client to retry: executing the request again does no harm.
	Reject struct {
		ID         uint32
		RetryAfter Micros // how long the client should wait; 0: unspecified
		Cause      answercause.Cause
	}
	// Fail is a final answer that leaves open whether the request was executed: a retry might execute it again.
	Fail struct {
		ID    uint32
		Cause answercause.Cause
	}
	// CancelAttempt cancels an attempt whose connection is not established. The caller still reports its AttemptEnded.
	CancelAttempt struct {
		ID      uint32
		Attempt int
	}
	// MoveConnection closes an established connection so that the client reconnects. If HasNextServer is set, which
	// requires Request.Resumable, the client is directed to NextServer.
	MoveConnection struct {
		ID            uint32
		NextServer    uint32
		HasNextServer bool
	}
	// ProbeServer probes a server: it checks its health and requests a load report.
	ProbeServer struct{ Server uint32 }
	// SetTimer starts a timer that fires once, as a TimerFired with this Token. Timers are never cancelled.
	SetTimer struct {
		Delay Micros // at least 1
		Token TimerToken
	}
)

func (WatchDiscovery) isAction()  {}
func (FetchServerList) isAction() {}
func (StartAttempt) isAction()    {}
func (Reject) isAction()          {}
func (Fail) isAction()            {}
func (CancelAttempt) isAction()   {}
func (MoveConnection) isAction()  {}
func (ProbeServer) isAction()     {}
func (SetTimer) isAction()        {}
