package zonedirectory

import (
	"hash/fnv"
	"net/netip"
)

// ID identifies a zone: a hash of its region and name. 0 means no zone.
type ID uint64

// Site is the location of a member: a zone within a region. The zero Site is used in a fleet without zones.
type Site struct{ Region, Zone string }

// ID returns a hash of both names, which is 0 only for the zero Site.
func (s Site) ID() ID {
	if s == (Site{}) {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Region + "\x00" + s.Zone)) // never fails
	return ID(max(h.Sum64(), 1))
}

// MemberID identifies a member by the same value as membership.ID.
type MemberID uint64

// Self identifies one process of a member.
type Self struct {
	ID   MemberID
	Addr netip.AddrPort
	// Instance is greater for later processes of the same name.
	Instance uint64
}

// Contact is a member through which its zone can be reached.
type Contact struct {
	ID   MemberID
	Addr netip.AddrPort
}

// Summary is the information that a zone publishes about itself. The greatest Version wins; among equal versions, the
// greatest Issuer.
type Summary struct {
	Site    Site
	Version uint64
	Issuer  MemberID
	// Live is the number of members that are alive or suspected. Known also includes those that died or left recently.
	// Live 0 means that the last member of the zone has left.
	Live, Known int
	// Contacts holds at most MaxContacts members, the delegates first.
	Contacts []Contact
	// Unreachable lists the zones to which no delegate has a working two-way connection, in ascending order.
	Unreachable []ID
}

// Observation lists the zones that one delegate cannot reach, in ascending order. It is published only within the
// delegate's own zone. An observation that lists this zone itself is withdrawn.
type Observation struct {
	Zone        ID
	Delegate    MemberID
	Version     uint64
	Unreachable []ID
}

// Record is a small named value that is disseminated to all members. The greatest Version wins; among equal versions,
// the greatest Value.
type Record struct {
	Name    string
	Version uint64
	Value   string
}

// Item is the unit that directories exchange. Exactly one field is set.
type Item struct {
	Summary     *Summary
	Observation *Observation
	Record      *Record
}

// ItemVersion identifies an item and its version when directories are compared. Version 0 means that the item is
// missing. Checksum distinguishes different contents of one version; 0 means that the item was dropped after it
// expired.
type ItemVersion struct {
	Key      uint64
	Version  uint64
	Checksum uint32
}

// Kind is the type of a message. The values are part of the wire format.
type Kind uint8

// The kinds of messages.
const (
	// Probe is sent to a contact of another zone or to a seed, and requests a ProbeAck with the same Seq.
	Probe Kind = iota + 1
	// ProbeAck answers a Probe.
	ProbeAck
	// Update carries items.
	Update
	// SyncVersions carries the versions of all items of the sender between the first and the last key in it.
	SyncVersions
	maxKind = SyncVersions
)

// Message is the content of one datagram between directories.
type Message struct {
	Kind Kind
	// From is the sender; Instance and Zone are those of the sender.
	From     MemberID
	Instance uint64
	Zone     ID
	// Seq is the sequence number of a probe at its sender.
	Seq uint32
	// IsReply marks an Update or a SyncVersions that replies to a SyncVersions. Such a SyncVersions requests only newer
	// versions of the items that it lists.
	IsReply bool
	// Digest is the digest of the sender's items that go to all zones.
	Digest uint64
	// Versions holds at most MaxVersions versions in ascending order of keys; Items holds at most MaxItems items.
	Versions []ItemVersion
	Items    []Item
}

// valid reports whether the kind is known, the zone is set, and the counts are within their bounds.
func (m *Message) valid() bool {
	return m.Kind > 0 && m.Kind <= maxKind && m.Zone != 0 &&
		len(m.Items) <= MaxItems && len(m.Versions) <= MaxVersions
}

// Outgoing is a message to send.
type Outgoing struct {
	To netip.AddrPort
	// Receiver is the member at that address, or 0 if it is not known.
	Receiver MemberID
	Message  Message
}
