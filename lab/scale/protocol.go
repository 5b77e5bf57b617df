package scale

// What a run and its hollow processes tell each other: a line of JSON each. A process ends when its input does.

// Setup is the first line that a process is told.
type Setup struct {
	Topology Topology
	Loops    [][]int // the members of each loop of this process
	Secret   []byte  // of the fleet's key, 32 bytes
	// Expected is what the settings say that the fleet's members are.
	Expected int
	// Plant is a fault that the run has to find; none where it is empty.
	Plant Plant
}

// Do is what is done to a member, or to links.
type Do string

// What can be done.
const (
	DoStart   Do = "start"
	DoKill    Do = "kill"  // it ends without a word
	DoLeave   Do = "leave" // it says so before
	DoPublish Do = "publish"
	DoLink    Do = "link"
)

// Command is one thing to do.
type Command struct {
	Do          Do
	Member      int    `json:",omitempty"`
	Delay       int64  `json:",omitempty"` // of a start, microseconds
	Name, Value string `json:",omitempty"` // of a record
	From, To    []int  `json:",omitempty"` // racks, one way
	Partitioned bool   `json:"Cut,omitempty"`
	Loss        float64
}

// Sample is what a loop's members have shown since the one before.
type Sample struct {
	Process, Loop int
	At            int64 // wall clock, microseconds
	Periods       int64 // of membership.TickInterval that the loop has had
	Running       int
	Shares        float64      // sum of 1/divisor of those that run
	Lags          []int64      // how late timers came, microseconds
	Suspected     int          // how often a member was suspected
	Changes       []Change     `json:",omitempty"`
	Lives         []MemberLive `json:",omitempty"`
	States        []ZoneState  `json:",omitempty"`
	Records       []RecordSeen `json:",omitempty"`
	Second        *Second      `json:",omitempty"`
	Errors        []string     `json:",omitempty"`
}

// Change says that an observer holds a member to be something else. Only what ends in Dead or Left, or begins
// there, is told.
type Change struct {
	Observer, Of int
	From, To     string
	At           int64
}

// MemberLive is how many members an observer counts now, in its own zone and in all, and whether it speaks for its
// zone.
type MemberLive struct {
	Member, Own, All int
	Delegate         bool
}

// ZoneState is what an observer holds a zone to be now.
type ZoneState struct {
	Member, Zone int
	State        string
}

// RecordSeen is a record as a member has it now.
type RecordSeen struct {
	Member      int
	Name, Value string
}

// Second is what crossed the sockets in the last second: by members of the loop in their order, and by real members.
type Second struct {
	Sent, Received         []int64 // bytes
	Datagrams              int64   // of all of the loop's members, sent and received
	RealSent, RealReceived []int64 // bytes
	RealDatagrams          []int64 // sent and received
}
