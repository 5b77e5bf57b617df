package membership

import (
	"net/netip"

	"spurspread/decision/monotime"
)

const (
	// Byte budgets: average rate per second and burst. One budget is for updates, the other for everything else except
	// pings and acks, which amount to about 900 bytes per second and are never suppressed. The burst of updates
	// suffices to disseminate the death of most members of a large fleet at once. Failure reports use the control
	// budget, since updates would leave nothing for them at such a time.
	updateBytesPerSecond, updateBytesBurst   = 1536, 20 << 10
	controlBytesPerSecond, controlBytesBurst = 1024, 12 << 10

	// Approximate sizes within a sealed datagram, in bytes: an update without description, an update with description
	// (plus its name), a message without updates, and one bucket sum.
	bareUpdateBytes      = 16
	describedUpdateBytes = 34
	messageOverheadBytes = 125
	bucketSumBytes       = 4
	// maxUpdateBytes bounds the size of the updates in one message, in bytes.
	maxUpdateBytes = 1000

	// piggybackTimeout is the time since a member's last message, or since its last ack for gossip, within which
	// updates are sent to it.
	piggybackTimeout = 2500 * monotime.Millisecond
)

// updateBytes returns the approximate size of an update in a datagram.
func updateBytes(u *Update) int {
	if u.Name == "" && !u.Addr.IsValid() {
		return bareUpdateBytes
	}
	return describedUpdateBytes + len(u.Name)
}

// countFitting returns the number of leading updates that fit into one message and into the given number of bytes.
func countFitting(updates []Update, bytes int) int {
	bytes = min(bytes, maxUpdateBytes)
	limit := min(len(updates), MaxUpdates)
	for i := range limit {
		bytes -= updateBytes(&updates[i])
		if bytes < 0 {
			return i
		}
	}
	return limit
}

// send sends a message to p, or, if p is nil, to an unknown member at the address.
func (f *Fleet) send(addr netip.AddrPort, p *peer, m Message) {
	receiver := ID(0)
	if p != nil {
		receiver = p.ID
	}
	f.sendTo(addr, receiver, p, m)
}

// sendTo sends a message to a receiver, with piggybacked updates as far as allowed. p is nil if the receiver is
// unknown. The message is dropped if its budget is exhausted.
func (f *Fleet) sendTo(addr netip.AddrPort, receiver ID, p *peer, m Message) {
	if !f.chargeBudget(&m) {
		f.Suppressed++
		return
	}
	if p != nil {
		m.ReceiverState = p.state
		m.ReceiverIncarnation = p.incarnation
	}
	m.From = f.self.ID
	m.Incarnation = f.incarnation
	m.Instance = f.self.Instance
	m.Digest = f.digest
	if m.Kind != SyncEntries && f.piggybackAllowed(p) {
		m.Updates = append(m.Updates, f.takeUpdates(MaxUpdates-len(m.Updates))...)
	}
	f.outbox = append(f.outbox, Outgoing{To: addr, Receiver: receiver, Message: m})
}

// chargeBudget charges a message to its budget and reports whether it may be sent. Pings and acks are always sent.
// Gossip that is still empty, and will carry updates from the dissemination queue, is charged to the update budget,
// which was checked before. Everything else needs a positive control budget.
func (f *Fleet) chargeBudget(m *Message) bool {
	cost := messageOverheadBytes + bucketSumBytes*float64(len(m.BucketSums))
	switch {
	case m.Kind == Gossip && len(m.Updates) == 0:
		f.updateBudget -= cost
		return true
	case m.Kind == Ping || m.Kind == Ack:
		return true
	case f.controlBudget <= 0:
		return false
	}
	for i := range m.Updates {
		cost += float64(updateBytes(&m.Updates[i]))
	}
	f.controlBudget -= cost
	return true
}

// piggybackAllowed reports whether updates are piggybacked on a message to p. They would count as transmitted and get
// lost if p has failed. For an unknown receiver (p is nil) they are always allowed.
func (f *Fleet) piggybackAllowed(p *peer) bool {
	return p == nil || p.isReachable() && f.lastTick-p.lastContact < piggybackTimeout
}

// takeUpdates takes up to n updates from the dissemination queue, within the update budget.
func (f *Fleet) takeUpdates(n int) []Update {
	if n <= 0 {
		return nil
	}
	updates := f.dissemination.takeBatch(min(f.updateBytesAvailable(), maxUpdateBytes), n, f.transmitLimit())
	for i := range updates {
		f.updateBudget -= float64(updateBytes(&updates[i]))
	}
	return updates
}

// updateBytesAvailable returns the number of bytes of updates that may be sent now.
func (f *Fleet) updateBytesAvailable() int { return max(int(f.updateBudget), 0) }

// refillBudgets refills the budgets for the time since the last Tick.
func (f *Fleet) refillBudgets(now monotime.Micros) {
	seconds := (now - f.lastTick).Seconds()
	f.updateBudget = min(f.updateBudget+updateBytesPerSecond*seconds, updateBytesBurst)
	f.controlBudget = min(f.controlBudget+controlBytesPerSecond*seconds, controlBytesBurst)
}
