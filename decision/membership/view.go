package membership

import (
	"cmp"
	"slices"

	"spurspread/decision/monotime"
)

// Member is one member of the fleet in this member's view.
type Member struct {
	Self
	State       State
	Incarnation uint64
	Since       monotime.Micros // time of the last state change
	LastContact monotime.Micros // time of its last message
	RTT         monotime.Micros // smoothed round-trip time, 0 if unknown
	// OutboundLoss is the fraction of pings to the member that are lost; InboundLoss is the fraction of its acks that
	// are lost. Both range from 0 to 1.
	OutboundLoss, InboundLoss float64
}

// View lists all known members: this one first, the others by name.
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

// lossRatio returns the fraction of messages that were lost, 0 to 1; 0 if none was sent.
func lossRatio(sent, arrived float64) float64 {
	if sent < 1 {
		return 0
	}
	return min(max(1-arrived/sent, 0), 1)
}

// Live returns the number of members that are alive or suspected, including this one.
func (f *Fleet) Live() int { return f.liveOthers() + 1 }

// Known returns the number of known members, including this one and those that have died or left within deadRetention.
func (f *Fleet) Known() int { return len(f.peerList) + 1 }

// Dead returns the number of members that are considered dead, without those that have left.
func (f *Fleet) Dead() int { return f.countState(Dead) }

// Alive lists this member and all that are alive and not suspected.
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

// Revision returns a number that changes whenever Live, Known, Alive, Position or Leaving may have changed.
func (f *Fleet) Revision() uint64 { return f.revision }

// Leaving reports whether this member has announced its departure.
func (f *Fleet) Leaving() bool { return f.leaving }

// Incarnation returns this member's current incarnation.
func (f *Fleet) Incarnation() uint64 { return f.incarnation }

// Supersede records that a later process of this name has taken over. This member sends nothing from then on.
func (f *Fleet) Supersede() { f.superseded = true }

// Superseded reports whether a later process of this name has taken over.
func (f *Fleet) Superseded() bool { return f.superseded }

// RateDivisor returns the number by which a fleet-wide budget is divided to get this member's share, at least 1; see
// the type RateDivisor.
func (f *Fleet) RateDivisor() float64 { return f.divisor.current() }

// StateOf returns the state of a member: Alive for this one, Unknown for one that is not in the view.
func (f *Fleet) StateOf(id ID) State {
	if id == f.self.ID {
		return Alive
	}
	if p := f.peers[id]; p != nil {
		return p.state
	}
	return Unknown
}

// Position returns this member's index among the live members in order of their IDs, from 0 to Live()-1. It is
// consistent across members whose views agree.
func (f *Fleet) Position() int {
	position := 0
	for _, p := range f.rings[0] {
		if p.ID < f.self.ID {
			position++
		}
	}
	return position
}
