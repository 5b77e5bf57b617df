package scale

// A run and its processes of stub members exchange lines of JSON: Setup once and then Commands to the process's
// standard input, Samples from its standard output. A process ends when its input ends.

// Setup is the first line that a process of stub members reads.
type Setup struct {
	Topology        Topology
	Loops           [][]int // members of each loop of the process
	Secret          []byte  // the fleet's key, 32 bytes
	ExpectedMembers int     `json:"Expected"` // fleet size according to the settings
	// Fault is the fault that is injected into the members of the process; empty for none.
	Fault InjectedFault `json:"Plant"`
}

// Action is what a Command does.
type Action string

// The actions.
const (
	ActionStart   Action = "start"
	ActionKill    Action = "kill"  // the member ends without notice
	ActionLeave   Action = "leave" // the member announces that it leaves, and ends
	ActionPublish Action = "publish"
	ActionLink    Action = "link" // links change
)

// Command is one action on a member or on links.
type Command struct {
	Action      Action  `json:"Do"`
	Member      int     `json:",omitempty"`
	DelayMicros int64   `json:"Delay,omitempty"` // ActionStart: from receipt until the start
	Name        string  `json:",omitempty"`      // ActionPublish: of the record
	Value       string  `json:",omitempty"`      // ActionPublish: of the record
	From        []int   `json:",omitempty"`      // ActionLink: racks at the sending end
	To          []int   `json:",omitempty"`      // ActionLink: racks at the receiving end
	Partitioned bool    `json:"Cut,omitempty"`   // ActionLink: all datagrams are lost
	Loss        float64 // ActionLink: share of the datagrams that is lost
}

// Sample is what has changed at the members of one loop since the sample before. Process is not set: a run knows the
// process that it reads from.
type Sample struct {
	Process    int
	Loop       int
	At         int64          // wall clock, microseconds
	Periods    int64          // number of membership.TickInterval that the loop has run
	Running    int            // members that run
	ShareSum   float64        `json:"Shares"`    // sum of 1/divisor of the members that run
	LagMicros  []int64        `json:"Lags"`      // how late timers fired
	Suspicions int            `json:"Suspected"` // how often a member became suspect
	Changes    []Change       `json:",omitempty"`
	Counts     []MemberCounts `json:"Lives,omitempty"`
	Zones      []ZoneState    `json:"States,omitempty"`
	Records    []RecordValue  `json:",omitempty"`
	Traffic    *Traffic       `json:"Second,omitempty"`
	Errors     []string       `json:",omitempty"`
}

// Change is a change of the state that an observer has for a member. Only changes from or to Dead and Left are
// reported.
type Change struct {
	Observer int
	Subject  int `json:"Of"`
	From     string
	To       string
	At       int64 // wall clock, microseconds
}

// MemberCounts are the live members that a member counts, itself included.
type MemberCounts struct {
	Member   int
	OwnZone  int  `json:"Own"`
	Total    int  `json:"All"`
	Delegate bool // whether the member is a delegate of its zone
}

// ZoneState is the state that a member has for a zone.
type ZoneState struct {
	Member int
	Zone   int
	State  string
}

// RecordValue is the value that a member has for a record.
type RecordValue struct {
	Member int
	Name   string
	Value  string
}

// Traffic is what crossed the sockets of one loop's members within a second.
type Traffic struct {
	Sent          []int64 // bytes, by member of the loop in its order
	Received      []int64 // bytes, by member of the loop in its order
	Datagrams     int64   // sent and received, of all members of the loop
	RealSent      []int64 // bytes that real members sent to members of the loop, by real member
	RealReceived  []int64 // bytes that members of the loop sent to real members, by real member
	RealDatagrams []int64 // both ways, by real member
}
