package packet

import (
	"encoding/binary"
	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
)

// maxSummaryMembers bounds the members that a summary may say its zone has; package zone takes no more.
const maxSummaryMembers = 1 << 20

// The items, by the byte that they begin with.
const (
	itemSummary = 1 + iota
	itemObservation
	itemRecord
)

// EncodeDirectory appends a message between directories, whose sender stands in the zone that the envelope tells.
// Items that would make it too long are left out; the sender's digest tells of them later.
func EncodeDirectory(b []byte, e Envelope, m *zonedirectory.Message) []byte {
	start := len(b)
	b = appendPrefix(b, &e, byte(Hello)+byte(m.Kind), membership.ID(m.From))
	b = appendSender(b, &e, m.Instance)
	return appendDirectory(b, start, m)
}

// appendDirectory appends what is behind the envelope:
//
//	4 1 8    sequence, flags, digest of the sender's items that go to all zones
//	1 + n    versions: 8 key, uv version, 4 check
//	1 + n    items, each beginning with a byte that tells which it is:
//	         1: region, zone, uv version, 8 issuer, uv live, uv known, 1 + n contacts (8 id, addr), 1 + 8n unreachable zones
//	         2: 8 zone, 8 delegate, uv version, 1 + 8n unreachable zones
//	         3: name, uv version, value
//
// where region, zone, name and value are 1 byte of length and as many.
func appendDirectory(b []byte, start int, m *zonedirectory.Message) []byte {
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	b = append(b, flags(m.IsReply))
	b = binary.BigEndian.AppendUint64(b, m.Digest)
	versions := m.Versions[:min(len(m.Versions), zonedirectory.MaxVersions)]
	b = append(b, byte(len(versions)))
	for _, v := range versions {
		b = binary.BigEndian.AppendUint64(b, v.Key)
		b = binary.AppendUvarint(b, v.Version)
		b = binary.BigEndian.AppendUint32(b, v.Checksum)
	}
	at := len(b)
	b = append(b, 0)
	for i := range m.Items[:min(len(m.Items), zonedirectory.MaxItems)] {
		before := len(b)
		if b = appendItem(b, &m.Items[i]); len(b)-start > MaxPlaintext {
			return b[:before]
		}
		b[at]++
	}
	return b
}

func appendItem(b []byte, it *zonedirectory.Item) []byte {
	switch {
	case it.Summary != nil:
		return appendSummary(append(b, itemSummary), it.Summary)
	case it.Observation != nil:
		o := it.Observation
		b = binary.BigEndian.AppendUint64(append(b, itemObservation), uint64(o.Zone))
		b = binary.BigEndian.AppendUint64(b, uint64(o.Delegate))
		b = binary.AppendUvarint(b, o.Version)
		return appendZoneIDs(b, o.Unreachable)
	}
	rec := it.Record
	b = appendString(append(b, itemRecord), rec.Name, zonedirectory.MaxName)
	b = binary.AppendUvarint(b, rec.Version)
	return appendString(b, rec.Value, zonedirectory.MaxValue)
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
	for _, c := range contacts {
		b = binary.BigEndian.AppendUint64(b, uint64(c.ID))
		b = appendAddr(b, c.Addr)
	}
	return appendZoneIDs(b, s.Unreachable)
}

func appendZoneIDs(b []byte, zones []zonedirectory.ID) []byte {
	zones = zones[:min(len(zones), zonedirectory.MaxZones)]
	b = append(b, byte(len(zones)))
	for _, z := range zones {
		b = binary.BigEndian.AppendUint64(b, uint64(z))
	}
	return b
}

func appendString(b []byte, s string, most int) []byte {
	s = s[:min(len(s), most)]
	return append(append(b, byte(len(s))), s...)
}

// directoryMessage reads a message between directories from its sender on.
func (r *reader) directoryMessage(d *Datagram, version byte, kind zonedirectory.Kind) {
	m := &zonedirectory.Message{Kind: kind}
	d.Directory = m
	m.From, m.Instance = zonedirectory.MemberID(r.u64()), r.u64()
	r.sender(&d.Envelope, version)
	m.Zone = d.Zone
	m.Seq, m.IsReply, m.Digest = r.u32(), r.replyFlag(), r.u64()
	for range r.boundedCount(zonedirectory.MaxVersions) {
		m.Versions = append(
			m.Versions,
			zonedirectory.ItemVersion{Key: r.u64(), Version: r.uvarint(), Checksum: r.u32()},
		)
	}
	for range r.boundedCount(zonedirectory.MaxItems) {
		if r.malformed {
			break
		}
		m.Items = append(m.Items, r.item())
	}
	r.malformed = r.malformed || version != versionZones || kind > zonedirectory.SyncVersions
}

// boundedCount reads how many there are of something that there may be so many of.
func (r *reader) boundedCount(most int) int {
	n := int(r.u8())
	if n > most {
		r.malformed = true
		return 0
	}
	return n
}

func (r *reader) item() zonedirectory.Item {
	switch r.u8() {
	case itemSummary:
		return zonedirectory.Item{Summary: r.summary()}
	case itemObservation:
		o := &zonedirectory.Observation{
			Zone:     zonedirectory.ID(r.u64()),
			Delegate: zonedirectory.MemberID(r.u64()),
			Version:  r.uvarint(),
		}
		o.Unreachable = r.zoneIDs()
		return zonedirectory.Item{Observation: o}
	case itemRecord:
		rec := &zonedirectory.Record{
			Name:    r.text(zonedirectory.MaxName),
			Version: r.uvarint(),
			Value:   r.text(zonedirectory.MaxValue),
		}
		r.malformed = r.malformed || rec.Name == ""
		return zonedirectory.Item{Record: rec}
	}
	r.malformed = true
	return zonedirectory.Item{}
}

func (r *reader) summary() *zonedirectory.Summary {
	s := &zonedirectory.Summary{
		Site:    zonedirectory.Site{Region: r.text(zonedirectory.MaxName), Zone: r.text(zonedirectory.MaxName)},
		Version: r.uvarint(),
		Issuer:  zonedirectory.MemberID(r.u64()),
	}
	live, known := r.uvarint(), r.uvarint()
	r.malformed = r.malformed || s.Site.Zone == "" || live > maxSummaryMembers || known > maxSummaryMembers
	s.Live, s.Known = int(min(live, maxSummaryMembers)), int(min(known, maxSummaryMembers))
	for range r.boundedCount(zonedirectory.MaxContacts) {
		c := zonedirectory.Contact{ID: zonedirectory.MemberID(r.u64()), Addr: r.addr()}
		r.malformed = r.malformed || !c.Addr.IsValid()
		s.Contacts = append(s.Contacts, c)
	}
	s.Unreachable = r.zoneIDs()
	return s
}

func (r *reader) zoneIDs() (out []zonedirectory.ID) {
	for range r.boundedCount(zonedirectory.MaxZones) {
		out = append(out, zonedirectory.ID(r.u64()))
	}
	return out
}

func (r *reader) text(most int) string { return string(r.take(r.boundedCount(most))) }

// SealedDirectorySize is how long the datagram of a message between directories is, in bytes, sealed.
func SealedDirectorySize(m *zonedirectory.Message) int {
	return len(EncodeDirectory(nil, Envelope{Addr: typicalAddr, Zone: 1}, m)) + Overhead
}
