package decision

import (
	"slices"

	"spurspread/decision/latency"
	"spurspread/decision/serverload"
)

const (
	// maxMoveSetupShare is the part of a class's latency objective that set-ups may take at most for connections of the
	// class to be moved: they have to be set up again elsewhere.
	maxMoveSetupShare = 0.4
	// forcedMoveLatencyRatio is the latency, over the class's message objective, above which connections leave a server
	// although no other has spare capacity.
	forcedMoveLatencyRatio = 1.5
	// maxMovedShare is the part of a server's connections that moves after one metric, at most.
	maxMovedShare = 0.7
	// drainSharePerTick is the part of a draining server's connections that moves at each tick: half in 1.5 s.
	drainSharePerTick = 1. / 8
)

// moveFromLateServer moves connections off a server that misses its message objective: the part, drawn by
// connection, that its latency shows to be too much. All balancers see one metric and move the same part of their
// connections, so no more than maxMovedShare, less while a part of the fleet is absent. A connection moves only if
// its own class's objective is missed, set-ups are fast, and another server has spare capacity or staying is
// hopeless (forcedMoveLatencyRatio).
func (b *Balancer) moveFromLateServer(now Micros, s *server) {
	spare := b.spareConnections(now)
	objective := float64(b.shortestMessageObjective())
	present := b.fleetSize.PresentFraction()
	part := min(s.latency.ExcessFraction(objective), maxMovedShare*present*present)
	if b.loadsReported() {
		if spare >= 1 {
			b.moveLoad(now, s, part*s.load.OwnLoad)
		}
		return
	}
	for i := len(s.connections) - 1; i >= 0; i-- {
		r := s.connections[i]
		if r.class.MessageLatencyObjective <= 0 || !b.setupsFastEnoughToMove(r) {
			continue
		}
		ratio := s.latency.DelayRatio(objective, float64(r.class.MessageLatencyObjective))
		mayMove := ratio > latency.MoveThreshold && (spare >= 1 || ratio > forcedMoveLatencyRatio)
		if mayMove && b.rng.Float64() < part {
			b.moveConnection(now, r, false)
			spare--
		}
	}
}

// setupsFastEnoughToMove reports whether r could be set up again in time: the present set-up latency is under
// maxMoveSetupShare of its class's latency objective.
func (b *Balancer) setupsFastEnoughToMove(r *request) bool {
	return b.setups.SetupLatency() < maxMoveSetupShare*float64(r.class.LatencyObjective)
}

// acceptsMoves reports whether connections may be moved to s.
func (b *Balancer) acceptsMoves(now Micros, s *server) bool {
	return s.State == Ready && now >= s.pausedUntil && healthRank(now, s) == rankHealthy
}

// spareConnections estimates how many connections the other servers can take now, by their tokens and by how many they
// were seen to carry in time.
func (b *Balancer) spareConnections(now Micros) float64 {
	spare := 0.0
	for _, s := range b.servers {
		if b.acceptsMoves(now, s) && !s.latency.MissesObjective(now) && b.hasSpareCapacity(now, s, 1) {
			spare += min(s.budget.Tokens, s.latency.ConnectionCapacity-s.connectionCount())
		}
	}
	return spare
}

// rebalance moves load, at each tick, off servers that are overloaded and off draining ones, as far as others can
// take it. It needs servers that report loads.
func (b *Balancer) rebalance(now Micros) {
	if !b.loadsReported() {
		return
	}
	spare := 0.0
	for _, s := range b.servers {
		if b.acceptsMoves(now, s) {
			spare += s.load.SpareCapacity(&b.loadModel, b.warmupFactor(now, s))
		}
	}
	for _, s := range b.servers {
		switch s.State {
		case Ready:
			excess := s.load.ExcessLoad(now, &b.loadModel, b.warmupFactor(now, s))
			spare -= b.moveLoad(now, s, min(excess, spare))
		case Draining:
			spare = b.moveFromDrainingServer(now, s, spare)
		}
	}
}

// moveFromDrainingServer moves drainSharePerTick of its connections, drawn one by one, while other servers have
// spare capacity (in cores), and returns what is left of that. What is still established when the server stops is
// cut off, and all comes back at once. Resumable connections are left to the caller's drain plan.
func (b *Balancer) moveFromDrainingServer(now Micros, s *server, spare float64) float64 {
	for i := len(s.connections) - 1; i >= 0; i-- {
		r := s.connections[i]
		if spare > 0 && !r.resumable && b.rng.Float64() < drainSharePerTick {
			spare -= r.load
			b.moveConnection(now, r, false)
		}
	}
	return spare
}

// moveLoad moves connections off s that load it with about want cores, and returns the load of those selected.
// Those whose class needs faster set-ups than there are at present stay.
func (b *Balancer) moveLoad(now Micros, s *server, want float64) float64 {
	if want <= 0 {
		return 0
	}
	candidates := slices.Clone(s.connections)
	loads := make([]serverload.Connection, len(candidates))
	for i, r := range candidates {
		loads[i] = serverload.Connection{Group: r.group, Load: r.load}
	}
	selected, moved := serverload.SelectConnectionsToMove(&b.loadModel, loads, want)
	for _, i := range selected {
		if r := candidates[i]; b.setupsFastEnoughToMove(r) {
			s.load.RebalancedAt = now
			b.moveConnection(now, r, false)
		}
	}
	return moved
}

func (b *Balancer) onMoveRequested(now Micros, ev MoveRequested) {
	r := b.requests[ev.ID]
	if r == nil || r.state != requestEstablished {
		return
	}
	if !ev.SameServerAllowed {
		b.fleetSize.ExpectReconnect()
	}
	b.moveConnection(now, r, ev.SameServerAllowed)
}

// moveConnection closes an established connection in the planned way; its client connects again.
func (b *Balancer) moveConnection(now Micros, r *request, sameServerAllowed bool) {
	move := MoveConnection{ID: r.id}
	if target := b.moveTarget(now, r, sameServerAllowed); target != nil {
		move.NextServer = target.Server
		move.HasNextServer = true
	}
	b.emit(move)
	b.endRequest(r)
}

// moveTarget selects the server that a resumable client is sent to: the same, if that is allowed, Ready and in
// time, else one that is selected as for a new request, but at no admission cost: tokens do not matter, and servers
// that are warming up are left out. It is nil where there is none, or where the client cannot be sent to one.
func (b *Balancer) moveTarget(now Micros, r *request, sameServerAllowed bool) *server {
	if !r.resumable {
		return nil
	}
	s := r.server
	if sameServerAllowed && s.State == Ready && !s.latency.MissesObjective(now) {
		return s
	}
	s.lastTriedBy = triedByToken(r.id)
	return b.pickServer(now, &request{id: r.id, class: r.class, key: r.key, group: r.group})
}
