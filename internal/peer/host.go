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

// instanceSeedBits is how many bits of the random seed are the lowest ones of an instance.
const instanceSeedBits = 12

// Host is this process's part in the fleet.
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

	// takeoverSocket is the one at which an earlier process of this name is looked for, nil where it is not.
	takeoverSocket Socket

	// position is this member's in its own zone, as of a revision of the view.
	position         int
	positionRevision uint64

	// What is known of other members.
	instances        map[membership.ID]uint64         // their processes
	memberAt         map[netip.AddrPort]membership.ID // by the addresses from which they have sent
	addressOverrides map[membership.ID]netip.AddrPort

	// What bounds and filters received datagrams.
	admission     admission
	replayWindows map[processKey]*packet.ReplayWindow
	lastHello     map[netip.AddrPort]monotime.Micros // when an address was last sent one

	// What is sent.
	counter   uint64 // of datagrams
	plaintext []byte
	sealed    []byte
}

// NameID returns the id of a member by its name.
func NameID(name string) membership.ID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return membership.ID(max(h.Sum64(), 1))
}

// Start joins the fleet. It returns an error where the address can't be bound.
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

// join begins membership of the fleet, with zones that of the zone and its directory.
func (h *Host) join() {
	now := h.loop.Now()
	seedBits := h.cfg.RandomSeed & (1<<instanceSeedBits - 1)
	h.self = membership.Self{
		ID:   NameID(h.cfg.Name),
		Name: h.cfg.Name,
		Addr: h.advertisedAddr(),
		// A later process has a greater instance, as far as the clock is right.
		Instance: uint64(now)<<instanceSeedBits | seedBits,
	}
	h.fleet = membership.New(membership.Config{
		Self:        h.self,
		Incarnation: uint64(now / monotime.Millisecond),
		Seeds:       h.cfg.Seeds,
		RandomSeed:  h.cfg.RandomSeed,
	}, now)
	h.position = h.fleet.Position()
	h.positionRevision = h.fleet.Revision()
	h.zones = h.startZones()
}

// advertisedAddr is the address that others are given, in the form that datagrams have.
func (h *Host) advertisedAddr() netip.AddrPort {
	addr := h.cfg.Advertise
	if !addr.IsValid() {
		addr = h.socket.Addr()
	}
	return netip.AddrPortFrom(addr.Addr().Unmap().WithZone(""), addr.Port())
}

// tick runs what is due, every membership.TickInterval.
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

// Leave announces the departure of this member to the fleet. It stays a member until Close.
func (h *Host) Leave() {
	now := h.loop.Now()
	h.dispatch(h.fleet.Leave(now))
	h.tickZones(now)
}

// Close ends the member without an announcement.
func (h *Host) Close() {
	h.loop.Cancel(&h.timer)
	h.closed = true
	h.closeTakeoverSocket()
	h.socket.Close()
}

// Addr is where the member listens.
func (h *Host) Addr() netip.AddrPort { return h.socket.Addr() }

// SetSeeds replaces the addresses of the seeds.
func (h *Host) SetSeeds(addrs []netip.AddrPort) {
	if h.zones.enabled() {
		h.zones.directory.SetSeeds(addrs) // membership gets some of them at each tick
		return
	}
	h.fleet.SetSeeds(addrs)
}

// SetKeyring replaces the keys that seal and open datagrams.
func (h *Host) SetKeyring(keyring *packet.Keyring) { h.cfg.Keyring = keyring }

// View lists the members of the fleet as this one sees it; with zones, those of its own zone.
func (h *Host) View() []membership.Member { return h.fleet.View(h.loop.Now()) }

// Unhealthy reports whether this member has reason to doubt its own observations.
func (h *Host) Unhealthy() bool { return h.fleet.Unhealthy(h.loop.Now()) }

// RateDivisor is by how much a budget of the whole fleet is divided to have this member's part, 1 at least.
func (h *Host) RateDivisor() float64 {
	if h.zones.enabled() {
		return h.zones.directory.RateDivisor()
	}
	return h.fleet.RateDivisor()
}

// Live is how many members are there, in all zones that somebody reaches.
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

// Site is where this member is; the zero Site in a fleet without zones.
func (h *Host) Site() zonedirectory.Site { return h.cfg.Site }

// Position is this member's position among the live ones of the fleet, by zone where there are zones, and by id.
func (h *Host) Position() int {
	if h.zones.enabled() {
		return h.zones.directory.Position()
	}
	return h.positionInZone()
}

// positionInZone is counted again only where the view has changed: that visits each member.
func (h *Host) positionInZone() int {
	if revision := h.fleet.Revision(); revision != h.positionRevision {
		h.position = h.fleet.Position()
		h.positionRevision = revision
	}
	return h.position
}
