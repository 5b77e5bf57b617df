package zonedirectory

import (
	"cmp"
	"slices"

	"spurspread/decision/monotime"
)

const (
	// zoneRetention is how long a zone that is Unknown or has Left counts as known.
	zoneRetention = 600 * monotime.Second
	// partitionConfirmTime is how long a zone is reached by others only before it is Partitioned: where one dies, or
	// a region is cut off, some zones find out a little later than others.
	partitionConfirmTime = 2500 * monotime.Millisecond
	// evaluationInterval is how often states are evaluated where no item is new.
	evaluationInterval = 500 * monotime.Millisecond
)

// Reachability is what a zone is considered to be. 0 is that of a zone that is not known.
type Reachability uint8

// The states of a zone.
const (
	// Reachable says that a delegate of the own zone reaches it.
	Reachable Reachability = iota + 1
	// Partitioned says that only other zones reach it that can be reached themselves.
	Partitioned
	// Unknown says that nobody reaches it who can be reached: it may have died, or be cut off from all of them.
	Unknown
	// Left says that its last member has announced its departure.
	Left
)

// String returns the state in lower case, as logs, the admin listener and scripts have it.
func (r Reachability) String() string {
	return [...]string{"", "reachable", "cut", "unknown", "left"}[min(r, Left)]
}

// View is one zone as a member sees it.
type View struct {
	Summary
	// Own says that it is this member's zone.
	Own   bool
	State Reachability
	Since monotime.Micros // in this state since then
}

// evaluateZones updates what each zone is considered to be, forgets those that are gone for zoneRetention, and counts
// the fleet.
func (d *Directory) evaluateZones(now monotime.Micros) {
	if now < d.nextEvaluationAt {
		return
	}
	d.nextEvaluationAt = now + evaluationInterval
	d.unreachableZones = d.unreachableFromZone()
	for _, z := range slices.Clone(d.zones) {
		d.setReachability(now, z, d.reachability(z))
		if z.isGone() && z.id != d.ownZone && now-z.stateSince > zoneRetention {
			d.forgetZone(now, z)
		}
	}
	d.countMembers()
}

// isGone reports whether nobody is known to be in the zone.
func (z *zoneState) isGone() bool { return z.state == Unknown || z.state == Left }

// countMembers counts the members of other zones: as live where the zone is reached by somebody.
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

// reachability decides what a zone is at this moment, by what the own zone doesn't reach and the others' summaries.
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

// reachedThrough reports whether another zone, which the own one reaches, reaches z.
func (d *Directory) reachedThrough(z, other *zoneState) bool {
	return other != z && other.id != d.ownZone && other.Live > 0 &&
		!slices.Contains(d.unreachableZones, other.id) && !other.reportsUnreachable(z.id)
}

// setReachability decides whether a zone's state changes: not while this member doubts its own observations, and to
// Partitioned only after partitionConfirmTime.
func (d *Directory) setReachability(now monotime.Micros, z *zoneState, state Reachability) {
	if state != Partitioned {
		z.partitionedSince = 0
	} else if z.partitionedSince == 0 {
		z.partitionedSince = now
	}
	unconfirmed := state == Partitioned && now-z.partitionedSince < partitionConfirmTime
	if state == z.state || unconfirmed || d.doubtful() {
		return
	}
	z.state = state
	z.stateSince = now
}

// State is what a zone is considered to be, 0 where it is not known.
func (d *Directory) State(id ID) Reachability {
	if z := d.zoneByID(id); z != nil {
		return z.state
	}
	return 0
}

// Views lists all zones that are known, the own one first, the others by region and name.
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

// Live is how many members there are in all zones but those that have left or are Unknown.
func (d *Directory) Live() int { return d.local.Live + d.remoteLive }

// Known is how many members there are or were in all zones that are not forgotten.
func (d *Directory) Known() int { return d.local.Known + d.remoteKnown }

// RateDivisor is by how much a budget of the whole fleet is divided to have this member's part.
func (d *Directory) RateDivisor() float64 { return d.cfg.RateDivisor.Value() }

// Position is this member's position in the fleet, by zones, and in its zone by ids: 0 to Live()-1, the same in all
// views that agree.
func (d *Directory) Position() int { return d.membersBefore + d.local.Position }
