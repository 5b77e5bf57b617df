package decision

import "spurspread/decision/outcome"

// Event is an input of Balancer.Handle: one of the types below.
type Event interface{ isEvent() }

// ServerState is a server's state as discovery lists it. The values are part of the simulator's wire protocol.
type ServerState uint8

// The states of a server. Only Ready servers get new connections. Connections leave a Draining server through
// MoveRequested or, where servers report loads, through rebalancing.
const (
	Draining ServerState = iota // finishing its connections before it stops
	Removed                     // no longer listed
	Ready
)

// ServerEntry is one server as discovery lists it. Entries are shared between balancers and must not be modified.
type ServerEntry struct {
	Server      uint32 // number by which this balancer identifies the server
	StableID    uint64 // hash of the server's id; unlike Server, the same at every balancer
	Zone        uint32 // index in the settings' list of zones; zones not listed there have higher numbers
	MachineType uint16 // number by which this balancer identifies the type
	State       ServerState
	Weight      float64 // relative capacity, or see Settings.DynamicWeights; 0 or less if not listed
	Cell        uint64  // cell in which the server runs; see ScopeCell
	StartedAt   Micros  // 0: long ago, so that it is fully warmed up
}

// UpdateKind is the kind of a ServerListUpdate. The values are part of the simulator's wire protocol.
type UpdateKind uint8

// The kinds of updates.
const (
	UpdateDelta  UpdateKind = iota // only the servers that have changed
	UpdateFull                     // all servers; those not listed are removed
	UpdateCached                   // all servers from a stored list, at start
	UpdateFailed                   // a poll failed or the watch ended; there are no entries
)

// maxReportValues bounds the values of one load report.
const maxReportValues = 4

// LoadReport is a server's report of its load. The first Count of Values are set, in the order of
// Settings.LoadReportColumns.
type LoadReport struct {
	Count  int
	Values [maxReportValues]float32
}

// MetricKind is the kind of a ConnectionMetric. The values are part of the simulator's wire protocol.
type MetricKind uint8

// The kinds of metrics.
const (
	LoadMetric           MetricKind = 1 // current load of the connection, in microseconds of work per second
	MessageLatencyMetric MetricKind = 2 // current message latency at the server, in milliseconds
)

// The events.
type (
	// ServerListUpdate is an update of the server list from discovery, or the failure to get one.
	ServerListUpdate struct {
		Kind    UpdateKind
		Entries []ServerEntry
	}
	// Request is a client's request for a connection. It gets its final answer within TimeLeft. It is ignored if
	// another request with the same ID has not ended.
	Request struct {
		ID            uint32
		TimeLeft      Micros
		Class         int     // index in Settings.Classes; NonIdempotent if out of range
		Tenant        int     // index in Settings.Tenants. Not used.
		Key           uint64  // idempotency key; selects the server if Settings.Passthrough is set
		Group         uint64  // connections of one group are placed on the same servers; 0: none
		LoadHint      float64 // expected load, in microseconds of work per second; valid if HasLoadHint
		HasLoadHint   bool
		Retry         bool // the client has tried before. Not used.
		MidConnection bool // packets of a connection established elsewhere now arrive here. Not used.
		Reconnected   bool // the client reconnects after its connection was lost or moved
		Resumable     bool // a move can direct the client to a given server; see MoveConnection
		Pinned        bool // only PinnedServer may serve it, in a single attempt
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
		SetupTime Micros // since the StartAttempt
	}
	// ConnectionMetric is a measurement of a connection or of an attempt under way.
	ConnectionMetric struct {
		ID      uint32
		Attempt int
		Server  uint32
		Kind    MetricKind
		Value   float64 // unit by Kind
	}
	// AttemptEnded reports the end of an attempt, or of its connection if that was established.
	AttemptEnded struct {
		ID                   uint32
		Attempt              int
		Server               uint32
		Status               outcome.Status
		Duration             Micros // since the StartAttempt
		RequestClosed        bool   // answered, or the client has left: the request is not retried
		CauseAlreadyReported bool   // with another attempt, so it does not count against the server again
		LoadReport           LoadReport
	}
	// MoveRequested reports that an established connection must be moved, usually because its server drains or has
	// closed it. SameServerAllowed means that the reason is not the server and the client may return to it. The core
	// responds with a MoveConnection.
	MoveRequested struct {
		ID                uint32
		SameServerAllowed bool
	}
	// RequestCancelled reports that the client has left, or that no answer can reach it in time. It gets no answer.
	RequestCancelled struct{ ID uint32 }
	// RequestExpired makes the core send the request's final answer at once, unless it has one: its deadline has passed
	// or the balancer shuts down.
	RequestExpired struct{ ID uint32 }
	// TimerFired reports that a timer has fired.
	TimerFired struct{ Token TimerToken }
	// ProbeResult reports the result of a ProbeServer.
	ProbeResult struct {
		Server     uint32
		Status     outcome.Status
		Duration   Micros // since the ProbeServer. Not used.
		LoadReport LoadReport
	}
	// SettingsChanged replaces all settings by a validated set. Requests that arrive later refer to its classes;
	// earlier requests keep the class that they arrived with.
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
