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
	// maxSenders bounds the processes and addresses of which something is remembered.
	maxSenders = 2 * membership.MaxMembers
	// maxAddresses bounds the addresses at which members are known: each has up to two.
	maxAddresses = 2 * maxSenders
	// helloInterval is how often, at most, one address is sent a Hello.
	helloInterval = 200 * monotime.Millisecond

	// How many datagrams are opened in an admissionWindow: of addresses that have sent authentic ones, and of others.
	// More are dropped unread: to open one takes some microseconds.
	maxKnownPerSecond   = 4000
	maxUnknownPerSecond = 400
	admissionWindow     = 1 * monotime.Second
)

// receive takes a datagram from the socket.
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

// admission bounds what a flood of datagrams costs.
type admission struct {
	known         map[netip.AddrPort]bool // addresses that have sent authentic datagrams
	windowStart   monotime.Micros
	knownOpened   int // in this window
	unknownOpened int
}

// admit decides whether a datagram from an address is opened: maxKnownPerSecond of known ones and maxUnknownPerSecond
// of others are. So a flood of strangers does not shut out members.
func (a *admission) admit(now monotime.Micros, from netip.AddrPort) bool {
	if now-a.windowStart >= admissionWindow {
		a.windowStart = now
		a.knownOpened, a.unknownOpened = 0, 0
		if len(a.known) > maxSenders {
			clear(a.known)
		}
	}
	if a.known[from] {
		a.knownOpened++
		return a.knownOpened <= maxKnownPerSecond
	}
	a.unknownOpened++
	return a.unknownOpened <= maxUnknownPerSecond
}

// processKey identifies one process of a member.
type processKey struct {
	id       membership.ID
	instance uint64
}

// acceptFresh decides whether a datagram is handed on: it is meant for this process and was not received before. One
// for an earlier process, or for an unknown one, may have been recorded: its sender is sent a Hello, and sends its
// message again.
func (h *Host) acceptFresh(from netip.AddrPort, d *packet.Datagram) bool {
	if d.ReceiverInstance != h.self.Instance {
		if !d.IsHello() {
			h.sendHello(from, d.From())
		}
		// A recorded Hello does little harm: until the next one this process addresses an instance that is gone.
		return d.IsHello() && d.ReceiverInstance == 0
	}
	if !h.replayWindow(processKey{id: d.From(), instance: d.Instance()}).Accept(d.Counter) {
		h.counts.Replayed++
		return false
	}
	h.instances[d.From()] = cmp.Or(d.Instance(), h.instances[d.From()])
	return true
}

func (h *Host) replayWindow(key processKey) *packet.ReplayWindow {
	window := h.replayWindows[key]
	if window == nil {
		if len(h.replayWindows) >= maxSenders {
			clear(h.replayWindows) // replayed datagrams are accepted once more, and say nothing new
		}
		window = &packet.ReplayWindow{}
		h.replayWindows[key] = window
	}
	return window
}

// sendHello sends a member a Hello, at most every helloInterval.
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

// deliver hands the message of a fresh datagram on.
func (h *Host) deliver(from netip.AddrPort, d *packet.Datagram) {
	h.noteAddress(from, d.Addr, d.From())
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

// deliverToFleet hands a message of membership on, if it is of the own zone.
func (h *Host) deliverToFleet(from netip.AddrPort, d *packet.Datagram) {
	if d.Directory == nil && d.Zone == h.zones.own {
		h.dispatch(h.fleet.Receive(h.loop.Now(), from, d.Membership))
	}
}

// noteAddress remembers at which addresses a member is.
func (h *Host) noteAddress(from, advertised netip.AddrPort, id membership.ID) {
	if len(h.memberAt) > maxAddresses {
		clear(h.memberAt)
	}
	h.memberAt[from] = id
	if advertised.IsValid() {
		h.memberAt[advertised] = id
	}
}
