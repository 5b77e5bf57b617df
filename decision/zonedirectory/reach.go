package zonedirectory

import (
	"cmp"
	"slices"
	"spurspread/decision/monotime"
)

const (
	// zoneRetention is how long a zone that is Unknown or has Left counts as known.
	zoneRetention = 600 * sec
	// partitionConfirmTime is how long a zone has to be reached by others only before it is held Cut: when one dies, or a region
	// is cut off, some zones find it out a little later than others.
	partitionConfirmTime = 2500 * ms
	// evaluationInterval is how often states are looked at where no item is new.
	evaluationInterval = 500 * ms
)

// evaluateZones says what each zone is held to be, and counts the fleet. A member that doubts itself leaves states as they are.
func (d *Directory) evaluateZones(now monotime.Micros) {
	if now < d.nextEvaluationAt {
		return
	}
	d.nextEvaluationAt = now + evaluationInterval
	d.unreachableZones = d.unreachableFromZone()
	for _, z := range slices.Clone(d.zones) {
		d.setReachability(now, z, d.reachability(z))
		if (z.state == Unknown || z.state == Left) && z.id != d.ownZone && now-z.stateSince > zoneRetention {
			d.forgetZone(now, z)
		}
	}
	d.remoteLive, d.remoteKnown, d.membersBefore = 0, 0, 0
	for _, z := range d.zones {
		if z.id == d.ownZone {
			continue
		}
		d.remoteKnown += z.Known
		if z.state != Reachable && z.state != Partitioned {
			continue
		}
		if d.remoteLive += z.Live; z.id < d.ownZone {
			d.membersBefore += z.Live
		}
	}
}

// reachability is what a zone is at this moment, by what the delegates of this one do not reach, and the others' summaries.
func (d *Directory) reachability(z *zoneState) Reachability {
	switch {
	case z.id == d.ownZone:
		return Reachable
	case z.Live == 0:
		return Left
	case !slices.Contains(d.unreachableZones, z.id):
		return Reachable
	}
	for _, c := range d.zones {
		if c != z && c.id != d.ownZone && c.Live > 0 && !slices.Contains(d.unreachableZones, c.id) &&
			!c.reportsUnreachable(z.id) {
			return Partitioned
		}
	}
	return Unknown
}

// reportsUnreachable tells whether a zone says that it does not reach another.
func (z *zoneState) reportsUnreachable(id ID) bool {
	_, found := slices.BinarySearch(z.Unreachable, id)
	return found
}

// setReachability changes what a zone is held to be; to Cut only after a while.
func (d *Directory) setReachability(now monotime.Micros, z *zoneState, s Reachability) {
	if s != Partitioned {
		z.partitionedSince = 0
	} else if z.partitionedSince == 0 {
		z.partitionedSince = now
	}
	if s == z.state || d.local.Unhealthy || d.notReceiving() ||
		s == Partitioned && now-z.partitionedSince < partitionConfirmTime {
		return
	}
	z.state, z.stateSince = s, now
}

// State is what a zone is held to be, 0 where it is not known.
func (d *Directory) State(id ID) Reachability {
	if z := d.zoneByID(id); z != nil {
		return z.state
	}
	return 0
}

// Views are all zones that are known, this one first, the others by region and name.
func (d *Directory) Views(monotime.Micros) []View {
	out := make([]View, 0, len(d.zones))
	for _, z := range d.zones {
		out = append(out, View{Summary: *z.Summary, Own: z.id == d.ownZone, State: z.state, Since: z.stateSince})
	}
	slices.SortFunc(out, func(a, b View) int {
		if a.Own != b.Own {
			return map[bool]int{true: -1, false: 1}[a.Own]
		}
		return cmp.Or(cmp.Compare(a.Site.Region, b.Site.Region), cmp.Compare(a.Site.Zone, b.Site.Zone))
	})
	return out
}

// Live is how many members are there in all zones but those that have left or are Unknown.
func (d *Directory) Live() int { return d.local.Live + d.remoteLive }

// Known is how many members there are or were, in all zones that are not forgotten.
func (d *Directory) Known() int { return d.local.Known + d.remoteKnown }

// RateDivisor is by how much a budget of the whole fleet is divided to have this member's part.
func (d *Directory) RateDivisor() float64 { return d.cfg.RateDivisor.Value() }

// Position is this member's place in the fleet: by zones, and in the zone by ids.
func (d *Directory) Position() int { return d.membersBefore + d.local.Position }
