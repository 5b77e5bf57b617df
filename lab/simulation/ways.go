package simulation

import (
	"math"
	"spurspread/decision/membership"
)

// Alternatives are the ways that were weighed and not taken, played on the same seeds, so that charts show what each buys.
// They know all members from the start, and are as plain as the idea allows.
var Alternatives = map[string]func(w *Cluster, i, start int) Detector{
	"heartbeats": func(w *Cluster, i, start int) Detector { return newHeartbeatDetector(w, i, start, fixedTimeout) },
	"phi":        func(w *Cluster, i, start int) Detector { return newHeartbeatDetector(w, i, start, phiAccrual) },
	"swim":       newRandomSwim,
}

// Bytes of a message without rumors, and of a rumor, as the balancer's datagrams have them.
const (
	plainSize  = 110
	updateSize = 20
)

const (
	heartbeatInterval = 500 * Millisecond
	// heartbeatTimeout is longer than the pause that must be borne, and as short as a crash seen within 4 s allows.
	heartbeatTimeout = 3 * Second
)

// heartbeatDetector tells all others twice a second that it lives, and holds dead whom it has not heard for too long.
type heartbeatDetector struct {
	self, n       int
	inc           uint64
	nextAt        Micros
	lastHeartbeat []Micros
	gap, dev      []float64 // of heartbeats, microseconds
	incs          []uint64
	state         []membership.State
	overdue       func(b *heartbeatDetector, i int, now Micros) bool
}

type heartbeat struct{ inc uint64 }

func newHeartbeatDetector(w *Cluster, i, start int, late func(*heartbeatDetector, int, Micros) bool) Detector {
	n := w.Members()
	b := &heartbeatDetector{
		self: i, n: n, inc: uint64(w.now), nextAt: w.now + Micros(w.rng.Int64N(int64(heartbeatInterval))), lastHeartbeat: make([]Micros, n), gap: make([]float64, n),
		dev: make([]float64, n), incs: make([]uint64, n), state: make([]membership.State, n), overdue: late,
	}
	for o := range n {
		b.lastHeartbeat[o], b.gap[o], b.dev[o], b.state[o] = w.now, float64(
			heartbeatInterval,
		), float64(
			heartbeatInterval,
		)/4, membership.Alive
	}
	return b
}

// fixedTimeout has one time-out for all.
func fixedTimeout(b *heartbeatDetector, i int, now Micros) bool {
	return now-b.lastHeartbeat[i] > heartbeatTimeout
}

// phiThreshold is the level of suspicion at which a member is held dead: one wrong verdict in 10^8 gaps, were they normal.
const phiThreshold = 8

// phiAccrual is accrual: how unlikely a gap as long as this one is, by those seen so far.
func phiAccrual(b *heartbeatDetector, i int, now Micros) bool {
	z := (float64(now-b.lastHeartbeat[i]) - b.gap[i]) / max(b.dev[i], float64(heartbeatInterval)/10)
	return -math.Log10(max(0.5*math.Erfc(z/math.Sqrt2), 1e-300)) > phiThreshold
}

func (b *heartbeatDetector) Tick(now Micros) (out []Packet, changes []membership.StateChange) {
	if now >= b.nextAt {
		b.nextAt = now + heartbeatInterval
		for o := range b.n {
			if o != b.self {
				out = append(out, Packet{To: o, Size: plainSize, Payload: heartbeat{b.inc}})
			}
		}
	}
	for o := range b.n {
		if o != b.self && b.state[o] == membership.Alive && b.overdue(b, o, now) {
			changes = append(changes, b.setState(o, membership.Dead))
		}
	}
	return out, changes
}

func (b *heartbeatDetector) setState(o int, s membership.State) membership.StateChange {
	c := membership.StateChange{ID: MemberID(o), Name: Name(o), From: b.state[o], To: s, Incarnation: b.incs[o]}
	b.state[o] = s
	return c
}

func (b *heartbeatDetector) Receive(now Micros, from int, p Packet) (out []Packet, changes []membership.StateChange) {
	took := float64(now - b.lastHeartbeat[from])
	if b.state[from] == membership.Alive {
		b.dev[from] += (math.Abs(took-b.gap[from]) - b.dev[from]) / 16
		b.gap[from] += (took - b.gap[from]) / 16
	}
	b.lastHeartbeat[from] = now
	// Nobody tells a member that it was held dead: it comes back by being heard, under a number that is its next at
	// the most.
	if inc := p.Payload.(heartbeat).inc; b.state[from] == membership.Dead {
		b.incs[from]++
		b.incs[from] = max(b.incs[from], inc)
		changes = append(changes, b.setState(from, membership.Alive))
	} else {
		b.incs[from] = max(b.incs[from], inc)
	}
	return nil, changes
}

func (b *heartbeatDetector) Leave(Micros) []Packet { return nil }
func (b *heartbeatDetector) Incarnation() uint64   { return b.inc }
func (b *heartbeatDetector) StateOf(o int) membership.State {
	return b.state[o]
}

// randomSwim asks one member drawn at random each 250 ms, three others help, and one that fails alone begins a
// suspicion of 2 s, as SWIM has it without Lifeguard. Its news goes along with all messages.
type randomSwim struct {
	w            *Cluster
	self, n      int
	inc          uint64
	nextProbeAt  Micros
	target       int // under way, -1: nobody
	pingedAt     Micros
	indirectSent bool
	incs         []uint64
	state        []membership.State
	since        []Micros
	updates      []swimUpdate
}

type swimUpdate struct {
	member    int
	inc       uint64
	state     membership.State
	transmits int
}

type swimMessage struct {
	kind      int // 0 ping, 1 ack, 2 ask
	target    int
	requester int
	updates   []swimUpdate
}

func newRandomSwim(w *Cluster, i, start int) Detector {
	n := w.Members()
	s := &randomSwim{
		w: w, self: i, n: n, inc: uint64(w.now), target: -1, nextProbeAt: w.now + Micros(w.rng.Int64N(int64(250*Millisecond))), incs: make([]uint64, n),
		state: make([]membership.State, n), since: make([]Micros, n),
	}
	for o := range n {
		s.state[o] = membership.Alive
	}
	s.enqueue(swimUpdate{member: i, inc: s.inc, state: membership.Alive})
	return s
}

func (s *randomSwim) enqueue(news swimUpdate) {
	for k := range s.updates {
		if s.updates[k].member == news.member {
			s.updates[k] = news
			return
		}
	}
	s.updates = append(s.updates, news)
}

func (s *randomSwim) send(to int, m swimMessage) Packet {
	most := 2 * int(math.Ceil(math.Log2(float64(s.n+1))))
	var kept []swimUpdate
	for k := range s.updates {
		if len(m.updates) < membership.MaxUpdates {
			m.updates = append(m.updates, s.updates[k])
			s.updates[k].transmits++
		}
		if s.updates[k].transmits < most {
			kept = append(kept, s.updates[k])
		}
	}
	s.updates = kept
	return Packet{To: to, Size: plainSize + updateSize*len(m.updates), Payload: m}
}

func (s *randomSwim) Tick(now Micros) (out []Packet, changes []membership.StateChange) {
	if s.target >= 0 && !s.indirectSent && now-s.pingedAt >= 150*Millisecond {
		s.indirectSent = true
		for range 3 {
			if h := s.w.rng.IntN(s.n); h != s.self && h != s.target && s.state[h] == membership.Alive {
				out = append(out, s.send(h, swimMessage{kind: 2, target: s.target, requester: s.self}))
			}
		}
	}
	if s.target >= 0 && now-s.pingedAt >= 500*Millisecond {
		if s.state[s.target] == membership.Alive {
			changes = append(
				changes,
				s.setState(now, swimUpdate{member: s.target, inc: s.incs[s.target], state: membership.Suspect})...)
		}
		s.target = -1
	}
	if now >= s.nextProbeAt && s.target < 0 {
		s.nextProbeAt = now + 250*Millisecond
		if o := s.w.rng.IntN(s.n); o != s.self && s.state[o] != membership.Dead {
			s.target, s.pingedAt, s.indirectSent = o, now, false
			out = append(out, s.send(o, swimMessage{kind: 0}))
		}
	}
	for o := range s.n {
		if s.state[o] == membership.Suspect && now-s.since[o] >= 2*Second {
			changes = append(
				changes,
				s.setState(now, swimUpdate{member: o, inc: s.incs[o], state: membership.Dead})...)
		}
	}
	return out, changes
}

func (s *randomSwim) setState(now Micros, n swimUpdate) (changes []membership.StateChange) {
	was := s.state[n.member]
	s.state[n.member], s.incs[n.member], s.since[n.member] = n.state, n.inc, now
	s.enqueue(n)
	if was != n.state {
		changes = append(
			changes,
			membership.StateChange{
				ID:          MemberID(n.member),
				Name:        Name(n.member),
				From:        was,
				To:          n.state,
				Incarnation: n.inc,
			},
		)
	}
	return changes
}

func (s *randomSwim) Receive(now Micros, from int, p Packet) (out []Packet, changes []membership.StateChange) {
	m := p.Payload.(swimMessage)
	for _, n := range m.updates {
		switch {
		case n.member == s.self:
			if n.state != membership.Alive && n.inc >= s.inc {
				s.inc = n.inc + 1
				s.enqueue(swimUpdate{member: s.self, inc: s.inc, state: membership.Alive})
			}
		case n.inc > s.incs[n.member] || n.inc == s.incs[n.member] && n.state > s.state[n.member]:
			changes = append(changes, s.setState(now, n)...)
		}
	}
	switch m.kind {
	case 0:
		out = append(out, s.send(from, swimMessage{kind: 1, target: s.self, requester: m.requester}))
	case 1:
		if m.requester != 0 && m.requester-1 != s.self {
			out = append(out, s.send(m.requester-1, swimMessage{kind: 1, target: m.target}))
		} else if m.target == s.target {
			s.target = -1
		}
	case 2:
		out = append(out, s.send(m.target, swimMessage{kind: 0, requester: m.requester + 1}))
	}
	return out, changes
}

func (s *randomSwim) Leave(Micros) []Packet { return nil }
func (s *randomSwim) Incarnation() uint64   { return s.inc }
func (s *randomSwim) StateOf(o int) membership.State {
	return s.state[o]
}
