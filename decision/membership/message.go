package membership

import "net/netip"

// ID identifies a member: a hash of its name, never 0.
type ID uint64

// State is the state of a member in a view. Under the same incarnation, a greater state overrides a smaller one. The
// values are part of the wire format.
type State uint8

// The states of a member. Unknown applies to a member that is not in the view.
const (
	Unknown State = iota
	Alive
	Suspect
	Dead
	Left
)

// String returns the state in lower case, as it appears in logs and on the admin listener.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[min(s, Left)]
}

// withoutSuspicion returns the state used in digests and anti-entropy. Suspect counts as Alive, since a suspicion ends
// without anti-entropy.
func (s State) withoutSuspicion() State {
	if s == Suspect {
		return Alive
	}
	return s
}

// Self identifies one process of a member.
type Self struct {
	ID   ID
	Name string
	Addr netip.AddrPort
	// Instance differs for every process of this name and is greater for later ones.
	Instance uint64
}

// Update is a statement about one member, and the unit of dissemination. Instance, Name and Addr are the member's
// values under this incarnation, or zero if they are not needed.
type Update struct {
	ID          ID
	State       State
	Incarnation uint64
	// ReportedBy is the member whose probe failed, if State is Suspect. 0 means that enough members have confirmed the
	// suspicion.
	ReportedBy ID
	Instance   uint64
	Name       string
	Addr       netip.AddrPort
}

// Kind is the type of a message. The values are part of the wire format.
type Kind uint8

// The kinds of messages.
const (
	// Ping requests an Ack with the same Seq.
	Ping Kind = iota + 1
	// Ack answers a Ping. With Target set, it tells the requester of an IndirectPing that Target has answered.
	Ack
	// IndirectPing asks the receiver to ping Target and to forward its Ack.
	IndirectPing
	// Gossip carries only updates.
	Gossip
	// SyncSums carries the bucket sums of the sender's view.
	SyncSums
	// SyncEntries carries updates about the members in buckets whose sums differ.
	SyncEntries
	maxKind = SyncEntries
)

// Message is the content of one datagram between members.
type Message struct {
	Kind Kind
	// Seq is the sender's sequence number of a ping. In an IndirectPing, and in the Ack that is forwarded for it, it is
	// the number of the first ping of the requester's probe.
	Seq uint32
	// From is the sender; Incarnation and Instance are those of the sender.
	From        ID
	Incarnation uint64
	Instance    uint64
	// ReceiverState is the receiver's state in the sender's view, under ReceiverIncarnation.
	ReceiverState       State
	ReceiverIncarnation uint64
	// Target is the member to ping in an IndirectPing, and the member that answered in the forwarded Ack; otherwise 0.
	Target ID
	// PingsReceived, in an Ack, is the number of pings that the sender of the Ack has received from the receiver so
	// far.
	PingsReceived uint32
	// IsReply marks a SyncSums message that replies to another one: it is answered with SyncEntries only.
	IsReply bool
	// Digest is the digest of the sender's view.
	Digest uint64
	// BucketSums holds SyncBuckets sums in a SyncSums message; otherwise it is empty.
	BucketSums []uint32
	// Updates holds at most MaxUpdates updates.
	Updates []Update
}

// valid reports whether the kind is known and the number of updates within its bound.
func (m *Message) valid() bool {
	return m.Kind > 0 && m.Kind <= maxKind && len(m.Updates) <= MaxUpdates
}

// isSync reports whether the message is part of anti-entropy.
func (m *Message) isSync() bool { return m.Kind == SyncSums || m.Kind == SyncEntries }

// Outgoing is a message to send.
type Outgoing struct {
	// To is the address of the receiver, either advertised by it or configured as a seed.
	To netip.AddrPort
	// Receiver is the member at that address, or 0 if it is not known.
	Receiver ID
	Message  Message
}

// StateChange records the transition of a member from one state to another.
type StateChange struct {
	ID          ID
	Name        string
	From, To    State
	Incarnation uint64
}
