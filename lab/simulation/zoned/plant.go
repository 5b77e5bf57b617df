package zoned

import (
	"slices"
	"spurspread/decision/zonedirectory"
)

// Fault is a fault that can be planted in all members, to see that the checker finds it.
type Fault struct {
	rank    func() func(zonedirectory.ID, zonedirectory.MemberID) uint64
	receive func(*balancer, *zonedirectory.Message)
}

// Faults are the faults that can be planted.
var Faults = map[string]*Fault{
	"rank-by-join-order": {rank: joinOrder},
	"older-version":      {receive: anyVersion},
}

// joinOrder ranks members by when this one has heard of them, which is another order for each.
func joinOrder() func(zonedirectory.ID, zonedirectory.MemberID) uint64 {
	order := map[zonedirectory.MemberID]uint64{}
	return func(_ zonedirectory.ID, id zonedirectory.MemberID) uint64 {
		at, ok := order[id]
		if !ok {
			at = uint64(len(order))
			order[id] = at
		}
		return at
	}
}

// anyVersion takes each summary of another zone that comes for a newer one than is held.
func anyVersion(b *balancer, m *zonedirectory.Message) {
	m.Items = slices.Clone(m.Items)
	for i, it := range m.Items {
		if it.Summary == nil || it.Summary.Site.ID() == b.zoneID {
			continue
		}
		for _, v := range b.directory.Views() {
			if v.Site == it.Summary.Site && v.Version > it.Summary.Version {
				s := *it.Summary
				s.Version = v.Version + 1
				m.Items[i].Summary = &s
			}
		}
	}
}
