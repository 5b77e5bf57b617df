package membership

import (
	"net/netip"
	"slices"
	"spurspread/decision/monotime"
)

// Receive takes a message that came from an address; whose it is was proved before.
func (f *Fleet) Receive(now monotime.Micros, from netip.AddrPort, m Message) ([]Outgoing, []StateChange) {
	if f.superseded || m.Kind == 0 || m.Kind > maxKind || len(m.Updates) > MaxUpdates {
		return nil, nil
	}
	if m.From == f.self.ID {
		if m.Instance != f.self.Instance {
			f.handleDuplicate(m.Instance, m.Incarnation)
		}
		return f.takeOutput()
	}
	f.lastContact = now
	p := f.peers[m.From]
	if p != nil {
		p.lastContact, p.reportsUsDead = now, m.ReceiverState >= Dead
		f.applyHeader(now, p, from, m)
	}
	if m.ReceiverState > Alive && m.ReceiverIncarnation >= f.incarnation && !f.leaving {
		f.refute(m.ReceiverIncarnation)
		if m.ReceiverState == Dead {
			f.recoverFromDeath(now)
		}
	} else if m.ReceiverState == Alive && m.ReceiverIncarnation > f.incarnation && !f.leaving {
		f.refute(m.ReceiverIncarnation)
	}
	// What those say whom this member holds dead, or has taken back and not agreed with since, is old, but for what
	// they say of themselves: it would set a side of a healed cut against its own.
	trusted := p == nil || p.state < Dead && (p.restoredAt == 0 || now-p.restoredAt >= restoredDistrustTime)
	for _, r := range m.Updates {
		if trusted || r.ID == m.From || r.ID == f.self.ID || r.State == Alive {
			f.applyUpdate(now, r)
		}
	}
	if p = f.peers[m.From]; p != nil && p.state < Dead && m.Kind != SyncSums && m.Kind != SyncEntries {
		f.syncIfDiverged(now, p, m.Digest)
	}
	f.handleMessage(now, from, p, m)
	return f.takeOutput()
}

// applyHeader takes what a message says of its sender by being sent: under a newer incarnation it lives. Whom this
// member has held dead by its own judgement has to answer it.
func (f *Fleet) applyHeader(now monotime.Micros, p *peer, from netip.AddrPort, m Message) {
	if m.Incarnation <= p.incarnation {
		return
	}
	if m.Kind == Ack && m.Target == 0 && p.firstDeadPing > 0 && m.Seq >= p.firstDeadPing {
		p.deadByOwnProbe = false
	}
	f.applyUpdate(
		now,
		Update{ID: p.ID, State: Alive, Incarnation: m.Incarnation, Instance: m.Instance, Name: p.Name, Addr: from},
	)
}

// handleMessage does what the message asks.
func (f *Fleet) handleMessage(now monotime.Micros, from netip.AddrPort, p *peer, m Message) {
	reply := func(a Message) {
		if p != nil {
			a.ReceiverState, a.ReceiverIncarnation = p.state, p.incarnation
		}
		f.sendMessage(from, m.From, p, a)
	}
	switch m.Kind {
	case Ping:
		a := Message{Kind: Ack, Seq: m.Seq}
		if p != nil {
			p.pingsCounted++
			p.pingsReceivedTotal++
			a.PingsReceived = p.pingsReceivedTotal
		}
		reply(a)
		if p == nil && now >= f.nextSyncAt { // somebody who knows this member, and whom it has never heard of
			f.nextSyncAt = now + syncInterval/2
			reply(Message{Kind: SyncSums, BucketSums: f.foldedSums()})
		}
	case Ack:
		f.handleAck(now, p, m)
	case IndirectPing:
		if about := f.peers[m.Target]; about != nil && p != nil && len(f.indirectPings) < maxIndirectPings {
			f.startIndirectProbe(now, about, m.From, m.Seq)
		}
	case SyncSums:
		f.replyEntries(m, reply)
		if !m.IsReply {
			reply(Message{Kind: SyncSums, IsReply: true, BucketSums: f.foldedSums()})
		}
	case SyncEntries:
		f.joined = true
	}
}

func (f *Fleet) handleAck(now monotime.Micros, p *peer, m Message) {
	if m.Target != 0 { // a helper has reached it
		f.recordAck(now, m.Target, m.Seq, false)
		return
	}
	f.indirectPings = slices.DeleteFunc(f.indirectPings, func(r indirectPing) bool {
		if r.ownSeq != m.Seq-m.Seq%maxPingAttempts || r.target != m.From {
			return false
		}
		if to := f.peers[r.requester]; to != nil {
			f.send(to.Addr, to, Message{Kind: Ack, Seq: r.requesterSeq, Target: r.target})
		}
		return true
	})
	if p != nil && m.PingsReceived > p.pingsDeliveredTotal {
		p.pingsDelivered += float64(m.PingsReceived - p.pingsDeliveredTotal)
		p.pingsDeliveredTotal = m.PingsReceived
	}
	f.recordAck(now, m.From, m.Seq, true)
}
