package decision

import "spurspread/decision/slowstart"

// warmupFactor is the part of its capacity, over 0 to 1, that a server surely has: Settings.InitialCapacity at its
// start, and evenly more until all after Settings.WarmupTime.
func (b *Balancer) warmupFactor(now Micros, s *server) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= b.settings.WarmupTime {
		return 1
	}
	initial := b.settings.InitialCapacity
	return initial + (1-initial)*float64(max(age, 0))/float64(b.settings.WarmupTime)
}

// hasSpareCapacity reports whether s may get one more connection that takes admissionCost tokens. It needs the
// tokens, which come at a rate by the server's weight and this balancer's share of the fleet, and fewer connections
// than the server was last seen to carry in time. Whoever finds no capacity in the home zone goes on to others. In
// passthrough mode there is no such limit. The tokens are refilled up to now, whatever the verdict.
func (b *Balancer) hasSpareCapacity(now Micros, s *server, admissionCost float64) bool {
	share := max(b.fleetShare, slowstart.MinFleetShare)
	s.budget.Refill(now, s.relativeWeight*share, admissionCost)
	if b.settings.Passthrough {
		return true
	}
	return s.budget.Tokens >= admissionCost && s.connectionCount() < s.latency.ConnectionCapacity
}

// slowStartAllows reports whether a server that is warming up may get one more connection of this balancer's. In
// Settings.OverloadWindow all balancers together may send it Settings.OverloadFactor times what it can take at its
// weight and warm-up factor; they divide that into grants without talking to each other. One grant is for a
// connection of mean work. The grants are counted up to now, whatever the verdict.
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

// spendConnectionBudget takes an attempt from the server's budget. A connection of less than mean work counts as one of
// mean work: it costs as much to set up.
func (b *Balancer) spendConnectionBudget(now Micros, s *server, r *request) {
	warmingUp := b.warmupFactor(now, s) < 1
	s.budget.Spend(warmingUp, max(r.relativeWork, 1), b.meanChargedWork, r.admissionCost)
}

// updateFleetSize measures how much of the fleet's capacity is present: the weights of the servers that are Ready
// and have not failed, by their warm-up factors. While a part is absent, clients that reconnect are admitted more
// slowly.
func (b *Balancer) updateFleetSize(now Micros) {
	present := 0.0
	for _, s := range b.servers {
		if s.State == Ready && !s.demotedForFailure {
			present += s.Weight * b.warmupFactor(now, s)
		}
	}
	b.fleetSize.Update(now, present)
}
