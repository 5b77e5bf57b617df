package packet

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
)

// Versions of the encoding.
const (
	versionFlat  = 1 // a fleet without zones
	versionZones = 2 // a fleet with zones
)

const (
	// MaxName is the maximum length of a member's name, in bytes.
	MaxName = 40
	// MaxPlaintext is the maximum length of an encoding, in bytes. With it a datagram fits one Ethernet frame.
	MaxPlaintext = 1300
	// Hello is an additional kind of message, numbered after those of package membership. It tells the receiver the
	// instance of the sender's process. Only its envelope and sender fields have a meaning.
	Hello = membership.SyncEntries + 1
)

// Reasons to reject a datagram. They depend only on its bytes and the keyring.
var (
	// ErrMalformed is returned for bytes that are no valid encoding of a message, and for an invalid length.
	ErrMalformed = errors.New("malformed datagram")
	// ErrUnknownVersion is returned for an unknown version of the encoding.
	ErrUnknownVersion = errors.New("unknown datagram encoding version")
	// ErrUnknownKey is returned for a datagram that names a key that is not in the keyring.
	ErrUnknownKey = errors.New("datagram is encrypted with an unknown key")
	// ErrForged is returned for a datagram that was not encrypted with the key that it names, or was altered.
	ErrForged = errors.New("datagram authentication failed")
)

// Envelope holds the fields that every datagram carries in addition to its message.
type Envelope struct {
	// ReceiverInstance is the instance of the process that the datagram is addressed to, 0 if unknown.
	ReceiverInstance uint64
	// Counter numbers the datagrams of the sender's process, from 1.
	Counter uint64
	// Addr is the address at which the sender can be reached.
	Addr netip.AddrPort
	// Zone is the sender's zone, 0 in a fleet without zones.
	Zone zonedirectory.ID
	// DirectoryDigest is the digest of all items of the sender's directory, 0 in a fleet without zones.
	DirectoryDigest uint64
}

func (e *Envelope) version() byte {
	if e.Zone == 0 {
		return versionFlat
	}
	return versionZones
}

// Datagram is a decoded datagram. It carries a directory message if Directory is not nil, otherwise a membership
// message.
type Datagram struct {
	Envelope
	Membership membership.Message
	Directory  *zonedirectory.Message
}

// From returns the ID of the member that the datagram claims to be from.
func (d *Datagram) From() membership.ID {
	if d.Directory != nil {
		return membership.ID(d.Directory.From)
	}
	return d.Membership.From
}

// Instance returns the instance of the sender's process.
func (d *Datagram) Instance() uint64 {
	if d.Directory != nil {
		return d.Directory.Instance
	}
	return d.Membership.Instance
}

// IsHello reports whether the datagram is a Hello.
func (d *Datagram) IsHello() bool { return d.Directory == nil && d.Membership.Kind == Hello }

// Decode decodes a datagram's content. It accepts only encodings that Encode or EncodeDirectory produce, and keeps no
// reference to b. It returns ErrMalformed or ErrUnknownVersion.
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

// appendPrefix appends the version, the kind, the receiver's instance, the counter and the sender's ID.
func appendPrefix(b []byte, e *Envelope, kind byte, from membership.ID) []byte {
	b = append(b, e.version(), kind)
	b = binary.BigEndian.AppendUint64(b, e.ReceiverInstance)
	b = binary.BigEndian.AppendUint64(b, e.Counter)
	return binary.BigEndian.AppendUint64(b, uint64(from))
}

// appendSender appends the sender's instance and address, and with zones its zone and directory digest.
func appendSender(b []byte, e *Envelope, instance uint64) []byte {
	b = binary.BigEndian.AppendUint64(b, instance)
	b = appendAddr(b, e.Addr)
	if e.Zone == 0 {
		return b
	}
	b = binary.BigEndian.AppendUint64(b, uint64(e.Zone))
	return binary.BigEndian.AppendUint64(b, e.DirectoryDigest)
}

// sender reads the sender's address, and with zones its zone and directory digest.
func (r *reader) sender(e *Envelope, version byte) {
	e.Addr = r.addr()
	if version == versionFlat {
		return
	}
	e.Zone = zonedirectory.ID(r.u64())
	e.DirectoryDigest = r.u64()
	r.rejectIf(e.Zone == 0)
}

// typicalAddr returns an address of typical encoded length, for size estimates.
func typicalAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([ipv4Bytes]byte{127, 0, 0, 1}), 1)
}
