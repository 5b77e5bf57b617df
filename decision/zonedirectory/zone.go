package zonedirectory

import (
	"slices"

	"spurspread/decision/monotime"
)

// zoneState is one zone, the own one included.
type zoneState struct {
	*Summary
	id               ID
	state            Reachability
	stateSince       monotime.Micros
	partitionedSince monotime.Micros // from when on it would be Partitioned, 0 where it would not
	link             link
}

// reportsUnreachable reports whether the zone's summary says that it doesn't reach another one.
func (z *zoneState) reportsUnreachable(id ID) bool {
	_, found := slices.BinarySearch(z.Unreachable, id)
	return found
}

// zoneByID returns what is held of a zone, nil where it is not known.
func (d *Directory) zoneByID(id ID) *zoneState {
	if at, found := d.zoneIndex(id); found {
		return d.zones[at]
	}
	return nil
}

// zoneIndex returns where a zone is in d.zones, or would be inserted, and whether it is there.
func (d *Directory) zoneIndex(id ID) (int, bool) {
	return slices.BinarySearchFunc(d.zones, id, func(z *zoneState, id ID) int {
		switch {
		case z.id < id:
			return -1
		case z.id > id:
			return 1
		}
		return 0
	})
}

// applySummary takes a zone's new summary.
func (d *Directory) applySummary(now monotime.Micros, s *Summary) {
	id := s.Site.ID()
	at, known := d.zoneIndex(id)
	if !known {
		z := &zoneState{id: id, state: Reachable, stateSince: now}
		if slices.Contains(d.unreachableZones, id) {
			z.state = Unknown
		}
		d.zones = slices.Insert(d.zones, at, z)
	}
	z := d.zones[at]
	if z.Summary != nil && id != d.ownZone && d.isActiveDelegate() {
		d.verifyUnreachable(now, addedZones(z.Unreachable, s.Unreachable))
	}
	z.Summary = s
	if id != d.ownZone {
		d.refreshContacts(now, z)
	}
}

// addedZones lists the zones of a list that the one before doesn't have.
func addedZones(before, now []ID) []ID {
	return slices.DeleteFunc(slices.Clone(now), func(id ID) bool { return slices.Contains(before, id) })
}
