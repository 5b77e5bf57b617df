package peer

import (
	"net/netip"

	"spurspread/decision/monotime"
	"spurspread/internal/peer/packet"
)

const (
	// takeoverAttempts is the number of attempts to reach an earlier process with this name, and takeoverInterval the
	// time between them. Each attempt reaches it with probability 1/2, if it exists.
	takeoverAttempts = 20
	takeoverInterval = 100 * monotime.Millisecond
)

// handleDuplicate handles a datagram from a process with this member's name. A Hello that is not addressed to this
// instance is answered with a Hello. A Hello that is addressed to this instance ends this process's membership if the
// sender's instance is greater, which means that it has started later. Any other message goes to membership.
func (h *Host) handleDuplicate(from netip.AddrPort, d *packet.Datagram) {
	switch {
	case d.Instance() == h.self.Instance: // sent by this process itself, see requestTakeover
	case !d.IsHello():
		h.deliverToFleet(from, d)
	case d.ReceiverInstance != h.self.Instance:
		h.socket.Send(from, h.sealHello(d.Instance()))
	case d.Instance() > h.self.Instance:
		h.fleet.Supersede()
	}
}

// requestTakeover looks for an earlier process at this address, which exists during an upgrade, and makes it end its
// membership. While both processes are bound to the address, the kernel chooses between them by a datagram's source
// address, and the datagrams of all other members may go to the earlier one. Each attempt therefore sends a Hello from
// a new port, until one reaches the earlier process. That process answers with its instance, and a second Hello,
// addressed to that instance, makes it end its membership.
func (h *Host) requestTakeover(attempts int) {
	h.closeTakeoverSocket()
	if attempts == 0 || h.closed || h.fleet.Superseded() {
		return
	}
	own := h.socket.Addr()
	socket, err := h.cfg.OpenSocket(netip.AddrPortFrom(own.Addr(), 0), h.receiveTakeover)
	if err != nil {
		return // out of descriptors: the earlier process remains until it is stopped
	}
	h.takeoverSocket = socket
	socket.Send(own, h.sealHello(0))
	h.loop.After(takeoverInterval, func() { h.requestTakeover(attempts - 1) })
}

// receiveTakeover handles the answer of an earlier process: it sends the Hello that ends that process's membership.
func (h *Host) receiveTakeover(from netip.AddrPort, sealed []byte) {
	plaintext, err := h.cfg.Keyring.Open(sealed)
	if err != nil {
		return
	}
	d, err := packet.Decode(plaintext)
	if err == nil && d.IsHello() && d.From() == h.self.ID && d.Instance() < h.self.Instance {
		h.takeoverSocket.Send(from, h.sealHello(d.Instance()))
	}
}

func (h *Host) closeTakeoverSocket() {
	if h.takeoverSocket != nil {
		h.takeoverSocket.Close()
		h.takeoverSocket = nil
	}
}
