package zoned

import (
	"slices"

	"spurspread/decision/zonedirectory"
)

// Fault is a defect that can be planted in all members, to show that the checker finds it.
type Fault struct {
	rank    func() func(zonedirectory.ID, zonedirectory.MemberID) uint64
	receive func(*balancer, *zonedirectory.Message)
}

// Faults are those that can be planted, by name.
func Faults() map[string]*Fault {
	return map[string]*Fault{
		"rank-by-join-order": {rank: joinOrder},
		"older-version":      {receive: acceptOlderVersions},
	}
}

// joinOrder ranks members by when this one has learned of them, which is another order in each.
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

// acceptOlderVersions takes each summary of another zone that is received for a newer one than is held.
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
