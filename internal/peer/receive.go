package peer

import (
	"cmp"
	"errors"
	"net/netip"

	"spurspread/decision/membership"
	"spurspread/decision/monotime"
	"spurspread/internal/peer/packet"
)

const (
	// maxSenders bounds each of the maps that hold state by process or by source address.
	maxSenders = 2 * membership.MaxMembers
	// maxAddresses limits the number of known addresses of members: each member has up to two.
	maxAddresses = 2 * maxSenders
	// helloInterval is the minimum time between two Hellos to the same address.
	helloInterval = 200 * monotime.Millisecond

	// Limits on the number of datagrams decrypted in an admissionWindow, from known addresses (see admission) and from
	// others. Datagrams over the limit are dropped, since decryption takes some microseconds each.
	maxKnownPerSecond   = 4000
	maxUnknownPerSecond = 400
	admissionWindow     = 1 * monotime.Second
)

// receive handles a datagram from the socket.
func (h *Host) receive(from netip.AddrPort, sealed []byte) {
	if !h.admission.admit(h.loop.Now(), from) {
		h.counts.Dropped++
		return
	}
	plaintext, err := h.cfg.Keyring.Open(sealed)
	if err != nil {
		h.counts.Forged++
		return
	}
	d, err := packet.Decode(plaintext)
	switch {
	case errors.Is(err, packet.ErrUnknownVersion) || err == nil && (d.Zone != 0) != h.zones.enabled():
		h.counts.OtherVersion++
	case err != nil:
		h.counts.Malformed++
	case d.From() == h.self.ID:
		h.handleDuplicate(from, &d)
	case h.acceptFresh(from, &d):
		h.deliver(from, &d)
	}
}

// admission limits the number of datagrams that are decrypted, and so the cost of a flood.
type admission struct {
	known        map[netip.AddrPort]bool // addresses that have sent an accepted datagram other than a Hello
	windowStart  monotime.Micros
	knownCount   int // in this window
	unknownCount int
}

// admit reports whether a datagram from an address is to be decrypted: up to maxKnownPerSecond from known addresses and
// maxUnknownPerSecond from others. With separate limits, a flood from unknown addresses does not shut out members.
func (a *admission) admit(now monotime.Micros, from netip.AddrPort) bool {
	if now-a.windowStart >= admissionWindow {
		a.windowStart = now
		a.knownCount, a.unknownCount = 0, 0
		if len(a.known) > maxSenders {
			clear(a.known)
		}
	}
	if a.known[from] {
		a.knownCount++
		return a.knownCount <= maxKnownPerSecond
	}
	a.unknownCount++
	return a.unknownCount <= maxUnknownPerSecond
}

// processKey identifies one process of a member.
type processKey struct {
	id       membership.ID
	instance uint64
}

// acceptFresh reports whether a datagram is to be processed: it is addressed to this instance and was not received
// before, or it is a Hello that is addressed to no instance. A Hello that is addressed to another instance is dropped.
// Any other datagram that is not addressed to this instance may be a replay: its sender is sent a Hello, from which it
// learns this instance, and sends its message again.
func (h *Host) acceptFresh(from netip.AddrPort, d *packet.Datagram) bool {
	if d.ReceiverInstance != h.self.Instance {
		if !d.IsHello() {
			h.sendHello(from, d.From())
		}
		// A replayed Hello does little harm: until the sender's next Hello, this process addresses its datagrams to an
		// instance that no longer exists.
		return d.IsHello() && d.ReceiverInstance == 0
	}
	if !h.replayWindow(processKey{id: d.From(), instance: d.Instance()}).Accept(d.Counter) {
		h.counts.Replayed++
		return false
	}
	h.instances[d.From()] = cmp.Or(d.Instance(), h.instances[d.From()])
	return true
}

// replayWindow returns the replay window of a process, and creates it if there is none.
func (h *Host) replayWindow(key processKey) *packet.ReplayWindow {
	window := h.replayWindows[key]
	if window == nil {
		if len(h.replayWindows) >= maxSenders {
			clear(h.replayWindows) // a replay may then be accepted once more, but carries nothing new
		}
		window = &packet.ReplayWindow{}
		h.replayWindows[key] = window
	}
	return window
}

// sendHello sends a Hello to a member, unless its address was sent one within helloInterval.
func (h *Host) sendHello(to netip.AddrPort, id membership.ID) {
	now := h.loop.Now()
	if now-h.lastHello[to] < helloInterval {
		return
	}
	if len(h.lastHello) > maxSenders {
		clear(h.lastHello)
	}
	h.lastHello[to] = now
	h.socket.Send(h.overrideAddr(to, id), h.sealHello(0))
}

// deliver stores the sender's addresses, and the instance if the datagram is a Hello, and passes on any other message.
// The message counts as sent from the advertised address, if that is valid.
func (h *Host) deliver(from netip.AddrPort, d *packet.Datagram) {
	h.learnAddress(from, d.Addr, d.From())
	if d.IsHello() {
		h.instances[d.From()] = d.Instance()
		return
	}
	h.counts.Received++
	h.admission.known[from] = true
	if d.Addr.IsValid() {
		from = d.Addr
	}
	h.deliverToDirectory(from, d)
	h.deliverToFleet(from, d)
}

// deliverToFleet passes a membership message to membership if it comes from this member's own zone.
func (h *Host) deliverToFleet(from netip.AddrPort, d *packet.Datagram) {
	if d.Directory == nil && d.Zone == h.zones.own {
		h.dispatch(h.fleet.Receive(h.loop.Now(), from, d.Membership))
	}
}

// learnAddress stores the addresses of a member: the one that it has sent from and, if valid, the advertised one.
func (h *Host) learnAddress(from, advertised netip.AddrPort, id membership.ID) {
	if len(h.memberAt) > maxAddresses {
		clear(h.memberAt)
	}
	h.memberAt[from] = id
	if advertised.IsValid() {
		h.memberAt[advertised] = id
	}
}
