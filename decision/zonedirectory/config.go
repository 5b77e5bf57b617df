package zonedirectory

import (
	"net/netip"

	"spurspread/decision/monotime"
)

// What callers and the codec need to know of the protocol's settings. All members of a fleet use the same ones.
const (
	// TickInterval is how often Tick is to be called: the resolution of all timeouts here.
	TickInterval = 50 * monotime.Millisecond
	// Delegates is how many members of a zone exchange messages with other zones. More find a failed zone sooner and
	// cost more messages between zones.
	Delegates = 3
	// MaxContacts is how many members a summary names, in order: the delegates, and those that would replace them.
	MaxContacts = 6
	// MaxZones bounds the zones of a fleet, MaxRecords the records.
	MaxZones   = 64
	MaxRecords = 64
	// MaxName bounds the names of zones, regions and records, MaxValue a record's value, in bytes.
	MaxName  = 32
	MaxValue = 64
	// MaxVersions bounds the versions in one message, MaxItems the items: a message stays under 1,200 bytes.
	MaxVersions = 48
	MaxItems    = 32
)

// Config is what a directory is started with.
type Config struct {
	// Self is who this member is, Site where it is. Both are needed.
	Self Self
	Site Site
	// Seeds are addresses of members of any zone. One of another zone finds the fleet; more of them find it although
	// some are gone, at maxSeedProbes messages each seedProbeInterval.
	Seeds []netip.AddrPort
	// ExpectedMembers is the size of the fleet by its settings, with which the rate divisor begins; 1 where it is
	// less. Too many make this member's part of all budgets too small in the first minutes, too few make it too
	// large.
	ExpectedMembers int
	// RandomSeed determines all random choices together with Self.ID; any value will do.
	RandomSeed uint64
	// RateDivisor divides the fleet's budgets by the size of the fleet. It is needed.
	RateDivisor RateDivisor
	// Rank orders the members of a zone, the lowest first, the same in all members. The default is rankHash; a
	// laboratory plants a fault here.
	Rank func(zone ID, id MemberID) uint64
}

// RateDivisor follows the size of the fleet from a number that it starts with.
type RateDivisor interface {
	Start(now monotime.Micros, members int)
	Observe(now monotime.Micros, live, known int)
	Value() float64
}
