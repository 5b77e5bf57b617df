package simulation

import (
	"fmt"
	"net/netip"

	"spurspread/decision/membership"
	"spurspread/internal/peer/packet"
)

// Detector is one process of a member: its failure detection and membership, however they work.
type Detector interface {
	Tick(now Micros) ([]Packet, []membership.StateChange)
	Receive(now Micros, from int, p Packet) ([]Packet, []membership.StateChange)
	Leave(now Micros) []Packet
	// StateOf is what this member considers another one to be.
	StateOf(other int) membership.State
	// Incarnation is this member's own.
	Incarnation() uint64
}

// Builder makes the process of member i of a cluster, which is its start-th one, from 1.
type Builder func(c *Cluster, i, start int) Detector

// Packet is a message to a member.
type Packet struct {
	To      int
	Size    int // of its datagram, in bytes
	Payload any
}

// MemberID is the id of member i.
func MemberID(i int) membership.ID { return membership.ID(0x9e3779b97f4a7c15 * uint64(i+1)) }

// Name is that of member i.
func Name(i int) string { return fmt.Sprint("n", i) }

const (
	memberPort = 7000
	byteBits   = 8
)

// Addr is where member i is reached.
func Addr(i int) netip.AddrPort {
	ip := [4]byte{127, byte(1 + i>>(2*byteBits)), byte(i >> byteBits), byte(i)}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), memberPort)
}

// MemberIndex is the member that is reached at an address.
func MemberIndex(addr netip.AddrPort) int {
	ip := addr.Addr().As4()
	return int(ip[1]-1)<<(2*byteBits) | int(ip[2])<<byteBits | int(ip[3])
}

// balancerDetector is a member as the balancer has it.
type balancerDetector struct{ fleet *membership.Fleet }

// instanceStartBits is how many bits of an instance count the member's starts.
const instanceStartBits = 8

// BalancerMembers builds members as the balancer has them. Each has the first few as seeds.
func BalancerMembers(seeds int) Builder {
	return func(c *Cluster, i, start int) Detector {
		clock := c.now + c.clockSkew[i]
		cfg := membership.Config{
			RandomSeed:  c.rng.Uint64(),
			Incarnation: uint64(clock / Millisecond),
			Self: membership.Self{
				ID:       MemberID(i),
				Name:     Name(i),
				Addr:     Addr(i),
				Instance: uint64(clock)<<instanceStartBits | uint64(start),
			},
		}
		for seed := range seeds {
			cfg.Seeds = append(cfg.Seeds, Addr(seed))
		}
		return balancerDetector{membership.New(cfg, c.now)}
	}
}

func packets(out []membership.Outgoing) []Packet {
	var all []Packet
	for _, s := range out {
		all = append(all, Packet{To: MemberIndex(s.To), Size: packet.SealedSize(&s.Message), Payload: s.Message})
	}
	return all
}

// Tick implements Detector.
func (b balancerDetector) Tick(now Micros) ([]Packet, []membership.StateChange) {
	out, changes := b.fleet.Tick(now)
	return packets(out), changes
}

// Receive implements Detector.
func (b balancerDetector) Receive(now Micros, from int, p Packet) ([]Packet, []membership.StateChange) {
	out, changes := b.fleet.Receive(now, Addr(from), p.Payload.(membership.Message))
	return packets(out), changes
}

// Leave implements Detector.
func (b balancerDetector) Leave(now Micros) []Packet {
	out, _ := b.fleet.Leave(now)
	return packets(out)
}

// StateOf implements Detector.
func (b balancerDetector) StateOf(other int) membership.State {
	return b.fleet.StateOf(MemberID(other))
}

// Incarnation implements Detector.
func (b balancerDetector) Incarnation() uint64 { return b.fleet.Incarnation() }
