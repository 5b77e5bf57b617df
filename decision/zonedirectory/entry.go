package zonedirectory

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"

	"spurspread/decision/splitmix"
)

const (
	// maxVersion is the greatest version that is accepted, so that there is always a greater one.
	maxVersion = 1 << 62
	// maxSummaryMembers bounds the number of members that a summary states.
	maxSummaryMembers = 1 << 20
	// maxObservations bounds the observations. It exceeds the number of delegates that a zone has while views differ.
	maxObservations = 4 * Delegates
)

// itemKind is the type of an item: summary, observation or record.
type itemKind int

const (
	summaryItem itemKind = iota
	observationItem
	recordItem
	itemKindCount
)

// limit returns the maximum number of items of this kind in a directory.
func (k itemKind) limit() int {
	switch k {
	case summaryItem:
		return MaxZones
	case observationItem:
		return maxObservations
	}
	return MaxRecords
}

// entry is an item in the directory with its derived values and dissemination state.
type entry struct {
	Item
	key            uint64
	version        uint64
	contentHash    uint64   // hash of canonicalBytes
	transmits      int      // number of members of the local zone it was sent to
	gossipPending  bool     // still to send to members of the local zone
	pushPending    bool     // still to send to other zones
	replacedIssuer *Contact // still to notify that its summary was replaced, nil if there is none
}

// newEntry returns the entry for an item, or nil if the item is not exactly one of the three kinds or is out of bounds.
func newEntry(item Item) *entry {
	s, o, r := item.Summary, item.Observation, item.Record
	e := &entry{Item: item}
	switch {
	case s != nil && o == nil && r == nil && s.valid():
		e.key, e.version = summaryKey(s.Site.ID()), s.Version
		e.contentHash = hashBytes(s.canonicalBytes())
	case o != nil && s == nil && r == nil && o.valid():
		e.key, e.version = observationKey(o.Zone, o.Delegate), o.Version
		e.contentHash = hashBytes(o.canonicalBytes())
	case r != nil && s == nil && o == nil && r.valid():
		e.key, e.version = recordKey(r.Name), r.Version
		e.contentHash = hashBytes(r.canonicalBytes())
	default:
		return nil
	}
	return e
}

func (e *entry) kind() itemKind {
	switch {
	case e.Summary != nil:
		return summaryItem
	case e.Observation != nil:
		return observationItem
	}
	return recordItem
}

// isGlobal reports whether the item goes to all zones.
func (e *entry) isGlobal() bool { return e.Observation == nil }

// digest returns the entry's contribution to the directory's digest.
func (e *entry) digest() uint64 { return splitmix.Mix64(e.key ^ splitmix.Mix64(e.contentHash)) }

// checksum returns a non-zero checksum of the content. 0 is reserved for items that were dropped.
func (e *entry) checksum() uint32 {
	const half = 32
	return max(uint32(e.contentHash^e.contentHash>>half), 1)
}

// itemVersion returns the version that represents the entry when directories are compared.
func (e *entry) itemVersion() ItemVersion {
	return ItemVersion{Key: e.key, Version: e.version, Checksum: e.checksum()}
}

// newer reports whether e replaces old, an entry with the same key. The greater version wins, then the greater issuer
// of a summary or the greater value of a record, then the greater content hash. This order is total, so the result does
// not depend on the order of arrival.
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

// mayBeNewer reports whether to send the entry to a directory that has v. If the versions are equal and the checksums
// differ, only the content shows which one is newer.
func (e *entry) mayBeNewer(v ItemVersion) bool {
	return e.version > v.Version || e.version == v.Version && e.checksum() != v.Checksum && v.Checksum != 0
}

// Salts added to a zone's ID, so that the keys of its summary and of its observations differ.
const (
	summaryKeySalt     = 1
	observationKeySalt = 2
)

func summaryKey(zone ID) uint64 { return splitmix.Mix64(uint64(zone) + summaryKeySalt) }

func observationKey(zone ID, delegate MemberID) uint64 {
	return splitmix.Mix64(splitmix.Mix64(uint64(zone)+observationKeySalt) ^ uint64(delegate))
}

func recordKey(name string) uint64 { return splitmix.Mix64(hashBytes([]byte("record\x00" + name))) }

func hashBytes(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b) // never fails
	return h.Sum64()
}

// canonicalBytes encodes the content of a summary, without its site.
func (s *Summary) canonicalBytes() []byte {
	const typicalBytes = 256
	b := make([]byte, 0, typicalBytes)
	b = appendNumbers(b, s.Version, uint64(s.Issuer), uint64(s.Live), uint64(s.Known), uint64(len(s.Contacts)))
	for _, contact := range s.Contacts {
		b = appendNumbers(b, uint64(contact.ID), uint64(contact.Addr.Port()))
		ip := contact.Addr.Addr().As16()
		b = append(b, ip[:]...)
	}
	return appendZones(b, s.Unreachable)
}

func (o *Observation) canonicalBytes() []byte {
	return appendZones(appendNumbers(nil, o.Version), o.Unreachable)
}

func (r *Record) canonicalBytes() []byte { return append(appendNumbers(nil, r.Version), r.Value...) }

func appendNumbers(b []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return b
}

func appendZones(b []byte, zones []ID) []byte {
	for _, zone := range zones {
		b = binary.BigEndian.AppendUint64(b, uint64(zone))
	}
	return b
}

func validVersion(version uint64) bool { return version > 0 && version <= maxVersion }

// validZones reports whether zones are strictly ascending, which gives each set of zones a single representation, and
// at most MaxZones.
func validZones(zones []ID) bool {
	for i := 1; i < len(zones); i++ {
		if zones[i-1] >= zones[i] {
			return false
		}
	}
	return len(zones) <= MaxZones
}

func (s Site) valid() bool { return s.Zone != "" && len(s.Zone) <= MaxName && len(s.Region) <= MaxName }

func (s *Summary) valid() bool {
	validCounts := s.Live >= 0 && s.Known >= s.Live && s.Known <= maxSummaryMembers
	noAddress := func(contact Contact) bool { return !contact.Addr.IsValid() }
	validContacts := len(s.Contacts) <= MaxContacts && !slices.ContainsFunc(s.Contacts, noAddress)
	return s.Site.valid() && validVersion(s.Version) && validCounts && validContacts && validZones(s.Unreachable)
}

func (o *Observation) valid() bool {
	return o.Zone != 0 && o.Delegate != 0 && validVersion(o.Version) && validZones(o.Unreachable)
}

func (r *Record) valid() bool {
	return r.Name != "" && len(r.Name) <= MaxName && len(r.Value) <= MaxValue && validVersion(r.Version)
}
