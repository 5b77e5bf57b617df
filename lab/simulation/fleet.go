package simulation

import (
	"fmt"
	"spurspread/decision/membership"
	"spurspread/internal/peer/packet"
	"spurspread/lab/link"
	"spurspread/lab/scenario"
	"time"
)

// balancerDetector is a member as the balancer has it.
type balancerDetector struct{ f *membership.Fleet }

// MemberID is the id of member i.
func MemberID(i int) membership.ID { return membership.ID(0x9e3779b97f4a7c15 * uint64(i+1)) }

// Name is what member i is called.
func Name(i int) string { return fmt.Sprint("n", i) }

// Members builds members as the balancer has them, each knowing the first few as seeds.
func Members(seeds int) func(w *Cluster, i, start int) Detector {
	return func(w *Cluster, i, start int) Detector {
		clock := w.now + w.skew[i]
		cfg := membership.Config{
			RandomSeed:  w.rng.Uint64(),
			Incarnation: uint64(clock / Millisecond),
			Self: membership.Self{
				ID:   MemberID(i),
				Name: Name(i), Addr: Addr(i), Instance: uint64(clock)<<8 | uint64(start),
			},
		}
		for s := range seeds {
			cfg.Seeds = append(cfg.Seeds, Addr(s))
		}
		return balancerDetector{membership.New(cfg, w.now)}
	}
}

func packets(sends []membership.Outgoing) (out []Packet) {
	for _, one := range sends {
		out = append(out, Packet{To: Index(one.To), Size: packet.SealedSize(&one.Message), Payload: one.Message})
	}
	return out
}

// Tick is part of Detector.
func (s balancerDetector) Tick(now Micros) ([]Packet, []membership.StateChange) {
	out, changes := s.f.Tick(now)
	return packets(out), changes
}

// Receive is part of Detector.
func (s balancerDetector) Receive(now Micros, from int, p Packet) ([]Packet, []membership.StateChange) {
	out, changes := s.f.Receive(now, Addr(from), p.Payload.(membership.Message))
	return packets(out), changes
}

// Leave is part of Detector.
func (s balancerDetector) Leave(now Micros) []Packet {
	out, _ := s.f.Leave(now)
	return packets(out)
}

// StateOf is part of Detector.
func (s balancerDetector) StateOf(other int) membership.State { return s.f.StateOf(MemberID(other)) }

// Incarnation is part of Detector.
func (s balancerDetector) Incarnation() uint64 { return s.f.Incarnation() }

// Play plays one of lab/trial's scripts, with members as build makes them. The same seed brings the same events.
func Play(
	script string,
	members int,
	seed uint64,
	build func(w *Cluster, i, start int) Detector,
	log func(string, ...any),
) (*scenario.Result, error) {
	do := scenario.Scenarios[script]
	if do == nil {
		return nil, fmt.Errorf("no scenario %q; there are %v", script, scenario.Names())
	}
	return PlayScript(script, do, members, seed, build, log), nil
}

// PlayScript is Play for a script that has no name there.
func PlayScript(
	name string,
	do scenario.Script,
	members int,
	seed uint64,
	build func(w *Cluster, i, start int) Detector,
	log func(string, ...any),
) *scenario.Result {
	w := NewCluster(members, seed, link.Link{Delay: 200 * time.Microsecond, Jitter: 400 * time.Microsecond}, build)
	for i := range members {
		w.schedule(Micros(w.rng.Int64N(int64(Second))), evFault, i, 0, func() { w.Start(i) })
	}
	w.join(members)
	clear(w.Bytes)
	from := w.now
	t := scenario.New(w, log)
	w.Changed = func(observer, of int, c membership.StateChange) {
		t.Changed(w.Now(), observer, of, c.From, c.To, c.Incarnation)
	}
	t.Watch()
	last := do(t)
	w.Run(from + Micros((last + scenario.Settle).Microseconds()))
	sum := int64(0)
	for _, b := range w.Bytes {
		sum += b
	}
	r := t.Result(name, seed)
	r.Hash, r.BytesPerS = w.Hash(), float64(sum)/float64(members)/(float64(w.now-from)/float64(Second))
	return r
}

// join runs until all members that there are know each other: JoinTime at least, and as long as it takes to tell
// each of all others within the budget.
func (w *Cluster) join(members int) {
	w.Run(w.now + Micros(scenario.JoinTime.Microseconds()))
	for range maxJoinSeconds {
		if w.allAlive() {
			return
		}
		w.Run(w.now + Second)
	}
}

// maxJoinSeconds bounds how many seconds more members are given to find each other.
const maxJoinSeconds = 300

func (w *Cluster) allAlive() bool {
	for i := range w.nodes {
		for o := range w.nodes {
			if s := w.Holds(i, o); i != o && s != membership.Alive {
				return false
			}
		}
	}
	return true
}
