package membership

import "net/netip"

// ID stands for a member's name: a hash of it. 0 is nobody's.
type ID uint64

// State is what a member is considered to be. Under the same incarnation a greater one overrides a smaller one. The
// values are on the wire.
type State uint8

// The states. Unknown is that of a member that is not in the view.
const (
	Unknown State = iota
	Alive
	Suspect
	Dead
	Left
)

// String returns the state in lower case, as logs and the admin listener show it.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[min(s, Left)]
}

// withoutSuspicion is the state as digests and anti-entropy have it: suspicions end by themselves.
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
	// Instance is this process's: different from that of any other process of the name, and greater than those of
	// earlier ones.
	Instance uint64
}

// Update is a statement about one member: the unit of dissemination. Instance, Name and Addr are those that the
// member has under this incarnation; they are zero where they are not needed.
type Update struct {
	ID          ID
	State       State
	Incarnation uint64
	// ReportedBy is the member whose probe failed, where State is Suspect. 0 says that enough members have confirmed
	// the suspicion.
	ReportedBy ID
	Instance   uint64
	Name       string
	Addr       netip.AddrPort
}

// Kind is what a message is for. The values are on the wire.
type Kind uint8

// The kinds of messages.
const (
	// Ping asks the receiver for an Ack with the same Seq.
	Ping Kind = iota + 1
	// Ack answers a Ping, or passes on that Target has answered one that was sent for the receiver.
	Ack
	// IndirectPing asks the receiver to ping Target and to pass on its Ack.
	IndirectPing
	// Gossip carries updates only.
	Gossip
	// SyncSums carries the sums of the buckets of the sender's view.
	SyncSums
	// SyncEntries carries updates of all members in buckets whose sums differ.
	SyncEntries
	maxKind = SyncEntries
)

// Message is the content of one datagram between members.
type Message struct {
	Kind Kind
	// Seq is a ping's number at its sender; that of the first ping of a probe in IndirectPing and in the answer to
	// it.
	Seq uint32
	// From is the sender, Incarnation and Instance are its own.
	From        ID
	Incarnation uint64
	Instance    uint64
	// ReceiverState is what the sender considers the receiver to be, under ReceiverIncarnation.
	ReceiverState       State
	ReceiverIncarnation uint64
	// Target is the member to be pinged, of IndirectPing, and the one that has answered, of its Ack; otherwise 0.
	Target ID
	// PingsReceived is how many pings of the receiver the sender has received so far, of Ack.
	PingsReceived uint32
	// IsReply says of SyncSums that it answers one, and is to be answered by SyncEntries only.
	IsReply bool
	// Digest is that of the sender's view.
	Digest uint64
	// BucketSums has SyncBuckets sums, of SyncSums; otherwise it is empty.
	BucketSums []uint32
	// Updates are at most MaxUpdates.
	Updates []Update
}

// valid reports whether the message is within its bounds.
func (m *Message) valid() bool {
	return m.Kind > 0 && m.Kind <= maxKind && len(m.Updates) <= MaxUpdates
}

// isSync reports whether the message is part of anti-entropy.
func (m *Message) isSync() bool { return m.Kind == SyncSums || m.Kind == SyncEntries }

// Outgoing is a message to be sent.
type Outgoing struct {
	// To is where the member says that it is reached.
	To netip.AddrPort
	// Receiver is 0 where it is not known who is at that address.
	Receiver ID
	Message  Message
}

// StateChange says that a member is now considered to be something else.
type StateChange struct {
	ID          ID
	Name        string
	From, To    State
	Incarnation uint64
}
