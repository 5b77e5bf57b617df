package peer

import (
	"net/netip"

	"github.com/sirupsen/logrus"

	"spurspread/decision/membership"
	"spurspread/internal/logging"
	"spurspread/internal/peer/packet"
)

// dispatch sends the messages of membership, and logs what has changed.
func (h *Host) dispatch(out []membership.Outgoing, changes []membership.StateChange) {
	for _, c := range changes {
		h.log.WithFields(logrus.Fields{
			logging.Member:        c.Name,
			logging.State:         c.To.String(),
			logging.PreviousState: c.From.String(),
			logging.Incarnation:   c.Incarnation,
		}).Info("a member has changed")
	}
	for i := range out {
		h.send(&out[i])
	}
}

func (h *Host) send(out *membership.Outgoing) {
	to, receiver := h.resolve(out.To, out.Receiver)
	h.plaintext = packet.Encode(h.plaintext[:0], h.nextEnvelope(h.instances[receiver]), &out.Message)
	h.sendSealed(to)
}

// resolve returns where a member is reached, and who is at an address where that is not given but known.
func (h *Host) resolve(to netip.AddrPort, id membership.ID) (netip.AddrPort, membership.ID) {
	if id == 0 {
		id = h.memberAt[to]
	}
	return h.overrideAddr(to, id), id
}

// overrideAddr returns the address at which a member is reached from here, addr where there is no other.
func (h *Host) overrideAddr(addr netip.AddrPort, id membership.ID) netip.AddrPort {
	if override, found := h.addressOverrides[id]; found {
		return override
	}
	return addr
}

// nextEnvelope is that of the next datagram, for a process with this instance, 0 where that is not known.
func (h *Host) nextEnvelope(receiverInstance uint64) packet.Envelope {
	h.counter++
	e := packet.Envelope{
		ReceiverInstance: receiverInstance,
		Counter:          h.counter,
		Addr:             h.self.Addr,
		Zone:             h.zones.own,
	}
	if h.zones.enabled() {
		e.DirectoryDigest = h.zones.directory.Digest()
	}
	return e
}

// sendSealed seals what is in plaintext and sends it.
func (h *Host) sendSealed(to netip.AddrPort) {
	h.sealed = h.cfg.Keyring.Seal(h.sealed[:0], h.plaintext)
	h.counts.Sent++
	h.counts.SentBytes += int64(len(h.sealed))
	h.socket.Send(to, h.sealed)
}

// sealHello returns a datagram that says which process of its name this is, for one with this instance, 0 where that
// is not known. It is valid until the next one is sealed.
func (h *Host) sealHello(receiverInstance uint64) []byte {
	hello := membership.Message{Kind: packet.Hello, From: h.self.ID, Instance: h.self.Instance}
	h.plaintext = packet.Encode(h.plaintext[:0], h.nextEnvelope(receiverInstance), &hello)
	h.sealed = h.cfg.Keyring.Seal(h.sealed[:0], h.plaintext)
	return h.sealed
}
