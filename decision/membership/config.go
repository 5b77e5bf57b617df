package membership

import (
	"net/netip"

	"spurspread/decision/monotime"
)

// What callers and the codec need to know of the protocol's settings. All members of a fleet use the same ones.
const (
	// WatchersPerMember is how many members probe each member regularly. More find a crash sooner and need more
	// datagrams a second. With 4, three are left while one of them is paused or one link is down.
	WatchersPerMember = 4
	// ProbeInterval is the time between two regular pings of one member: each of those that it watches is pinged once
	// in WatchersPerMember intervals. A shorter one finds a crash sooner and needs more datagrams a second.
	ProbeInterval = 250 * monotime.Millisecond
	// TickInterval is how often Tick is to be called: the resolution of all timeouts here.
	TickInterval = 50 * monotime.Millisecond
	// MinSuspicionTimeout is how long a suspicion lasts before a member is declared dead, counted from suspicionStart,
	// which may lie up to maxSuspicionBackdate before the observer's change to Suspect: from that change on it takes 1
	// to 2 s. A longer one tolerates longer pauses and finds a crash later. With probeTimeout before it, a member that
	// was paused for 2 s has half a second left to refute the suspicion, and a crash is known to all within some 3 s.
	MinSuspicionTimeout = 2 * monotime.Second
	// PairSuspicionTimeout is how long one of only two members waits for the other before it takes the other for dead
	// rather than itself for isolated. It is no upper bound of the suspicion timer, as Lifeguard has one.
	PairSuspicionTimeout = 6 * monotime.Second
	// MaxUpdates bounds the updates in one message, of some 30 bytes each: a datagram stays within 1,200 bytes.
	MaxUpdates = 32
	// SyncBuckets is how many parts of a view are compared by their sums. More of them need a longer SyncSums and
	// fewer entries in answer to it.
	SyncBuckets = 64
	// MaxMembers bounds a view: it is more than a zone has, and less than what one that has a key could fill memory
	// with.
	MaxMembers = 4096
)

// Config is what a member is started with.
type Config struct {
	// Self is who this member is. It is needed.
	Self Self
	// Incarnation is the first one of this process, 1 where it is 0. It is to be later than any that a process of the
	// same name has had, such as the time of start in milliseconds: an older one costs one round of refutation.
	Incarnation uint64
	// Seeds are the addresses from which a member requests views until one has answered. None are needed in the
	// first member. More of them find the fleet although some are gone, and cost one message each per attempt.
	Seeds []netip.AddrPort
	// RandomSeed determines all random choices together with Self.ID; any value will do. The same one, with the same
	// input, brings the same output.
	RandomSeed uint64
	// MaxMembers bounds the other members that are known. The default, and the upper bound, is the constant
	// MaxMembers; less saves memory, and members beyond it are ignored.
	MaxMembers int
}

// maxMembers returns the bound in effect.
func (c *Config) maxMembers() int {
	if c.MaxMembers <= 0 || c.MaxMembers > MaxMembers {
		return MaxMembers
	}
	return c.MaxMembers
}
