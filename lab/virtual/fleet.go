package virtual

import (
	"fmt"

	"spurspread/decide/member"
	"spurspread/internal/peer/packet"
)

// swim is a member as the balancer has it.
type swim struct{ f *member.Fleet }

// MemberID is the id of member i.
func MemberID(i int) member.ID { return member.ID(0x9e3779b97f4a7c15 * uint64(i+1)) }

// Members builds members as the balancer has them, each knowing the first few as seeds.
func Members(seeds int) func(w *World, i, start int) Detector {
	return func(w *World, i, start int) Detector {
		cfg := member.Config{Seed: w.rng.Uint64(), Inc: uint64(w.Now / Millisecond), Self: member.Self{ID: MemberID(i),
			Name: fmt.Sprintf("n%d", i), Addr: Addr(i), Instance: uint64(w.Now)<<8 | uint64(start)}}
		for s := range seeds {
			cfg.Seeds = append(cfg.Seeds, Addr(s))
		}
		return swim{member.New(cfg, w.Now)}
	}
}

func packets(sends []member.Send) (out []Packet) {
	for _, s := range sends {
		out = append(out, Packet{To: Index(s.To), Size: packet.Size(&s.Msg), Carry: s.Msg})
	}
	return out
}

// Tick is part of Detector.
func (s swim) Tick(now Micros) ([]Packet, []member.Change) {
	out, changes := s.f.Tick(now)
	return packets(out), changes
}

// Receive is part of Detector.
func (s swim) Receive(now Micros, from int, p Packet) ([]Packet, []member.Change) {
	out, changes := s.f.Receive(now, Addr(from), p.Carry.(member.Message))
	return packets(out), changes
}

// Leave is part of Detector.
func (s swim) Leave(now Micros) []Packet {
	out, _ := s.f.Leave(now)
	return packets(out)
}

// Holds is part of Detector.
func (s swim) Holds(other int) member.State { return s.f.Holds(MemberID(other)) }

// Inc is part of Detector.
func (s swim) Inc() uint64 { return s.f.Inc() }
