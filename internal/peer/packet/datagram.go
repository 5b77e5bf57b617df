package packet

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
)

// The versions of the encoding.
const (
	versionFlat  = 1 // of a fleet without zones
	versionZones = 2
)

const (
	// MaxName is how long a member's name may be, in bytes.
	MaxName = 40
	// MaxPlaintext bounds an encoding, in bytes: a datagram fits one Ethernet frame.
	MaxPlaintext = 1300
	// Hello is a kind of message of its own, after those of package membership: its envelope says which process of
	// a name the sender is, to one that does not know it yet. The rest counts for nothing.
	Hello = membership.SyncEntries + 1
)

// Why a datagram is rejected. Receiving it again brings the same error.
var (
	// ErrMalformed is returned for what is not an encoding of a message, or has a length that no datagram has.
	ErrMalformed = errors.New("malformed datagram")
	// ErrUnknownVersion is returned for an encoding of a version that is not known here.
	ErrUnknownVersion = errors.New("unknown version of the datagram encoding")
	// ErrUnknownKey is returned for a datagram that is sealed with a key that is not in the keyring.
	ErrUnknownKey = errors.New("datagram is sealed with a key that is not listed")
	// ErrForged is returned for a datagram that was not sealed with the key that it names, or was altered.
	ErrForged = errors.New("seal of the datagram is broken")
)

// Envelope is what every datagram carries beside its message.
type Envelope struct {
	// ReceiverInstance is the process that the datagram is for, 0 where that is not known.
	ReceiverInstance uint64
	// Counter numbers the datagrams of the sender's process, from 1.
	Counter uint64
	// Addr is where the sender is reached.
	Addr netip.AddrPort
	// Zone is the sender's, 0 in a fleet without zones.
	Zone zonedirectory.ID
	// DirectoryDigest is that of all items of the sender's directory, 0 in a fleet without zones.
	DirectoryDigest uint64
}

func (e *Envelope) version() byte {
	if e.Zone == 0 {
		return versionFlat
	}
	return versionZones
}

// Datagram is a decoded one: a message between directories where Directory is not nil, otherwise one of membership.
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

// IsHello reports whether the message is a Hello.
func (d *Datagram) IsHello() bool { return d.Directory == nil && d.Membership.Kind == Hello }

// Decode reads what Encode and EncodeDirectory have written, and nothing else. The datagram keeps nothing of b.
// Errors are ErrMalformed and ErrUnknownVersion.
func Decode(b []byte) (Datagram, error) {
	if len(b) == 0 || len(b) > MaxPlaintext {
		return Datagram{}, ErrMalformed
	}
	version := b[0]
	if version != versionFlat && version != versionZones {
		return Datagram{}, ErrUnknownVersion
	}
	var d Datagram
	r := &reader{rest: b[1:]}
	kind := r.u8()
	d.ReceiverInstance = r.u64()
	d.Counter = r.u64()
	if kind > byte(Hello) {
		r.directoryMessage(&d, version, zonedirectory.Kind(kind-byte(Hello)))
	} else {
		r.membershipMessage(&d, version, membership.Kind(kind))
	}
	if r.malformed || len(r.rest) != 0 {
		return Datagram{}, ErrMalformed
	}
	return d, nil
}

// appendPrefix appends the version, the kind, and whom the datagram is for and from.
func appendPrefix(b []byte, e *Envelope, kind byte, from membership.ID) []byte {
	b = append(b, e.version(), kind)
	b = binary.BigEndian.AppendUint64(b, e.ReceiverInstance)
	b = binary.BigEndian.AppendUint64(b, e.Counter)
	return binary.BigEndian.AppendUint64(b, uint64(from))
}

// appendSender appends the sender's instance, its address, and with zones its zone.
func appendSender(b []byte, e *Envelope, instance uint64) []byte {
	b = binary.BigEndian.AppendUint64(b, instance)
	b = appendAddr(b, e.Addr)
	if e.Zone == 0 {
		return b
	}
	b = binary.BigEndian.AppendUint64(b, uint64(e.Zone))
	return binary.BigEndian.AppendUint64(b, e.DirectoryDigest)
}

// sender reads the sender's address, and with zones its zone.
func (r *reader) sender(e *Envelope, version byte) {
	e.Addr = r.addr()
	if version == versionFlat {
		return
	}
	e.Zone = zonedirectory.ID(r.u64())
	e.DirectoryDigest = r.u64()
	r.reject(e.Zone == 0)
}

// typicalAddr is an address as long as most are.
func typicalAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([ipv4Bytes]byte{127, 0, 0, 1}), 1)
}
