package peer

import (
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"

	"github.com/sirupsen/logrus"

	"spurspread/decision/membership"
	"spurspread/decision/monotime"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/eventloop"
	"spurspread/internal/logging"
	"spurspread/internal/peer/packet"
)

// instanceSeedBits is the number of low bits of an instance that are taken from the random seed. An instance is the
// number of one process of a member: its start time in microseconds, followed by these bits.
const instanceSeedBits = 12

// Host is this process as a member of the fleet. Its methods must be called on the event loop.
type Host struct {
	loop   *eventloop.Loop
	log    *logrus.Logger
	cfg    Config
	self   membership.Self
	fleet  *membership.Fleet
	zones  zones
	socket Socket
	timer  eventloop.Ref
	closed bool
	counts Counts

	// takeoverSocket is used to find an earlier process with this name; nil while none is being looked for.
	takeoverSocket Socket

	// position is this member's position in its own zone, computed at positionRevision of the view.
	position         int
	positionRevision uint64

	// State of other members.
	instances        map[membership.ID]uint64         // instance of each member's process
	memberAt         map[netip.AddrPort]membership.ID // by source, advertised and override address
	addressOverrides map[membership.ID]netip.AddrPort

	// Limits and filters for received datagrams.
	admission     admission
	replayWindows map[processKey]*packet.ReplayWindow
	lastHello     map[netip.AddrPort]monotime.Micros // when each address was last sent a Hello

	// State of the sender.
	counter   uint64 // of datagrams sent
	plaintext []byte
	sealed    []byte
}

// NameID returns the ID of the member with the given name: the FNV-1a hash of the name, but never 0, which stands for
// an unknown member.
func NameID(name string) membership.ID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return membership.ID(max(h.Sum64(), 1))
}

// Start joins the fleet. It returns an error if the address can't be bound.
func Start(loop *eventloop.Loop, cfg Config, log *logrus.Logger) (*Host, error) {
	if cfg.OpenSocket == nil {
		cfg.OpenSocket = func(addr netip.AddrPort, receive func(netip.AddrPort, []byte)) (Socket, error) {
			return loop.ListenDatagrams(addr, receive)
		}
	}
	h := &Host{
		loop:             loop,
		log:              log,
		cfg:              cfg,
		instances:        map[membership.ID]uint64{},
		memberAt:         map[netip.AddrPort]membership.ID{},
		addressOverrides: map[membership.ID]netip.AddrPort{},
		admission:        admission{known: map[netip.AddrPort]bool{}},
		replayWindows:    map[processKey]*packet.ReplayWindow{},
		lastHello:        map[netip.AddrPort]monotime.Micros{},
	}
	socket, err := cfg.OpenSocket(cfg.Listen, h.receive)
	if err != nil {
		return nil, fmt.Errorf("fleet: bind %v: %w", cfg.Listen, err)
	}
	h.socket = socket
	for name, addr := range cfg.AddressOverrides {
		h.addressOverrides[NameID(name)] = addr
		h.memberAt[addr] = NameID(name)
	}
	h.join()
	log.WithFields(logrus.Fields{logging.Listen: socket.Addr(), logging.Member: cfg.Name}).Info("membership started")
	h.tick()
	h.requestTakeover(takeoverAttempts)
	return h, nil
}

// join creates the membership state, and with zones also the zone directory.
func (h *Host) join() {
	now := h.loop.Now()
	seedBits := h.cfg.RandomSeed & (1<<instanceSeedBits - 1)
	h.self = membership.Self{
		ID:   NameID(h.cfg.Name),
		Name: h.cfg.Name,
		Addr: h.advertisedAddr(),
		// A process that starts later has a greater instance if the clock is right.
		Instance: uint64(now)<<instanceSeedBits | seedBits,
	}
	h.fleet = membership.New(membership.Config{
		Self: h.self,
		// Greater than the incarnations of earlier processes with this name, if the clock is right.
		Incarnation: uint64(now / monotime.Millisecond),
		Seeds:       h.cfg.Seeds,
		RandomSeed:  h.cfg.RandomSeed,
	}, now)
	h.position = h.fleet.Position()
	h.positionRevision = h.fleet.Revision()
	h.zones = h.startZones()
}

// advertisedAddr returns the address that is announced to other members, in the form that datagrams carry: without an
// IPv6 zone, and IPv4 where it is IPv4-mapped.
func (h *Host) advertisedAddr() netip.AddrPort {
	addr := h.cfg.Advertise
	if !addr.IsValid() {
		addr = h.socket.Addr()
	}
	return netip.AddrPortFrom(addr.Addr().Unmap().WithZone(""), addr.Port())
}

// tick advances membership and the zone directory, every membership.TickInterval.
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

// Leave announces to the fleet that this member is leaving. It keeps running until Close.
func (h *Host) Leave() {
	now := h.loop.Now()
	h.dispatch(h.fleet.Leave(now))
	h.tickZones(now)
}

// Close stops the member without announcing it.
func (h *Host) Close() {
	h.loop.Cancel(&h.timer)
	h.closed = true
	h.closeTakeoverSocket()
	h.socket.Close()
}

// Addr returns the bound address of the member's socket.
func (h *Host) Addr() netip.AddrPort { return h.socket.Addr() }

// SetSeeds replaces the seed addresses.
func (h *Host) SetSeeds(addrs []netip.AddrPort) {
	if h.zones.enabled() {
		h.zones.directory.SetSeeds(addrs) // tick passes some of them on to membership
		return
	}
	h.fleet.SetSeeds(addrs)
}

// SetKeyring replaces the keys that encrypt and decrypt datagrams.
func (h *Host) SetKeyring(keyring *packet.Keyring) { h.cfg.Keyring = keyring }

// View returns this member's view of the fleet; with zones, the members of its own zone only.
func (h *Host) View() []membership.Member { return h.fleet.View(h.loop.Now()) }

// Unhealthy reports whether this member has reason to doubt its own observations.
func (h *Host) Unhealthy() bool { return h.fleet.Unhealthy(h.loop.Now()) }

// RateDivisor returns the number, at least 1, by which a budget of the whole fleet is divided to get this member's
// share.
func (h *Host) RateDivisor() float64 {
	if h.zones.enabled() {
		return h.zones.directory.RateDivisor()
	}
	return h.fleet.RateDivisor()
}

// Live returns the number of live members in the fleet. Members of a zone that can't be reached, not even from another
// zone, are not counted.
func (h *Host) Live() int {
	if h.zones.enabled() {
		return h.zones.directory.Live()
	}
	return h.fleet.Live()
}

// Known returns the number of members that are live or were recently, in all zones.
func (h *Host) Known() int {
	if h.zones.enabled() {
		return h.zones.directory.Known()
	}
	return h.fleet.Known()
}

// Site returns this member's region and zone; the zero Site in a fleet without zones.
func (h *Host) Site() zonedirectory.Site { return h.cfg.Site }

// Position returns this member's position among the live members of the fleet, ordered by zone (if there are zones) and
// then by ID.
func (h *Host) Position() int {
	if h.zones.enabled() {
		return h.zones.directory.Position()
	}
	return h.positionInZone()
}

// positionInZone returns this member's position in its own zone. It is recomputed only after a change of the view,
// since that visits every member.
func (h *Host) positionInZone() int {
	if revision := h.fleet.Revision(); revision != h.positionRevision {
		h.position = h.fleet.Position()
		h.positionRevision = revision
	}
	return h.position
}
