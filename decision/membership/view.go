package membership

import (
	"cmp"
	"slices"

	"spurspread/decision/monotime"
)

// Member is one member of the fleet, as this one sees it.
type Member struct {
	Self
	State       State
	Incarnation uint64
	Since       monotime.Micros // in this state since then
	LastContact monotime.Micros // when it sent a message last
	RTT         monotime.Micros // smoothed round trip, 0 where none is known
	// OutboundLoss is the part of pings that are lost on the way to it, InboundLoss that of acks on the way back, 0
	// to 1.
	OutboundLoss, InboundLoss float64
}

// View lists all members that are known, this one first, the others by their names.
func (f *Fleet) View(now monotime.Micros) []Member {
	own := Member{Self: f.self, State: Alive, Incarnation: f.incarnation, LastContact: now}
	if f.leaving {
		own.State = Left
	}
	members := []Member{own}
	for _, p := range f.peerList {
		members = append(members, p.member())
	}
	slices.SortFunc(members[1:], func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

func (p *peer) member() Member {
	return Member{
		Self:         p.Self,
		State:        p.state,
		Incarnation:  p.incarnation,
		Since:        p.stateSince,
		LastContact:  p.lastContact,
		RTT:          monotime.Micros(p.rtt),
		OutboundLoss: lossRatio(p.pingsSent, p.pingsDelivered),
		InboundLoss:  lossRatio(p.pingsDelivered, p.acksReceived),
	}
}

// lossRatio is the part of messages that did not arrive, 0 to 1, 0 where none was sent.
func lossRatio(sent, arrived float64) float64 {
	if sent < 1 {
		return 0
	}
	return min(max(1-arrived/sent, 0), 1)
}

// Live is how many members are alive or suspected, this one included.
func (f *Fleet) Live() int { return f.liveOthers() + 1 }

// Known is how many members are known, this one and those that have died or left within deadRetention included.
func (f *Fleet) Known() int { return len(f.peerList) + 1 }

// Dead is how many members are considered dead; those that have left don't count.
func (f *Fleet) Dead() int { return f.countState(Dead) }

// Alive lists this member and those that are alive and not suspected.
func (f *Fleet) Alive() []Self {
	alive := make([]Self, 1, f.Live())
	alive[0] = f.self
	for _, p := range f.peerList {
		if p.state == Alive {
			alive = append(alive, p.Self)
		}
	}
	return alive
}

// Revision changes whenever Live, Known, Alive, Position or Leaving may have changed.
func (f *Fleet) Revision() uint64 { return f.revision }

// Leaving reports whether this member has announced its departure.
func (f *Fleet) Leaving() bool { return f.leaving }

// Incarnation is this member's current one.
func (f *Fleet) Incarnation() uint64 { return f.incarnation }

// Supersede records that a later process of this name has taken over: this one is silent from now on.
func (f *Fleet) Supersede() { f.superseded = true }

// Superseded reports whether a later process of this name has taken over.
func (f *Fleet) Superseded() bool { return f.superseded }

// RateDivisor is by how much a budget of the whole fleet is divided to have this member's part, 1 at least; see
// RateDivisor, the type.
func (f *Fleet) RateDivisor() float64 { return f.divisor.current() }

// StateOf is what a member is considered to be; this one is Alive to itself.
func (f *Fleet) StateOf(id ID) State {
	if id == f.self.ID {
		return Alive
	}
	if p := f.peers[id]; p != nil {
		return p.state
	}
	return Unknown
}

// Position is this member's position among the live ones in the order of their ids, 0 to Live()-1: the same in all
// views that agree.
func (f *Fleet) Position() int {
	position := 0
	for _, p := range f.rings[0] {
		if p.ID < f.self.ID {
			position++
		}
	}
	return position
}
