package membership

import (
	"slices"

	"spurspread/decision/splitmix"
)

// The rings determine who probes whom. Each of the WatchersPerMember rings orders the live members by a different hash
// of their IDs, which is the same in all views. Each member watches its successor on each ring.

// ringHashes returns a member's position on each ring.
func ringHashes(id ID) (hashes [WatchersPerMember]uint64) {
	for ring := range hashes {
		hashes[ring] = splitmix.Mix64(uint64(id) + uint64(ring+1)*splitmix.Gamma)
	}
	return hashes
}

// ringPosition returns the index of a member on a ring, or its insertion index, and whether it is on the ring.
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

// maxSuccessors bounds the successors on one ring that a member watches.
const maxSuccessors = 2 * WatchersPerMember

// watchTargets returns the members that this one probes regularly: its successor on each ring and, as long as the last
// of them is suspected or late with its ack, the next successor too, up to maxSuccessors. A member whose watcher may
// have failed is thereby watched by another one at once.
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
