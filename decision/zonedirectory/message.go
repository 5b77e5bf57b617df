package zonedirectory

import (
	"hash/fnv"
	"net/netip"
)

// ID stands for a zone. 0 is none.
type ID uint64

// Site is where a member is: a zone within a region. The zero Site is that of a fleet without zones.
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

// MemberID stands for a member's name, as in package membership.
type MemberID uint64

// Self identifies one process of a member.
type Self struct {
	ID   MemberID
	Addr netip.AddrPort
	// Instance is this process's; later ones of the name have greater ones.
	Instance uint64
}

// Contact is a member through which its zone is reached.
type Contact struct {
	ID   MemberID
	Addr netip.AddrPort
}

// Summary is what a zone says of itself. The greatest Version overrides others; under the same one the greatest
// Issuer.
type Summary struct {
	Site    Site
	Version uint64
	Issuer  MemberID
	// Live is how many members are alive or suspected, Known how many have been, those that died or left lately
	// included. Live 0 says that the last member of the zone has left.
	Live, Known int
	// Contacts are at most MaxContacts, the delegates first.
	Contacts []Contact
	// Unreachable are the zones to which no delegate has a connection that works in both directions, ascending.
	Unreachable []ID
}

// Observation is what one delegate tells its own zone: the zones that it doesn't reach, ascending. One that names its
// own zone is withdrawn. It doesn't leave the zone.
type Observation struct {
	Zone        ID
	Delegate    MemberID
	Version     uint64
	Unreachable []ID
}

// Record is a small named value that spreads to all members. The greatest Version overrides others; under the same
// one the greatest Value.
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

// ItemVersion names an item and its version where directories are compared. Version 0 says that there is none.
// Checksum tells two contents of one version apart; 0 says that the item was dropped when it expired.
type ItemVersion struct {
	Key      uint64
	Version  uint64
	Checksum uint32
}

// Kind is what a message is for. The values are on the wire.
type Kind uint8

// The kinds of messages.
const (
	// Probe asks a contact of another zone for a ProbeAck with the same Seq.
	Probe Kind = iota + 1
	// ProbeAck answers a Probe.
	ProbeAck
	// Update carries items.
	Update
	// SyncVersions carries the versions of all items that the sender has, from the first key in it to the last.
	SyncVersions
	maxKind = SyncVersions
)

// Message is the content of one datagram between directories.
type Message struct {
	Kind Kind
	// From is the sender, Instance its process, Zone its zone.
	From     MemberID
	Instance uint64
	Zone     ID
	// Seq numbers probes at their sender.
	Seq uint32
	// IsReply says of Update that it answers a SyncVersions; of SyncVersions that it answers one, and asks for items
	// newer than just these versions.
	IsReply bool
	// Digest is that of the sender's items that go to all zones.
	Digest uint64
	// Versions are at most MaxVersions, ascending by key; Items at most MaxItems.
	Versions []ItemVersion
	Items    []Item
}

// valid reports whether the message is within its bounds.
func (m *Message) valid() bool {
	return m.Kind > 0 && m.Kind <= maxKind && m.Zone != 0 &&
		len(m.Items) <= MaxItems && len(m.Versions) <= MaxVersions
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To netip.AddrPort
	// Receiver is 0 where it is not known who is at that address.
	Receiver MemberID
	Message  Message
}
