package scale

import (
	"fmt"
	"slices"
	"strings"
)

// maxMiscounts limits the number of members that describeMiscounts names.
const maxMiscounts = 5

// condition returns whether something holds for all members, and if so since when (wall clock, microseconds).
// monitor.mu must be locked.
type condition func() (since int64, holds bool)

// connected returns whether datagrams pass between two zones in both directions. Only whole zones are partitioned, so
// the first rack of each represents the zone.
func (m *monitor) connected(zone, other int) bool {
	rack := zone * racksPerZone
	otherRack := other * racksPerZone
	return !m.partitioned[[2]int{rack, otherRack}] && !m.partitioned[[2]int{otherRack, rack}]
}

// countable returns whether members of a zone have to count those of another: the zones are connected, or both are
// connected to a third.
func (m *monitor) countable(zone, other int) bool {
	if zone == other || m.connected(zone, other) {
		return true
	}
	for third := range m.topology.Zones {
		if m.connected(zone, third) && m.connected(third, other) {
			return true
		}
	}
	return false
}

// runningByZone returns the number of running members of each zone.
func (m *monitor) runningByZone() []int {
	running := make([]int, m.topology.Zones)
	for i := range m.members {
		if m.members[i].running {
			running[m.topology.Zone(i)]++
		}
	}
	return running
}

// expectedCounts returns, by zone, the number of live members that each member of the zone has to count.
func (m *monitor) expectedCounts() []int {
	running := m.runningByZone()
	expected := make([]int, m.topology.Zones)
	for zone := range expected {
		for other := range running {
			if m.countable(zone, other) {
				expected[zone] += running[other]
			}
		}
	}
	return expected
}

// countsComplete is the condition that every running member counts the expected number of members.
func (m *monitor) countsComplete() (since int64, holds bool) {
	expected := m.expectedCounts()
	for i := range m.members {
		member := &m.members[i]
		if !member.running {
			continue
		}
		if member.totalCount != expected[m.topology.Zone(i)] {
			return 0, false
		}
		since = max(since, member.totalChangedAt)
	}
	return since, true
}

// joinComplete is the condition that every running member knows all members of its zone and counts the whole fleet.
func (m *monitor) joinComplete() (since int64, holds bool) {
	since, holds = m.countsComplete()
	running := m.runningByZone()
	for i := range m.members {
		member := &m.members[i]
		if member.running && !m.topology.Flat && member.ownZoneCount != running[m.topology.Zone(i)] {
			return 0, false
		}
	}
	return since, holds
}

// deathSeen returns the condition that a member has been declared dead by all running members of its zone, or of the
// whole fleet if it is flat.
func (m *monitor) deathSeen(subject int) condition {
	return func() (since int64, holds bool) {
		for i := range m.members {
			member := &m.members[i]
			if !member.running || i == subject || !m.sameMembership(i, subject) {
				continue
			}
			at, seen := member.deadAt[subject]
			if !seen {
				return 0, false
			}
			since = max(since, at)
		}
		return since, true
	}
}

// sameMembership returns whether two members are in the same membership: that of their zone, or that of a flat fleet.
func (m *monitor) sameMembership(member, other int) bool {
	return m.topology.Flat || m.topology.Zone(member) == m.topology.Zone(other)
}

// recordSeen returns the condition that a record has a value at every running member whose zone counts the members of
// fromZone.
func (m *monitor) recordSeen(fromZone int, name, value string) condition {
	return func() (since int64, holds bool) {
		for i := range m.members {
			member := &m.members[i]
			if !member.running || !m.countable(fromZone, m.topology.Zone(i)) {
				continue
			}
			record := member.records[name]
			if record.value != value {
				return 0, false
			}
			since = max(since, record.seenAt)
		}
		return since, true
	}
}

// describeMiscounts returns a text with the number of members whose count differs from the expected one, and the first
// of them by name.
func (m *monitor) describeMiscounts() string {
	var named []string
	expected := m.expectedCounts()
	miscounts := 0
	for i := range m.members {
		member := &m.members[i]
		zone := m.topology.Zone(i)
		if !member.running || member.totalCount == expected[zone] {
			continue
		}
		miscounts++
		if miscounts > maxMiscounts {
			continue
		}
		named = append(named, fmt.Sprintf("%s (zone %d) counts %d members, expected %d",
			m.topology.Name(i), zone, member.totalCount, expected[zone]))
	}
	slices.Sort(named)
	return fmt.Sprintf("%d members have a wrong count: %s", miscounts, strings.Join(named, ", "))
}
