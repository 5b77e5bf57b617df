package membership

import (
	"net/netip"

	"spurspread/decision/monotime"
)

// Protocol parameters used by callers and the codec. All members of a fleet use the same values.
const (
	// WatchersPerMember is the number of members that regularly probe each member. More watchers detect a crash sooner
	// and cost more datagrams per second. With 4, three remain while one of them is paused or one link is down.
	WatchersPerMember = 4
	// ProbeInterval is the interval between two regular pings by one member. It pings each of its watch targets once in
	// WatchersPerMember intervals. A shorter interval detects a crash sooner and costs more datagrams per second.
	ProbeInterval = 250 * monotime.Millisecond
	// TickInterval is the interval at which the owner calls Tick, and so the resolution of all timeouts in this
	// package.
	TickInterval = 50 * monotime.Millisecond
	// MinSuspicionTimeout is the time from suspicionStart until a suspected member is declared dead. suspicionStart may
	// precede the observer's transition to Suspect by up to maxSuspicionBackdate, so the member has 1 to 2 s left after
	// that transition. A longer timeout tolerates longer pauses and detects a crash later. Including the preceding
	// probeTimeout, a member that was paused for 2 s has half a second left to refute the suspicion, and all members
	// know of a crash within about 3 s.
	MinSuspicionTimeout = 2 * monotime.Second
	// PairSuspicionTimeout applies while there are only two members: after this time without any message from the other
	// one, a member considers the other one dead instead of itself isolated. Unlike the maximum suspicion timeout of
	// Lifeguard (an extension of SWIM), it does not limit the suspicion timer.
	PairSuspicionTimeout = 6 * monotime.Second
	// MaxUpdates bounds the updates in one message. At about 30 bytes per update, a datagram stays within 1,200 bytes.
	MaxUpdates = 32
	// SyncBuckets is the number of buckets into which a view is divided for comparison by sums. More buckets make
	// SyncSums messages longer and the SyncEntries replies shorter.
	SyncBuckets = 64
	// MaxMembers bounds the members of a view. It exceeds the size of any zone, and keeps a sender that has a valid key
	// from exhausting memory.
	MaxMembers = 4096
)

// Config holds the settings of a member.
type Config struct {
	// Self identifies this member. Required.
	Self Self
	// Incarnation is this process's first incarnation; 0 means 1. It should exceed every incarnation used by earlier
	// processes of the same name, e.g. the start time in milliseconds: an older value costs one round of refutation.
	Incarnation uint64
	// Seeds are the addresses from which this member requests views until one of them has answered. The first member
	// needs none. More seeds tolerate more failed ones, and cost one message each per attempt.
	Seeds []netip.AddrPort
	// RandomSeed, together with Self.ID, determines all random choices; any value is valid. The same seed and the same
	// input produce the same output.
	RandomSeed uint64
	// MaxMembers bounds the other members that are known. Zero, negative and larger values mean the constant
	// MaxMembers. A smaller bound saves memory; members beyond it are ignored.
	MaxMembers int
}

// maxMembers returns the effective bound of other members.
func (c *Config) maxMembers() int {
	if c.MaxMembers <= 0 || c.MaxMembers > MaxMembers {
		return MaxMembers
	}
	return c.MaxMembers
}
