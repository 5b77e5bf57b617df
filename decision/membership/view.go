package membership

import (
	"cmp"
	"slices"
	"spurspread/decision/monotime"
)

// Member is one of the fleet, as this member sees it.
type Member struct {
	Self
	State       State
	Incarnation uint64
	Since       monotime.Micros // in this state
	LastContact monotime.Micros // the last word of its own
	RTT         monotime.Micros // microseconds, 0 where none is known
	// parts of the pings that are lost on the way there, and of the answers on the way back
	OutboundLoss, InboundLoss float64
}

// View is the whole fleet, this member first, the others by their names.
func (f *Fleet) View(now monotime.Micros) []Member {
	state := Alive
	if f.leaving {
		state = Left
	}
	out := []Member{{Self: f.self, State: state, Incarnation: f.incarnation, LastContact: now}}
	for _, p := range f.peerList {
		m := Member{
			Self:        p.Self,
			State:       p.state,
			Incarnation: p.incarnation,
			Since:       p.stateSince,
			LastContact: p.lastContact,
			RTT:         monotime.Micros(p.rtt),
		}
		if p.pingsSent >= 1 {
			m.OutboundLoss = min(max(1-p.pingsDelivered/p.pingsSent, 0), 1)
		}
		if p.pingsDelivered >= 1 {
			m.InboundLoss = min(max(1-p.acksReceived/p.pingsDelivered, 0), 1)
		}
		out = append(out, m)
	}
	slices.SortFunc(out[1:], func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Live is how many members are held to be there, this one and those suspected among them.
func (f *Fleet) Live() int { return len(f.rings[0]) + 1 }

// Known is how many members are known, this one and those that have died or left and are not forgotten among them.
func (f *Fleet) Known() int { return len(f.peerList) + 1 }

// Dead is how many members are held dead.
func (f *Fleet) Dead() int { return f.countState(Dead) }

// Alive lists this member and those that it holds alive and does not suspect.
func (f *Fleet) Alive() []Self {
	out := make([]Self, 1, len(f.rings[0])+1)
	out[0] = f.self
	for _, p := range f.peerList {
		if p.state == Alive {
			out = append(out, p.Self)
		}
	}
	return out
}

// Revision changes whenever Live, Known, Alive, Place or Leaving may have changed.
func (f *Fleet) Revision() uint64 { return f.revision }

// Leaving tells that this member has said that it goes.
func (f *Fleet) Leaving() bool { return f.leaving }

// Incarnation is this member's incarnation.
func (f *Fleet) Incarnation() uint64 { return f.incarnation }

// Supersede has this member know that a later process has its name.
func (f *Fleet) Supersede() { f.superseded = true }

// Superseded tells that a later process has this member's name, and is the member now.
func (f *Fleet) Superseded() bool { return f.superseded }

// RateDivisor is by how much a budget of the whole fleet is divided to have this member's part; see share.
func (f *Fleet) RateDivisor() float64 { return f.divisor.current() }

// StateOf is what a member is held to be.
func (f *Fleet) StateOf(id ID) State {
	if id == f.self.ID {
		return Alive
	}
	if p := f.peers[id]; p != nil {
		return p.state
	}
	return Unknown
}

// Position is this member's place among those that are there, by their ids: 0 to Live()-1, the same in all views that
// agree.
func (f *Fleet) Position() (n int) {
	for _, p := range f.rings[0] {
		if p.ID < f.self.ID {
			n++
		}
	}
	return n
}
