package zoned

import (
	"slices"
	"spurspread/decision/zonedirectory"
)

// Plant is a fault that can be planted in all members, to see that the checker finds it.
type Plant struct {
	rank    func() func(zonedirectory.ID, zonedirectory.MemberID) uint64
	receive func(*balancer, *zonedirectory.Message)
}

// Plants are the faults that can be planted.
var Plants = map[string]*Plant{
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
		if it.Summary == nil || it.Summary.Site.ID() == b.of {
			continue
		}
		for _, v := range b.dir.Views(0) {
			if v.Site == it.Summary.Site && v.Version > it.Summary.Version {
				s := *it.Summary
				s.Version = v.Version + 1
				m.Items[i].Summary = &s
			}
		}
	}
}
