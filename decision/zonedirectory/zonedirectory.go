// Package zone decides what one balancer knows of the other zones of its fleet: how many members live there,
// whether the zone can be reached, and through which members. Within its own zone a balancer has the full view of
// package member; of each other zone it holds one summary. It is handed time and messages and says what to send; it
// has no sockets, no clock and no randomness but its seed, and all that it holds is bounded.
//
// The invariant: of each zone, delegate and record the newest item stands, in whatever order items come; and a zone
// that cannot be reached is one fact, its state, never a death of its members: what they count for in rates ends
// slowly, and in 600 s at the earliest.
package zonedirectory

import (
	"hash/fnv"
	"net/netip"
	"spurspread/decision/monotime"
)

// Bounds on what a directory holds and sends.
const (
	// Delegates is how many members of a zone exchange messages with other zones.
	Delegates = 3
	// MaxContacts is how many members a summary names: the delegates, and those that would replace them, in order.
	MaxContacts = 6
	// MaxZones bounds the zones of a fleet, MaxRecords the records, MaxName a name and MaxValue a record's value
	// (bytes).
	MaxZones   = 64
	MaxRecords = 64
	MaxName    = 32
	MaxValue   = 64
	// MaxVersions bounds the versions in one message, MaxItems the items: a message stays under 1,200 bytes.
	MaxVersions = 48
	MaxItems    = 32
)

// ID stands for a zone.
type ID uint64

// Site is where a member stands: a zone, within a region. The zero Site is that of a fleet without zones.
type Site struct{ Region, Zone string }

// ID is a hash of both names; 0 for the zero Site only.
func (s Site) ID() ID {
	if s == (Site{}) {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Region + "\x00" + s.Zone)) // never fails
	return ID(max(h.Sum64(), 1))
}

// MemberID stands for a member's name, as in package member.
type MemberID uint64

// Self is who a member is.
type Self struct {
	ID       MemberID
	Addr     netip.AddrPort
	Instance uint64 // of this process; later ones of the name are larger
}

// Contact is a member through which its zone is reached.
type Contact struct {
	ID   MemberID
	Addr netip.AddrPort
}

// Summary is what a zone says of itself. The newest Version stands; of two that are the same the greater Issuer.
type Summary struct {
	Site        Site
	Version     uint64
	Issuer      MemberID
	Live, Known int       // Known counts those that died and are not forgotten, too
	Contacts    []Contact // by rank, the delegates first
	Unreachable []ID      // zones to which no delegate has a connection that works both ways
}

// Observation is what one delegate tells its own zone: the zones that it does not reach. It does not leave the zone.
type Observation struct {
	Zone        ID
	Delegate    MemberID
	Version     uint64
	Unreachable []ID
}

// Record is a small named value that spreads to all members. The newest Version stands; of two that are the same
// the greater Value.
type Record struct {
	Name    string
	Version uint64
	Value   string
}

// Item is one of the three that directories exchange; the others are nil.
type Item struct {
	Summary     *Summary
	Observation *Observation
	Record      *Record
}

// ItemVersion names an item and its version, where directories are compared. Version 0 says that there is none.
// Check tells two contents of one version apart; it is 0 of an item that was dropped after its time.
type ItemVersion struct {
	Key      uint64
	Version  uint64
	Checksum uint32
}

// Kind is what a message is for.
type Kind uint8

// The kinds of messages.
const (
	Probe    Kind = iota + 1 // of a delegate to a contact of another zone; answered by ProbeAck with the same Seq
	ProbeAck                 // the answer
	Update                   // carries items; with Back set it answers a Compare
	// carries the versions of all that the sender has between the first key and the last; see Back
	SyncVersions
	maxKind = SyncVersions
)

// Message is one datagram's content.
type Message struct {
	Kind     Kind
	From     MemberID
	Instance uint64 // of From's process
	Zone     ID     // of From
	Seq      uint32
	IsReply  bool   // of Compare: asks for newer versions of just these; of Update: answers a Compare
	Digest   uint64 // of From's items that go to all zones
	Versions []ItemVersion
	Items    []Item
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To       netip.AddrPort
	Receiver MemberID // whom it is for, 0 where that is not known
	Message  Message
}

// Reachability is what a zone is held to be.
type Reachability uint8

// A zone is Reachable, or Cut where others that can be reached do reach it, or Unknown where nobody who can be
// reached does: it may have died or be cut off from all of them. A zone that said that its last member goes has
// Left.
const (
	Reachable Reachability = iota + 1
	Partitioned
	Unknown
	Left
)

func (r Reachability) String() string {
	return [...]string{"", "reachable", "cut", "unknown", "left"}[min(r, Left)]
}

// View is one zone as a member sees it.
type View struct {
	Summary
	Own   bool
	State Reachability
	Since monotime.Micros // in this state, microseconds
}
