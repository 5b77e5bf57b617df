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
	// maxVersion leaves versions above any that is accepted.
	maxVersion = 1 << 62
	// maxSummaryMembers bounds the members of a zone in its summary.
	maxSummaryMembers = 1 << 20
	// maxObservations is more than a zone has delegates while its views differ.
	maxObservations = 4 * Delegates
)

// itemKind says which of the three an item is.
type itemKind int

const (
	summaryItem itemKind = iota
	observationItem
	recordItem
	itemKinds
)

// limit is how many items of this kind a directory holds.
func (k itemKind) limit() int {
	switch k {
	case summaryItem:
		return MaxZones
	case observationItem:
		return maxObservations
	}
	return MaxRecords
}

// entry is an item that is held.
type entry struct {
	Item
	key            uint64
	version        uint64
	contentHash    uint64 // of all that the item says
	transmits      int    // to members of the own zone
	gossipPending  bool   // to be sent to further members of the own zone
	pushPending    bool   // to be sent to other zones
	replacedIssuer *Contact
}

// newEntry returns an item as it is held, nil where it is not exactly one of the three or out of bounds.
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

// digest is the entry's part of the directory's digest.
func (e *entry) digest() uint64 { return splitmix.Mix64(e.key ^ splitmix.Mix64(e.contentHash)) }

// checksum is never 0: that is the checksum of an item that was dropped.
func (e *entry) checksum() uint32 {
	const half = 32
	return max(uint32(e.contentHash^e.contentHash>>half), 1)
}

// itemVersion names the entry where directories are compared.
func (e *entry) itemVersion() ItemVersion {
	return ItemVersion{Key: e.key, Version: e.version, Checksum: e.checksum()}
}

// newer decides which of two items with one key is kept: the one with the greater version, then the summary with the
// greater issuer or the record with the greater value, then the greater hash of the content. The order is total, so
// that it does not matter in which order items arrive.
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

// mayBeNewer decides whether another directory, which has v, is sent the entry. Under one version it can't be said
// without the content.
func (e *entry) mayBeNewer(v ItemVersion) bool {
	return e.version > v.Version || e.version == v.Version && e.checksum() != v.Checksum && v.Checksum != 0
}

// What is added to a zone's id to tell the keys of its summary and of its observations apart.
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

// canonicalBytes is all that a summary says, but for its site.
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

// validZones accepts zones in ascending order, none twice, so that a list has one form.
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
