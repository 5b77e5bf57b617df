package decision

import (
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/decision/retry"
)

// Micros is the time of all decisions; see monotime.
type Micros = monotime.Micros

// Idempotency and Scope are what a class says of repeats; see decide/retry.
type (
	Idempotency = retry.Idempotency
	DedupScope  = retry.DedupScope
)

// Their values.
const (
	Idempotent        = retry.Idempotent
	IdempotentWithKey = retry.IdempotentWithKey
	NonIdempotent     = retry.NonIdempotent
	ScopeAll          = retry.ScopeAll
	ScopeZone         = retry.ScopeZone
	ScopeCell         = retry.ScopeCell
)

// Class is one class of requests.
type Class struct {
	LatencyObjective, Deadline Micros
	Idempotency                Idempotency
	DedupScope                 DedupScope
	DedupWindow                Micros // how long a keyed request's repeats are discarded
	Priority                   float64
	RelativePriority           float64 // of what the class that is worth most is worth
	Streaming                  bool
	MessageLatencyObjective    Micros // aim of a message on an open connection; 0 where not stated
}

// RetryPolicy is what the class says of repeats.
func (c *Class) RetryPolicy() retry.Policy {
	return retry.Policy{Idempotency: c.Idempotency, DedupScope: c.DedupScope, DedupWindow: c.DedupWindow}
}

// Tenant is one customer with a share of the service.
type Tenant struct {
	Share           float64
	RequestQuota    float64 // requests a second within its share, over all proxies
	ConnectionQuota float64 // open connections within its share, over all proxies; 0 where not stated
}

// Settings is what an instance is told at its start.
type Settings struct {
	Rank, Balancers, Zone, Zones int
	PollDiscovery                bool // discovery answers only when asked
	Passthrough                  bool // packets pass through; connections outlive the proxy
	ReportsConnectionLoad        bool // notes tell the load of a connection
	DynamicWeights               bool // an entry's Units are the server's size over 1 + what it holds for each core
	ClockResolution              Micros
	Classes                      []Class
	Tenants                      []Tenant
	OverQuotaPriority            float64

	MaxAttempts                                      int
	MaxHeldRequests                                  int
	AllowProbes, AllowCancel, AllowRetryAfter        bool // Probe, Cancel and Refuse.HoldOff are allowed
	MaxRetryAfter                                    Micros
	AnswerTolerance, PollInterval                    Micros
	InitialCapacity                                  float64
	WarmupTime, DrainGrace, OverloadWindow, ParkTime Micros
	OverloadFactor                                   float64

	CrossZoneCost, MoveCost, ProbeCost float64
	LoadReportColumns                  []string // names of the values of a load report, in order
}

// ServerState is a server's state as discovery lists it.
type ServerState uint8

// The listed states.
const (
	Draining ServerState = iota
	Removed
	Ready
)

// ServerEntry is one server as discovery lists it. Entries are shared between instances and read only.
type ServerEntry struct {
	Server      uint32
	StableID    uint64 // stands for its id, the same at every proxy, where Server may not be
	Zone        uint8
	MachineType uint16
	State       ServerState
	Weight      float64
	Cell        uint16
	StartedAt   Micros // 0: in the distant past
}

// UpdateKind says what an Update carries.
type UpdateKind uint8

// The kinds of updates.
const (
	UpdateDelta UpdateKind = iota
	UpdateFull
	UpdateCached
	UpdateFailed
)

// LoadReport is a server's load report: N values in the order of Settings.Columns.
type LoadReport struct {
	Count  int
	Values [4]float32
}

// Event is something the balancer is told.
type Event interface{ isEvent() }

// The events.
type (
	// ServerListUpdate is discovery's word on the servers.
	ServerListUpdate struct {
		Kind    UpdateKind
		Entries []ServerEntry
	}
	// Request is a client request that is owed one final answer within Left.
	Request struct {
		ID            uint32
		TimeLeft      Micros
		Class         int
		Tenant        int
		Key           uint64
		Group         uint64
		LoadHint      float64 // expected load, microseconds of work a second; see HasHint
		HasLoadHint   bool
		Retry         bool
		MidConnection bool // packets of an open connection now arrive at this proxy
		Reconnected   bool // the client came back after a break or a move
		Resumable     bool // the client, when it is moved, can be told where to come again: see Move
		Pinned        bool // it was: only To may have it, in one attempt
		PinnedServer  uint32
	}
	// ExistingConnection is a connection that was already routed through the instance at its start.
	ExistingConnection struct {
		Request
		Server uint32
	}
	// Established says that an attempt's connection stands.
	Established struct {
		ID        uint32
		Attempt   int
		Server    uint32
		SetupTime Micros
	}
	// ConnectionMetric carries news of an attempt that is still outstanding.
	ConnectionMetric struct {
		ID      uint32
		Attempt int
		Server  uint32
		Kind    MetricKind
		Value   float64
	}
	// AttemptEnded is the end of an attempt; Closed says that the request is closed too.
	AttemptEnded struct {
		ID            uint32
		Attempt       int
		Server        uint32
		Status        outcome.Status
		Duration      Micros
		RequestClosed bool
		SharedCause   bool // it has the same cause as another that was told: no further evidence on the server
		LoadReport    LoadReport
	}
	// MoveRequested says that a connection which stands must leave its server: that drains, or has ended it. With Stay the
	// server is not the cause, and may have it again. A Move answers it.
	MoveRequested struct {
		ID                uint32
		SameServerAllowed bool
	}
	// RequestCancelled says that the client has left, or that its answer is overdue.
	RequestCancelled struct{ ID uint32 }
	// RequestExpired asks for the final answer of a request at once, if it has had none: its time is up, or the balancer's.
	RequestExpired struct{ ID uint32 }
	// TimerFired is a timer that has fallen due.
	TimerFired struct{ Token uint64 }
	// ProbeResult is the result of one Probe.
	ProbeResult struct {
		Server     uint32
		Status     outcome.Status
		Duration   Micros
		LoadReport LoadReport
	}
	// SettingsChanged brings settings read again, whole and checked. Requests from then on are decided by them, with the
	// classes numbered as they number them; what was asked before keeps the class it was asked under.
	SettingsChanged struct{ Settings Settings }
)

// MetricKind says what a Note's value is.
type MetricKind uint8

// The kinds of notes.
const (
	LoadMetric           MetricKind = 1 // the connection's load now, microseconds of work a second
	MessageLatencyMetric MetricKind = 2 // milliseconds that a message takes at its server now
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

// Action is something the balancer wants done.
type Action interface{ isAction() }

// The actions.
type (
	// WatchDiscovery subscribes to discovery's changes.
	WatchDiscovery struct{ On bool }
	// FetchServerList asks discovery once for the whole list.
	FetchServerList struct{}
	// StartAttempt starts an attempt; GiveUp is its time-out. Where Within is not 0, the request has to be written whole
	// within that time, or not at all: later it might bring about again what an earlier attempt did.
	StartAttempt struct {
		ID          uint32
		Timeout     Micros
		WriteWithin Micros
		Server      uint32
	}
	// Reject is the final answer that lets the client try again.
	Reject struct {
		ID         uint32
		RetryAfter Micros
	}
	// Fail is the final answer that promises nothing.
	Fail struct{ ID uint32 }
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt struct {
		ID      uint32
		Attempt int
	}
	// MoveConnection ends an open connection politely; the client comes again. Where it can be told (see Request.Resumes) and
	// Named is set, it is to come to Next.
	MoveConnection struct {
		ID            uint32
		NextServer    uint32
		HasNextServer bool
	}
	// ProbeServer asks a server how it is.
	ProbeServer struct{ Server uint32 }
	// SetTimer asks for a Timer event after a delay.
	SetTimer struct {
		Delay Micros
		Token uint64
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
