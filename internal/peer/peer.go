// Package peer carries messages between members of a fleet of balancers in datagrams, on the program's one loop,
// and bounds what a flood of them may cost. What a message means, and who is in the fleet, is decided elsewhere
// (decide/member, and decide/zone for the other zones of a fleet that has them).
package peer

import (
	"cmp"
	"errors"
	"hash/fnv"
	"math"
	"net/netip"
	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/eventloop"
	"spurspread/internal/logging"
	"spurspread/internal/peer/packet"

	"github.com/sirupsen/logrus"
)

const (
	// What is opened in a second: datagrams from addresses of members, and from others. What is more is dropped unread:
	// opening one takes some microseconds.
	maxKnownPerSecond   = 4000
	maxUnknownPerSecond = 400

	// senders are remembered for what they have sent.
	maxSenders = 2 * membership.MaxMembers
	// takeoverAttempts is how often a process before this one is asked for: each question has one chance in two to
	// reach it, if there is one.
	takeoverAttempts = 20
	takeoverInterval = 100_000

	// helloInterval is how often one address is told which process this is.
	helloInterval = 200_000
)

// Config is what a member of a fleet is started with.
type Config struct {
	Name   string
	Listen netip.AddrPort
	// Tells is the address that others are told; Listen where it is not valid.
	Advertise  netip.AddrPort
	Seeds      []netip.AddrPort
	Keyring    *packet.Keyring
	RandomSeed uint64
	// Reach has the addresses at which members are reached from here, by name, where those are not what they tell.
	AddressOverrides map[string]netip.AddrPort
	// Site is where this member stands; the zero Site in a fleet without zones.
	Site zonedirectory.Site
	// Expected is how many members the fleet has by its settings: with zones, what the rate divisor begins at.
	ExpectedMembers int
	// Rank orders the members of a zone in place of the decider's own way, where it is not nil: a laboratory plants
	// a fault here.
	Rank func(of zonedirectory.ID, id zonedirectory.MemberID) uint64
	// Changed is told by how many budgets are divided, and which place this member has among all: by its id, with
	// zones by its zone first.
	OnTick func(members, place int)
	// Open binds a socket; the loop's own where it is nil. A laboratory puts links that fail before it.
	OpenSocket func(addr netip.AddrPort, take func(from netip.AddrPort, b []byte)) (Socket, error)
}

// Socket is where datagrams come and go.
type Socket interface {
	Addr() netip.AddrPort
	Send(to netip.AddrPort, b []byte)
	Close()
}

// Host is this process's part in the fleet.
type Host struct {
	loop   *eventloop.Loop
	log    *logrus.Logger
	cfg    Config
	self   membership.Self
	fleet  *membership.Fleet
	socket Socket
	// asking is the socket at which a process before this one is asked for.
	takeoverSocket Socket
	closed         bool
	timer          eventloop.Ref
	// place is this member's place in its own zone, as of a revision of the view.
	position         int
	positionRevision uint64
	zones            zones

	counter          uint64
	plaintext        []byte
	sealed           []byte
	replayWindows    map[processKey]*packet.ReplayWindow
	instances        map[membership.ID]uint64
	addressOverrides map[membership.ID]netip.AddrPort
	memberAt         map[netip.AddrPort]membership.ID // the members at addresses that were heard from
	knownAddresses   map[netip.AddrPort]bool
	lastHello        map[netip.AddrPort]eventloop.Micros

	knownOpened, unknownOpened int // opened in this second, see mayOpen
	openWindowStart            eventloop.Micros
	counts                     Counts
}

// processKey is one process of a member.
type processKey struct {
	id       membership.ID
	instance uint64
}

// Counts are what has happened since the start.
type Counts struct {
	Sent, SentBytes, Taken, Saved     int64 // Saved: not sent, for want of budget
	Malformed, Forged, Replayed, Lost int64 // Lost: not opened, for want of time
	Pauses, Accusations               int64 // of this process; of others by it
	// OtherVersion: of another version of the encoding, as those of members with zones are for one without.
	OtherVersion int64 `json:",omitempty"`
}

// NameID is the id that stands for a member's name.
func NameID(name string) membership.ID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return membership.ID(max(h.Sum64(), 1))
}

// Start joins the fleet.
func Start(l *eventloop.Loop, cfg Config, log *logrus.Logger) (*Host, error) {
	h := &Host{
		loop: l, log: log, cfg: cfg, replayWindows: map[processKey]*packet.ReplayWindow{}, instances: map[membership.ID]uint64{},
		addressOverrides: map[membership.ID]netip.AddrPort{}, memberAt: map[netip.AddrPort]membership.ID{}, knownAddresses: map[netip.AddrPort]bool{}, lastHello: map[netip.AddrPort]eventloop.Micros{},
	}
	if h.cfg.OpenSocket == nil {
		h.cfg.OpenSocket = func(addr netip.AddrPort, take func(from netip.AddrPort, b []byte)) (Socket, error) {
			return l.ListenDatagrams(addr, take)
		}
	}
	sock, err := h.cfg.OpenSocket(cfg.Listen, h.receive)
	if err != nil {
		return nil, err
	}
	h.socket = sock
	tells := cfg.Advertise
	if !tells.IsValid() {
		tells = sock.Addr()
	}
	tells = netip.AddrPortFrom(tells.Addr().Unmap().WithZone(""), tells.Port()) // as it comes out of a datagram
	for name, at := range cfg.AddressOverrides {
		h.addressOverrides[NameID(name)], h.memberAt[at] = at, NameID(name)
	}
	// A later process has a later instance, as far as the clock tells; the last bits tell two of one moment apart.
	h.self = membership.Self{
		ID:       NameID(cfg.Name),
		Name:     cfg.Name,
		Addr:     tells,
		Instance: uint64(l.Now())<<12 | cfg.RandomSeed&0xfff,
	}
	h.fleet = membership.New(
		membership.Config{
			Self:        h.self,
			Incarnation: uint64(l.Now() / 1000),
			Seeds:       cfg.Seeds,
			RandomSeed:  cfg.RandomSeed,
		},
		l.Now(),
	)
	h.position, h.positionRevision = h.fleet.Position(), h.fleet.Revision()
	h.zones = h.startZones()
	log.WithFields(logrus.Fields{logging.Listen: sock.Addr(), logging.Member: cfg.Name}).Info("membership started")
	h.tick()
	h.requestTakeover(takeoverAttempts)
	return h, nil
}

// Addr is where the member listens.
func (h *Host) Addr() netip.AddrPort { return h.socket.Addr() }

// SetSeeds takes the addresses that the seeds have now.
func (h *Host) SetSeeds(addrs []netip.AddrPort) {
	if h.zones.enabled() {
		h.zones.directory.SetSeeds(addrs) // which says how many of them are asked
		return
	}
	h.fleet.SetSeeds(addrs)
}

// View is the fleet as this member sees it; with zones, its own zone.
func (h *Host) View() []membership.Member { return h.fleet.View(h.loop.Now()) }

// Unhealthy tells whether this member has reason to doubt itself.
func (h *Host) Unhealthy() bool { return h.fleet.Unhealthy(h.loop.Now()) }

// Counts are what has happened so far.
func (h *Host) Counts() Counts {
	h.counts.Saved, h.counts.Pauses, h.counts.Accusations = int64(
		h.fleet.Suppressed,
	), int64(
		h.fleet.Pauses,
	), int64(
		h.fleet.FailureReports,
	)
	return h.counts
}

// RateDivisor is by how much the fleet's budgets are divided to have this member's part.
func (h *Host) RateDivisor() float64 {
	if h.zones.enabled() {
		return h.zones.directory.RateDivisor()
	}
	return h.fleet.RateDivisor()
}

// Live is how many members are there, in all zones that are known to have some.
func (h *Host) Live() int {
	if h.zones.enabled() {
		return h.zones.directory.Live()
	}
	return h.fleet.Live()
}

// Known is how many members there are or were lately, in all zones.
func (h *Host) Known() int {
	if h.zones.enabled() {
		return h.zones.directory.Known()
	}
	return h.fleet.Known()
}

// Site is where this member stands; the zero Site in a fleet without zones.
func (h *Host) Site() zonedirectory.Site { return h.cfg.Site }

// Position is this member's place in the fleet: by zones where there are some, and by ids.
func (h *Host) Position() int {
	if h.zones.enabled() {
		return h.zones.directory.Position()
	}
	return h.positionInZone()
}

// positionInZone counts anew only where the view has changed: it takes a look at each member.
func (h *Host) positionInZone() int {
	if rev := h.fleet.Revision(); rev != h.positionRevision {
		h.position, h.positionRevision = h.fleet.Position(), rev
	}
	return h.position
}

// SetKeyring has datagrams sealed and opened with other keys from now on.
func (h *Host) SetKeyring(ring *packet.Keyring) { h.cfg.Keyring = ring }

// Leave tells the fleet that this member goes.
func (h *Host) Leave() {
	now := h.loop.Now()
	h.dispatch(h.fleet.Leave(now))
	h.tickZones(now)
}

func (h *Host) tick() {
	h.timer = h.loop.After(membership.TickInterval, h.tick)
	now := h.loop.Now()
	if h.zones.enabled() {
		h.fleet.SetSeeds(h.zones.directory.JoinSeeds(now))
	}
	h.dispatch(h.fleet.Tick(now))
	if h.fleet.Superseded() {
		h.log.WithField(logging.Member, h.cfg.Name).Warn("membership ended: a newer process has this name")
		h.Close()
		return
	}
	h.tickZones(now)
	if h.cfg.OnTick != nil {
		h.cfg.OnTick(int(math.Ceil(h.RateDivisor())), h.Position())
	}
}

// dispatch sends what the decisions say, and logs what has changed.
func (h *Host) dispatch(out []membership.Outgoing, changes []membership.StateChange) {
	for _, c := range changes {
		h.log.WithFields(logrus.Fields{logging.Member: c.Name, logging.State: c.To.String(), logging.PreviousState: c.From.String(), logging.Incarnation: c.Incarnation}).
			Info("a member has changed")
	}
	for i := range out {
		h.send(out[i].To, out[i].Receiver, &out[i].Message)
	}
}

func (h *Host) send(to netip.AddrPort, id membership.ID, m *membership.Message) {
	to, id = h.resolve(to, id)
	h.plaintext = packet.Encode(h.plaintext[:0], h.nextEnvelope(h.instances[id]), m)
	h.sendSealed(to)
}

// resolve is where a member is reached, and who it is where that is known by its address.
func (h *Host) resolve(to netip.AddrPort, id membership.ID) (netip.AddrPort, membership.ID) {
	if id == 0 {
		id = h.memberAt[to]
	}
	if at, ok := h.addressOverrides[id]; ok {
		to = at
	}
	return to, id
}

// nextEnvelope is that of the next datagram, for a process of this instance.
func (h *Host) nextEnvelope(to uint64) packet.Envelope {
	h.counter++
	e := packet.Envelope{ReceiverInstance: to, Counter: h.counter, Addr: h.self.Addr, Zone: h.zones.own}
	if h.zones.enabled() {
		e.DirectoryDigest = h.zones.directory.Digest()
	}
	return e
}

// sendSealed seals and sends what stands in plain.
func (h *Host) sendSealed(to netip.AddrPort) {
	h.sealed = h.cfg.Keyring.Seal(h.sealed[:0], h.plaintext)
	h.counts.Sent++
	h.counts.SentBytes += int64(len(h.sealed))
	h.socket.Send(to, h.sealed)
}

// receive takes one datagram.
func (h *Host) receive(from netip.AddrPort, b []byte) {
	if !h.admitDatagram(from) {
		h.counts.Lost++
		return
	}
	plain, err := h.cfg.Keyring.Open(b)
	if err != nil {
		h.counts.Forged++
		return
	}
	d, err := packet.Decode(plain)
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

// deliver hands on what is fresh.
func (h *Host) deliver(from netip.AddrPort, d *packet.Datagram) {
	h.noteAddress(from, d.Addr, d.From())
	if d.IsHello() {
		h.instances[d.From()] = d.Instance()
		return
	}
	h.counts.Taken++
	h.knownAddresses[from] = true
	if d.Addr.IsValid() {
		from = d.Addr
	}
	h.deliverToDirectory(from, d)
	if d.Directory == nil && d.Zone == h.zones.own {
		h.dispatch(h.fleet.Receive(h.loop.Now(), from, d.Membership))
	}
}

// noteAddress notes where a member is.
func (h *Host) noteAddress(from, tells netip.AddrPort, id membership.ID) {
	if len(h.memberAt) > 2*maxSenders {
		clear(h.memberAt)
	}
	h.memberAt[from] = id
	if tells.IsValid() {
		h.memberAt[tells] = id
	}
}

// admitDatagram bounds what a flood makes this process open.
func (h *Host) admitDatagram(from netip.AddrPort) bool {
	if now := h.loop.Now(); now-h.openWindowStart >= 1_000_000 {
		h.openWindowStart, h.knownOpened, h.unknownOpened = now, 0, 0
		if len(h.knownAddresses) > maxSenders {
			clear(h.knownAddresses)
		}
	}
	if h.knownAddresses[from] {
		h.knownOpened++
		return h.knownOpened <= maxKnownPerSecond
	}
	h.unknownOpened++
	return h.unknownOpened <= maxUnknownPerSecond
}

// acceptFresh tells whether a datagram was made for this very process and has not come before. One made for a process
// before this, or for one whose instance its sender did not know, may have been recorded: its sender is told which
// process this is, and says again what it has to say.
func (h *Host) acceptFresh(from netip.AddrPort, d *packet.Datagram) bool {
	if d.ReceiverInstance != h.self.Instance {
		if now := h.loop.Now(); !d.IsHello() && now-h.lastHello[from] >= helloInterval {
			if len(h.lastHello) > maxSenders {
				clear(h.lastHello)
			}
			h.lastHello[from] = now
			h.sendHello(from, d.From())
		}
		// A hello is believed as far as it names an instance: told wrongly, this process is not heard until it is
		// told again.
		return d.IsHello() && d.ReceiverInstance == 0
	}
	key := processKey{d.From(), d.Instance()}
	w := h.replayWindows[key]
	if w == nil {
		if len(h.replayWindows) >= maxSenders {
			clear(h.replayWindows) // what came before is taken once more, and says nothing new
		}
		w = &packet.ReplayWindow{}
		h.replayWindows[key] = w
	}
	if !w.Accept(d.Counter) {
		h.counts.Replayed++
		return false
	}
	h.instances[d.From()] = cmp.Or(d.Instance(), h.instances[d.From()])
	return true
}

func (h *Host) sendHello(from netip.AddrPort, id membership.ID) {
	if at, ok := h.addressOverrides[id]; ok {
		from = at
	}
	h.socket.Send(from, h.sealHello(0))
}

// handleDuplicate takes what another process of this name says. A later one, which has been told which process this is,
// takes its place; all others are told.
func (h *Host) handleDuplicate(from netip.AddrPort, d *packet.Datagram) {
	switch {
	case d.Instance() == h.self.Instance: // what this process asks itself, see relieve
	case d.IsHello() && d.ReceiverInstance != h.self.Instance:
		h.socket.Send(from, h.sealHello(d.Instance()))
	case d.IsHello() && d.Instance() > h.self.Instance:
		h.fleet.Supersede()
	case !d.IsHello() && d.Directory == nil && d.Zone == h.zones.own:
		h.dispatch(h.fleet.Receive(h.loop.Now(), from, d.Membership))
	}
}

// sealHello says which process of its name this is, to one of that instance where it is known.
func (h *Host) sealHello(for_ uint64) []byte {
	h.plaintext = packet.Encode(h.plaintext[:0], h.nextEnvelope(for_),
		&membership.Message{Kind: packet.Hello, From: h.self.ID, Instance: h.self.Instance})
	h.sealed = h.cfg.Keyring.Seal(h.sealed[:0], h.plaintext)
	return h.sealed
}

// requestTakeover asks for a process before this one at the same address, as there is in an upgrade. While both are bound,
// the kernel deals out datagrams by where they come from, and the others' may all reach the one before: so it is
// asked from a port of its own each time, until one question has reached it; once it has said which process it is,
// it is told to yield.
func (h *Host) requestTakeover(left int) {
	if h.takeoverSocket != nil {
		h.takeoverSocket.Close()
		h.takeoverSocket = nil
	}
	if left == 0 || h.closed || h.fleet.Superseded() {
		return
	}
	own := h.socket.Addr()
	sock, err := h.cfg.OpenSocket(netip.AddrPortFrom(own.Addr(), 0), func(from netip.AddrPort, b []byte) {
		plain, err := h.cfg.Keyring.Open(b)
		if err != nil {
			return
		}
		if d, err := packet.Decode(plain); err == nil && d.IsHello() && d.From() == h.self.ID &&
			d.Instance() < h.self.Instance {
			h.takeoverSocket.Send(from, h.sealHello(d.Instance()))
		}
	})
	if err != nil {
		return // without a descriptor to spare the one before stays until it is stopped
	}
	h.takeoverSocket = sock
	sock.Send(own, h.sealHello(0))
	h.loop.After(takeoverInterval, func() { h.requestTakeover(left - 1) })
}

// Close leaves without a word.
func (h *Host) Close() {
	h.loop.Cancel(&h.timer)
	h.closed = true
	h.requestTakeover(0)
	h.socket.Close()
}
