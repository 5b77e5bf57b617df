package peer

import (
	"net/netip"

	"github.com/sirupsen/logrus"

	"spurspread/decision/membership"
	"spurspread/internal/logging"
	"spurspread/internal/peer/packet"
)

// dispatch sends messages of membership and logs state changes of members.
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

// resolve returns the address at which to reach a member, and the member's ID. If id is 0, it is looked up by the
// address, and stays 0 if the address is unknown.
func (h *Host) resolve(to netip.AddrPort, id membership.ID) (netip.AddrPort, membership.ID) {
	if id == 0 {
		id = h.memberAt[to]
	}
	return h.overrideAddr(to, id), id
}

// overrideAddr returns the configured address of a member, or addr if there is none.
func (h *Host) overrideAddr(addr netip.AddrPort, id membership.ID) netip.AddrPort {
	if override, found := h.addressOverrides[id]; found {
		return override
	}
	return addr
}

// nextEnvelope returns the envelope of the next datagram, for the process with this instance; 0 if that is unknown.
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

// sendSealed encrypts h.plaintext and sends it.
func (h *Host) sendSealed(to netip.AddrPort) {
	h.sealed = h.cfg.Keyring.Seal(h.sealed[:0], h.plaintext)
	h.counts.Sent++
	h.counts.SentBytes += int64(len(h.sealed))
	h.socket.Send(to, h.sealed)
}

// sealHello returns an encrypted Hello, which tells the receiver this process's instance. receiverInstance is 0 if it
// is unknown. The result is valid until the next datagram is encrypted.
func (h *Host) sealHello(receiverInstance uint64) []byte {
	hello := membership.Message{Kind: packet.Hello, From: h.self.ID, Instance: h.self.Instance}
	h.plaintext = packet.Encode(h.plaintext[:0], h.nextEnvelope(receiverInstance), &hello)
	h.sealed = h.cfg.Keyring.Seal(h.sealed[:0], h.plaintext)
	return h.sealed
}
