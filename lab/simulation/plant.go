package simulation

import (
	"slices"
	"spurspread/decision/membership"
)

// Faults are faults that can be planted in members, to see that the checker finds them.
var Faults = map[string]func(Detector, int) Detector{
	"same-incarnation": func(d Detector, i int) Detector { return &sameIncarnation{Detector: d, own: MemberID(i)} },
	"blind-to-pauses":  func(d Detector, _ int) Detector { return &blindToPauses{Detector: d} },
	"one-observer":     func(d Detector, _ int) Detector { return oneObserver{d} },
}

// WithFault builds members as build does, all with a fault.
func WithFault(name string, build func(w *Cluster, i, start int) Detector) func(w *Cluster, i, start int) Detector {
	plant := Faults[name]
	return func(w *Cluster, i, start int) Detector { return plant(build(w, i, start), i) }
}

// rewrite changes what a member sends.
func rewrite(out []Packet, change func(*membership.Message)) []Packet {
	for i := range out {
		m := out[i].Payload.(membership.Message)
		m.Updates = slices.Clone(m.Updates)
		change(&m)
		out[i].Payload = m
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
			s.inc = m.Incarnation
		}
		m.Incarnation = s.inc
		for i := range m.Updates {
			if r := &m.Updates[i]; r.ID == s.own && r.State == membership.Alive {
				r.Incarnation = s.inc
			}
		}
	})
}

func (s *sameIncarnation) Tick(now Micros) ([]Packet, []membership.StateChange) {
	out, changes := s.Detector.Tick(now)
	return s.keep(out), changes
}

func (s *sameIncarnation) Receive(now Micros, from int, p Packet) ([]Packet, []membership.StateChange) {
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

func (b *blindToPauses) catchUp(now Micros) (out []Packet, changes []membership.StateChange) {
	for b.ticked > 0 && now-b.ticked > 2*membership.TickInterval {
		b.ticked += membership.TickInterval
		if b.last != nil {
			o, c := b.Detector.Receive(b.ticked, b.from, *b.last)
			out, changes = append(out, o...), append(changes, c...)
		}
		o, c := b.Detector.Tick(b.ticked)
		out, changes = append(out, o...), append(changes, c...)
	}
	return out, changes
}

func (b *blindToPauses) Tick(now Micros) ([]Packet, []membership.StateChange) {
	out, changes := b.catchUp(now)
	b.ticked = now
	o, c := b.Detector.Tick(now)
	return append(out, o...), append(changes, c...)
}

func (b *blindToPauses) Receive(now Micros, from int, p Packet) ([]Packet, []membership.StateChange) {
	out, changes := b.catchUp(now)
	b.from, b.last = from, &p
	o, c := b.Detector.Receive(now, from, p)
	return append(out, o...), append(changes, c...)
}

// oneObserver takes its own failure to reach a member for that one's death, and says so.
type oneObserver struct{ Detector }

func (o oneObserver) hasty(out []Packet) []Packet {
	return rewrite(out, func(m *membership.Message) {
		for i := range m.Updates {
			if r := &m.Updates[i]; r.State == membership.Suspect && r.ReportedBy == m.From {
				r.State = membership.Dead
			}
		}
	})
}

func (o oneObserver) Tick(now Micros) ([]Packet, []membership.StateChange) {
	out, changes := o.Detector.Tick(now)
	return o.hasty(out), changes
}

func (o oneObserver) Receive(now Micros, from int, p Packet) ([]Packet, []membership.StateChange) {
	out, changes := o.Detector.Receive(now, from, p)
	return o.hasty(out), changes
}
