package packet

import (
	"encoding/binary"

	"spurspread/decision/membership"
)

// Flags in the byte of an update's state.
const (
	updateHasReporter    = 0x10
	updateHasDescription = 0x20
	updateFlags          = updateHasReporter | updateHasDescription
)

// Encode appends the encoding of a membership message to b. The first update that does not fit into MaxPlaintext and
// all later ones are omitted.
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
	b = appendReplyFlag(b, m.IsReply)
	b = binary.BigEndian.AppendUint64(b, m.Digest)
	b = append(b, byte(len(m.BucketSums)))
	for _, sum := range m.BucketSums {
		b = binary.BigEndian.AppendUint32(b, sum)
	}
	return appendUpdates(b, start, m.Updates)
}

// appendUpdates appends a count and as many updates as fit into the message that starts at b[start].
func appendUpdates(b []byte, start int, updates []membership.Update) []byte {
	countAt := len(b)
	b = append(b, 0)
	for i := range updates {
		before := len(b)
		b = appendUpdate(b, &updates[i])
		if len(b)-start > MaxPlaintext {
			return b[:before]
		}
		b[countAt]++
	}
	return b
}

func appendUpdate(b []byte, u *membership.Update) []byte {
	head := byte(u.State)
	if u.ReportedBy != 0 {
		head |= updateHasReporter
	}
	if u.Instance != 0 || u.Addr.IsValid() || u.Name != "" {
		head |= updateHasDescription
	}
	b = append(b, head)
	b = binary.BigEndian.AppendUint64(b, uint64(u.ID))
	b = binary.AppendUvarint(b, u.Incarnation)
	if head&updateHasReporter != 0 {
		b = binary.BigEndian.AppendUint64(b, uint64(u.ReportedBy))
	}
	if head&updateHasDescription == 0 {
		return b
	}
	b = binary.BigEndian.AppendUint64(b, u.Instance)
	b = appendAddr(b, u.Addr)
	return appendString(b, u.Name, MaxName)
}

// membershipMessage reads the rest of a membership message, beginning with the sender's ID.
func (r *reader) membershipMessage(d *Datagram, version byte, kind membership.Kind) {
	m := &d.Membership
	m.Kind = kind
	m.From = membership.ID(r.u64())
	m.Incarnation = r.uvarint()
	m.Instance = r.u64()
	r.sender(&d.Envelope, version)
	m.ReceiverState = r.state(r.u8())
	m.ReceiverIncarnation = r.uvarint()
	m.Seq = r.u32()
	m.Target = membership.ID(r.u64())
	m.PingsReceived = r.u32()
	m.IsReply = r.replyFlag()
	m.Digest = r.u64()
	m.BucketSums = r.bucketSums()
	m.Updates = r.updates()
	r.rejectIf(len(m.Updates) > membership.MaxUpdates || m.Kind == 0)
}

// state converts a byte to a member's state; an unknown one makes the encoding malformed.
func (r *reader) state(b byte) membership.State {
	if membership.State(b) > membership.Left {
		r.malformed = true
		return membership.Unknown
	}
	return membership.State(b)
}

// bucketSums reads the sums of all buckets, or no sums.
func (r *reader) bucketSums() []uint32 {
	var sums []uint32
	switch r.u8() {
	case 0:
	case membership.SyncBuckets:
		for range membership.SyncBuckets {
			sums = append(sums, r.u32())
		}
	default:
		r.malformed = true
	}
	return sums
}

func (r *reader) updates() []membership.Update {
	var updates []membership.Update
	for range r.u8() {
		if r.malformed {
			break
		}
		updates = append(updates, r.update())
	}
	return updates
}

// update reads an update. A reporter or description that is flagged but empty is malformed, so that an update has one
// encoding only.
func (r *reader) update() membership.Update {
	var u membership.Update
	head := r.u8()
	u.State = r.state(head &^ updateFlags)
	u.ID = membership.ID(r.u64())
	u.Incarnation = r.uvarint()
	if head&updateHasReporter != 0 {
		u.ReportedBy = membership.ID(r.u64())
		r.rejectIf(u.ReportedBy == 0)
	}
	if head&updateHasDescription == 0 {
		return u
	}
	u.Instance = r.u64()
	u.Addr = r.addr()
	u.Name = r.text(MaxName)
	r.rejectIf(u.Instance == 0 && !u.Addr.IsValid() && u.Name == "")
	return u
}

// SealedSize returns the length of the encrypted datagram of a membership message in a fleet without zones, in bytes.
// With zones it is 16 bytes longer.
func SealedSize(m *membership.Message) int {
	return len(Encode(nil, Envelope{Addr: typicalAddr()}, m)) + Overhead
}
