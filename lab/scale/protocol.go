package scale

// Protocol between a run and its processes of stub members: lines of JSON. A process reads one Setup and then Commands
// from its standard input, and writes Samples to its standard output. It exits when its input ends.

// Setup is the first line that a process of stub members reads.
type Setup struct {
	Topology        Topology
	Loops           [][]int // members, by loop of the process
	Secret          []byte  // key of the fleet, 32 bytes
	ExpectedMembers int     `json:"Expected"` // fleet size in the settings of members
	// Fault is injected into the members of the process; empty for none.
	Fault InjectedFault `json:"Plant"`
}

// Action is the kind of a Command.
type Action string

// The actions.
const (
	ActionStart   Action = "start"
	ActionKill    Action = "kill"  // the member stops abruptly, without notice to the others
	ActionLeave   Action = "leave" // the member announces that it leaves, and stops
	ActionPublish Action = "publish"
	ActionLink    Action = "link" // the links between racks change
)

// Command is an action on a member or on links.
type Command struct {
	Action      Action  `json:"Do"`
	Member      int     `json:",omitempty"`
	DelayMicros int64   `json:"Delay,omitempty"` // ActionStart: time from receipt to the start
	Name        string  `json:",omitempty"`      // ActionPublish: of the record
	Value       string  `json:",omitempty"`      // ActionPublish: of the record
	From        []int   `json:",omitempty"`      // ActionLink: racks of the senders
	To          []int   `json:",omitempty"`      // ActionLink: racks of the receivers
	Partitioned bool    `json:"Cut,omitempty"`   // ActionLink: lose all datagrams
	Loss        float64 // ActionLink: share of the datagrams that is lost
}

// Sample holds the changes at the members of one loop since its previous sample. Process is not set: a run knows from
// which process it reads.
type Sample struct {
	Process    int
	Loop       int
	At         int64          // wall clock, microseconds
	Periods    int64          // number of periods of membership.TickInterval that the loop has run
	Running    int            // number of running members
	ShareSum   float64        `json:"Shares"`    // sum of 1/divisor over the running members
	LagMicros  []int64        `json:"Lags"`      // lags of timers
	Suspicions int            `json:"Suspected"` // number of times that a member became suspect
	Changes    []Change       `json:",omitempty"`
	Counts     []MemberCounts `json:"Lives,omitempty"`
	Zones      []ZoneState    `json:"States,omitempty"`
	Records    []RecordValue  `json:",omitempty"`
	Traffic    *Traffic       `json:"Second,omitempty"`
	Errors     []string       `json:",omitempty"`
}

// Change is a change of the state that an observer has for a member of its zone. Only changes from or to Dead and Left
// are reported.
type Change struct {
	Observer int
	Subject  int `json:"Of"`
	From     string
	To       string
	At       int64 // wall clock, microseconds
}

// MemberCounts are the numbers of live members that a member counts, itself included.
type MemberCounts struct {
	Member   int
	OwnZone  int  `json:"Own"` // in its own zone
	Total    int  `json:"All"` // in the fleet
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

// Traffic is the traffic of the members of one loop within a second.
type Traffic struct {
	Sent          []int64 // bytes, by member in the order of the loop
	Received      []int64 // bytes, by member in the order of the loop
	Datagrams     int64   // sent and received by all members of the loop
	RealSent      []int64 // bytes that real members sent to members of the loop, by real member
	RealReceived  []int64 // bytes that members of the loop sent to real members, by real member
	RealDatagrams []int64 // in both directions, by real member
}
