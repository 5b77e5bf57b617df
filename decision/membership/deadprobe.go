package membership

import (
	"net/netip"

	"spurspread/decision/monotime"
)

const (
	// deadProbeInterval is the time between two pings of members that are considered dead, one at a time: so both
	// sides of a partition find each other after it. deadProbeJitter is by how much it varies.
	deadProbeInterval = 500 * monotime.Millisecond
	deadProbeJitter   = deadProbeInterval / 2
)

// probeDead pings one of the dead members. It learns from the message that it is considered dead, and refutes.
func (f *Fleet) probeDead(now monotime.Micros) {
	f.probeQueuedDead(now)
	if now < f.nextDeadProbeAt {
		return
	}
	f.nextDeadProbeAt = now + f.spreadAround(deadProbeInterval, deadProbeJitter)
	for _, p := range f.randomPeers(1, func(p *peer) bool { return p.state == Dead }) {
		f.pingDead(now, p, p.Addr)
	}
}

// pingDead pings a member that is considered dead, at an address that it may have now.
func (f *Fleet) pingDead(now monotime.Micros, p *peer, addr netip.AddrPort) {
	if now-p.lastProbe < ackTimeout {
		return
	}
	if !addr.IsValid() {
		addr = p.Addr
	}
	f.lastSeq += maxPingAttempts
	p.lastProbe = now
	if p.firstDeadPing == 0 {
		p.firstDeadPing = f.lastSeq
	}
	f.send(addr, p, Message{Kind: Ping, Seq: f.lastSeq})
}

// recoverFromDeath is for a member that learns that it was considered dead: what it found out about others meanwhile
// is as likely its own fault. It stops spreading that, and pings all whom it considers dead, some at each Tick.
func (f *Fleet) recoverFromDeath() {
	f.dissemination.remove(func(u *Update) bool { return u.State == Suspect || u.State == Dead })
	f.deadToProbe = f.deadToProbe[:0]
	for _, p := range f.peerList {
		if p.state == Dead {
			f.deadToProbe = append(f.deadToProbe, p)
		}
	}
}

func (f *Fleet) probeQueuedDead(now monotime.Micros) {
	n := min(len(f.deadToProbe), maxSweepPingsPerTick)
	for _, p := range f.deadToProbe[:n] {
		if p.state == Dead {
			f.pingDead(now, p, p.Addr)
		}
	}
	f.deadToProbe = f.deadToProbe[n:]
}
