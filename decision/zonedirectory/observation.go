package zonedirectory

import (
	"slices"

	"spurspread/decision/monotime"
)

// observationInterval is the least time between two observations of one delegate.
const observationInterval = 500 * monotime.Millisecond

// observationState is how far this member is with its observations as a delegate.
type observationState struct {
	complete    bool // all zones were probed since it became one
	publishedAt monotime.Micros
}

// withdrawn reports whether the observation no longer counts.
func (o *Observation) withdrawn() bool { return slices.Contains(o.Unreachable, o.Zone) }

// publishObservation publishes within the own zone what this member, as a delegate, doesn't reach, where that has
// changed.
func (d *Directory) publishObservation(now monotime.Micros) {
	if !d.settled || d.doubtful() || now-d.observing.publishedAt < observationInterval {
		return
	}
	key := observationKey(d.ownZone, d.cfg.Self.ID)
	held := d.items[key]
	unreachable, due := d.currentObservation(held)
	if !due || held != nil && slices.Equal(held.Observation.Unreachable, unreachable) {
		return
	}
	d.observing.publishedAt = now
	d.store(now, newEntry(Item{Observation: &Observation{
		Zone:        d.ownZone,
		Delegate:    d.cfg.Self.ID,
		Version:     d.nextVersion(now, key),
		Unreachable: unreachable,
	}}))
}

// currentObservation decides what this member's observation is to say, and whether there is to be one: a delegate has
// one once it has probed all zones; one that is no delegate any more withdraws it.
func (d *Directory) currentObservation(held *entry) (unreachable []ID, due bool) {
	if d.ownRank >= Delegates {
		return []ID{d.ownZone}, held != nil && !held.Observation.withdrawn()
	}
	if !d.observing.complete && !d.allZonesProbed() {
		return nil, false
	}
	return d.unreachableFromHere(), true
}

// allZonesProbed reports whether a probe of each other zone has ended since this member became a delegate.
func (d *Directory) allZonesProbed() bool {
	for _, z := range d.zones {
		if z.id != d.ownZone && len(z.Contacts) > 0 && !z.link.probed {
			return false
		}
	}
	d.observing.complete = true
	return true
}

// unreachableFromHere lists the zones that this member doesn't reach. Those that it has forgotten are among them:
// others that have not yet would take them for reached.
func (d *Directory) unreachableFromHere() []ID {
	var zones []ID
	for _, z := range d.zones {
		if z.id != d.ownZone && len(z.Contacts) > 0 && z.link.down {
			zones = append(zones, z.id)
		}
	}
	if len(d.tombstones) == 0 {
		return zones
	}
	for _, dropped := range d.tombstones {
		zones = append(zones, dropped.zone)
	}
	slices.Sort(zones)
	return zones[:min(len(zones), MaxZones)]
}

// unreachableFromZone decides which zones the own one doesn't reach: those that none of its delegates does, of those
// that have an observation; where none has, those of the last summary.
func (d *Directory) unreachableFromZone() []ID {
	var zones []ID
	observed := false
	for _, delegate := range d.delegates() {
		e := d.items[observationKey(d.ownZone, delegate.ID)]
		if e == nil || e.Observation.withdrawn() {
			continue
		}
		if !observed {
			observed = true
			zones = slices.Clone(e.Observation.Unreachable)
			continue
		}
		zones = slices.DeleteFunc(zones, func(id ID) bool { return !slices.Contains(e.Observation.Unreachable, id) })
	}
	if own := d.zoneByID(d.ownZone); !observed && own != nil {
		zones = slices.Clone(own.Unreachable)
	}
	return slices.DeleteFunc(zones, func(id ID) bool {
		z := d.zoneByID(id)
		return z != nil && z.Live == 0
	})
}

// dropStaleObservations drops those of members that are no delegates and would not replace one.
func (d *Directory) dropStaleObservations() {
	for _, key := range slices.Clone(d.keys) {
		e := d.items[key]
		if e.Observation != nil && !d.isCandidate(e.Observation.Delegate) {
			d.remove(e)
		}
	}
}
