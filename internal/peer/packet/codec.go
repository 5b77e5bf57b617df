// Package packet is the codec of the datagrams between members of a fleet: their encoding, their seal, and the
// window that tells what has come before. It knows no sockets and no clock, and not what a message means.
package packet

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
)

// The encoding, all numbers big-endian; uv is a varint as encoding/binary has it:
//
//	1         version: 2 where the sender stands in a zone, 1 in a fleet without zones
//	1         kind: those of member.Message, Hello, and behind it those of zone.Message
//	8  8      instance of the receiver that this is for (0: not known), the sender's count of datagrams
//	8 uv 8    sender, its incarnation (not where kind is a zone.Message's), its instance
//	addr      where the sender is reached: 1 byte of length (0, 4 or 16), as many, and 2 of port where it is not 0
//	8  8      of version 2 only: the sender's zone, and the digest of all items of its directory
//
// A member.Message goes on with:
//
//	1 uv      what the sender holds the receiver to be, and under which incarnation
//	4 8 4 1   sequence, about whom, pings that have come, flags
//	8         digest of the sender's view
//	1 + 4n    sums of buckets
//	1 + n     rumors: 1 state and flags, 8 id, uv incarnation; 8 by where there is one; where the member is described:
//	          8 instance, addr, 1 + n name
//
// How a zone.Message goes on stands at appendDirectory. Nothing may follow.
const (
	versionFlat  = 1
	versionZones = 2

	// MaxName is how long a member's name may be, in bytes.
	MaxName = 40
	// MaxPlain bounds what is encoded, in bytes. A datagram stays under what Ethernet carries whole.
	MaxPlain = 1300

	flagBack = 1

	rumorBy   = 0x10
	rumorSelf = 0x20
)

// What may be wrong with what was received. Each is final.
var (
	ErrMalformed = errors.New("no message")
	ErrVersion   = errors.New("of a version that is not known")
	ErrKey       = errors.New("sealed with a key that is not listed")
	ErrForged    = errors.New("seal is broken")
)

// Envelope is what goes along with a message.
type Envelope struct {
	To    uint64 // instance of the receiver, 0 where it is not known
	Count uint64
	Addr  netip.AddrPort
	Zone  zonedirectory.ID // of the sender, 0 in a fleet without zones
	Items uint64           // digest of all items of the sender's directory; 0 without zones
}

// Datagram is what was decoded: a message between directories where there is one, else one of members.
type Datagram struct {
	Envelope
	Member    membership.Message
	Directory *zonedirectory.Message
}

// From is the member that the datagram says it is from.
func (d *Datagram) From() membership.ID {
	if d.Directory != nil {
		return membership.ID(d.Directory.From)
	}
	return d.Member.From
}

// Instance is that of the sender's process.
func (d *Datagram) Instance() uint64 {
	if d.Directory != nil {
		return d.Directory.Instance
	}
	return d.Member.Instance
}

// Hello tells that the datagram only says which process of a name its sender is.
func (d *Datagram) Hello() bool { return d.Directory == nil && d.Member.Kind == Hello }

func appendAddr(b []byte, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return append(b, 0)
	}
	ip := a.Addr().Unmap().AsSlice()
	b = append(append(b, byte(len(ip))), ip...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// appendStart appends the version, the kind, and whom the datagram is for and from.
func appendStart(b []byte, e *Envelope, kind byte, from membership.ID) []byte {
	version := byte(versionFlat)
	if e.Zone != 0 {
		version = versionZones
	}
	b = append(b, version, kind)
	b = binary.BigEndian.AppendUint64(b, e.To)
	b = binary.BigEndian.AppendUint64(b, e.Count)
	return binary.BigEndian.AppendUint64(b, uint64(from))
}

// appendPlace appends which process of the sender's this is, and where it stands.
func appendPlace(b []byte, e *Envelope, instance uint64) []byte {
	b = binary.BigEndian.AppendUint64(b, instance)
	b = appendAddr(b, e.Addr)
	if e.Zone == 0 {
		return b
	}
	b = binary.BigEndian.AppendUint64(b, uint64(e.Zone))
	return binary.BigEndian.AppendUint64(b, e.Items)
}

// Encode appends a message between members. Rumors that would make it too long are left out; they go along with
// another.
func Encode(b []byte, e Envelope, m *membership.Message) []byte {
	start := len(b)
	b = appendStart(b, &e, byte(m.Kind), m.From)
	b = binary.AppendUvarint(b, m.Inc)
	b = appendPlace(b, &e, m.Instance)
	b = append(b, byte(m.You))
	b = binary.AppendUvarint(b, m.YouInc)
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	b = binary.BigEndian.AppendUint64(b, uint64(m.About))
	b = binary.BigEndian.AppendUint32(b, m.Got)
	b = append(b, flags(m.Back))
	b = binary.BigEndian.AppendUint64(b, m.Digest)
	b = append(b, byte(len(m.Sums)))
	for _, s := range m.Sums {
		b = binary.BigEndian.AppendUint32(b, s)
	}
	at := len(b)
	b = append(b, 0)
	for i := range m.Rumors {
		before := len(b)
		if b = appendRumor(b, &m.Rumors[i]); len(b)-start > MaxPlain {
			return b[:before]
		}
		b[at]++
	}
	return b
}

func flags(back bool) byte {
	if back {
		return flagBack
	}
	return 0
}

func appendRumor(b []byte, r *membership.Rumor) []byte {
	name := r.Name[:min(len(r.Name), MaxName)]
	head := byte(r.State)
	if r.By != 0 {
		head |= rumorBy
	}
	if r.Instance != 0 || r.Addr.IsValid() || name != "" {
		head |= rumorSelf
	}
	b = append(b, head)
	b = binary.BigEndian.AppendUint64(b, uint64(r.ID))
	b = binary.AppendUvarint(b, r.Inc)
	if head&rumorBy != 0 {
		b = binary.BigEndian.AppendUint64(b, uint64(r.By))
	}
	if head&rumorSelf == 0 {
		return b
	}
	b = binary.BigEndian.AppendUint64(b, r.Instance)
	b = appendAddr(b, r.Addr)
	return append(append(b, byte(len(name))), name...)
}

// reader takes an encoding apart; once it has failed all further reads are zero.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if r.bad || n > len(r.b) {
		r.bad = true
		return make([]byte, min(n, 16))
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) u8() byte    { return r.take(1)[0] }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

// uvarint takes the shortest form only, so that a message has one encoding.
func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || n > 1 && r.b[n-1] == 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) addr() netip.AddrPort {
	n := int(r.u8())
	if n == 0 {
		return netip.AddrPort{}
	}
	if n != 4 && n != 16 {
		r.bad = true
		return netip.AddrPort{}
	}
	ip, _ := netip.AddrFromSlice(r.take(n))
	if ip.Is4In6() {
		r.bad = true
	}
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(r.take(2)))
}

func (r *reader) state() membership.State { return r.isState(r.u8()) }

func (r *reader) isState(b byte) membership.State {
	if membership.State(b) > membership.Left {
		r.bad = true
		return membership.Unknown
	}
	return membership.State(b)
}

// Decode reads what Encode and EncodeDirectory wrote, and nothing else. The datagram keeps nothing of b. Errors are
// ErrMalformed and ErrVersion.
func Decode(b []byte) (Datagram, error) {
	if len(b) == 0 || len(b) > MaxPlain {
		return Datagram{}, ErrMalformed
	}
	if b[0] != versionFlat && b[0] != versionZones {
		return Datagram{}, ErrVersion
	}
	var d Datagram
	r := &reader{b: b[1:]}
	kind := r.u8()
	d.To, d.Count = r.u64(), r.u64()
	if kind > byte(Hello) {
		r.directory(&d, b[0], zonedirectory.Kind(kind-byte(Hello)))
	} else {
		r.member(&d, b[0], membership.Kind(kind))
	}
	if r.bad || len(r.b) != 0 {
		return Datagram{}, ErrMalformed
	}
	return d, nil
}

// place reads where the sender stands.
func (r *reader) place(e *Envelope, version byte) {
	e.Addr = r.addr()
	if version == versionFlat {
		return
	}
	e.Zone, e.Items = zonedirectory.ID(r.u64()), r.u64()
	r.bad = r.bad || e.Zone == 0
}

// member reads a message between members from its sender on.
func (r *reader) member(d *Datagram, version byte, kind membership.Kind) {
	m := &d.Member
	m.Kind = kind
	m.From, m.Inc, m.Instance = membership.ID(r.u64()), r.uvarint(), r.u64()
	r.place(&d.Envelope, version)
	m.You, m.YouInc = r.state(), r.uvarint()
	m.Seq, m.About, m.Got = r.u32(), membership.ID(r.u64()), r.u32()
	m.Back, m.Digest = r.flag(), r.u64()
	if sums := int(r.u8()); sums == membership.Buckets {
		for range sums {
			m.Sums = append(m.Sums, r.u32())
		}
	} else if sums != 0 {
		r.bad = true
	}
	for range r.u8() {
		if r.bad {
			break
		}
		m.Rumors = append(m.Rumors, r.rumor())
	}
	r.bad = r.bad || len(m.Rumors) > membership.MaxRumors || m.Kind == 0
}

// flag reads the byte of flags, of which there is one.
func (r *reader) flag() bool {
	flags := r.u8()
	r.bad = r.bad || flags > flagBack
	return flags == flagBack
}

// rumor takes the one form that a rumor has: what is told to be there is not empty.
func (r *reader) rumor() (out membership.Rumor) {
	head := r.u8()
	out.State, out.ID, out.Inc = r.isState(head&^(rumorBy|rumorSelf)), membership.ID(r.u64()), r.uvarint()
	if head&rumorBy != 0 {
		out.By = membership.ID(r.u64())
		r.bad = r.bad || out.By == 0
	}
	if head&rumorSelf == 0 {
		return out
	}
	out.Instance, out.Addr = r.u64(), r.addr()
	n := int(r.u8())
	if n > MaxName {
		r.bad = true
		return out
	}
	out.Name = string(r.take(n))
	r.bad = r.bad || out.Instance == 0 && !out.Addr.IsValid() && out.Name == ""
	return out
}

// somewhere is an address as long as most are.
var somewhere = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 1)

// Size is how long the datagram of a message between members is in a fleet without zones, in bytes, sealed. With
// zones it is 16 more.
func Size(m *membership.Message) int {
	return len(Encode(nil, Envelope{Addr: somewhere}, m)) + Overhead
}
