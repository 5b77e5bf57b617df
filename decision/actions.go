package decision

import "spurspread/decision/answercause"

// Action is something that the caller of Balancer.Handle has to do: one of the types below.
type Action interface{ isAction() }

// The actions.
type (
	// WatchDiscovery subscribes to discovery's updates, or polls it again on a live subscription.
	WatchDiscovery struct{ On bool }
	// FetchServerList fetches the whole list once. The core never emits it; the simulator's wire has it.
	FetchServerList struct{}
	// StartAttempt sends the request to a server.
	StartAttempt struct {
		ID      uint32
		Timeout Micros // from now until the attempt has to be established
		// WriteTimeout is how long the request may still be written; 0: no limit. Written later, it might be executed
		// a second time.
		WriteTimeout Micros
		Server       uint32
	}
	// Reject is a final answer that allows the client to retry: the request has no effect that a retry would repeat.
	Reject struct {
		ID         uint32
		RetryAfter Micros // 0: not stated
		Cause      answercause.Cause
	}
	// Fail is a final answer that does not say whether the request was executed.
	Fail struct {
		ID    uint32
		Cause answercause.Cause
	}
	// CancelAttempt cancels an attempt that is not established. Its AttemptEnded is still reported.
	CancelAttempt struct {
		ID      uint32
		Attempt int
	}
	// MoveConnection closes an established connection in the planned way; the client connects again. With
	// HasNextServer, which needs Request.Resumable, it is sent to NextServer.
	MoveConnection struct {
		ID            uint32
		NextServer    uint32
		HasNextServer bool
	}
	// ProbeServer probes a server's health and load.
	ProbeServer struct{ Server uint32 }
	// SetTimer sets a timer that fires once, as TimerFired with this Token. Timers are never cancelled.
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
