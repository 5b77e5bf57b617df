package zonedirectory

import (
	"net/netip"

	"spurspread/decision/monotime"
)

// Protocol parameters used by callers and the codec. All members of a fleet use the same values.
const (
	// TickInterval is the interval at which the owner calls Tick, and so the resolution of all timeouts in this
	// package.
	TickInterval = 50 * monotime.Millisecond
	// Delegates is the number of members of a zone that exchange messages with other zones. More delegates detect a
	// failed zone sooner and cost more messages between zones.
	Delegates = 3
	// MaxContacts bounds the members that a summary names: first the delegates, then their replacements in order.
	MaxContacts = 6
	// MaxZones bounds the zones of a fleet; MaxRecords bounds the records.
	MaxZones   = 64
	MaxRecords = 64
	// MaxName bounds the names of zones, regions and records; MaxValue bounds a record's value. Both are in bytes.
	MaxName  = 32
	MaxValue = 64
	// MaxVersions bounds the versions in one message, MaxItems the items, so that a message stays under 1,200 bytes.
	MaxVersions = 48
	MaxItems    = 32
)

// Config holds the settings of a directory.
type Config struct {
	// Self identifies this member, Site its location. Both are required.
	Self Self
	Site Site
	// Seeds are addresses of members of any zone. One reachable seed in another zone is enough to find the fleet. More
	// seeds tolerate more failed ones, at a cost of up to maxSeedProbes messages per seedProbeInterval.
	Seeds []netip.AddrPort
	// ExpectedMembers is the configured size of the fleet, at which the rate divisor starts; values below 1 mean 1. Too
	// high a value makes this member's share of all budgets too small in the first minutes, too low a value makes it
	// too large.
	ExpectedMembers int
	// RandomSeed, together with Self.ID, determines all random choices; any value is valid.
	RandomSeed uint64
	// RateDivisor derives the divisor of fleet-wide budgets from the size of the fleet. Required.
	RateDivisor RateDivisor
	// Rank orders the members of a zone, lowest first, and must be the same in all members. nil means rankHash;
	// simulations inject a faulty order here.
	Rank func(zone ID, id MemberID) uint64
}

// RateDivisor computes the divisor of fleet-wide budgets. It starts at an expected number of members and follows the
// numbers of live and known members.
type RateDivisor interface {
	Start(now monotime.Micros, members int)
	Observe(now monotime.Micros, live, known int)
	Value() float64
}
