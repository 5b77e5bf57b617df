package decision

import "spurspread/decision/slowstart"

// warmupFactor returns the fraction of its full capacity that a server is assumed to have. It rises linearly from
// Settings.InitialCapacity at the server's start to 1 after Settings.WarmupTime. For a server whose StartedAt is 0
// (long ago) it is 1.
func (b *Balancer) warmupFactor(now Micros, s *server) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= b.settings.WarmupTime {
		return 1
	}
	initial := b.settings.InitialCapacity
	return initial + (1-initial)*float64(max(age, 0))/float64(b.settings.WarmupTime)
}

// hasSpareCapacity reports whether s may get one more connection, which takes admissionCost tokens. The server's bucket
// must hold that many, and its connections must be fewer than latency.Estimate.ConnectionCapacity. Tokens are added at
// a rate proportional to the server's weight and to this balancer's share of the fleet. A request that finds no
// capacity in the home zone goes to another zone. Passthrough mode has no limit. The call always refills the bucket up
// to now.
func (b *Balancer) hasSpareCapacity(now Micros, s *server, admissionCost float64) bool {
	share := max(b.fleetShare, slowstart.MinFleetShare)
	s.budget.Refill(now, s.relativeWeight*share, admissionCost)
	if b.settings.Passthrough {
		return true
	}
	return s.budget.Tokens >= admissionCost && s.connectionCount() < s.latency.ConnectionCapacity
}

// slowStartAllows reports whether this balancer has a grant to send one more connection to a server that is warming up.
// Within Settings.OverloadWindow, all balancers together may send the server Settings.OverloadFactor times its
// capacity at its weight and warm-up factor. They divide that quota into grants without communicating; see package
// slowstart. One grant pays for a connection of mean work. The call always counts the grants up to now.
func (b *Balancer) slowStartAllows(now Micros, s *server) bool {
	window := b.settings.OverloadWindow
	slot, slotStart := slowstart.SlotAt(now, s.StartedAt, window)
	warmup := b.warmupFactor(slotStart, s)
	rate := slowstart.WarmUpRate * s.Weight / b.meanWeight * warmup * b.settings.OverloadFactor
	quota := rate * window.Seconds() / b.meanChargedWork
	return s.budget.GrantAvailable(slot, quota, slowstart.Fleet{
		Rank:        b.settings.Rank,
		Balancers:   b.settings.Balancers,
		Zones:       b.settings.Zones,
		ServerID:    s.StableID,
		SameZone:    b.inHomeZone(s),
		UnevenLoads: b.loadsReported(),
	})
}

// spendConnectionBudget charges an attempt to the server's budget. A connection of less than mean work is charged as
// one of mean work, since the cost of its set-up is the same.
func (b *Balancer) spendConnectionBudget(now Micros, s *server, r *request) {
	warmingUp := b.warmupFactor(now, s) < 1
	s.budget.Spend(warmingUp, max(r.relativeWork, 1), b.meanChargedWork, r.admissionCost)
}

// updateFleetSize updates the estimate of how much of the servers' capacity is present: the sum of weight times warm-up
// factor over all servers that are Ready and not demoted for a failure. While capacity is missing, clients that
// reconnect are admitted more slowly.
func (b *Balancer) updateFleetSize(now Micros) {
	present := 0.0
	for _, s := range b.servers {
		if s.State == Ready && !s.demotedForFailure {
			present += s.Weight * b.warmupFactor(now, s)
		}
	}
	b.fleetSize.Update(now, present)
}
