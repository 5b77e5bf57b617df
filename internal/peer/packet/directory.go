package packet

import (
	"encoding/binary"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
)

// maxSummaryMembers is the maximum number of members in a zone's summary; package zonedirectory accepts no more.
const maxSummaryMembers = 1 << 20

// Kinds of directory items; the first byte of an encoded item.
const (
	itemSummary = 1 + iota
	itemObservation
	itemRecord
)

// EncodeDirectory appends the encoding of a directory message to b. e.Zone must not be 0. The first item that does not
// fit into MaxPlaintext and all later ones are omitted: the receiver detects by the sender's digest that some are
// missing. Elements over the maximum of a list, and bytes over the maximum of a string, are omitted, too.
func EncodeDirectory(b []byte, e Envelope, m *zonedirectory.Message) []byte {
	start := len(b)
	b = appendPrefix(b, &e, byte(Hello)+byte(m.Kind), membership.ID(m.From))
	b = appendSender(b, &e, m.Instance)
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	b = appendReplyFlag(b, m.IsReply)
	b = binary.BigEndian.AppendUint64(b, m.Digest)
	b = appendVersions(b, m.Versions)
	return appendItems(b, start, m.Items)
}

func appendVersions(b []byte, versions []zonedirectory.ItemVersion) []byte {
	versions = versions[:min(len(versions), zonedirectory.MaxVersions)]
	b = append(b, byte(len(versions)))
	for _, v := range versions {
		b = binary.BigEndian.AppendUint64(b, v.Key)
		b = binary.AppendUvarint(b, v.Version)
		b = binary.BigEndian.AppendUint32(b, v.Checksum)
	}
	return b
}

// appendItems appends a count and as many items as fit into the message that starts at b[start].
func appendItems(b []byte, start int, items []zonedirectory.Item) []byte {
	countAt := len(b)
	b = append(b, 0)
	for i := range items[:min(len(items), zonedirectory.MaxItems)] {
		before := len(b)
		b = appendItem(b, &items[i])
		if len(b)-start > MaxPlaintext {
			return b[:before]
		}
		b[countAt]++
	}
	return b
}

func appendItem(b []byte, item *zonedirectory.Item) []byte {
	switch {
	case item.Summary != nil:
		return appendSummary(append(b, itemSummary), item.Summary)
	case item.Observation != nil:
		return appendObservation(append(b, itemObservation), item.Observation)
	}
	return appendRecord(append(b, itemRecord), item.Record)
}

func appendSummary(b []byte, s *zonedirectory.Summary) []byte {
	b = appendString(b, s.Site.Region, zonedirectory.MaxName)
	b = appendString(b, s.Site.Zone, zonedirectory.MaxName)
	b = binary.AppendUvarint(b, s.Version)
	b = binary.BigEndian.AppendUint64(b, uint64(s.Issuer))
	b = binary.AppendUvarint(b, uint64(min(max(s.Live, 0), maxSummaryMembers)))
	b = binary.AppendUvarint(b, uint64(min(max(s.Known, 0), maxSummaryMembers)))
	contacts := s.Contacts[:min(len(s.Contacts), zonedirectory.MaxContacts)]
	b = append(b, byte(len(contacts)))
	for _, contact := range contacts {
		b = binary.BigEndian.AppendUint64(b, uint64(contact.ID))
		b = appendAddr(b, contact.Addr)
	}
	return appendZoneIDs(b, s.Unreachable)
}

func appendObservation(b []byte, o *zonedirectory.Observation) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(o.Zone))
	b = binary.BigEndian.AppendUint64(b, uint64(o.Delegate))
	b = binary.AppendUvarint(b, o.Version)
	return appendZoneIDs(b, o.Unreachable)
}

func appendRecord(b []byte, record *zonedirectory.Record) []byte {
	b = appendString(b, record.Name, zonedirectory.MaxName)
	b = binary.AppendUvarint(b, record.Version)
	return appendString(b, record.Value, zonedirectory.MaxValue)
}

func appendZoneIDs(b []byte, zones []zonedirectory.ID) []byte {
	zones = zones[:min(len(zones), zonedirectory.MaxZones)]
	b = append(b, byte(len(zones)))
	for _, zone := range zones {
		b = binary.BigEndian.AppendUint64(b, uint64(zone))
	}
	return b
}

// directoryMessage reads the rest of a directory message, beginning with the sender's ID.
func (r *reader) directoryMessage(d *Datagram, version byte, kind zonedirectory.Kind) {
	m := &zonedirectory.Message{Kind: kind}
	d.Directory = m
	m.From = zonedirectory.MemberID(r.u64())
	m.Instance = r.u64()
	r.sender(&d.Envelope, version)
	m.Zone = d.Zone
	m.Seq = r.u32()
	m.IsReply = r.replyFlag()
	m.Digest = r.u64()
	for range r.boundedCount(zonedirectory.MaxVersions) {
		m.Versions = append(m.Versions, r.itemVersion())
	}
	for range r.boundedCount(zonedirectory.MaxItems) {
		if r.malformed {
			break
		}
		m.Items = append(m.Items, r.item())
	}
	r.rejectIf(version != versionZones || kind > zonedirectory.SyncVersions)
}

func (r *reader) itemVersion() zonedirectory.ItemVersion {
	return zonedirectory.ItemVersion{Key: r.u64(), Version: r.uvarint(), Checksum: r.u32()}
}

func (r *reader) item() zonedirectory.Item {
	switch r.u8() {
	case itemSummary:
		return zonedirectory.Item{Summary: r.summary()}
	case itemObservation:
		return zonedirectory.Item{Observation: r.observation()}
	case itemRecord:
		return zonedirectory.Item{Record: r.record()}
	}
	r.malformed = true
	return zonedirectory.Item{}
}

func (r *reader) summary() *zonedirectory.Summary {
	s := &zonedirectory.Summary{}
	s.Site.Region = r.text(zonedirectory.MaxName)
	s.Site.Zone = r.text(zonedirectory.MaxName)
	r.rejectIf(s.Site.Zone == "")
	s.Version = r.uvarint()
	s.Issuer = zonedirectory.MemberID(r.u64())
	s.Live = r.memberCount()
	s.Known = r.memberCount()
	for range r.boundedCount(zonedirectory.MaxContacts) {
		contact := zonedirectory.Contact{ID: zonedirectory.MemberID(r.u64()), Addr: r.addr()}
		r.rejectIf(!contact.Addr.IsValid())
		s.Contacts = append(s.Contacts, contact)
	}
	s.Unreachable = r.zoneIDs()
	return s
}

// memberCount reads a number of members, at most maxSummaryMembers.
func (r *reader) memberCount() int {
	count := r.uvarint()
	r.rejectIf(count > maxSummaryMembers)
	return int(min(count, maxSummaryMembers))
}

func (r *reader) observation() *zonedirectory.Observation {
	o := &zonedirectory.Observation{}
	o.Zone = zonedirectory.ID(r.u64())
	o.Delegate = zonedirectory.MemberID(r.u64())
	o.Version = r.uvarint()
	o.Unreachable = r.zoneIDs()
	return o
}

func (r *reader) record() *zonedirectory.Record {
	record := &zonedirectory.Record{}
	record.Name = r.text(zonedirectory.MaxName)
	record.Version = r.uvarint()
	record.Value = r.text(zonedirectory.MaxValue)
	r.rejectIf(record.Name == "")
	return record
}

func (r *reader) zoneIDs() []zonedirectory.ID {
	var zones []zonedirectory.ID
	for range r.boundedCount(zonedirectory.MaxZones) {
		zones = append(zones, zonedirectory.ID(r.u64()))
	}
	return zones
}

// SealedDirectorySize returns the length of the encrypted datagram of a directory message, in bytes.
func SealedDirectorySize(m *zonedirectory.Message) int {
	return len(EncodeDirectory(nil, Envelope{Addr: typicalAddr(), Zone: 1}, m)) + Overhead
}
