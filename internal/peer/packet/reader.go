package packet

import (
	"encoding/binary"
	"net/netip"
)

const (
	ipv4Bytes = 4
	ipv6Bytes = 16
	// maxFieldBytes is the length of the longest field of fixed length.
	maxFieldBytes = 16

	flagReply = 1
)

// reader decodes a datagram field by field. Once malformed is set, the values that it returns are meaningless.
type reader struct {
	rest      []byte
	malformed bool
}

// rejectIf marks the encoding as malformed if the condition holds.
func (r *reader) rejectIf(condition bool) { r.malformed = r.malformed || condition }

// next returns the next n bytes. After a malformed field it returns at most maxFieldBytes zero bytes.
func (r *reader) next(n int) []byte {
	if r.malformed || n > len(r.rest) {
		r.malformed = true
		return make([]byte, min(n, maxFieldBytes))
	}
	field := r.rest[:n]
	r.rest = r.rest[n:]
	return field
}

func (r *reader) u8() byte    { return r.next(1)[0] }
func (r *reader) u16() uint16 { return binary.BigEndian.Uint16(r.next(2)) }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.next(4)) }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }

// uvarint reads a varint. It accepts only the shortest form, so that a message has one encoding.
func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || n > 1 && r.rest[n-1] == 0 {
		r.malformed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// boundedCount reads a number of elements in one byte. It returns 0 if the number exceeds limit, which is malformed.
func (r *reader) boundedCount(limit int) int {
	n := int(r.u8())
	if n > limit {
		r.malformed = true
		return 0
	}
	return n
}

func (r *reader) text(limit int) string { return string(r.next(r.boundedCount(limit))) }

// appendString appends the length and the bytes of a string; bytes over limit are cut off.
func appendString(b []byte, s string, limit int) []byte {
	s = s[:min(len(s), limit)]
	b = append(b, byte(len(s)))
	return append(b, s...)
}

// replyFlag reads the flags byte; flagReply is the only flag.
func (r *reader) replyFlag() bool {
	flags := r.u8()
	r.rejectIf(flags > flagReply)
	return flags == flagReply
}

func appendReplyFlag(b []byte, isReply bool) []byte {
	if isReply {
		return append(b, flagReply)
	}
	return append(b, 0)
}

func (r *reader) addr() netip.AddrPort {
	length := int(r.u8())
	if length == 0 {
		return netip.AddrPort{}
	}
	if length != ipv4Bytes && length != ipv6Bytes {
		r.malformed = true
		return netip.AddrPort{}
	}
	ip, _ := netip.AddrFromSlice(r.next(length))
	r.rejectIf(ip.Is4In6())
	return netip.AddrPortFrom(ip, r.u16())
}

func appendAddr(b []byte, addr netip.AddrPort) []byte {
	if !addr.IsValid() {
		return append(b, 0)
	}
	ip := addr.Addr().Unmap().AsSlice()
	b = append(b, byte(len(ip)))
	b = append(b, ip...)
	return binary.BigEndian.AppendUint16(b, addr.Port())
}
