package zonedirectory

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
)

const (
	// maxVersion leaves room for later ones above any that is taken.
	maxVersion = 1 << 62
	// maxSummaryMembers bounds the members that a zone may say it has.
	maxSummaryMembers = 1 << 20
	// maxObservations is more than the delegates that a zone has while views of it differ.
	maxObservations = 4 * Delegates
)

// entry is one item that is held.
type entry struct {
	Item
	key, version   uint64
	contentHash    uint64 // a hash of all that the item says
	transmits      int    // to members of this zone
	gossipPending  bool   // is to be sent to further ones
	pushPending    bool   // is to be sent to other zones
	replacedIssuer *Contact
}

func (e *entry) checksum() uint32 { return max(uint32(e.contentHash^e.contentHash>>32), 1) }
func (e *entry) digest() uint64   { return mix64(e.key ^ mix64(e.contentHash)) }
func (e *entry) isGlobal() bool   { return e.Observation == nil }

// mix64 is the finalizer of splitmix64: each bit of the result depends on all of x.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func summaryKey(zone ID) uint64 { return mix64(uint64(zone) + 1) }

func observationKey(zone ID, delegate MemberID) uint64 {
	return mix64(mix64(uint64(zone)+2) ^ uint64(delegate))
}

func recordKey(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("record\x00" + name)) // never fails
	return mix64(h.Sum64())
}

// newEntry takes an item that is one of the three and within all bounds; nil where it is not.
func newEntry(it Item) *entry {
	e := &entry{Item: it}
	s, o, r := it.Summary, it.Observation, it.Record
	h := fnv.New64a() // writing to it never fails
	switch {
	case s != nil && o == nil && r == nil && s.valid():
		e.key, e.version = summaryKey(s.Site.ID()), s.Version
		_, _ = h.Write(s.canonicalBytes())
	case o != nil && s == nil && r == nil && o.valid():
		e.key, e.version = observationKey(o.Zone, o.Delegate), o.Version
		_, _ = h.Write(appendZones(appendNumbers(nil, o.Version), o.Unreachable))
	case r != nil && s == nil && o == nil && r.valid():
		e.key, e.version = recordKey(r.Name), r.Version
		_, _ = h.Write(append(appendNumbers(nil, r.Version), r.Value...))
	default:
		return nil
	}
	e.contentHash = h.Sum64()
	return e
}

// canonicalBytes is all that a summary says, as bytes.
func (s *Summary) canonicalBytes() []byte {
	b := appendNumbers(
		make([]byte, 0, 256),
		s.Version,
		uint64(s.Issuer),
		uint64(s.Live),
		uint64(s.Known),
		uint64(len(s.Contacts)),
	)
	for _, c := range s.Contacts {
		ip := c.Addr.Addr().As16()
		b = append(appendNumbers(b, uint64(c.ID), uint64(c.Addr.Port())), ip[:]...)
	}
	return appendZones(b, s.Unreachable)
}

func appendNumbers(b []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return b
}

func appendZones(b []byte, zones []ID) []byte {
	for _, z := range zones {
		b = binary.BigEndian.AppendUint64(b, uint64(z))
	}
	return b
}

func validVersion(v uint64) bool { return v > 0 && v <= maxVersion }

// validZones tells that zones are in order, none twice, so that one list has one form.
func validZones(zones []ID) bool {
	for i := 1; i < len(zones); i++ {
		if zones[i-1] >= zones[i] {
			return false
		}
	}
	return len(zones) <= MaxZones
}

func (s *Summary) valid() bool {
	return s.Site.Zone != "" && len(s.Site.Zone) <= MaxName && len(s.Site.Region) <= MaxName && validVersion(s.Version) &&
		s.Live >= 0 && s.Known >= s.Live && s.Known <= maxSummaryMembers &&
		len(s.Contacts) <= MaxContacts &&
		validZones(s.Unreachable) &&
		!slices.ContainsFunc(s.Contacts, func(c Contact) bool { return !c.Addr.IsValid() })
}

func (o *Observation) valid() bool {
	return o.Zone != 0 && o.Delegate != 0 && validVersion(o.Version) && validZones(o.Unreachable)
}

func (r *Record) valid() bool {
	return r.Name != "" && len(r.Name) <= MaxName && len(r.Value) <= MaxValue && validVersion(r.Version)
}

// newer orders the items of one key: by version, then summaries by their issuers and records by their values, and
// by content where all of that is the same. The order is total, so that it does not matter in which order items
// come.
func (e *entry) newer(old *entry) bool {
	order := cmp.Compare(e.version, old.version)
	switch {
	case order != 0:
	case e.Summary != nil && old.Summary != nil:
		order = cmp.Compare(e.Summary.Issuer, old.Summary.Issuer)
	case e.Record != nil && old.Record != nil:
		order = strings.Compare(e.Record.Value, old.Record.Value)
	}
	return cmp.Or(order, cmp.Compare(e.contentHash, old.contentHash)) > 0
}

// itemVersion is how an entry is named where directories are compared.
func (e *entry) itemVersion() ItemVersion { return ItemVersion{e.key, e.version, e.checksum()} }

// About how long messages and items are, in bytes, sealed.
const (
	messageOverheadBytes = 116
	versionBytes         = 19
	maxItemBytes         = 1000
)

// itemSize is about how long an item is, in bytes.
func itemSize(it *Item) int {
	switch {
	case it.Summary != nil:
		s := it.Summary
		n := 32 + len(s.Site.Region) + len(s.Site.Zone) + 8*len(s.Unreachable)
		for _, c := range s.Contacts {
			n += 11 + c.Addr.Addr().BitLen()/8
		}
		return n
	case it.Observation != nil:
		return 26 + 8*len(it.Observation.Unreachable)
	case it.Record != nil:
		return 12 + len(it.Record.Name) + len(it.Record.Value)
	}
	return 0
}

// ApproximateSize is about how long a message's datagram is, in bytes, sealed.
func ApproximateSize(m *Message) int {
	n := messageOverheadBytes + versionBytes*len(m.Versions)
	for i := range m.Items {
		n += itemSize(&m.Items[i])
	}
	return n
}
