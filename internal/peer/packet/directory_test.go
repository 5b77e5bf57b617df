package packet

import (
	"errors"
	"net/netip"
	"spurspread/decision/zonedirectory"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// fullMessage has one of each item, and a version.
func fullMessage() zonedirectory.Message {
	contact := zonedirectory.Contact{ID: 7, Addr: netip.MustParseAddrPort("10.0.0.4:7946")}
	return zonedirectory.Message{
		Kind: zonedirectory.Update, From: 1, Instance: 2, Zone: 4, Seq: 3, IsReply: true, Digest: 6,
		Versions: []zonedirectory.ItemVersion{{Key: 1, Version: 300, Checksum: 2}},
		Items: []zonedirectory.Item{
			{Summary: &zonedirectory.Summary{
				Site: zonedirectory.Site{
					Region: "east",
					Zone:   "east-1",
				}, Version: 9, Issuer: 7, Live: 125, Known: 130,
				Contacts: []zonedirectory.Contact{contact}, Unreachable: []zonedirectory.ID{5},
			}},
			{
				Observation: &zonedirectory.Observation{
					Zone:        4,
					Delegate:    7,
					Version:     1,
					Unreachable: []zonedirectory.ID{5, 6},
				},
			},
			{Record: &zonedirectory.Record{Name: "limits", Version: 2, Value: "a value"}},
		},
	}
}

func drawZones(r *rapid.T) (out []zonedirectory.ID) {
	for range rapid.IntRange(0, zonedirectory.MaxZones).Draw(r, "zones") {
		out = append(out, zonedirectory.ID(rapid.Uint64().Draw(r, "zone")))
	}
	return out
}

func drawItem(r *rapid.T) zonedirectory.Item {
	u64 := func(name string) uint64 { return rapid.Uint64().Draw(r, name) }
	text := func(least, most int) string {
		return string(rapid.SliceOfN(rapid.Byte(), least, most).Draw(r, "text"))
	}
	switch rapid.IntRange(itemSummary, itemRecord).Draw(r, "item") {
	case itemSummary:
		s := &zonedirectory.Summary{
			Site: zonedirectory.Site{
				Region: text(0, zonedirectory.MaxName),
				Zone:   text(1, zonedirectory.MaxName),
			}, Version: u64("version"),
			Issuer: zonedirectory.MemberID(
				u64("issuer"),
			), Live: rapid.IntRange(0, maxSummaryMembers).Draw(r, "live"), Known: rapid.IntRange(0, maxSummaryMembers).Draw(r, "known"),
		}
		for range rapid.IntRange(0, zonedirectory.MaxContacts).Draw(r, "contacts") {
			if addr := drawAddr(r); addr.IsValid() {
				s.Contacts = append(
					s.Contacts,
					zonedirectory.Contact{ID: zonedirectory.MemberID(u64("contact")), Addr: addr},
				)
			}
		}
		s.Unreachable = drawZones(r)
		return zonedirectory.Item{Summary: s}
	case itemObservation:
		return zonedirectory.Item{Observation: &zonedirectory.Observation{
			Zone: zonedirectory.ID(u64("zone")), Delegate: zonedirectory.MemberID(u64("delegate")),
			Version: u64("version"), Unreachable: drawZones(r),
		}}
	}
	return zonedirectory.Item{
		Record: &zonedirectory.Record{
			Name:    text(1, zonedirectory.MaxName),
			Version: u64("version"),
			Value:   text(0, zonedirectory.MaxValue),
		},
	}
}

func drawDirectory(r *rapid.T, e Envelope) zonedirectory.Message {
	u64 := func(name string) uint64 { return rapid.Uint64().Draw(r, name) }
	m := zonedirectory.Message{
		Kind: zonedirectory.Kind(
			rapid.IntRange(int(zonedirectory.Probe), int(zonedirectory.SyncVersions)).Draw(r, "kind"),
		), From: zonedirectory.MemberID(u64("from")),
		Instance: u64(
			"instance",
		), Zone: e.Zone, Seq: rapid.Uint32().Draw(r, "seq"), IsReply: rapid.Bool().Draw(r, "back"), Digest: u64("digest"),
	}
	if rapid.Bool().Draw(r, "compares") {
		for range rapid.IntRange(0, zonedirectory.MaxVersions).Draw(r, "versions") {
			m.Versions = append(
				m.Versions,
				zonedirectory.ItemVersion{
					Key:      u64("key"),
					Version:  u64("version"),
					Checksum: rapid.Uint32().Draw(r, "check"),
				},
			)
		}
		return m
	}
	for range rapid.IntRange(0, 3).Draw(r, "items") {
		m.Items = append(m.Items, drawItem(r))
	}
	return m
}

// A message between directories that is encoded is decoded to the same, without the last items where they don't fit.
func TestDirectoryThereAndBack(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		e := drawEnvelope(r, true)
		m := drawDirectory(r, e)
		b := EncodeDirectory(nil, e, &m)
		got, err := Decode(b)
		if err != nil || len(b) > MaxPlaintext || got.Directory == nil {
			r.Fatalf("%d bytes, %v", len(b), err)
		}
		if n := len(got.Directory.Items); n < len(m.Items) {
			if one := appendItem(nil, &m.Items[n]); len(b)+len(one) <= MaxPlaintext {
				r.Fatalf("an item of %d bytes is left out of a message of %d", len(one), len(b))
			}
			if m.Items = m.Items[:n]; n == 0 {
				m.Items = nil
			}
		}
		wants(r, b, Datagram{Envelope: e, Directory: &m})
	})
}

// A full set of versions and the longest summary each fit one datagram.
func TestDirectoryMessagesFit(t *testing.T) {
	m := zonedirectory.Message{Kind: zonedirectory.SyncVersions}
	for range zonedirectory.MaxVersions {
		m.Versions = append(m.Versions, zonedirectory.ItemVersion{Key: 1 << 63, Version: 1 << 63, Checksum: 1 << 31})
	}
	long := zonedirectory.Summary{
		Site: zonedirectory.Site{
			Region: strings.Repeat("r", zonedirectory.MaxName),
			Zone:   strings.Repeat("z", zonedirectory.MaxName),
		}, Version: 1 << 63,
		Live: maxSummaryMembers, Known: maxSummaryMembers, Unreachable: make([]zonedirectory.ID, zonedirectory.MaxZones),
	}
	for range zonedirectory.MaxContacts {
		long.Contacts = append(long.Contacts, zonedirectory.Contact{Addr: netip.MustParseAddrPort("[fd00::1]:7946")})
	}
	update := zonedirectory.Message{Kind: zonedirectory.Update, Items: []zonedirectory.Item{{Summary: &long}}}
	e := Envelope{Zone: 1, Addr: netip.MustParseAddrPort("[fd00::1]:7946")}
	for _, one := range []*zonedirectory.Message{&m, &update} {
		b := EncodeDirectory(nil, e, one)
		if d, err := Decode(b); err != nil || len(b) > MaxPlaintext ||
			len(d.Directory.Versions) != len(one.Versions) ||
			len(d.Directory.Items) != len(one.Items) {
			t.Errorf("%d bytes, %v, %+v", len(b), err, d.Directory)
		}
	}
}

// What no member with zones sends is refused.
func TestDirectoryRefused(t *testing.T) {
	e := Envelope{ReceiverInstance: 1, Zone: 4}
	for what, change := range map[string]func(*zonedirectory.Message){
		"no zone's name":   func(m *zonedirectory.Message) { m.Items[0].Summary.Site.Zone = "" },
		"no record's name": func(m *zonedirectory.Message) { m.Items[2].Record.Name = "" },
		"no address":       func(m *zonedirectory.Message) { m.Items[0].Summary.Contacts[0].Addr = netip.AddrPort{} },
		"no such kind":     func(m *zonedirectory.Message) { m.Kind = zonedirectory.SyncVersions + 1 },
	} {
		m := fullMessage()
		change(&m)
		if _, err := Decode(EncodeDirectory(nil, e, &m)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", what, err)
		}
	}
	m := fullMessage()
	b := EncodeDirectory(nil, e, &m)
	b[0] = versionFlat
	if _, err := Decode(b); !errors.Is(err, ErrMalformed) {
		t.Errorf("between directories without zones: %v", err)
	}
	b[0] = versionZones + 1
	if _, err := Decode(b); !errors.Is(err, ErrUnknownVersion) {
		t.Errorf("of a later version: %v", err)
	}
}
