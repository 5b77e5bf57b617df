package decision

import (
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/decision/retry"
)

// Micros is the time of all decisions; see monotime.
type Micros = monotime.Micros

// Effect and Scope are what a class says of repeats; see decide/retry.
type (
	Effect = retry.Effect
	Scope  = retry.Scope
)

// Their values.
const (
	Safe      = retry.Safe
	Keyed     = retry.Keyed
	Unsafe    = retry.Unsafe
	ScopeAll  = retry.All
	ScopeZone = retry.Zone
	ScopeCell = retry.Cell
)

// Class is one class of requests.
type Class struct {
	Aim, Deadline Micros
	Effect        Effect
	Scope         Scope
	Window        Micros // how long a keyed request's repeats are discarded
	Worth         float64
	WorthPart     float64 // of what the class that is worth most is worth
	Stream        bool
	MessageAim    Micros // aim of a message on an open connection; 0 where not stated
}

// Rule is what the class says of repeats.
func (c *Class) Rule() retry.Policy {
	return retry.Policy{Effect: c.Effect, Scope: c.Scope, Window: c.Window}
}

// Tenant is one customer with a share of the service.
type Tenant struct {
	Portion          float64
	QuotaPerS        float64 // requests a second within its share, over all proxies
	QuotaConnections float64 // open connections within its share, over all proxies; 0 where not stated
}

// Settings is what an instance is told at its start.
type Settings struct {
	Rank, Balancers, Zone, Zones int
	Ask                          bool // discovery answers only when asked
	Pass                         bool // packets pass through; connections outlive the proxy
	TellsLoad                    bool // notes tell the load of a connection
	LiveWeights                  bool // an entry's Units are the server's size over 1 + what it holds for each core
	Tick                         Micros
	Classes                      []Class
	Tenants                      []Tenant
	OverShareWorth               float64

	MostTries                        int
	MostHeld                         int
	MayProbe, MayCancel, MayHold     bool // Probe, Cancel and Refuse.HoldOff are allowed
	MaxRetryAfter                    Micros
	AnswerSlack, AskEvery            Micros
	ColdFrom                         float64
	Cold, DrainGrace, TipAfter, Park Micros
	OverloadFactor                   float64

	FeeCrossZone, FeeMoves, FeeProbe float64
	Columns                          []string // names of the values of a load report, in order
}

// ListState is a server's state as discovery lists it.
type ListState uint8

// The listed states.
const (
	Draining ListState = iota
	Gone
	Ready
)

// Entry is one server as discovery lists it. Entries are shared between instances and read only.
type Entry struct {
	Server  uint32
	Name    uint64 // stands for its id, the same at every proxy, where Server may not be
	Zone    uint8
	Kind    uint16
	State   ListState
	Units   float64
	Cell    uint16
	Started Micros // 0: in the distant past
}

// ListKind says what an Update carries.
type ListKind uint8

// The kinds of updates.
const (
	Delta ListKind = iota
	Full
	Cached
	Failed
)

// Report is a server's load report: N values in the order of Settings.Columns.
type Report struct {
	N      int
	Values [4]float32
}

// Event is something the balancer is told.
type Event interface{ isEvent() }

// The events.
type (
	// Update is discovery's word on the servers.
	Update struct {
		Kind    ListKind
		Entries []Entry
	}
	// Request is a client request that is owed one final answer within Left.
	Request struct {
		ID       uint32
		Left     Micros
		Class    int
		Tenant   int
		Key      uint64
		Group    uint64
		Hint     float64 // expected load, microseconds of work a second; see HasHint
		HasHint  bool
		Retry    bool
		MidFlow  bool // packets of an open connection now arrive at this proxy
		Returned bool // the client came back after a break or a move
		Resumes  bool // the client, when it is moved, can be told where to come again: see Move
		Pinned   bool // it was: only To may have it, in one attempt
		To       uint32
	}
	// Open is a connection that was already routed through the instance at its start.
	Open struct {
		Request
		Server uint32
	}
	// Established says that an attempt's connection stands.
	Established struct {
		ID      uint32
		Attempt int
		Server  uint32
		Took    Micros
	}
	// Note carries news of an attempt that is still outstanding.
	Note struct {
		ID      uint32
		Attempt int
		Server  uint32
		Kind    NoteKind
		Value   float64
	}
	// Outcome is the end of an attempt; Closed says that the request is closed too.
	Outcome struct {
		ID      uint32
		Attempt int
		Server  uint32
		Status  outcome.Status
		Took    Micros
		Closed  bool
		Echo    bool // it has the same cause as another that was told: no further evidence on the server
		Load    Report
	}
	// Leaving says that a connection which stands must leave its server: that drains, or has ended it. With Stay the
	// server is not the cause, and may have it again. A Move answers it.
	Leaving struct {
		ID   uint32
		Stay bool
	}
	// Withdrawn says that the client has left, or that its answer is overdue.
	Withdrawn struct{ ID uint32 }
	// Expire asks for the final answer of a request at once, if it has had none: its time is up, or the balancer's.
	Expire struct{ ID uint32 }
	// Timer is a timer that has fallen due.
	Timer struct{ Token uint64 }
	// Probed is the result of one Probe.
	Probed struct {
		Server uint32
		Status outcome.Status
		Took   Micros
		Load   Report
	}
	// Retuned brings settings read again, whole and checked. Requests from then on are decided by them, with the
	// classes numbered as they number them; what was asked before keeps the class it was asked under.
	Retuned struct{ Settings Settings }
)

// NoteKind says what a Note's value is.
type NoteKind uint8

// The kinds of notes.
const (
	LoadNote  NoteKind = 1 // the connection's load now, microseconds of work a second
	DelayNote NoteKind = 2 // milliseconds that a message takes at its server now
)

func (Update) isEvent()      {}
func (Request) isEvent()     {}
func (Open) isEvent()        {}
func (Established) isEvent() {}
func (Note) isEvent()        {}
func (Outcome) isEvent()     {}
func (Leaving) isEvent()     {}
func (Withdrawn) isEvent()   {}
func (Expire) isEvent()      {}
func (Timer) isEvent()       {}
func (Probed) isEvent()      {}
func (Retuned) isEvent()     {}

// Action is something the balancer wants done.
type Action interface{ isAction() }

// The actions.
type (
	// Watch subscribes to discovery's changes.
	Watch struct{ On bool }
	// Fetch asks discovery once for the whole list.
	Fetch struct{}
	// Send starts an attempt; GiveUp is its time-out. Where Within is not 0, the request has to be written whole
	// within that time, or not at all: later it might bring about again what an earlier attempt did.
	Send struct {
		ID     uint32
		GiveUp Micros
		Within Micros
		Server uint32
	}
	// Refuse is the final answer that lets the client try again.
	Refuse struct {
		ID      uint32
		HoldOff Micros
	}
	// Fail is the final answer that promises nothing.
	Fail struct{ ID uint32 }
	// Cancel stops waiting for an attempt.
	Cancel struct {
		ID      uint32
		Attempt int
	}
	// Move ends an open connection politely; the client comes again. Where it can be told (see Request.Resumes) and
	// Named is set, it is to come to Next.
	Move struct {
		ID    uint32
		Next  uint32
		Named bool
	}
	// Probe asks a server how it is.
	Probe struct{ Server uint32 }
	// SetTimer asks for a Timer event after a delay.
	SetTimer struct {
		Delay Micros
		Token uint64
	}
)

func (Watch) isAction()    {}
func (Fetch) isAction()    {}
func (Send) isAction()     {}
func (Refuse) isAction()   {}
func (Fail) isAction()     {}
func (Cancel) isAction()   {}
func (Move) isAction()     {}
func (Probe) isAction()    {}
func (SetTimer) isAction() {}
