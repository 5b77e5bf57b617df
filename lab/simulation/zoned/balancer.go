// Package zoned plays a fleet of several zones in virtual time: regions with delays between them, faults by failure
// domain in each direction, and a checker that knows what was done. Members are what internal/peer makes of them: a
// member.Fleet and a zone.Directory each, whose messages go over the links of package virtual. The same seed brings
// the same events.
package zoned

import (
	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/peer/packet"
	"spurspread/lab/simulation"
)

// datagramZone is how many bytes a datagram of member messages has more than in a fleet without zones: the zone and
// the digest.
const datagramZone = 16

// carry is a datagram's content: a message of either kind, and what all datagrams say of their sender.
type carry struct {
	member *membership.Message
	zone   *zonedirectory.Message
	id     membership.ID
	of     zonedirectory.ID
	digest uint64
}

// balancer is one member: it is a virtual.Detector.
type balancer struct {
	fleet *membership.Fleet
	dir   *zonedirectory.Directory
	id    membership.ID
	of    zonedirectory.ID
	local zonedirectory.Local
	plant *Plant
}

func (b *balancer) members(out []membership.Send) (packets []simulation.Packet) {
	for i := range out {
		m := &out[i].Msg
		packets = append(packets, simulation.Packet{
			To: simulation.Index(out[i].To), Size: packet.Size(m) + datagramZone,
			Carry: carry{member: m, id: b.id, of: b.of, digest: b.dir.Digest()},
		})
	}
	return packets
}

func (b *balancer) zones(out []zonedirectory.Send) (packets []simulation.Packet) {
	for i := range out {
		m := &out[i].Msg
		packets = append(
			packets,
			simulation.Packet{
				To:    simulation.Index(out[i].To),
				Size:  packet.DirectorySize(m),
				Carry: carry{zone: m, id: b.id, of: b.of},
			},
		)
	}
	return packets
}

// Tick is part of virtual.Detector.
func (b *balancer) Tick(now simulation.Micros) ([]simulation.Packet, []membership.Change) {
	b.fleet.Seeds(b.dir.JoinSeeds(now))
	out, changes := b.fleet.Tick(now)
	b.view(now)
	packets := append(b.members(out), b.zones(b.dir.Tick(now, &b.local))...)
	if strangers := b.dir.Introductions(now); len(strangers) > 0 {
		out, more := b.fleet.Introduce(strangers)
		packets, changes = append(packets, b.members(out)...), append(changes, more...)
	}
	return packets, changes
}

// view takes the own zone's view from the member's fleet, its members only where they have changed.
func (b *balancer) view(now simulation.Micros) {
	f, l := b.fleet, &b.local
	l.Doubts, l.Leaving = f.Doubts(now), f.Leaving()
	if revision := f.Revision(); revision == l.Revision && len(l.Members) > 0 {
		return
	}
	l.Revision, l.Live, l.Known, l.Place, l.Dead = f.Revision(), f.Live(), f.Known(), f.Place(), f.Dead()
	l.Members = make([]zonedirectory.Member, 0, l.Live)
	for _, m := range f.Alive() {
		l.Members = append(l.Members, zonedirectory.Member{ID: zonedirectory.MemberID(m.ID), Addr: m.Addr})
	}
}

// Receive is part of virtual.Detector.
func (b *balancer) Receive(
	now simulation.Micros,
	from int,
	p simulation.Packet,
) ([]simulation.Packet, []membership.Change) {
	c := p.Carry.(carry)
	if c.zone != nil {
		m := *c.zone
		if b.plant != nil && b.plant.receive != nil {
			b.plant.receive(b, &m)
		}
		return b.zones(b.dir.Receive(now, simulation.Addr(from), m)), nil
	}
	packets := b.zones(b.dir.Noticed(now, simulation.Addr(from), zonedirectory.MemberID(c.id), c.of, c.digest))
	if c.of != b.of {
		return packets, nil
	}
	out, changes := b.fleet.Receive(now, simulation.Addr(from), *c.member)
	return append(packets, b.members(out)...), changes
}

// Leave is part of virtual.Detector.
func (b *balancer) Leave(now simulation.Micros) []simulation.Packet {
	out, _ := b.fleet.Leave(now)
	return b.members(out)
}

// Holds is part of virtual.Detector.
func (b *balancer) Holds(other int) membership.State {
	return b.fleet.Holds(simulation.MemberID(other))
}

// Inc is part of virtual.Detector.
func (b *balancer) Inc() uint64 { return b.fleet.Inc() }
