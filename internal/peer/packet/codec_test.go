package packet

import (
	"bytes"
	"net/netip"
	"reflect"
	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"testing"

	"pgregory.net/rapid"
)

func drawAddr(r *rapid.T) netip.AddrPort {
	switch rapid.IntRange(0, 2).Draw(r, "family") {
	case 0:
		return netip.AddrPort{}
	case 1:
		ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(r, "ip"))
		return netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16().Draw(r, "port"))
	}
	ip := netip.AddrFrom16([16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(r, "ip")))
	return netip.AddrPortFrom(ip.Unmap(), rapid.Uint16().Draw(r, "port"))
}

func drawMessage(r *rapid.T) (Envelope, membership.Message) {
	u64 := func(name string) uint64 { return rapid.Uint64().Draw(r, name) }
	state := func(name string) membership.State {
		return membership.State(rapid.IntRange(0, int(membership.Left)).Draw(r, name))
	}
	m := membership.Message{
		Kind: membership.Kind(rapid.IntRange(1, int(Hello)).Draw(r, "kind")), Seq: rapid.Uint32().Draw(r, "seq"),
		From: membership.ID(
			u64("from"),
		), Inc: u64("inc"), Instance: u64("instance"), You: state("you"), YouInc: u64("you inc"),
		About: membership.ID(
			u64("about"),
		), Got: rapid.Uint32().Draw(r, "got"), Back: rapid.Bool().Draw(r, "back"), Digest: u64("digest"),
	}
	if rapid.Bool().Draw(r, "sums") {
		m.Sums = rapid.SliceOfN(rapid.Uint32(), membership.Buckets, membership.Buckets).Draw(r, "sums")
	}
	for range rapid.IntRange(0, 4).Draw(r, "rumors") {
		m.Rumors = append(m.Rumors, membership.Rumor{
			ID: membership.ID(u64("id")), State: state("state"), Inc: u64("inc"),
			By: membership.ID(u64("by")), Instance: u64("instance"), Addr: drawAddr(r),
			Name: rapid.StringOfN(rapid.RuneFrom([]rune("abc-9")), 0, MaxName, MaxName).Draw(r, "name"),
		})
	}
	return drawEnvelope(r, rapid.Bool().Draw(r, "zones")), m
}

func drawEnvelope(r *rapid.T, zones bool) Envelope {
	u64 := func(name string) uint64 { return rapid.Uint64().Draw(r, name) }
	e := Envelope{To: u64("to"), Count: u64("count"), Addr: drawAddr(r)}
	if zones {
		e.Zone, e.Items = zonedirectory.ID(max(u64("zone"), 1)), u64("items")
	}
	return e
}

// What is encoded is decoded to the same, and every cut-off or lengthened form of it is refused.
func TestThereAndBack(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		e, m := drawMessage(r)
		b := Encode(nil, e, &m)
		wants(r, b, Datagram{Envelope: e, Member: m})
	})
}

// wants holds that an encoding is decoded to this, and that no cut-off or lengthened form of it is.
func wants(r *rapid.T, b []byte, want Datagram) {
	got, err := Decode(b)
	if err != nil || !reflect.DeepEqual(got, want) {
		r.Fatalf("%v\n%+v %+v\n%+v %+v", err, want, want.Directory, got, got.Directory)
	}
	if _, err := Decode(b[:rapid.IntRange(0, len(b)-1).Draw(r, "cut")]); err == nil {
		r.Fatal("a cut-off message is taken")
	}
	if _, err := Decode(append(bytes.Clone(b), 0)); err == nil {
		r.Fatal("something may follow")
	}
}

// Rumors that do not fit are left out; a message never is too long.
func TestEncodingIsBounded(t *testing.T) {
	m := membership.Message{Kind: membership.Entries, Sums: make([]uint32, membership.Buckets)}
	long := netip.AddrPortFrom(netip.AddrFrom16([16]byte{0x20, 1}), 1)
	for range membership.MaxRumors {
		m.Rumors = append(
			m.Rumors,
			membership.Rumor{
				State: membership.Alive,
				Inc:   1 << 62,
				Addr:  long,
				Name:  string(bytes.Repeat([]byte("x"), 3*MaxName)),
			},
		)
	}
	b := Encode(nil, Envelope{}, &m)
	d, err := Decode(b)
	if got := d.Member; err != nil || len(b) > MaxPlain || len(got.Rumors) < 8 || len(got.Rumors[0].Name) != MaxName {
		t.Fatalf("%d bytes, %d rumors, %v", len(b), len(got.Rumors), err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(nil, Envelope{To: 1, Count: 2}, &membership.Message{Kind: membership.Ping, Seq: 3}))
	f.Add(
		Encode(
			nil,
			Envelope{Zone: 4, Items: 5},
			&membership.Message{
				Kind:   membership.Entries,
				Rumors: []membership.Rumor{{ID: 1, State: membership.Alive, Name: "a"}},
			},
		),
	)
	full := fullMessage()
	f.Add(EncodeDirectory(nil, Envelope{To: 1, Zone: 4, Items: 5}, &full))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Decode(b)
		if err != nil {
			return
		}
		again := Encode(nil, d.Envelope, &d.Member)
		if d.Directory != nil {
			again = EncodeDirectory(nil, d.Envelope, d.Directory)
		}
		if !bytes.Equal(again, b) {
			t.Fatalf("%x decodes, and encodes to %x", b, again)
		}
	})
}
