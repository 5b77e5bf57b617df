package packet

import (
	"errors"
	"net/netip"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spurspread/decision/zonedirectory"
)

// fullMessage returns a message with one item of each kind and one version.
func fullMessage() zonedirectory.Message {
	contact := zonedirectory.Contact{ID: 7, Addr: netip.MustParseAddrPort("10.0.0.4:7946")}
	summary := &zonedirectory.Summary{
		Site:        zonedirectory.Site{Region: "east", Zone: "east-1"},
		Version:     9,
		Issuer:      7,
		Live:        125,
		Known:       130,
		Contacts:    []zonedirectory.Contact{contact},
		Unreachable: []zonedirectory.ID{5},
	}
	observation := &zonedirectory.Observation{
		Zone:        4,
		Delegate:    7,
		Version:     1,
		Unreachable: []zonedirectory.ID{5, 6},
	}
	record := &zonedirectory.Record{Name: "limits", Version: 2, Value: "a value"}
	return zonedirectory.Message{
		Kind:     zonedirectory.Update,
		From:     1,
		Instance: 2,
		Zone:     4,
		Seq:      3,
		IsReply:  true,
		Digest:   6,
		Versions: []zonedirectory.ItemVersion{{Key: 1, Version: 300, Checksum: 2}},
		Items:    []zonedirectory.Item{{Summary: summary}, {Observation: observation}, {Record: record}},
	}
}

func drawZones(r *rapid.T) []zonedirectory.ID {
	var zones []zonedirectory.ID
	for range rapid.IntRange(0, zonedirectory.MaxZones).Draw(r, "zones") {
		zones = append(zones, zonedirectory.ID(rapid.Uint64().Draw(r, "zone")))
	}
	return zones
}

func drawText(r *rapid.T, shortest, longest int) string {
	return string(rapid.SliceOfN(rapid.Byte(), shortest, longest).Draw(r, "text"))
}

func drawSummary(r *rapid.T) *zonedirectory.Summary {
	s := &zonedirectory.Summary{
		Site: zonedirectory.Site{
			Region: drawText(r, 0, zonedirectory.MaxName),
			Zone:   drawText(r, 1, zonedirectory.MaxName),
		},
		Version: rapid.Uint64().Draw(r, "version"),
		Issuer:  zonedirectory.MemberID(rapid.Uint64().Draw(r, "issuer")),
		Live:    rapid.IntRange(0, maxSummaryMembers).Draw(r, "live"),
		Known:   rapid.IntRange(0, maxSummaryMembers).Draw(r, "known"),
	}
	for range rapid.IntRange(0, zonedirectory.MaxContacts).Draw(r, "contacts") {
		if addr := drawAddr(r); addr.IsValid() {
			id := zonedirectory.MemberID(rapid.Uint64().Draw(r, "contact"))
			s.Contacts = append(s.Contacts, zonedirectory.Contact{ID: id, Addr: addr})
		}
	}
	s.Unreachable = drawZones(r)
	return s
}

func drawItem(r *rapid.T) zonedirectory.Item {
	u64 := func(name string) uint64 { return rapid.Uint64().Draw(r, name) }
	switch rapid.IntRange(itemSummary, itemRecord).Draw(r, "item") {
	case itemSummary:
		return zonedirectory.Item{Summary: drawSummary(r)}
	case itemObservation:
		return zonedirectory.Item{Observation: &zonedirectory.Observation{
			Zone:        zonedirectory.ID(u64("zone")),
			Delegate:    zonedirectory.MemberID(u64("delegate")),
			Version:     u64("version"),
			Unreachable: drawZones(r),
		}}
	}
	return zonedirectory.Item{Record: &zonedirectory.Record{
		Name:    drawText(r, 1, zonedirectory.MaxName),
		Version: u64("version"),
		Value:   drawText(r, 0, zonedirectory.MaxValue),
	}}
}

func drawDirectory(r *rapid.T, e Envelope) zonedirectory.Message {
	u64 := func(name string) uint64 { return rapid.Uint64().Draw(r, name) }
	kind := rapid.IntRange(int(zonedirectory.Probe), int(zonedirectory.SyncVersions)).Draw(r, "kind")
	m := zonedirectory.Message{
		Kind:     zonedirectory.Kind(kind),
		From:     zonedirectory.MemberID(u64("from")),
		Instance: u64("instance"),
		Zone:     e.Zone,
		Seq:      rapid.Uint32().Draw(r, "seq"),
		IsReply:  rapid.Bool().Draw(r, "is reply"),
		Digest:   u64("digest"),
	}
	if rapid.Bool().Draw(r, "has versions") {
		for range rapid.IntRange(0, zonedirectory.MaxVersions).Draw(r, "versions") {
			m.Versions = append(m.Versions, zonedirectory.ItemVersion{
				Key:      u64("key"),
				Version:  u64("version"),
				Checksum: rapid.Uint32().Draw(r, "checksum"),
			})
		}
		return m
	}
	for range rapid.IntRange(0, 3).Draw(r, "items") {
		m.Items = append(m.Items, drawItem(r))
	}
	return m
}

// Decoding an encoded directory message yields the same message, except for items at the end that do not fit.
func TestDirectoryRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		e := drawEnvelope(r, true)
		m := drawDirectory(r, e)
		b := EncodeDirectory(nil, e, &m)
		got, err := Decode(b)
		if err != nil || len(b) > MaxPlaintext || got.Directory == nil {
			r.Fatalf("%d bytes, %v", len(b), err)
		}
		if n := len(got.Directory.Items); n < len(m.Items) {
			if omitted := appendItem(nil, &m.Items[n]); len(b)+len(omitted) <= MaxPlaintext {
				r.Fatalf("an item of %d bytes is omitted from a message of %d", len(omitted), len(b))
			}
			if m.Items = m.Items[:n]; n == 0 {
				m.Items = nil
			}
		}
		checkDecode(r, b, Datagram{Envelope: e, Directory: &m})
	})
}

// A message with the maximum number of versions fits into one datagram, and so does one with the longest summary.
func TestDirectoryMessagesFit(t *testing.T) {
	m := zonedirectory.Message{Kind: zonedirectory.SyncVersions}
	for range zonedirectory.MaxVersions {
		m.Versions = append(m.Versions, zonedirectory.ItemVersion{Key: 1 << 63, Version: 1 << 63, Checksum: 1 << 31})
	}
	large := zonedirectory.Summary{
		Site: zonedirectory.Site{
			Region: strings.Repeat("r", zonedirectory.MaxName),
			Zone:   strings.Repeat("z", zonedirectory.MaxName),
		},
		Version:     1 << 63,
		Live:        maxSummaryMembers,
		Known:       maxSummaryMembers,
		Unreachable: make([]zonedirectory.ID, zonedirectory.MaxZones),
	}
	for range zonedirectory.MaxContacts {
		large.Contacts = append(large.Contacts, zonedirectory.Contact{Addr: netip.MustParseAddrPort("[fd00::1]:7946")})
	}
	update := zonedirectory.Message{Kind: zonedirectory.Update, Items: []zonedirectory.Item{{Summary: &large}}}
	e := Envelope{Zone: 1, Addr: netip.MustParseAddrPort("[fd00::1]:7946")}
	for _, message := range []*zonedirectory.Message{&m, &update} {
		b := EncodeDirectory(nil, e, message)
		if d, err := Decode(b); err != nil || len(b) > MaxPlaintext ||
			len(d.Directory.Versions) != len(message.Versions) ||
			len(d.Directory.Items) != len(message.Items) {
			t.Errorf("%d bytes, %v, %+v, want at most %d bytes with all versions and items",
				len(b), err, d.Directory, MaxPlaintext)
		}
	}
}

// Decode rejects directory messages that no member sends: with missing fields, an unknown kind, or another version.
func TestDirectoryRejected(t *testing.T) {
	e := Envelope{ReceiverInstance: 1, Zone: 4}
	for name, change := range map[string]func(*zonedirectory.Message){
		"no zone name":   func(m *zonedirectory.Message) { m.Items[0].Summary.Site.Zone = "" },
		"no record name": func(m *zonedirectory.Message) { m.Items[2].Record.Name = "" },
		"no address":     func(m *zonedirectory.Message) { m.Items[0].Summary.Contacts[0].Addr = netip.AddrPort{} },
		"unknown kind":   func(m *zonedirectory.Message) { m.Kind = zonedirectory.SyncVersions + 1 },
	} {
		m := fullMessage()
		change(&m)
		if _, err := Decode(EncodeDirectory(nil, e, &m)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v, want %v", name, err, ErrMalformed)
		}
	}
	m := fullMessage()
	b := EncodeDirectory(nil, e, &m)
	b[0] = versionFlat
	if _, err := Decode(b); !errors.Is(err, ErrMalformed) {
		t.Errorf("a directory message in the version without zones: %v, want %v", err, ErrMalformed)
	}
	b[0] = versionZones + 1
	if _, err := Decode(b); !errors.Is(err, ErrUnknownVersion) {
		t.Errorf("a later version: %v, want %v", err, ErrUnknownVersion)
	}
}
