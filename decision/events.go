package decision

import "spurspread/decision/outcome"

// Event is an input of Balancer.Handle: one of the types below.
type Event interface{ isEvent() }

// ServerState is a server's state as discovery lists it. The values cross the simulator's wire.
type ServerState uint8

// The listed states. Only Ready servers get new connections. Those of a Draining one leave it by rebalance, where
// servers report loads, or by MoveRequested.
const (
	Draining ServerState = iota
	Removed
	Ready
)

// ServerEntry is one server as discovery lists it. Entries are shared between balancers and read only.
type ServerEntry struct {
	Server      uint32 // this balancer's number of the server
	StableID    uint64 // hash of the server's id, the same at every balancer, where Server may differ
	Zone        uint32 // its index in the settings' list; above those, one number for each other zone
	MachineType uint16
	State       ServerState
	Weight      float64 // relative capacity, or as Settings.DynamicWeights says; 0 or less where not listed
	Cell        uint64
	StartedAt   Micros // 0: in the distant past
}

// UpdateKind says what a ServerListUpdate carries. The values cross the simulator's wire.
type UpdateKind uint8

// The kinds of updates.
const (
	UpdateDelta  UpdateKind = iota // the servers that have changed
	UpdateFull                     // all servers; those not listed are removed
	UpdateCached                   // all servers as last known, at start
	UpdateFailed                   // a poll failed or the watch ended; nothing is listed
)

// maxReportValues bounds the values of one load report.
const maxReportValues = 4

// LoadReport is a server's load report: the first Count of Values are set, in the order of Settings.LoadReportColumns.
type LoadReport struct {
	Count  int
	Values [maxReportValues]float32
}

// MetricKind says what a ConnectionMetric measures. The values cross the simulator's wire.
type MetricKind uint8

// The kinds of metrics.
const (
	LoadMetric           MetricKind = 1 // the connection's present load, in microseconds of work a second
	MessageLatencyMetric MetricKind = 2 // how long a message takes at the server at present, in milliseconds
)

// The events.
type (
	// ServerListUpdate is an update from discovery.
	ServerListUpdate struct {
		Kind    UpdateKind
		Entries []ServerEntry
	}
	// Request is a client's request for a connection. It gets its final answer within TimeLeft. A second Request with
	// the ID of one that has not ended is ignored.
	Request struct {
		ID            uint32
		TimeLeft      Micros
		Class         int     // index in Settings.Classes; out of range is treated as NonIdempotent
		Tenant        int     // index in Settings.Tenants. Not used.
		Key           uint64  // idempotency key; selects the server where Settings.Passthrough is set
		Group         uint64  // connections of one group are placed together; 0: none
		LoadHint      float64 // expected load, in microseconds of work a second; valid if HasLoadHint
		HasLoadHint   bool
		Retry         bool // the client has tried before. Not used.
		MidConnection bool // packets of an established connection now arrive at this balancer. Not used.
		Reconnected   bool // the client came back after its connection was lost or moved
		Resumable     bool // when moved, the client can be sent to a certain server; see MoveConnection
		Pinned        bool // the client was sent to PinnedServer: no other may serve it, in one attempt
		PinnedServer  uint32
	}
	// ExistingConnection is a connection that was established before this balancer started.
	ExistingConnection struct {
		Request
		Server uint32
	}
	// Established reports that the attempt's connection is established.
	Established struct {
		ID        uint32
		Attempt   int // the request's attempts are numbered from 0
		Server    uint32
		SetupTime Micros
	}
	// ConnectionMetric is a measurement of a connection or of an attempt under way.
	ConnectionMetric struct {
		ID      uint32
		Attempt int
		Server  uint32
		Kind    MetricKind
		Value   float64 // unit by Kind
	}
	// AttemptEnded reports the end of an attempt, or of its connection where that was established.
	AttemptEnded struct {
		ID                   uint32
		Attempt              int
		Server               uint32
		Status               outcome.Status
		Duration             Micros
		RequestClosed        bool // the request has its answer, or its client has left: no retry
		CauseAlreadyReported bool // the cause has been reported with another attempt: no further evidence on the server
		LoadReport           LoadReport
	}
	// MoveRequested reports that an established connection must leave its server, which drains or has closed it. With
	// SameServerAllowed the server is not the cause, and the client may return to it. A MoveConnection answers.
	MoveRequested struct {
		ID                uint32
		SameServerAllowed bool
	}
	// RequestCancelled reports that the client has left, or that nothing can be answered in time any more.
	RequestCancelled struct{ ID uint32 }
	// RequestExpired requests the final answer at once, if there was none: the request's time is up, or the balancer
	// shuts down.
	RequestExpired struct{ ID uint32 }
	// TimerFired reports that a timer has fired.
	TimerFired struct{ Token TimerToken }
	// ProbeResult is the result of one ProbeServer.
	ProbeResult struct {
		Server     uint32
		Status     outcome.Status
		Duration   Micros
		LoadReport LoadReport
	}
	// SettingsChanged brings a complete, checked set of settings. Requests that arrive later are decided by it, with
	// the classes numbered as it numbers them; earlier ones keep the class that they arrived with.
	SettingsChanged struct{ Settings Settings }
)

func (ServerListUpdate) isEvent()   {}
func (Request) isEvent()            {}
func (ExistingConnection) isEvent() {}
func (Established) isEvent()        {}
func (ConnectionMetric) isEvent()   {}
func (AttemptEnded) isEvent()       {}
func (MoveRequested) isEvent()      {}
func (RequestCancelled) isEvent()   {}
func (RequestExpired) isEvent()     {}
func (TimerFired) isEvent()         {}
func (ProbeResult) isEvent()        {}
func (SettingsChanged) isEvent()    {}
