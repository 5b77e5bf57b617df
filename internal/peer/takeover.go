package peer

import (
	"net/netip"

	"spurspread/decision/monotime"
	"spurspread/internal/peer/packet"
)

const (
	// takeoverAttempts is how often an earlier process of this name is looked for, takeoverInterval the time between
	// two attempts. Each reaches it with one chance in two, if there is one.
	takeoverAttempts = 20
	takeoverInterval = 100 * monotime.Millisecond
)

// handleDuplicate takes a datagram of another process with this name. A later one that knows this process takes over;
// all others are sent a Hello.
func (h *Host) handleDuplicate(from netip.AddrPort, d *packet.Datagram) {
	switch {
	case d.Instance() == h.self.Instance: // this process's own, see requestTakeover
	case !d.IsHello():
		h.deliverToFleet(from, d)
	case d.ReceiverInstance != h.self.Instance:
		h.socket.Send(from, h.sealHello(d.Instance()))
	case d.Instance() > h.self.Instance:
		h.fleet.Supersede()
	}
}

// requestTakeover looks for an earlier process at this address, as there is in an upgrade, and has it yield. While
// both are bound, the kernel deals out datagrams by where they come from, and those of other members may all reach
// the earlier one. So it is sent a Hello from a new port each time, until one has reached it. It answers with its own
// instance; the Hello that is then meant for it has it yield.
func (h *Host) requestTakeover(attempts int) {
	h.closeTakeoverSocket()
	if attempts == 0 || h.closed || h.fleet.Superseded() {
		return
	}
	own := h.socket.Addr()
	socket, err := h.cfg.OpenSocket(netip.AddrPortFrom(own.Addr(), 0), h.receiveTakeover)
	if err != nil {
		return // without a free descriptor the earlier process stays until it is stopped
	}
	h.takeoverSocket = socket
	socket.Send(own, h.sealHello(0))
	h.loop.After(takeoverInterval, func() { h.requestTakeover(attempts - 1) })
}

// receiveTakeover has an earlier process that has answered yield.
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
