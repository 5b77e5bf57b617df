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
	// MaxPlaintext bounds what is encoded, in bytes. A datagram stays under what Ethernet carries whole.
	MaxPlaintext = 1300

	flagReply = 1

	updateHasReporter    = 0x10
	updateHasDescription = 0x20
)

// What may be wrong with what was received. Each is final.
var (
	ErrMalformed      = errors.New("no message")
	ErrUnknownVersion = errors.New("of a version that is not known")
	ErrUnknownKey     = errors.New("sealed with a key that is not listed")
	ErrForged         = errors.New("seal is broken")
)

// Envelope is what goes along with a message.
type Envelope struct {
	ReceiverInstance uint64 // instance of the receiver, 0 where it is not known
	Counter          uint64
	Addr             netip.AddrPort
	Zone             zonedirectory.ID // of the sender, 0 in a fleet without zones
	DirectoryDigest  uint64           // digest of all items of the sender's directory; 0 without zones
}

// Datagram is what was decoded: a message between directories where there is one, else one of members.
type Datagram struct {
	Envelope
	Membership membership.Message
	Directory  *zonedirectory.Message
}

// From is the member that the datagram says it is from.
func (d *Datagram) From() membership.ID {
	if d.Directory != nil {
		return membership.ID(d.Directory.From)
	}
	return d.Membership.From
}

// Instance is that of the sender's process.
func (d *Datagram) Instance() uint64 {
	if d.Directory != nil {
		return d.Directory.Instance
	}
	return d.Membership.Instance
}

// IsHello tells that the datagram only says which process of a name its sender is.
func (d *Datagram) IsHello() bool { return d.Directory == nil && d.Membership.Kind == Hello }

func appendAddr(b []byte, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return append(b, 0)
	}
	ip := a.Addr().Unmap().AsSlice()
	b = append(append(b, byte(len(ip))), ip...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// appendPrefix appends the version, the kind, and whom the datagram is for and from.
func appendPrefix(b []byte, e *Envelope, kind byte, from membership.ID) []byte {
	version := byte(versionFlat)
	if e.Zone != 0 {
		version = versionZones
	}
	b = append(b, version, kind)
	b = binary.BigEndian.AppendUint64(b, e.ReceiverInstance)
	b = binary.BigEndian.AppendUint64(b, e.Counter)
	return binary.BigEndian.AppendUint64(b, uint64(from))
}

// appendSender appends which process of the sender's this is, and where it stands.
func appendSender(b []byte, e *Envelope, instance uint64) []byte {
	b = binary.BigEndian.AppendUint64(b, instance)
	b = appendAddr(b, e.Addr)
	if e.Zone == 0 {
		return b
	}
	b = binary.BigEndian.AppendUint64(b, uint64(e.Zone))
	return binary.BigEndian.AppendUint64(b, e.DirectoryDigest)
}

// Encode appends a message between members. Rumors that would make it too long are left out; they go along with
// another.
func Encode(b []byte, e Envelope, m *membership.Message) []byte {
	start := len(b)
	b = appendPrefix(b, &e, byte(m.Kind), m.From)
	b = binary.AppendUvarint(b, m.Incarnation)
	b = appendSender(b, &e, m.Instance)
	b = append(b, byte(m.ReceiverState))
	b = binary.AppendUvarint(b, m.ReceiverIncarnation)
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	b = binary.BigEndian.AppendUint64(b, uint64(m.Target))
	b = binary.BigEndian.AppendUint32(b, m.PingsReceived)
	b = append(b, flags(m.IsReply))
	b = binary.BigEndian.AppendUint64(b, m.Digest)
	b = append(b, byte(len(m.BucketSums)))
	for _, s := range m.BucketSums {
		b = binary.BigEndian.AppendUint32(b, s)
	}
	at := len(b)
	b = append(b, 0)
	for i := range m.Updates {
		before := len(b)
		if b = appendUpdate(b, &m.Updates[i]); len(b)-start > MaxPlaintext {
			return b[:before]
		}
		b[at]++
	}
	return b
}

func flags(back bool) byte {
	if back {
		return flagReply
	}
	return 0
}

func appendUpdate(b []byte, r *membership.Update) []byte {
	name := r.Name[:min(len(r.Name), MaxName)]
	head := byte(r.State)
	if r.ReportedBy != 0 {
		head |= updateHasReporter
	}
	if r.Instance != 0 || r.Addr.IsValid() || name != "" {
		head |= updateHasDescription
	}
	b = append(b, head)
	b = binary.BigEndian.AppendUint64(b, uint64(r.ID))
	b = binary.AppendUvarint(b, r.Incarnation)
	if head&updateHasReporter != 0 {
		b = binary.BigEndian.AppendUint64(b, uint64(r.ReportedBy))
	}
	if head&updateHasDescription == 0 {
		return b
	}
	b = binary.BigEndian.AppendUint64(b, r.Instance)
	b = appendAddr(b, r.Addr)
	return append(append(b, byte(len(name))), name...)
}

// reader takes an encoding apart; once it has failed all further reads are zero.
type reader struct {
	rest      []byte
	malformed bool
}

func (r *reader) take(n int) []byte {
	if r.malformed || n > len(r.rest) {
		r.malformed = true
		return make([]byte, min(n, 16))
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *reader) u8() byte    { return r.take(1)[0] }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

// uvarint takes the shortest form only, so that a message has one encoding.
func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || n > 1 && r.rest[n-1] == 0 {
		r.malformed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) addr() netip.AddrPort {
	n := int(r.u8())
	if n == 0 {
		return netip.AddrPort{}
	}
	if n != 4 && n != 16 {
		r.malformed = true
		return netip.AddrPort{}
	}
	ip, _ := netip.AddrFromSlice(r.take(n))
	if ip.Is4In6() {
		r.malformed = true
	}
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(r.take(2)))
}

func (r *reader) state() membership.State { return r.validState(r.u8()) }

func (r *reader) validState(b byte) membership.State {
	if membership.State(b) > membership.Left {
		r.malformed = true
		return membership.Unknown
	}
	return membership.State(b)
}

// Decode reads what Encode and EncodeDirectory wrote, and nothing else. The datagram keeps nothing of b. Errors are
// ErrMalformed and ErrVersion.
func Decode(b []byte) (Datagram, error) {
	if len(b) == 0 || len(b) > MaxPlaintext {
		return Datagram{}, ErrMalformed
	}
	if b[0] != versionFlat && b[0] != versionZones {
		return Datagram{}, ErrUnknownVersion
	}
	var d Datagram
	r := &reader{rest: b[1:]}
	kind := r.u8()
	d.ReceiverInstance, d.Counter = r.u64(), r.u64()
	if kind > byte(Hello) {
		r.directoryMessage(&d, b[0], zonedirectory.Kind(kind-byte(Hello)))
	} else {
		r.membershipMessage(&d, b[0], membership.Kind(kind))
	}
	if r.malformed || len(r.rest) != 0 {
		return Datagram{}, ErrMalformed
	}
	return d, nil
}

// sender reads where the sender stands.
func (r *reader) sender(e *Envelope, version byte) {
	e.Addr = r.addr()
	if version == versionFlat {
		return
	}
	e.Zone, e.DirectoryDigest = zonedirectory.ID(r.u64()), r.u64()
	r.malformed = r.malformed || e.Zone == 0
}

// membershipMessage reads a message between members from its sender on.
func (r *reader) membershipMessage(d *Datagram, version byte, kind membership.Kind) {
	m := &d.Membership
	m.Kind = kind
	m.From, m.Incarnation, m.Instance = membership.ID(r.u64()), r.uvarint(), r.u64()
	r.sender(&d.Envelope, version)
	m.ReceiverState, m.ReceiverIncarnation = r.state(), r.uvarint()
	m.Seq, m.Target, m.PingsReceived = r.u32(), membership.ID(r.u64()), r.u32()
	m.IsReply, m.Digest = r.replyFlag(), r.u64()
	if sums := int(r.u8()); sums == membership.SyncBuckets {
		for range sums {
			m.BucketSums = append(m.BucketSums, r.u32())
		}
	} else if sums != 0 {
		r.malformed = true
	}
	for range r.u8() {
		if r.malformed {
			break
		}
		m.Updates = append(m.Updates, r.update())
	}
	r.malformed = r.malformed || len(m.Updates) > membership.MaxUpdates || m.Kind == 0
}

// replyFlag reads the byte of flags, of which there is one.
func (r *reader) replyFlag() bool {
	flags := r.u8()
	r.malformed = r.malformed || flags > flagReply
	return flags == flagReply
}

// update takes the one form that a rumor has: what is told to be there is not empty.
func (r *reader) update() (out membership.Update) {
	head := r.u8()
	out.State, out.ID, out.Incarnation = r.validState(
		head&^(updateHasReporter|updateHasDescription),
	), membership.ID(
		r.u64(),
	), r.uvarint()
	if head&updateHasReporter != 0 {
		out.ReportedBy = membership.ID(r.u64())
		r.malformed = r.malformed || out.ReportedBy == 0
	}
	if head&updateHasDescription == 0 {
		return out
	}
	out.Instance, out.Addr = r.u64(), r.addr()
	n := int(r.u8())
	if n > MaxName {
		r.malformed = true
		return out
	}
	out.Name = string(r.take(n))
	r.malformed = r.malformed || out.Instance == 0 && !out.Addr.IsValid() && out.Name == ""
	return out
}

// typicalAddr is an address as long as most are.
var typicalAddr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 1)

// SealedSize is how long the datagram of a message between members is in a fleet without zones, in bytes, sealed. With
// zones it is 16 more.
func SealedSize(m *membership.Message) int {
	return len(Encode(nil, Envelope{Addr: typicalAddr}, m)) + Overhead
}
