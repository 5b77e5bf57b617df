package zoned

import (
	"slices"

	"spurspread/decision/zonedirectory"
)

// Fault is a defect that can be injected into all members, to show that the checker finds it. Its functions may be nil.
type Fault struct {
	// rank is called for each process. It returns the function that ranks candidates for delegate, in place of the
	// balancer's own.
	rank func() func(zonedirectory.ID, zonedirectory.MemberID) uint64
	// receive changes a message before a member's directory receives it.
	receive func(*balancer, *zonedirectory.Message)
}

// Faults returns the faults that can be injected, by name.
func Faults() map[string]*Fault {
	return map[string]*Fault{
		"rank-by-join-order": {rank: joinOrder},
		"older-version":      {receive: acceptOlderVersions},
	}
}

// joinOrder ranks members in the order in which this member has learned of them, which differs between members.
func joinOrder() func(zonedirectory.ID, zonedirectory.MemberID) uint64 {
	order := map[zonedirectory.MemberID]uint64{}
	return func(_ zonedirectory.ID, id zonedirectory.MemberID) uint64 {
		rank, known := order[id]
		if !known {
			rank = uint64(len(order))
			order[id] = rank
		}
		return rank
	}
}

// acceptOlderVersions raises the version of each received summary of another zone that is older than the stored one, so
// that the directory replaces the newer summary by the older one.
func acceptOlderVersions(b *balancer, m *zonedirectory.Message) {
	m.Items = slices.Clone(m.Items)
	for i, item := range m.Items {
		if item.Summary == nil || item.Summary.Site.ID() == b.zoneID {
			continue
		}
		for _, v := range b.directory.Views() {
			if v.Site == item.Summary.Site && v.Version > item.Summary.Version {
				newer := *item.Summary
				newer.Version = v.Version + 1
				m.Items[i].Summary = &newer
			}
		}
	}
}
