package membership

import (
	"slices"

	"spurspread/decision/splitmix"
)

// The rings decide who probes whom. Each of WatchersPerMember rings orders the members that are there by another hash
// of their ids, the same in all views, and each member watches its successor on each ring.

// ringHashes returns a member's position on each ring.
func ringHashes(id ID) (hashes [WatchersPerMember]uint64) {
	for ring := range hashes {
		hashes[ring] = splitmix.Mix64(uint64(id) + uint64(ring+1)*splitmix.Gamma)
	}
	return hashes
}

// ringPosition returns where a member is on a ring, or would be inserted, and whether it is there.
func ringPosition(members []*peer, ring int, hash uint64, id ID) (int, bool) {
	return slices.BinarySearchFunc(members, hash, func(p *peer, hash uint64) int {
		switch {
		case p.ringHash[ring] < hash || p.ringHash[ring] == hash && p.ID < id:
			return -1
		case p.ringHash[ring] == hash && p.ID == id:
			return 0
		}
		return 1
	})
}

func (f *Fleet) addToRings(p *peer) {
	for ring := range f.rings {
		if at, found := ringPosition(f.rings[ring], ring, p.ringHash[ring], p.ID); !found {
			f.rings[ring] = slices.Insert(f.rings[ring], at, p)
		}
	}
}

func (f *Fleet) removeFromRings(p *peer) {
	for ring := range f.rings {
		if at, found := ringPosition(f.rings[ring], ring, p.ringHash[ring], p.ID); found {
			f.rings[ring] = slices.Delete(f.rings[ring], at, at+1)
		}
	}
}

// maxSuccessors bounds how many successors on one ring a member watches.
const maxSuccessors = 2 * WatchersPerMember

// watchTargets decides whom this member probes regularly: its successor on each ring, and while that one is suspected
// or late with its answer, the next one, too, at most maxSuccessors. So a member whose watcher may have failed has
// another one at once.
func (f *Fleet) watchTargets() []*peer {
	var targets []*peer
	for ring, members := range f.rings {
		at, _ := ringPosition(members, ring, f.ringHash[ring], f.self.ID)
		for i := range min(len(members), maxSuccessors) {
			p := members[(at+i)%len(members)]
			if !slices.Contains(targets, p) {
				targets = append(targets, p)
			}
			late := p.probe != nil && p.probe.indirectSent
			if p.state == Alive && !late {
				break
			}
		}
	}
	return targets
}
