package simulation

import (
	"math"

	"spurspread/decision/membership"
)

const (
	heartbeatInterval = 500 * Millisecond
	// heartbeatTimeout is longer than the pauses that must be tolerated, and short enough that crashes are detected
	// within 4 s.
	heartbeatTimeout = 3 * Second
	// phiThreshold is the suspicion level at which a member is declared dead. For normally distributed gaps, one gap in
	// 10^8 would exceed it.
	phiThreshold = 8
	// minDeviation is the minimum deviation of gaps, in microseconds, that phiAccrual assumes.
	minDeviation = float64(heartbeatInterval) / 10
	// gapWeight is the divisor of exponential smoothing: each new gap has a weight of 1/gapWeight.
	gapWeight = 16
	// smallestProbability keeps the logarithm finite.
	smallestProbability = 1e-300
)

// heartbeatDetector is a member that sends heartbeats to all others, and declares a member dead whose heartbeat is
// overdue.
type heartbeatDetector struct {
	self        int
	incarnation uint64
	nextAt      Micros
	peers       []heartbeatPeer
	overdue     func(p *heartbeatPeer, now Micros) bool
}

// heartbeatPeer is another member, or this one itself.
type heartbeatPeer struct {
	state          membership.State
	incarnation    uint64
	lastHeartbeat  Micros
	gap, deviation float64 // smoothed gap between heartbeats and its deviation, in microseconds
}

type heartbeat struct{ incarnation uint64 }

func newHeartbeatDetector(c *Cluster, i int, overdue func(*heartbeatPeer, Micros) bool) Detector {
	h := &heartbeatDetector{
		self:        i,
		incarnation: uint64(c.now),
		nextAt:      c.now + c.jitter(heartbeatInterval),
		peers:       make([]heartbeatPeer, c.Members()),
		overdue:     overdue,
	}
	for other := range h.peers {
		h.peers[other] = heartbeatPeer{
			state:         membership.Alive,
			lastHeartbeat: c.now,
			gap:           float64(heartbeatInterval),
			deviation:     float64(heartbeatInterval) / 4,
		}
	}
	return h
}

// fixedTimeout reports whether a heartbeat is overdue by heartbeatTimeout, which is the same for all members.
func fixedTimeout(p *heartbeatPeer, now Micros) bool { return now-p.lastHeartbeat > heartbeatTimeout }

// phiAccrual reports whether a heartbeat is overdue by the phi accrual method: whether the present gap is improbably
// long, given the mean and deviation of earlier gaps.
func phiAccrual(p *heartbeatPeer, now Micros) bool {
	z := (float64(now-p.lastHeartbeat) - p.gap) / max(p.deviation, minDeviation)
	probability := max(0.5*math.Erfc(z/math.Sqrt2), smallestProbability)
	return -math.Log10(probability) > phiThreshold
}

// Tick implements Detector.
func (h *heartbeatDetector) Tick(now Micros) ([]Packet, []membership.StateChange) {
	var out []Packet
	if now >= h.nextAt {
		h.nextAt = now + heartbeatInterval
		for other := range h.peers {
			if other != h.self {
				out = append(out, Packet{To: other, Size: baseMessageSize, Payload: heartbeat{h.incarnation}})
			}
		}
	}
	var changes []membership.StateChange
	for other := range h.peers {
		p := &h.peers[other]
		if other != h.self && p.state == membership.Alive && h.overdue(p, now) {
			changes = append(changes, h.setState(other, membership.Dead))
		}
	}
	return out, changes
}

func (h *heartbeatDetector) setState(other int, state membership.State) membership.StateChange {
	p := &h.peers[other]
	change := membership.StateChange{
		ID:          MemberID(other),
		Name:        Name(other),
		From:        p.state,
		To:          state,
		Incarnation: p.incarnation,
	}
	p.state = state
	return change
}

// Receive implements Detector.
func (h *heartbeatDetector) Receive(now Micros, from int, packet Packet) ([]Packet, []membership.StateChange) {
	p := &h.peers[from]
	gap := float64(now - p.lastHeartbeat)
	if p.state == membership.Alive {
		p.deviation += (math.Abs(gap-p.gap) - p.deviation) / gapWeight
		p.gap += (gap - p.gap) / gapWeight
	}
	p.lastHeartbeat = now
	incarnation := packet.Payload.(heartbeat).incarnation
	if p.state != membership.Dead {
		p.incarnation = max(p.incarnation, incarnation)
		return nil, nil
	}
	// A member does not learn that it was declared dead, and so does not increment its incarnation. Its next heartbeat
	// makes it alive again, under an incarnation that is newer than the one that was declared dead.
	p.incarnation = max(p.incarnation+1, incarnation)
	return nil, []membership.StateChange{h.setState(from, membership.Alive)}
}

// Leave implements Detector.
func (h *heartbeatDetector) Leave(Micros) []Packet { return nil }

// Incarnation implements Detector.
func (h *heartbeatDetector) Incarnation() uint64 { return h.incarnation }

// StateOf implements Detector.
func (h *heartbeatDetector) StateOf(other int) membership.State { return h.peers[other].state }
