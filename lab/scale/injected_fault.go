package scale

import (
	"math"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/peer/packet"
)

// InjectedFault is a fault that is injected into stub members, to show that a run detects it.
type InjectedFault string

// The faults that can be injected.
const (
	// NoDelegate: each stub member ranks itself behind all others of its zone, so that no zone has a delegate.
	NoDelegate InjectedFault = "no-delegate"
	// EveryDelegate: each stub member ranks itself before all others of its zone, so that all are delegates.
	EveryDelegate InjectedFault = "every-delegate"
	// WrongSummary: the stub members of the first zone send a summary of it with one member too many.
	WrongSummary InjectedFault = "wrong-summary"
)

// InjectedFaults are all faults that can be injected.
var InjectedFaults = []InjectedFault{NoDelegate, EveryDelegate, WrongSummary}

// corruptZone is the zone whose summary WrongSummary changes.
const corruptZone = 0

// rankFunc is how a member ranks the members of its zone for the election of delegates, the lowest first; nil for
// the ranking of the decider.
func (f InjectedFault) rankFunc(self membership.ID) func(zonedirectory.ID, zonedirectory.MemberID) uint64 {
	if f != NoDelegate && f != EveryDelegate {
		return nil
	}
	return func(_ zonedirectory.ID, id zonedirectory.MemberID) uint64 {
		isSelf := membership.ID(id) == self
		if isSelf == (f == NoDelegate) {
			return math.MaxUint64
		}
		return uint64(id) >> 1
	}
}

// corruptSummary returns a datagram as WrongSummary has the member send it. Any other datagram is returned unchanged.
func (m *stubMember) corruptSummary(datagram []byte) []byte {
	if m.group.setup.Fault != WrongSummary || m.topology().Zone(m.index) != corruptZone {
		return datagram
	}
	plain, err := m.group.keyring.Open(datagram)
	if err != nil {
		return datagram
	}
	decoded, err := packet.Decode(plain)
	if err != nil || decoded.Directory == nil {
		return datagram
	}
	site := m.topology().Site(corruptZone)
	for i := range decoded.Directory.Items {
		if summary := decoded.Directory.Items[i].Summary; summary != nil && summary.Site == site {
			summary.Live++
			summary.Known++
		}
	}
	return m.group.keyring.Seal(nil, packet.EncodeDirectory(nil, decoded.Envelope, decoded.Directory))
}
