package zonedirectory

import (
	"cmp"
	"slices"

	"spurspread/decision/monotime"
)

const (
	// zoneRetention is the time for which the members of a zone count as known after it became Unknown or Left.
	zoneRetention = 600 * monotime.Second
	// partitionConfirmTime is the time for which the condition for Partitioned must hold before a zone gets that state.
	// When a zone fails or a region is cut off, some zones detect that a little later than others.
	partitionConfirmTime = 2500 * monotime.Millisecond
	// evaluationInterval is the time between two evaluations of the states if no new item arrives.
	evaluationInterval = 500 * monotime.Millisecond
)

// Reachability is the state of a zone as seen from the local zone. 0 means that the zone is not known.
type Reachability uint8

// The states of a zone.
const (
	// Reachable means that a delegate of the local zone can reach the zone.
	Reachable Reachability = iota + 1
	// Partitioned means that the local zone cannot reach the zone, but can reach another zone that does.
	Partitioned
	// Unknown means that no reachable zone can reach it: the zone may have failed, or be cut off from all of them.
	Unknown
	// Left means that the last member of the zone has announced its departure.
	Left
)

// String returns the state in lower case, as it appears in logs, on the admin listener and in scripts.
func (r Reachability) String() string {
	return [...]string{"", "reachable", "cut", "unknown", "left"}[min(r, Left)]
}

// View is one zone as this member sees it.
type View struct {
	Summary
	// Own marks this member's own zone.
	Own   bool
	State Reachability
	Since monotime.Micros // time of the last state change
}

// evaluateZones updates the states of all zones, forgets those that have been Unknown or Left for zoneRetention, and
// counts the members of the fleet.
func (d *Directory) evaluateZones(now monotime.Micros) {
	if now < d.nextEvaluationAt {
		return
	}
	d.nextEvaluationAt = now + evaluationInterval
	d.unreachableZones = d.unreachableFromZone()
	for _, z := range slices.Clone(d.zones) {
		d.setReachability(now, z, d.reachability(z))
		if z.unknownOrLeft() && z.id != d.ownZone && now-z.stateSince > zoneRetention {
			d.forgetZone(now, z)
		}
	}
	d.countMembers()
}

// unknownOrLeft reports whether the zone is Unknown or Left: none of its members is known to be running.
func (z *zoneState) unknownOrLeft() bool { return z.state == Unknown || z.state == Left }

// countMembers counts the members of other zones. They count as live if the zone is Reachable or Partitioned.
func (d *Directory) countMembers() {
	d.remoteLive, d.remoteKnown, d.membersBefore = 0, 0, 0
	for _, z := range d.zones {
		if z.id == d.ownZone {
			continue
		}
		d.remoteKnown += z.Known
		if z.state != Reachable && z.state != Partitioned {
			continue
		}
		d.remoteLive += z.Live
		if z.id < d.ownZone {
			d.membersBefore += z.Live
		}
	}
}

// reachability returns the current state of a zone, from the unreachable zones of the local zone and the summaries of
// the others.
func (d *Directory) reachability(z *zoneState) Reachability {
	switch {
	case z.id == d.ownZone:
		return Reachable
	case z.Live == 0:
		return Left
	case !slices.Contains(d.unreachableZones, z.id):
		return Reachable
	}
	if slices.ContainsFunc(d.zones, func(other *zoneState) bool { return d.reachedThrough(z, other) }) {
		return Partitioned
	}
	return Unknown
}

// reachedThrough reports whether other, a zone that the local one can reach, reaches z.
func (d *Directory) reachedThrough(z, other *zoneState) bool {
	return other != z && other.id != d.ownZone && other.Live > 0 &&
		!slices.Contains(d.unreachableZones, other.id) && !other.reportsUnreachable(z.id)
}

// setReachability updates the state of a zone. It keeps the old state while this member is unhealthy, and changes it to
// Partitioned only after partitionConfirmTime.
func (d *Directory) setReachability(now monotime.Micros, z *zoneState, state Reachability) {
	if state != Partitioned {
		z.partitionedSince = 0
	} else if z.partitionedSince == 0 {
		z.partitionedSince = now
	}
	unconfirmed := state == Partitioned && now-z.partitionedSince < partitionConfirmTime
	if state == z.state || unconfirmed || d.unhealthy() {
		return
	}
	z.state = state
	z.stateSince = now
}

// State returns the state of a zone, or 0 if the zone is not known.
func (d *Directory) State(id ID) Reachability {
	if z := d.zoneByID(id); z != nil {
		return z.state
	}
	return 0
}

// Views lists all known zones: the local one first, the others by region and name.
func (d *Directory) Views() []View {
	views := make([]View, 0, len(d.zones))
	for _, z := range d.zones {
		views = append(views, View{Summary: *z.Summary, Own: z.id == d.ownZone, State: z.state, Since: z.stateSince})
	}
	slices.SortFunc(views, compareViews)
	return views
}

func compareViews(a, b View) int {
	switch {
	case a.Own && !b.Own:
		return -1
	case b.Own && !a.Own:
		return 1
	}
	return cmp.Or(cmp.Compare(a.Site.Region, b.Site.Region), cmp.Compare(a.Site.Zone, b.Site.Zone))
}

// Live returns the number of live members in all zones that are Reachable or Partitioned.
func (d *Directory) Live() int { return d.local.Live + d.remoteLive }

// Known returns the number of known members in all zones that are not forgotten.
func (d *Directory) Known() int { return d.local.Known + d.remoteKnown }

// RateDivisor returns the number by which a fleet-wide budget is divided to get this member's share.
func (d *Directory) RateDivisor() float64 { return d.cfg.RateDivisor.Value() }

// Position returns this member's index among the live members of the fleet, ordered by zone ID and within a zone by
// member ID, from 0 to Live()-1. It is consistent across members whose views agree.
func (d *Directory) Position() int { return d.membersBefore + d.local.Position }
