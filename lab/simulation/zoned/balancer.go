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

// zoneHeaderBytes is how many bytes a datagram of member messages has more than in a fleet without zones: the zone
// and the digest.
const zoneHeaderBytes = 16

// payload is a datagram's content: a message of either kind, and what all datagrams say of their sender.
type payload struct {
	membershipMessage *membership.Message
	directoryMessage  *zonedirectory.Message
	id                membership.ID
	zoneID            zonedirectory.ID
	digest            uint64
}

// balancer is one member: it is a virtual.Detector.
type balancer struct {
	fleet     *membership.Fleet
	directory *zonedirectory.Directory
	id        membership.ID
	zoneID    zonedirectory.ID
	local     zonedirectory.LocalZone
	fault     *Fault
}

func (b *balancer) membershipPackets(out []membership.Outgoing) (packets []simulation.Packet) {
	for i := range out {
		m := &out[i].Message
		packets = append(packets, simulation.Packet{
			To: simulation.Index(out[i].To), Size: packet.SealedSize(m) + zoneHeaderBytes,
			Payload: payload{membershipMessage: m, id: b.id, zoneID: b.zoneID, digest: b.directory.Digest()},
		})
	}
	return packets
}

func (b *balancer) directoryPackets(out []zonedirectory.Outgoing) (packets []simulation.Packet) {
	for i := range out {
		m := &out[i].Message
		packets = append(
			packets,
			simulation.Packet{
				To:      simulation.Index(out[i].To),
				Size:    packet.SealedDirectorySize(m),
				Payload: payload{directoryMessage: m, id: b.id, zoneID: b.zoneID},
			},
		)
	}
	return packets
}

// Tick is part of virtual.Detector.
func (b *balancer) Tick(now simulation.Micros) ([]simulation.Packet, []membership.StateChange) {
	b.fleet.SetSeeds(b.directory.JoinSeeds(now))
	out, changes := b.fleet.Tick(now)
	b.updateLocal(now)
	packets := append(b.membershipPackets(out), b.directoryPackets(b.directory.Tick(now, &b.local))...)
	if strangers := b.directory.Introductions(now); len(strangers) > 0 {
		out, more := b.fleet.SyncWith(strangers)
		packets, changes = append(packets, b.membershipPackets(out)...), append(changes, more...)
	}
	return packets, changes
}

// updateLocal takes the own zone's view from the member's fleet, its members only where they have changed.
func (b *balancer) updateLocal(now simulation.Micros) {
	f, l := b.fleet, &b.local
	l.Unhealthy, l.Leaving = f.Unhealthy(now), f.Leaving()
	if revision := f.Revision(); revision == l.Revision && len(l.Members) > 0 {
		return
	}
	l.Revision, l.Live, l.Known, l.Position, l.Dead = f.Revision(), f.Live(), f.Known(), f.Position(), f.Dead()
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
) ([]simulation.Packet, []membership.StateChange) {
	c := p.Payload.(payload)
	if c.directoryMessage != nil {
		m := *c.directoryMessage
		if b.fault != nil && b.fault.receive != nil {
			b.fault.receive(b, &m)
		}
		return b.directoryPackets(b.directory.Receive(now, simulation.Addr(from), m)), nil
	}
	packets := b.directoryPackets(
		b.directory.ObserveDatagram(now, simulation.Addr(from), zonedirectory.MemberID(c.id), c.zoneID, c.digest),
	)
	if c.zoneID != b.zoneID {
		return packets, nil
	}
	out, changes := b.fleet.Receive(now, simulation.Addr(from), *c.membershipMessage)
	return append(packets, b.membershipPackets(out)...), changes
}

// Leave is part of virtual.Detector.
func (b *balancer) Leave(now simulation.Micros) []simulation.Packet {
	out, _ := b.fleet.Leave(now)
	return b.membershipPackets(out)
}

// StateOf is part of virtual.Detector.
func (b *balancer) StateOf(other int) membership.State {
	return b.fleet.StateOf(simulation.MemberID(other))
}

// Incarnation is part of virtual.Detector.
func (b *balancer) Incarnation() uint64 { return b.fleet.Incarnation() }
