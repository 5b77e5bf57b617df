package zonedirectory

import (
	"slices"

	"spurspread/decision/monotime"
)

// observationInterval is the minimum time between two observations by one delegate.
const observationInterval = 500 * monotime.Millisecond

// observationState is the state of this member's observations as a delegate.
type observationState struct {
	complete    bool // all zones have been probed since this member became a delegate
	publishedAt monotime.Micros
}

// withdrawn reports whether the observation no longer counts.
func (o *Observation) withdrawn() bool { return slices.Contains(o.Unreachable, o.Zone) }

// publishObservation publishes an observation in the local zone if this member is a delegate and the zones that it
// cannot reach have changed. If it is no longer a delegate, it publishes one that withdraws its last observation.
func (d *Directory) publishObservation(now monotime.Micros) {
	if !d.settled || d.unhealthy() || now-d.observation.publishedAt < observationInterval {
		return
	}
	key := observationKey(d.ownZone, d.cfg.Self.ID)
	published := d.items[key]
	unreachable, due := d.currentObservation(published)
	if !due || published != nil && slices.Equal(published.Observation.Unreachable, unreachable) {
		return
	}
	d.observation.publishedAt = now
	d.store(now, newEntry(Item{Observation: &Observation{
		Zone:        d.ownZone,
		Delegate:    d.cfg.Self.ID,
		Version:     d.nextVersion(now, key),
		Unreachable: unreachable,
	}}))
}

// currentObservation returns the zones to list in this member's observation, and whether it should have one. A delegate
// publishes one as soon as it has probed all zones; a former delegate withdraws its observation.
func (d *Directory) currentObservation(published *entry) (unreachable []ID, due bool) {
	if d.ownRank >= Delegates {
		return []ID{d.ownZone}, published != nil && !published.Observation.withdrawn()
	}
	if !d.observation.complete && !d.allZonesProbed() {
		return nil, false
	}
	return d.unreachableFromHere(), true
}

// allZonesProbed reports whether a probe of each other zone has been completed since this member became a delegate, and
// if so sets observation.complete.
func (d *Directory) allZonesProbed() bool {
	for _, z := range d.zones {
		if z.id != d.ownZone && len(z.Contacts) > 0 && !z.link.probed {
			return false
		}
	}
	d.observation.complete = true
	return true
}

// unreachableFromHere lists the zones that this member cannot reach. It includes the zones that it has forgotten, which
// would otherwise count as reached for members that still know them.
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

// unreachableFromZone lists the zones that the local one cannot reach: those listed by the observations of all
// delegates that have one, or, without any observation, those of the last summary. Zones whose last member has left are
// omitted.
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

// dropStaleObservations drops the observations of members that are no longer candidates for delegate.
func (d *Directory) dropStaleObservations() {
	for _, key := range slices.Clone(d.keys) {
		e := d.items[key]
		if e.Observation != nil && !d.isCandidate(e.Observation.Delegate) {
			d.remove(e)
		}
	}
}
