package membership

import (
	"net/netip"

	"spurspread/decision/monotime"
)

const (
	// deadProbeInterval is the mean time between two pings of dead members, one member at a time. They make the two
	// sides of a healed partition find each other. deadProbeJitter is the range of variation.
	deadProbeInterval = 500 * monotime.Millisecond
	deadProbeJitter   = deadProbeInterval / 2
)

// probeDead pings one dead member, chosen at random. If it is running, it learns from the ping that it is considered
// dead, and refutes that.
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

// pingDead pings a dead member at the given address, or at its known address if the given one is invalid. It does
// nothing within ackTimeout of the last probe or ping.
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

// recoverFromDeath runs when this member learns that it was considered dead: the failures that it detected meanwhile
// are just as likely its own fault. It stops disseminating them and queues pings of all members that it considers dead.
func (f *Fleet) recoverFromDeath() {
	f.dissemination.remove(func(u *Update) bool { return u.State == Suspect || u.State == Dead })
	f.deadToProbe = f.deadToProbe[:0]
	for _, p := range f.peerList {
		if p.state == Dead {
			f.deadToProbe = append(f.deadToProbe, p)
		}
	}
}

// probeQueuedDead pings some of the members that recoverFromDeath has queued.
func (f *Fleet) probeQueuedDead(now monotime.Micros) {
	n := min(len(f.deadToProbe), maxSweepPingsPerTick)
	for _, p := range f.deadToProbe[:n] {
		if p.state == Dead {
			f.pingDead(now, p, p.Addr)
		}
	}
	f.deadToProbe = f.deadToProbe[n:]
}
