package membership

import (
	"net/netip"
	"slices"
	"spurspread/decision/monotime"
)

// Receive takes a message that came from an address; whose it is was proved before.
func (f *Fleet) Receive(now monotime.Micros, from netip.AddrPort, m Message) ([]Send, []Change) {
	if f.superseded || m.Kind == 0 || m.Kind > maxKind || len(m.Rumors) > MaxRumors {
		return nil, nil
	}
	if m.From == f.self.ID {
		if m.Instance != f.self.Instance {
			f.rival(m.Instance, m.Inc)
		}
		return f.take()
	}
	f.heard = now
	p := f.peers[m.From]
	if p != nil {
		p.heard, p.deaf = now, m.You >= Dead
		f.header(now, p, from, m)
	}
	if m.You > Alive && m.YouInc >= f.inc && !f.leaving {
		f.rise(m.YouInc)
		if m.You == Dead {
			f.returned(now)
		}
	} else if m.You == Alive && m.YouInc > f.inc && !f.leaving {
		f.rise(m.YouInc)
	}
	// What those say whom this member holds dead, or has taken back and not agreed with since, is old, but for what
	// they say of themselves: it would set a side of a healed cut against its own.
	trusted := p == nil || p.state < Dead && (p.back == 0 || now-p.back >= trustTime)
	for _, r := range m.Rumors {
		if trusted || r.ID == m.From || r.ID == f.self.ID || r.State == Alive {
			f.hear(now, r)
		}
	}
	if p = f.peers[m.From]; p != nil && p.state < Dead && m.Kind != Compare && m.Kind != Entries {
		f.compare(now, p, m.Digest)
	}
	f.act(now, from, p, m)
	return f.take()
}

// header takes what a message says of its sender by being sent: under a newer incarnation it lives. Whom this
// member has held dead by its own judgement has to answer it.
func (f *Fleet) header(now monotime.Micros, p *peer, from netip.AddrPort, m Message) {
	if m.Inc <= p.inc {
		return
	}
	if m.Kind == Ack && m.About == 0 && p.asked > 0 && m.Seq >= p.asked {
		p.judged = false
	}
	f.hear(now, Rumor{ID: p.ID, State: Alive, Inc: m.Inc, Instance: m.Instance, Name: p.Name, Addr: from})
}

// act does what the message asks.
func (f *Fleet) act(now monotime.Micros, from netip.AddrPort, p *peer, m Message) {
	reply := func(a Message) {
		if p != nil {
			a.You, a.YouInc = p.state, p.inc
		}
		f.sendAs(from, m.From, p, a)
	}
	switch m.Kind {
	case Ping:
		a := Message{Kind: Ack, Seq: m.Seq}
		if p != nil {
			p.got++
			p.gotAll++
			a.Got = p.gotAll
		}
		reply(a)
		if p == nil && now >= f.syncAt { // somebody who knows this member, and whom it has never heard of
			f.syncAt = now + syncTime/2
			reply(Message{Kind: Compare, Sums: f.sum()})
		}
	case Ack:
		f.ack(now, p, m)
	case Ask:
		if about := f.peers[m.About]; about != nil && p != nil && len(f.relays) < maxRelays {
			f.help(now, about, m.From, m.Seq)
		}
	case Compare:
		f.entries(m, reply)
		if !m.Back {
			reply(Message{Kind: Compare, Back: true, Sums: f.sum()})
		}
	case Entries:
		f.joined = true
	}
}

func (f *Fleet) ack(now monotime.Micros, p *peer, m Message) {
	if m.About != 0 { // a helper has reached it
		f.answered(now, m.About, m.Seq, false)
		return
	}
	f.relays = slices.DeleteFunc(f.relays, func(r relayed) bool {
		if r.mine != m.Seq-m.Seq%tries || r.about != m.From {
			return false
		}
		if to := f.peers[r.asker]; to != nil {
			f.send(to.Addr, to, Message{Kind: Ack, Seq: r.theirs, About: r.about})
		}
		return true
	})
	if p != nil && m.Got > p.toldAll {
		p.told += float64(m.Got - p.toldAll)
		p.toldAll = m.Got
	}
	f.answered(now, m.From, m.Seq, true)
}
