package simulation

import (
	"slices"
	"spurspread/decision/membership"
)

// Plants are faults that can be planted in members, to see that the checker finds them.
var Plants = map[string]func(Detector, int) Detector{
	"same-incarnation": func(d Detector, i int) Detector { return &sameIncarnation{Detector: d, own: MemberID(i)} },
	"blind-to-pauses":  func(d Detector, _ int) Detector { return &blindToPauses{Detector: d} },
	"one-observer":     func(d Detector, _ int) Detector { return oneObserver{d} },
}

// Planted builds members as build does, all with a fault.
func Planted(name string, build func(w *World, i, start int) Detector) func(w *World, i, start int) Detector {
	plant := Plants[name]
	return func(w *World, i, start int) Detector { return plant(build(w, i, start), i) }
}

// rewrite changes what a member sends.
func rewrite(out []Packet, change func(*membership.Message)) []Packet {
	for i := range out {
		m := out[i].Carry.(membership.Message)
		m.Rumors = slices.Clone(m.Rumors)
		change(&m)
		out[i].Carry = m
	}
	return out
}

// sameIncarnation never says that it has a newer incarnation.
type sameIncarnation struct {
	Detector
	own membership.ID
	inc uint64
}

func (s *sameIncarnation) keep(out []Packet) []Packet {
	return rewrite(out, func(m *membership.Message) {
		if s.inc == 0 {
			s.inc = m.Inc
		}
		m.Inc = s.inc
		for i := range m.Rumors {
			if r := &m.Rumors[i]; r.ID == s.own && r.State == membership.Alive {
				r.Inc = s.inc
			}
		}
	})
}

func (s *sameIncarnation) Tick(now Micros) ([]Packet, []membership.Change) {
	out, changes := s.Detector.Tick(now)
	return s.keep(out), changes
}

func (s *sameIncarnation) Receive(now Micros, from int, p Packet) ([]Packet, []membership.Change) {
	out, changes := s.Detector.Receive(now, from, p)
	return s.keep(out), changes
}

// blindToPauses does not see that its process stood still, nor that nobody was heard meanwhile: its deadlines fall
// due one after the other, before what waited is read.
type blindToPauses struct {
	Detector
	ticked Micros
	from   int
	last   *Packet // the last that came
}

func (b *blindToPauses) catchUp(now Micros) (out []Packet, changes []membership.Change) {
	for b.ticked > 0 && now-b.ticked > 2*membership.Step {
		b.ticked += membership.Step
		if b.last != nil {
			o, c := b.Detector.Receive(b.ticked, b.from, *b.last)
			out, changes = append(out, o...), append(changes, c...)
		}
		o, c := b.Detector.Tick(b.ticked)
		out, changes = append(out, o...), append(changes, c...)
	}
	return out, changes
}

func (b *blindToPauses) Tick(now Micros) ([]Packet, []membership.Change) {
	out, changes := b.catchUp(now)
	b.ticked = now
	o, c := b.Detector.Tick(now)
	return append(out, o...), append(changes, c...)
}

func (b *blindToPauses) Receive(now Micros, from int, p Packet) ([]Packet, []membership.Change) {
	out, changes := b.catchUp(now)
	b.from, b.last = from, &p
	o, c := b.Detector.Receive(now, from, p)
	return append(out, o...), append(changes, c...)
}

// oneObserver takes its own failure to reach a member for that one's death, and says so.
type oneObserver struct{ Detector }

func (o oneObserver) hasty(out []Packet) []Packet {
	return rewrite(out, func(m *membership.Message) {
		for i := range m.Rumors {
			if r := &m.Rumors[i]; r.State == membership.Suspect && r.By == m.From {
				r.State = membership.Dead
			}
		}
	})
}

func (o oneObserver) Tick(now Micros) ([]Packet, []membership.Change) {
	out, changes := o.Detector.Tick(now)
	return o.hasty(out), changes
}

func (o oneObserver) Receive(now Micros, from int, p Packet) ([]Packet, []membership.Change) {
	out, changes := o.Detector.Receive(now, from, p)
	return o.hasty(out), changes
}
