package scale

import (
	"fmt"
	"slices"
	"strings"
)

// maxMiscounts bounds how many members describeMiscounts names.
const maxMiscounts = 5

// condition returns whether something holds for all members, and since when (wall clock, microseconds). It needs
// monitor.mu locked.
type condition func() (since int64, holds bool)

// connected returns whether datagrams pass between two zones both ways. Partitions are between whole zones, so that
// the first rack of each stands for all.
func (m *monitor) connected(zone, other int) bool {
	rack := zone * racksPerZone
	otherRack := other * racksPerZone
	return !m.partitioned[[2]int{rack, otherRack}] && !m.partitioned[[2]int{otherRack, rack}]
}

// countable returns whether the members of a zone have to count those of another one: the zones are connected, or
// both are connected to a third.
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

// runningByZone returns how many members run in each zone.
func (m *monitor) runningByZone() []int {
	running := make([]int, m.topology.Zones)
	for i := range m.members {
		if m.members[i].running {
			running[m.topology.Zone(i)]++
		}
	}
	return running
}

// expectedCounts returns, for each zone, how many live members its members have to count.
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

// countsComplete is the condition that all members that run count as many members as expected.
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

// joinComplete is the condition that all members that run know all of their own zone, and count all of the fleet.
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

// deathSeen is the condition that all members that run in a member's zone, or in a flat fleet all that run, have
// declared it dead.
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

// sameMembership returns whether two members are in the same membership: that of their zone, or of a flat fleet.
func (m *monitor) sameMembership(member, other int) bool {
	return m.topology.Flat || m.topology.Zone(member) == m.topology.Zone(other)
}

// recordSeen is the condition that all members that run, in zones that count the members of a zone, have a record's
// value.
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

// describeMiscounts returns how many members count another number than expected, and names the first of them.
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
		named = append(named, fmt.Sprintf("%s (zone %d) counts %d, %d are there",
			m.topology.Name(i), zone, member.totalCount, expected[zone]))
	}
	slices.Sort(named)
	return fmt.Sprintf("%d count wrongly: %s", miscounts, strings.Join(named, ", "))
}
