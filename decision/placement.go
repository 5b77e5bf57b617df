package decision

import (
	"math"

	"spurspread/decision/retry"
	"spurspread/decision/splitmix"
)

const (
	// groupAffinity is the factor on the selection weight of a server that already has connections of the request's
	// group: the work that the connections of a group share is then done only once.
	groupAffinity = 50
	// groupOverhead is the number of connections that each group counts for in addition to its own, for its shared
	// work.
	groupOverhead = 0.5
	// loadExponent determines how fast a server's selection weight falls with its connections; see selectionWeight.
	loadExponent = 2.0
	// loadOffset is the number of connections, at a relative weight of 1, up to which the selection weight hardly
	// falls. Up to this number, load should not be a reason to spread a group over several servers.
	loadOffset = 10.0
)

// Zone preferences in a selection, best first.
const (
	zonePreferred = iota
	zoneOther
	zonePreferenceCount
)

// inHomeZone reports whether the server is in this balancer's zone.
func (b *Balancer) inHomeZone(s *server) bool { return int(s.Zone) == b.settings.Zone }

// pickServer selects a server for r among those that can receive it now: it prefers the best health rank, then the home
// zone, then servers that are warming up, and otherwise draws at random by selection weight. It returns nil if no
// server can receive the request now.
func (b *Balancer) pickServer(now Micros, r *request) *server {
	policy := r.class.RetryPolicy()
	if policy.RetryForbidden(&r.attemptHistory, now) {
		return nil
	}
	var best selection
	for _, s := range b.servers {
		if now < s.pausedUntil || !r.mayBeServedBy(s, policy) {
			continue
		}
		warmup := b.warmupFactor(now, s)
		if !b.mayReceive(now, r, s, warmup) {
			continue
		}
		draw := b.selectionDraw(now, r, s)
		if warmup < 1 {
			draw = 0 // preferred: slow-start grants are few and expire unused
		}
		best.add(s, b.zonePreference(s, warmup), healthRank(now, s), draw)
	}
	return best.server()
}

// selection holds the server with the lowest draw for each health rank and zone preference.
type selection [healthRankCount][zonePreferenceCount]struct {
	server *server
	draw   float64
}

// add considers one more server. Of servers with equal draws, the one added first is kept.
func (sel *selection) add(s *server, zone, rank int, draw float64) {
	best := &sel[rank][zone]
	if best.server == nil || draw < best.draw {
		best.server, best.draw = s, draw
	}
}

// server returns the selected server, or nil if none was added. Health rank takes precedence over zone.
func (sel *selection) server() *server {
	for rank := range sel {
		for zone := range sel[rank] {
			if s := sel[rank][zone].server; s != nil {
				return s
			}
		}
	}
	return nil
}

// zonePreference returns zonePreferred for servers of the home zone. It also does so for all servers where servers
// report loads, since the selection weight then includes the cost of crossing zones, and for servers that warm up while
// a part of the fleet is missing.
func (b *Balancer) zonePreference(s *server, warmup float64) int {
	if b.inHomeZone(s) || b.loadsReported() || (warmup < 1 && b.fleetSize.Reduced()) {
		return zonePreferred
	}
	return zoneOther
}

// mayBeServedBy reports whether s is eligible for r: it is Ready, r is not pinned to another server, and after an
// attempt that may have been executed, the retry policy allows a retry at the location of s. It does not check
// retry.Policy.RetryForbidden, which applies to all servers alike.
func (r *request) mayBeServedBy(s *server, policy retry.Policy) bool {
	if s.State != Ready || (r.pinnedTo != nil && r.pinnedTo != s) {
		return false
	}
	return !r.attemptHistory.MayHaveExecuted() || policy.SharesKeys(&r.attemptHistory, s.location())
}

// mayReceive reports whether s, which must not be paused, can receive r now:
//
//   - r was not the last request that was sent to s, so that a retry goes to another server;
//   - s has spare capacity;
//   - if s is warming up (warmup below 1), there is a slow-start grant for it and r has an admission cost (moveTarget
//     passes a request without one);
//   - where servers report loads, s has utilization left for the load of r at the priority of its class.
func (b *Balancer) mayReceive(now Micros, r *request, s *server, warmup float64) bool {
	if s.wasLastTriedBy(r) || !b.hasSpareCapacity(now, s, r.admissionCost) {
		return false
	}
	if warmup < 1 && (r.admissionCost == 0 || !b.slowStartAllows(now, s)) {
		return false
	}
	return !b.loadsReported() ||
		s.load.HasCapacityFor(&b.loadModel, warmup, r.load, s.addsNoGroup(r), r.class.RelativePriority)
}

// selectionWeight returns the relative probability that s is selected for r. It grows with the server's weight, falls
// with its connections or load, and is much higher if the server has connections of the request's group. In passthrough
// mode it is the server's weight alone, so that all balancers select alike.
func (b *Balancer) selectionWeight(now Micros, r *request, s *server) float64 {
	weight := s.relativeWeight
	if b.settings.Passthrough {
		return weight
	}
	if b.loadsReported() {
		warmup := b.warmupFactor(now, s)
		return s.load.SelectionWeight(&b.loadModel, warmup, r.load, s.addsNoGroup(r), !b.inHomeZone(s))
	}
	connections := s.connectionCount() + groupOverhead*float64(len(s.groupSizes))
	selection := weight * math.Pow(1+connections/(loadOffset*weight), -loadExponent)
	if s.groupSizes[r.group] > 0 {
		selection *= groupAffinity
	}
	return selection
}

// selectionDraw returns an exponentially distributed variate whose rate is the selection weight of s for r. The server
// with the lowest draw is selected, so each server is selected with a probability proportional to its selection weight.
func (b *Balancer) selectionDraw(now Micros, r *request, s *server) float64 {
	return -math.Log(1-b.selectionVariate(r, s)) / b.selectionWeight(now, r, s)
}

// selectionVariate returns a number from 0 up to but not including 1. It is random for a request without a group. For a
// group it is a hash of group and server, which is the same at every balancer, so that the group's connections meet at
// the same server. In passthrough mode it is a hash of key and server, so that another balancer forwards a connection
// to the same server; it is random if the key is 0.
func (b *Balancer) selectionVariate(r *request, s *server) float64 {
	hashed := r.group
	if b.settings.Passthrough {
		hashed = r.key
	}
	if hashed == 0 {
		return b.rng.Float64()
	}
	return unitInterval(splitmix.Mix64(hashed ^ s.StableID*splitmix.Gamma))
}

// unitInterval maps the upper 53 bits of h, the precision of a float64, to the interval [0, 1).
func unitInterval(h uint64) float64 {
	const mantissaBits, wordBits = 53, 64
	return float64(h>>(wordBits-mantissaBits)) / (1 << mantissaBits)
}
