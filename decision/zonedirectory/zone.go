package zonedirectory

import (
	"slices"

	"spurspread/decision/monotime"
)

// zoneState is this member's state about one zone, possibly its own.
type zoneState struct {
	*Summary
	id               ID
	state            Reachability
	stateSince       monotime.Micros
	partitionedSince monotime.Micros // since when the condition for Partitioned holds, 0 if it does not
	link             link
}

// reportsUnreachable reports whether the zone's summary lists another zone as unreachable.
func (z *zoneState) reportsUnreachable(id ID) bool {
	_, found := slices.BinarySearch(z.Unreachable, id)
	return found
}

// zoneByID returns the state of a zone, or nil if the zone is not known.
func (d *Directory) zoneByID(id ID) *zoneState {
	if at, found := d.zoneIndex(id); found {
		return d.zones[at]
	}
	return nil
}

// zoneIndex returns the index of a zone in d.zones, or its insertion index, and whether it was found.
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

// applySummary updates the state of a zone from its new summary.
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

// addedZones lists the zones in current that are not in previous.
func addedZones(previous, current []ID) []ID {
	return slices.DeleteFunc(slices.Clone(current), func(id ID) bool { return slices.Contains(previous, id) })
}
