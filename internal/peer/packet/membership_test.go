package packet

import (
	"bytes"
	"net/netip"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
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
		Kind:                membership.Kind(rapid.IntRange(1, int(Hello)).Draw(r, "kind")),
		Seq:                 rapid.Uint32().Draw(r, "seq"),
		From:                membership.ID(u64("from")),
		Incarnation:         u64("incarnation"),
		Instance:            u64("instance"),
		ReceiverState:       state("receiver state"),
		ReceiverIncarnation: u64("receiver incarnation"),
		Target:              membership.ID(u64("target")),
		PingsReceived:       rapid.Uint32().Draw(r, "pings received"),
		IsReply:             rapid.Bool().Draw(r, "is reply"),
		Digest:              u64("digest"),
	}
	if rapid.Bool().Draw(r, "sums") {
		m.BucketSums = rapid.SliceOfN(rapid.Uint32(), membership.SyncBuckets, membership.SyncBuckets).Draw(r, "sums")
	}
	for range rapid.IntRange(0, 4).Draw(r, "updates") {
		m.Updates = append(m.Updates, membership.Update{
			ID:          membership.ID(u64("id")),
			State:       state("state"),
			Incarnation: u64("incarnation"),
			ReportedBy:  membership.ID(u64("reported by")),
			Instance:    u64("instance"),
			Addr:        drawAddr(r),
			Name:        rapid.StringOfN(rapid.RuneFrom([]rune("abc-9")), 0, MaxName, MaxName).Draw(r, "name"),
		})
	}
	return drawEnvelope(r, rapid.Bool().Draw(r, "zones")), m
}

func drawEnvelope(r *rapid.T, zones bool) Envelope {
	u64 := func(name string) uint64 { return rapid.Uint64().Draw(r, name) }
	e := Envelope{ReceiverInstance: u64("receiver instance"), Counter: u64("counter"), Addr: drawAddr(r)}
	if zones {
		e.Zone = zonedirectory.ID(max(u64("zone"), 1))
		e.DirectoryDigest = u64("digest")
	}
	return e
}

// Decoding an encoded membership message yields the same message.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		e, m := drawMessage(r)
		b := Encode(nil, e, &m)
		checkDecode(r, b, Datagram{Envelope: e, Membership: m})
	})
}

// checkDecode fails unless b is decoded to want, and a truncated and a lengthened form of b are rejected.
func checkDecode(r *rapid.T, b []byte, want Datagram) {
	got, err := Decode(b)
	if err != nil || !reflect.DeepEqual(got, want) {
		r.Fatalf("%v\n%+v %+v\n%+v %+v", err, want, want.Directory, got, got.Directory)
	}
	if _, err := Decode(b[:rapid.IntRange(0, len(b)-1).Draw(r, "length")]); err == nil {
		r.Fatal("a truncated message is accepted")
	}
	if _, err := Decode(append(bytes.Clone(b), 0)); err == nil {
		r.Fatal("a message with a trailing byte is accepted")
	}
}

// Updates that do not fit are omitted, so that an encoded message never exceeds MaxPlaintext.
func TestEncodingIsBounded(t *testing.T) {
	m := membership.Message{Kind: membership.SyncEntries, BucketSums: make([]uint32, membership.SyncBuckets)}
	longest := membership.Update{
		State:       membership.Alive,
		Incarnation: 1 << 62,
		Addr:        netip.AddrPortFrom(netip.AddrFrom16([16]byte{0x20, 1}), 1),
		Name:        string(bytes.Repeat([]byte("x"), 3*MaxName)),
	}
	for range membership.MaxUpdates {
		m.Updates = append(m.Updates, longest)
	}
	b := Encode(nil, Envelope{}, &m)
	d, err := Decode(b)
	if got := d.Membership; err != nil || len(b) > MaxPlaintext || len(got.Updates) < 8 ||
		len(got.Updates[0].Name) != MaxName {
		t.Fatalf("%d bytes, %d updates, %v, want at most %d bytes and at least 8 updates",
			len(b), len(got.Updates), err, MaxPlaintext)
	}
}

// Every content that Decode accepts is what encoding its result yields.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(nil, Envelope{ReceiverInstance: 1, Counter: 2}, &membership.Message{Kind: membership.Ping, Seq: 3}))
	f.Add(Encode(nil, Envelope{Zone: 4, DirectoryDigest: 5}, &membership.Message{
		Kind:    membership.SyncEntries,
		Updates: []membership.Update{{ID: 1, State: membership.Alive, Name: "a"}},
	}))
	full := fullMessage()
	f.Add(EncodeDirectory(nil, Envelope{ReceiverInstance: 1, Zone: 4, DirectoryDigest: 5}, &full))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Decode(b)
		if err != nil {
			return
		}
		again := Encode(nil, d.Envelope, &d.Membership)
		if d.Directory != nil {
			again = EncodeDirectory(nil, d.Envelope, d.Directory)
		}
		if !bytes.Equal(again, b) {
			t.Fatalf("%x is decoded, but its result is encoded to %x", b, again)
		}
	})
}
