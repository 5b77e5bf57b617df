package decision

import (
	"slices"

	"spurspread/decision/latency"
	"spurspread/decision/serverload"
)

const (
	// maxMoveSetupShare is the maximum set-up latency at which connections of a class are moved, as a fraction of the
	// class's latency objective, since each has to be set up again elsewhere.
	maxMoveSetupShare = 0.4
	// forcedMoveLatencyRatio is the message latency, as a multiple of the class's objective, above which connections
	// are moved even if no other server has spare capacity.
	forcedMoveLatencyRatio = 1.5
	// maxMovedShare is the maximum fraction of a server's connections that one latency metric may move.
	maxMovedShare = 0.7
	// drainSharePerTick is the fraction of a draining server's connections that is moved at each tick: half in 1.5 s.
	drainSharePerTick = 1. / 8
)

// moveFromSlowServer moves connections off a server whose latency exceeds the move threshold. Each connection moves
// with the probability that latency.Estimate.ExcessFraction returns. Since all balancers see the same latency and move
// the same fraction of their connections, that probability is limited to maxMovedShare, and to less while a part of the
// fleet is missing.
//
// A connection moves only if the latency is above latency.MoveThreshold times its own class's objective, if set-ups are
// fast, and if either another server has spare capacity or the latency is above forcedMoveLatencyRatio. Where servers
// report loads, moveLoad selects the connections instead, provided that another server has spare capacity.
func (b *Balancer) moveFromSlowServer(now Micros, s *server) {
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

// setupsFastEnoughToMove reports whether r could be set up again in time: the present set-up latency is below
// maxMoveSetupShare of its class's latency objective.
func (b *Balancer) setupsFastEnoughToMove(r *request) bool {
	return b.setupLimiter.SetupLatency() < maxMoveSetupShare*float64(r.class.LatencyObjective)
}

// acceptsMoves reports whether connections may be moved to s: it is Ready, healthy and not paused.
func (b *Balancer) acceptsMoves(now Micros, s *server) bool {
	return s.State == Ready && now >= s.pausedUntil && healthRank(now, s) == rankHealthy
}

// spareConnections estimates how many more connections the servers whose latency is within the move threshold can take
// now, limited by their tokens and by their latency.Estimate.ConnectionCapacity.
func (b *Balancer) spareConnections(now Micros) float64 {
	spare := 0.0
	for _, s := range b.servers {
		if b.acceptsMoves(now, s) && !s.latency.AboveMoveThreshold(now) && b.hasSpareCapacity(now, s, 1) {
			spare += min(s.budget.Tokens, s.latency.ConnectionCapacity-s.connectionCount())
		}
	}
	return spare
}

// rebalance moves load off overloaded and draining servers, as far as other servers have spare capacity. It runs at
// each tick and does nothing unless servers report loads.
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

// moveFromDrainingServer moves each connection of a draining server with probability drainSharePerTick, while other
// servers have spare capacity. spare is that capacity, in cores; the result is the capacity that remains. Moving
// gradually keeps clients from reconnecting all at once when the server stops. Resumable connections are left to the
// caller's drain plan.
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

// moveLoad selects connections of s with a load of about want cores and moves them, except those of a class for which
// set-ups are too slow at present. It returns the load of all selected connections, moved or not.
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

// onMoveRequested moves an established connection. Unless the same server is allowed, the client counts as one that
// will reconnect after its server was lost.
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

// moveConnection emits the MoveConnection for an established connection and ends its request. The client's new
// connection arrives as a new request.
func (b *Balancer) moveConnection(now Micros, r *request, sameServerAllowed bool) {
	move := MoveConnection{ID: r.id}
	if target := b.moveTarget(now, r, sameServerAllowed); target != nil {
		move.NextServer = target.Server
		move.HasNextServer = true
	}
	b.emit(move)
	b.endRequest(r)
}

// moveTarget selects the server to which a resumable client is directed: the same server if that is allowed, it is
// Ready and its latency is within the move threshold, otherwise another server, selected as for a new request without
// admission cost. Such a request needs no tokens and cannot go to a server that is warming up. The result is nil if no
// server can receive it or the client is not resumable.
func (b *Balancer) moveTarget(now Micros, r *request, sameServerAllowed bool) *server {
	if !r.resumable {
		return nil
	}
	s := r.server
	if sameServerAllowed && s.State == Ready && !s.latency.AboveMoveThreshold(now) {
		return s
	}
	s.lastTriedBy = triedByToken(r.id) // excludes s from the selection
	return b.pickServer(now, &request{id: r.id, class: r.class, key: r.key, group: r.group})
}
