package simulation

import (
	"slices"

	"spurspread/decision/membership"
)

// Faults returns the faults that can be injected into members, by name, to show that the checker finds them. Each
// function wraps the detector of member i.
func Faults() map[string]func(d Detector, i int) Detector {
	return map[string]func(Detector, int) Detector{
		"same-incarnation": func(d Detector, i int) Detector { return &sameIncarnation{Detector: d, own: MemberID(i)} },
		"blind-to-pauses":  func(d Detector, _ int) Detector { return &blindToPauses{Detector: d} },
		"one-observer":     func(d Detector, _ int) Detector { return oneObserver{d} },
	}
}

// WithFault returns a Builder that adds the named fault of Faults to each detector of build. The name must be one of
// Faults.
func WithFault(name string, build Builder) Builder {
	injectFault := Faults()[name]
	return func(c *Cluster, i, start int) Detector { return injectFault(build(c, i, start), i) }
}

// rewriteMessages applies change to a copy of each message that a member sends.
func rewriteMessages(out []Packet, change func(*membership.Message)) []Packet {
	for i := range out {
		m := out[i].Payload.(membership.Message)
		m.Updates = slices.Clone(m.Updates)
		change(&m)
		out[i].Payload = m
	}
	return out
}

// sameIncarnation is a member that never announces a newer incarnation than its first one, so that it cannot refute a
// suspicion.
type sameIncarnation struct {
	Detector
	own         membership.ID
	incarnation uint64
}

func (s *sameIncarnation) pinIncarnation(out []Packet) []Packet {
	return rewriteMessages(out, func(m *membership.Message) {
		if s.incarnation == 0 {
			s.incarnation = m.Incarnation
		}
		m.Incarnation = s.incarnation
		for i := range m.Updates {
			if u := &m.Updates[i]; u.ID == s.own && u.State == membership.Alive {
				u.Incarnation = s.incarnation
			}
		}
	})
}

func (s *sameIncarnation) Tick(now Micros) ([]Packet, []membership.StateChange) {
	out, changes := s.Detector.Tick(now)
	return s.pinIncarnation(out), changes
}

func (s *sameIncarnation) Receive(now Micros, from int, p Packet) ([]Packet, []membership.StateChange) {
	out, changes := s.Detector.Receive(now, from, p)
	return s.pinIncarnation(out), changes
}

// blindToPauses is a member that does not notice a pause of its process. After a pause it runs all ticks that it missed
// before it reads the queued datagrams, so that its timeouts expire for members that did answer. During these ticks it
// receives its last packet again and again, which hides from it that it has received nothing.
type blindToPauses struct {
	Detector
	lastTick   Micros
	from       int
	lastPacket *Packet
}

func (b *blindToPauses) catchUp(now Micros) ([]Packet, []membership.StateChange) {
	var out []Packet
	var changes []membership.StateChange
	add := func(o []Packet, c []membership.StateChange) {
		out = append(out, o...)
		changes = append(changes, c...)
	}
	for b.lastTick > 0 && now-b.lastTick > 2*membership.TickInterval {
		b.lastTick += membership.TickInterval
		if b.lastPacket != nil {
			add(b.Detector.Receive(b.lastTick, b.from, *b.lastPacket))
		}
		add(b.Detector.Tick(b.lastTick))
	}
	return out, changes
}

func (b *blindToPauses) Tick(now Micros) ([]Packet, []membership.StateChange) {
	out, changes := b.catchUp(now)
	b.lastTick = now
	more, moreChanges := b.Detector.Tick(now)
	return append(out, more...), append(changes, moreChanges...)
}

func (b *blindToPauses) Receive(now Micros, from int, p Packet) ([]Packet, []membership.StateChange) {
	out, changes := b.catchUp(now)
	b.from, b.lastPacket = from, &p
	more, moreChanges := b.Detector.Receive(now, from, p)
	return append(out, more...), append(changes, moreChanges...)
}

// oneObserver is a member that disseminates a death whenever it suspects a member itself, without waiting for other
// observers.
type oneObserver struct{ Detector }

func (o oneObserver) declareDead(out []Packet) []Packet {
	return rewriteMessages(out, func(m *membership.Message) {
		for i := range m.Updates {
			if u := &m.Updates[i]; u.State == membership.Suspect && u.ReportedBy == m.From {
				u.State = membership.Dead
			}
		}
	})
}

func (o oneObserver) Tick(now Micros) ([]Packet, []membership.StateChange) {
	out, changes := o.Detector.Tick(now)
	return o.declareDead(out), changes
}

func (o oneObserver) Receive(now Micros, from int, p Packet) ([]Packet, []membership.StateChange) {
	out, changes := o.Detector.Receive(now, from, p)
	return o.declareDead(out), changes
}
