package membership

import (
	"net/netip"

	"spurspread/decision/monotime"
)

// restoredDistrustTime is the time for which a restored member, one that was considered dead or left and is alive
// again, remains untrusted, unless its view matches earlier. Its updates about others would turn one side of a healed
// partition against the other.
const restoredDistrustTime = 10 * monotime.Second

// Receive processes a message from an authenticated sender, which can be reached at the address from. Messages that are
// out of bounds are ignored.
func (f *Fleet) Receive(now monotime.Micros, from netip.AddrPort, m Message) ([]Outgoing, []StateChange) {
	if f.superseded || !m.valid() {
		return nil, nil
	}
	if m.From == f.self.ID {
		if m.Instance != f.self.Instance {
			f.handleDuplicate(m.Instance, m.Incarnation)
		}
		return f.takeOutput()
	}
	f.lastContact = now
	sender := f.peers[m.From]
	if sender != nil {
		sender.lastContact = now
		sender.reportsUsDead = m.ReceiverState >= Dead
		f.applySender(now, sender, from, &m)
	}
	f.refuteReportedState(m.ReceiverState, m.ReceiverIncarnation)
	f.applyUpdates(now, sender, &m)
	if sender = f.peers[m.From]; sender != nil && sender.state < Dead && !m.isSync() {
		f.syncIfDiverged(now, sender, m.Digest)
	}
	f.handleMessage(now, from, sender, &m)
	return f.takeOutput()
}

// applySender applies the statement about its sender that every message makes: the sender is alive under its
// incarnation. A sender that was declared dead by this member's own probes must first answer a ping sent since then.
func (f *Fleet) applySender(now monotime.Micros, sender *peer, from netip.AddrPort, m *Message) {
	if m.Incarnation <= sender.incarnation {
		return
	}
	answersPing := m.Kind == Ack && m.Target == 0
	if answersPing && sender.firstDeadPing > 0 && m.Seq >= sender.firstDeadPing {
		sender.deadByOwnProbe = false
	}
	f.applyUpdate(now, Update{
		ID:          sender.ID,
		State:       Alive,
		Incarnation: m.Incarnation,
		Instance:    m.Instance,
		Name:        sender.Name,
		Addr:        from,
	})
}

// applyUpdates applies the updates of a message. From an untrusted sender it applies only updates about the sender or
// this member, and updates with state Alive. An unknown sender is trusted.
func (f *Fleet) applyUpdates(now monotime.Micros, sender *peer, m *Message) {
	trusted := sender == nil || sender.trusted(now)
	for _, u := range m.Updates {
		if trusted || u.ID == m.From || u.ID == f.self.ID || u.State == Alive {
			f.applyUpdate(now, u)
		}
	}
}

// trusted reports whether all updates from a member are applied: it is not considered dead or left, and if it was, it
// was restored at least restoredDistrustTime ago or its view has matched since.
func (p *peer) trusted(now monotime.Micros) bool {
	return p.state < Dead && (p.restoredAt == 0 || now-p.restoredAt >= restoredDistrustTime)
}

// handleMessage processes a message by its kind. sender is nil if the sender is unknown.
func (f *Fleet) handleMessage(now monotime.Micros, from netip.AddrPort, sender *peer, m *Message) {
	switch m.Kind {
	case Ping:
		f.handlePing(now, from, sender, m)
	case Ack:
		f.handleAck(now, sender, m)
	case IndirectPing:
		target := f.peers[m.Target]
		if target != nil && sender != nil && len(f.indirectPings) < maxIndirectPings {
			f.startIndirectProbe(now, target, m.From, m.Seq)
		}
	case SyncSums:
		f.handleSyncSums(from, sender, m)
	case SyncEntries:
		f.joined = true
	case Gossip:
	}
}

func (f *Fleet) handlePing(now monotime.Micros, from netip.AddrPort, sender *peer, m *Message) {
	ack := Message{Kind: Ack, Seq: m.Seq}
	if sender != nil {
		sender.pingsReceivedTotal++
		ack.PingsReceived = sender.pingsReceivedTotal
	}
	f.sendTo(from, m.From, sender, ack)
	// A sender that is unknown here knows this member, and may know more of the fleet.
	if sender == nil && now >= f.nextSyncAt {
		f.nextSyncAt = now + unknownSenderSyncInterval
		f.sendTo(from, m.From, sender, Message{Kind: SyncSums, BucketSums: f.foldedSums()})
	}
}
