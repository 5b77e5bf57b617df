package simulation

import (
	"fmt"
	"net/netip"

	"spurspread/decision/membership"
	"spurspread/internal/peer/packet"
)

// Detector is one process of a member, with its algorithm for failure detection and membership.
type Detector interface {
	// Tick, Receive and Leave return the packets to send. Tick and Receive also return the changes of other members'
	// states in this member's view.
	Tick(now Micros) ([]Packet, []membership.StateChange)
	Receive(now Micros, from int, p Packet) ([]Packet, []membership.StateChange)
	Leave(now Micros) []Packet
	// StateOf returns the state of another member in this one's view.
	StateOf(other int) membership.State
	// Incarnation returns this member's own incarnation.
	Incarnation() uint64
}

// Builder creates a process of member i of a cluster. start counts the member's processes from 1.
type Builder func(c *Cluster, i, start int) Detector

// Packet is a message to a member.
type Packet struct {
	To      int
	Size    int // bytes of its datagram
	Payload any
}

// MemberID returns the id of member i.
func MemberID(i int) membership.ID { return membership.ID(0x9e3779b97f4a7c15 * uint64(i+1)) }

// Name returns the name of member i.
func Name(i int) string { return fmt.Sprint("n", i) }

const (
	memberPort = 7000
	byteBits   = 8
)

// Addr returns the address of member i.
func Addr(i int) netip.AddrPort {
	ip := [4]byte{127, byte(1 + i>>(2*byteBits)), byte(i >> byteBits), byte(i)}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), memberPort)
}

// MemberIndex returns the number of the member with this address, the inverse of Addr.
func MemberIndex(addr netip.AddrPort) int {
	ip := addr.Addr().As4()
	return int(ip[1]-1)<<(2*byteBits) | int(ip[2])<<byteBits | int(ip[3])
}

// balancerDetector is a member that runs the balancer's membership.
type balancerDetector struct{ fleet *membership.Fleet }

// instanceStartBits is the number of low bits of an instance that hold the start count.
const instanceStartBits = 8

// BalancerMembers returns a Builder of members that run the balancer's membership. The first seedCount members are the
// seeds of all.
func BalancerMembers(seedCount int) Builder {
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
		for seed := range seedCount {
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
