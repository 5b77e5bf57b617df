package membership

import (
	"net/netip"

	"spurspread/decision/monotime"
)

const (
	// Bytes a second that a member sends on average, and how many it may save up: of updates, and of all else but
	// pings and acks, which are some 900 a second and are never held back. The burst of updates is enough to
	// disseminate the death of most members of a large fleet at once; failure reports have a budget of their own,
	// since updates would leave nothing for them then.
	updateBytesPerSecond, updateBytesBurst   = 1536, 20 << 10
	controlBytesPerSecond, controlBytesBurst = 1024, 12 << 10

	// About how many bytes a datagram has, sealed: an update without and with a description, apart from the name, a
	// message without updates, and each bucket's sum.
	bareUpdateBytes      = 16
	describedUpdateBytes = 34
	messageOverheadBytes = 125
	bucketSumBytes       = 4
	// maxUpdateBytes bounds the updates of one message, in bytes.
	maxUpdateBytes = 1000

	// piggybackTimeout is how long after its last message a member still gets updates along with others' messages.
	piggybackTimeout = 2500 * monotime.Millisecond
)

// updateBytes is about how long an update is in a datagram.
func updateBytes(u *Update) int {
	if u.Name == "" && !u.Addr.IsValid() {
		return bareUpdateBytes
	}
	return describedUpdateBytes + len(u.Name)
}

// countFitting decides how many of the first updates go into one message and so many bytes.
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

// send sends a message to a peer, or to whoever is at the address where p is nil.
func (f *Fleet) send(addr netip.AddrPort, p *peer, m Message) {
	receiver := ID(0)
	if p != nil {
		receiver = p.ID
	}
	f.sendTo(addr, receiver, p, m)
}

// sendTo sends a message to a receiver, which is p if it is known. Updates go along as far as there are any.
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

// chargeBudget decides whether a message may be sent, and takes its bytes from the budget that it belongs to: pings
// and acks are always sent, gossip is checked before, and all else needs something left of the control budget.
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

// piggybackAllowed decides whether updates go along with a message to p. They would count as sent and be lost where p
// may be gone. Of an unknown receiver nothing is known.
func (f *Fleet) piggybackAllowed(p *peer) bool {
	return p == nil || p.isReachable() && f.lastTick-p.lastContact < piggybackTimeout
}

// takeUpdates takes up to n updates that are to be disseminated, within the budget.
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

// updateBytesAvailable is how many bytes of updates may be sent now.
func (f *Fleet) updateBytesAvailable() int { return max(int(f.updateBudget), 0) }

// refillBudgets adds to the budgets for the time since the last Tick.
func (f *Fleet) refillBudgets(now monotime.Micros) {
	seconds := (now - f.lastTick).Seconds()
	f.updateBudget = min(f.updateBudget+updateBytesPerSecond*seconds, updateBytesBurst)
	f.controlBudget = min(f.controlBudget+controlBytesPerSecond*seconds, controlBytesBurst)
}
