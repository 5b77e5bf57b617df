package decision

import (
	"math"

	"spurspread/decision/retry"
	"spurspread/decision/splitmix"
)

const (
	// groupAffinity is how many times as likely a server is selected that has connections of the request's group: their
	// shared work is done once.
	groupAffinity = 50
	// connectionsPerGroup is how many connections a group counts as, beside its own.
	connectionsPerGroup = 0.5
	// loadExponent is how strongly a server's connections lower its selection weight.
	loadExponent = 2.0
	// loadOffset is the number of connections up to which they hardly lower it: fewer should not pull a group apart.
	loadOffset = 10.0
)

// Zone preferences in a selection, best first.
const (
	preferHome = iota
	otherZone
	zonePreferenceCount
)

func (b *Balancer) inHomeZone(s *server) bool { return int(s.Zone) == b.settings.Zone }

// pickServer selects the server for r: of those that may have it now, one of the best health rank, of the home zone
// before others, at random by selection weight. It returns nil where no server may have the request now.
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
			draw = 0 // first of all: a warming server's grants are few, and lapse unused
		}
		best.add(s, b.zonePreference(s, warmup), healthRank(now, s), draw)
	}
	return best.server()
}

// selection holds the servers of least draw by health rank and zone preference.
type selection [healthRankCount][zonePreferenceCount]struct {
	server *server
	draw   float64
}

// add considers one more server; of equal draws the first wins.
func (sel *selection) add(s *server, zone, rank int, draw float64) {
	best := &sel[rank][zone]
	if best.server == nil || draw < best.draw {
		best.server, best.draw = s, draw
	}
}

// server returns the server selected: health goes before zone. It is nil if none was added.
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

// zonePreference decides whether a server counts as one of the home zone. All do where servers report loads, since
// their selection weight contains the cost of crossing; so do those that warm up while a part of the fleet is
// absent.
func (b *Balancer) zonePreference(s *server, warmup float64) int {
	if b.inHomeZone(s) || b.loadsReported() || (warmup < 1 && b.fleetSize.Reduced()) {
		return preferHome
	}
	return otherZone
}

// mayBeServedBy reports whether r may go to s at all, while its class's retry policy allows any further attempt: s is
// Ready, r is not pinned to another, and the policy allows the server's location after earlier attempts.
func (r *request) mayBeServedBy(s *server, policy retry.Policy) bool {
	if s.State != Ready || (r.pinnedTo != nil && r.pinnedTo != s) {
		return false
	}
	return !r.attemptHistory.MayHaveExecuted() || policy.SharesKeys(&r.attemptHistory, s.location())
}

// mayReceive reports whether s, which is not paused, can take r now: it is not the server that was tried last, has
// spare capacity, a slow-start grant if it is warming up (warmup below 1; a request without admission cost, see
// moveTarget, never gets one), and where servers report loads, utilization left for the request's load at its
// class's priority.
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

// selectionWeight is how likely s is selected for r, relative to other servers. It grows with the server's weight,
// falls with its connections or load, and is much higher for one that has connections of the request's group. In
// passthrough mode it is the weight alone, so that all balancers weigh alike.
func (b *Balancer) selectionWeight(now Micros, r *request, s *server) float64 {
	weight := s.relativeWeight
	if b.settings.Passthrough {
		return weight
	}
	if b.loadsReported() {
		warmup := b.warmupFactor(now, s)
		return s.load.SelectionWeight(&b.loadModel, warmup, r.load, s.addsNoGroup(r), !b.inHomeZone(s))
	}
	connections := s.connectionCount() + connectionsPerGroup*float64(len(s.groupSizes))
	selection := weight * math.Pow(1+connections/(loadOffset*weight), -loadExponent)
	if s.groupSizes[r.group] > 0 {
		selection *= groupAffinity
	}
	return selection
}

// selectionDraw is the draw of s for r: an exponential variate whose rate is the selection weight. The least of
// such draws falls on each server with a probability in proportion to its weight.
func (b *Balancer) selectionDraw(now Micros, r *request, s *server) float64 {
	return -math.Log(1-b.selectionVariate(r, s)) / b.selectionWeight(now, r, s)
}

// selectionVariate is a number from 0 to 1, random for a request without a group. For others it is a hash of group and
// server that is the same at every balancer, so that a group's connections come together; in passthrough mode a hash of
// the request's key and the server, so that a connection finds its server again through another balancer.
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

// unitInterval maps the upper 53 bits of h, as many as a float64 holds, to 0 up to but not including 1.
func unitInterval(h uint64) float64 {
	const mantissaBits, wordBits = 53, 64
	return float64(h>>(wordBits-mantissaBits)) / (1 << mantissaBits)
}
