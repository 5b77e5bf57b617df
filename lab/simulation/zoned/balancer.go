package zoned

import (
	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/peer/packet"
	"spurspread/lab/simulation"
)

// zoneHeaderBytes is the size of the zone and the digest, which a datagram of membership has only if there are zones.
const zoneHeaderBytes = 16

// payload is the content of a datagram: one message, of membership or of the zone directory, and the fields that every
// datagram has about its sender.
type payload struct {
	membershipMessage *membership.Message
	directoryMessage  *zonedirectory.Message
	id                membership.ID
	zoneID            zonedirectory.ID
	digest            uint64
}

// balancer is one process of a member. It implements simulation.Detector.
type balancer struct {
	fleet     *membership.Fleet
	directory *zonedirectory.Directory
	id        membership.ID
	zoneID    zonedirectory.ID
	local     zonedirectory.LocalZone
	fault     *Fault // nil for none
}

func (b *balancer) membershipPackets(out []membership.Outgoing) []simulation.Packet {
	var packets []simulation.Packet
	for i := range out {
		m := &out[i].Message
		packets = append(packets, simulation.Packet{
			To:      simulation.MemberIndex(out[i].To),
			Size:    packet.SealedSize(m) + zoneHeaderBytes,
			Payload: payload{membershipMessage: m, id: b.id, zoneID: b.zoneID, digest: b.directory.Digest()},
		})
	}
	return packets
}

func (b *balancer) directoryPackets(out []zonedirectory.Outgoing) []simulation.Packet {
	var packets []simulation.Packet
	for i := range out {
		m := &out[i].Message
		packets = append(packets, simulation.Packet{
			To:      simulation.MemberIndex(out[i].To),
			Size:    packet.SealedDirectorySize(m),
			Payload: payload{directoryMessage: m, id: b.id, zoneID: b.zoneID},
		})
	}
	return packets
}

// Tick implements simulation.Detector.
func (b *balancer) Tick(now simulation.Micros) ([]simulation.Packet, []membership.StateChange) {
	b.fleet.SetSeeds(b.directory.JoinSeeds(now))
	out, changes := b.fleet.Tick(now)
	b.updateLocal(now)
	packets := b.membershipPackets(out)
	packets = append(packets, b.directoryPackets(b.directory.Tick(now, &b.local))...)
	if unlisted := b.directory.Introductions(now); len(unlisted) > 0 {
		out, more := b.fleet.SyncWith(unlisted)
		packets = append(packets, b.membershipPackets(out)...)
		changes = append(changes, more...)
	}
	return packets, changes
}

// updateLocal copies membership's view of the own zone into local, for the zone directory. It copies the members only
// if they have changed.
func (b *balancer) updateLocal(now simulation.Micros) {
	local := &b.local
	local.Unhealthy = b.fleet.Unhealthy(now)
	local.Leaving = b.fleet.Leaving()
	revision := b.fleet.Revision()
	if revision == local.Revision && len(local.Members) > 0 {
		return
	}
	local.Revision = revision
	local.Live = b.fleet.Live()
	local.Known = b.fleet.Known()
	local.Position = b.fleet.Position()
	local.Dead = b.fleet.Dead()
	local.Members = make([]zonedirectory.Member, 0, local.Live)
	for _, m := range b.fleet.Alive() {
		local.Members = append(local.Members, zonedirectory.Member{ID: zonedirectory.MemberID(m.ID), Addr: m.Addr})
	}
}

// Receive implements simulation.Detector.
func (b *balancer) Receive(
	now simulation.Micros,
	from int,
	p simulation.Packet,
) ([]simulation.Packet, []membership.StateChange) {
	received := p.Payload.(payload)
	addr := simulation.Addr(from)
	if received.directoryMessage != nil {
		m := *received.directoryMessage
		if b.fault != nil && b.fault.receive != nil {
			b.fault.receive(b, &m)
		}
		return b.directoryPackets(b.directory.Receive(now, addr, m)), nil
	}
	id := zonedirectory.MemberID(received.id)
	packets := b.directoryPackets(b.directory.ObserveDatagram(now, addr, id, received.zoneID, received.digest))
	if received.zoneID != b.zoneID {
		return packets, nil
	}
	out, changes := b.fleet.Receive(now, addr, *received.membershipMessage)
	return append(packets, b.membershipPackets(out)...), changes
}

// Leave implements simulation.Detector.
func (b *balancer) Leave(now simulation.Micros) []simulation.Packet {
	out, _ := b.fleet.Leave(now)
	return b.membershipPackets(out)
}

// StateOf implements simulation.Detector.
func (b *balancer) StateOf(other int) membership.State {
	return b.fleet.StateOf(simulation.MemberID(other))
}

// Incarnation implements simulation.Detector.
func (b *balancer) Incarnation() uint64 { return b.fleet.Incarnation() }
