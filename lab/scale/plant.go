package scale

import (
	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/peer/packet"
)

// Plant is a fault planted in hollow members, to see that a run finds it.
type Plant string

// The faults that can be planted.
const (
	// NoDelegate: each hollow member ranks itself behind all others of its zone, so that nobody speaks for it.
	NoDelegate Plant = "no-delegate"
	// EveryDelegate: each ranks itself before all others, so that all speak for their zone.
	EveryDelegate Plant = "every-delegate"
	// WrongSummary: what the hollow members of the first zone send says that it has one member more than it has.
	WrongSummary Plant = "wrong-summary"
)

// Plants are all that there are.
var Plants = []Plant{NoDelegate, EveryDelegate, WrongSummary}

// rank is how one member orders those of its zone; nil: as the decider does.
func (p Plant) rank(self membership.ID) func(zonedirectory.ID, zonedirectory.MemberID) uint64 {
	if p != NoDelegate && p != EveryDelegate {
		return nil
	}
	return func(_ zonedirectory.ID, id zonedirectory.MemberID) uint64 {
		if (membership.ID(id) == self) == (p == NoDelegate) {
			return ^uint64(0)
		}
		return uint64(id) >> 1
	}
}

// falsify is a datagram as the planted fault has it sent.
func (m *hollow) falsify(b []byte) []byte {
	if m.g.setup.Plant != WrongSummary || m.g.setup.Topology.Zone(m.index) != 0 {
		return b
	}
	plain, err := m.g.ring.Open(b)
	if err != nil {
		return b
	}
	d, err := packet.Decode(plain)
	if err != nil || d.Directory == nil {
		return b
	}
	own := m.g.setup.Topology.Site(0)
	for i := range d.Directory.Items {
		if s := d.Directory.Items[i].Summary; s != nil && s.Site == own {
			s.Live++
			s.Known++
		}
	}
	return m.g.ring.Seal(nil, packet.EncodeDirectory(nil, d.Envelope, d.Directory))
}
