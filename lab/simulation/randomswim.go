package simulation

import (
	"math"
	"math/rand/v2"

	"spurspread/decision/membership"
)

const (
	swimProbeInterval    = 250 * Millisecond
	swimIndirectAfter    = 150 * Millisecond
	swimProbeTimeout     = 500 * Millisecond
	swimSuspicionTimeout = 2 * Second
	swimHelpers          = 3
	swimTransmitFactor   = 2 // an update is transmitted swimTransmitFactor*log2(members) times

	noTarget = -1
)

// randomSwim is a member that runs SWIM without Lifeguard. It pings one random member at a time. If there is no
// acknowledgement, it asks helpers for indirect pings; one failed probe starts a suspicion. All messages carry updates.
type randomSwim struct {
	rng         *rand.Rand
	self        int
	incarnation uint64
	nextProbeAt Micros
	peers       []swimPeer
	updates     []swimUpdate // still to be disseminated

	// The current probe.
	target       int // noTarget if there is no probe
	pingedAt     Micros
	indirectSent bool
}

// swimPeer is another member, or this one itself.
type swimPeer struct {
	state       membership.State
	incarnation uint64
	since       Micros // when it entered this state
}

type swimUpdate struct {
	member      int
	incarnation uint64
	state       membership.State
	transmits   int
}

type swimKind int

const (
	swimPing swimKind = iota
	swimAck
	swimIndirectPing
)

type swimMessage struct {
	kind      swimKind
	target    int // of an indirect ping, the member to ping; of an ack, the member that answered
	requester int // of an indirect ping, who asked for it; of a ping and its ack, that number plus 1, or 0 if none
	updates   []swimUpdate
}

func newRandomSwim(c *Cluster, i, _ int) Detector {
	s := &randomSwim{
		rng:         c.rng,
		self:        i,
		incarnation: uint64(c.now),
		nextProbeAt: c.now + c.jitter(swimProbeInterval),
		peers:       make([]swimPeer, c.Members()),
		target:      noTarget,
	}
	for other := range s.peers {
		s.peers[other].state = membership.Alive
	}
	s.announce()
	return s
}

func (s *randomSwim) announce() {
	s.enqueue(swimUpdate{member: s.self, incarnation: s.incarnation, state: membership.Alive})
}

func (s *randomSwim) enqueue(u swimUpdate) {
	for k := range s.updates {
		if s.updates[k].member == u.member {
			s.updates[k] = u
			return
		}
	}
	s.updates = append(s.updates, u)
}

func (s *randomSwim) send(to int, m swimMessage) Packet {
	limit := swimTransmitFactor * int(math.Ceil(math.Log2(float64(len(s.peers)+1))))
	var kept []swimUpdate
	for _, u := range s.updates {
		if len(m.updates) < membership.MaxUpdates {
			m.updates = append(m.updates, u)
			u.transmits++
		}
		if u.transmits < limit {
			kept = append(kept, u)
		}
	}
	s.updates = kept
	return Packet{To: to, Size: baseMessageSize + updateSize*len(m.updates), Payload: m}
}

// Tick implements Detector.
func (s *randomSwim) Tick(now Micros) ([]Packet, []membership.StateChange) {
	out := s.sendIndirectPings(now)
	changes := s.expireProbe(now)
	if now >= s.nextProbeAt && s.target == noTarget {
		out = append(out, s.probe(now)...)
	}
	for other := range s.peers {
		p := &s.peers[other]
		if p.state == membership.Suspect && now-p.since >= swimSuspicionTimeout {
			changes = append(changes, s.setState(now, swimUpdate{
				member:      other,
				incarnation: p.incarnation,
				state:       membership.Dead,
			})...)
		}
	}
	return out, changes
}

func (s *randomSwim) probe(now Micros) []Packet {
	s.nextProbeAt = now + swimProbeInterval
	other := s.rng.IntN(len(s.peers))
	if other == s.self || s.peers[other].state == membership.Dead {
		return nil
	}
	s.target = other
	s.pingedAt = now
	s.indirectSent = false
	return []Packet{s.send(other, swimMessage{kind: swimPing})}
}

func (s *randomSwim) sendIndirectPings(now Micros) []Packet {
	if s.target == noTarget || s.indirectSent || now-s.pingedAt < swimIndirectAfter {
		return nil
	}
	s.indirectSent = true
	var out []Packet
	for range swimHelpers {
		helper := s.rng.IntN(len(s.peers))
		if helper != s.self && helper != s.target && s.peers[helper].state == membership.Alive {
			request := swimMessage{kind: swimIndirectPing, target: s.target, requester: s.self}
			out = append(out, s.send(helper, request))
		}
	}
	return out
}

func (s *randomSwim) expireProbe(now Micros) []membership.StateChange {
	if s.target == noTarget || now-s.pingedAt < swimProbeTimeout {
		return nil
	}
	target := s.target
	s.target = noTarget
	p := &s.peers[target]
	if p.state != membership.Alive {
		return nil
	}
	suspected := swimUpdate{member: target, incarnation: p.incarnation, state: membership.Suspect}
	return s.setState(now, suspected)
}

func (s *randomSwim) setState(now Micros, u swimUpdate) []membership.StateChange {
	p := &s.peers[u.member]
	before := p.state
	*p = swimPeer{state: u.state, incarnation: u.incarnation, since: now}
	s.enqueue(u)
	if before == u.state {
		return nil
	}
	return []membership.StateChange{{
		ID:          MemberID(u.member),
		Name:        Name(u.member),
		From:        before,
		To:          u.state,
		Incarnation: u.incarnation,
	}}
}

// Receive implements Detector.
func (s *randomSwim) Receive(now Micros, from int, packet Packet) ([]Packet, []membership.StateChange) {
	m := packet.Payload.(swimMessage)
	var changes []membership.StateChange
	for _, u := range m.updates {
		changes = append(changes, s.applyUpdate(now, u)...)
	}
	return s.answer(from, &m), changes
}

func (s *randomSwim) applyUpdate(now Micros, u swimUpdate) []membership.StateChange {
	p := &s.peers[u.member]
	switch {
	case u.member == s.self:
		if u.state != membership.Alive && u.incarnation >= s.incarnation {
			s.incarnation = u.incarnation + 1
			s.announce()
		}
	case u.incarnation > p.incarnation || u.incarnation == p.incarnation && u.state > p.state:
		return s.setState(now, u)
	}
	return nil
}

func (s *randomSwim) answer(from int, m *swimMessage) []Packet {
	switch m.kind {
	case swimPing:
		return []Packet{s.send(from, swimMessage{kind: swimAck, target: s.self, requester: m.requester})}
	case swimIndirectPing:
		return []Packet{s.send(m.target, swimMessage{kind: swimPing, requester: m.requester + 1})}
	case swimAck:
		if m.requester != 0 && m.requester-1 != s.self {
			return []Packet{s.send(m.requester-1, swimMessage{kind: swimAck, target: m.target})}
		}
		if m.target == s.target {
			s.target = noTarget
		}
	}
	return nil
}

// Leave implements Detector.
func (s *randomSwim) Leave(Micros) []Packet { return nil }

// Incarnation implements Detector.
func (s *randomSwim) Incarnation() uint64 { return s.incarnation }

// StateOf implements Detector.
func (s *randomSwim) StateOf(other int) membership.State { return s.peers[other].state }
