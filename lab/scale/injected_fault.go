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
	// NoDelegate has each stub member rank itself behind all others of its zone, so that no zone has a delegate.
	NoDelegate InjectedFault = "no-delegate"
	// EveryDelegate has each stub member rank itself before all others of its zone, so that all are delegates.
	EveryDelegate InjectedFault = "every-delegate"
	// WrongSummary has the stub members of the first zone send a summary of it with one member too many.
	WrongSummary InjectedFault = "wrong-summary"
)

// InjectedFaults are all faults that can be injected.
var InjectedFaults = []InjectedFault{NoDelegate, EveryDelegate, WrongSummary}

// corruptZone is the zone whose summary WrongSummary changes.
const corruptZone = 0

// rankFunc returns the function by which a member ranks the members of its zone for the election of delegates, the
// lowest rank first; nil for the ranking of the decision core.
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

// corruptSummary returns the datagram that a member with the fault WrongSummary sends in place of a datagram. Datagrams
// without a summary, and those of members without the fault, are returned unchanged.
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
