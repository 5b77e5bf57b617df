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
	openKnown  = 4000
	openOthers = 400

	// senders are remembered for what they have sent.
	maxSenders = 2 * membership.MaxMembers
	// relieveTimes is how often a process before this one is asked for: each question has one chance in two to
	// reach it, if there is one.
	relieveTimes = 20
	relieveEvery = 100_000

	// helloEvery is how often one address is told which process this is.
	helloEvery = 200_000
)

// Config is what a member of a fleet is started with.
type Config struct {
	Name   string
	Listen netip.AddrPort
	// Tells is the address that others are told; Listen where it is not valid.
	Tells netip.AddrPort
	Seeds []netip.AddrPort
	Ring  *packet.Ring
	Seed  uint64
	// Reach has the addresses at which members are reached from here, by name, where those are not what they tell.
	Reach map[string]netip.AddrPort
	// Site is where this member stands; the zero Site in a fleet without zones.
	Site zonedirectory.Site
	// Expected is how many members the fleet has by its settings: with zones, what the rate divisor begins at.
	Expected int
	// Rank orders the members of a zone in place of the decider's own way, where it is not nil: a laboratory plants
	// a fault here.
	Rank func(of zonedirectory.ID, id zonedirectory.MemberID) uint64
	// Changed is told by how many budgets are divided, and which place this member has among all: by its id, with
	// zones by its zone first.
	Changed func(members, place int)
	// Open binds a socket; the loop's own where it is nil. A laboratory puts links that fail before it.
	Open func(addr netip.AddrPort, take func(from netip.AddrPort, b []byte)) (Socket, error)
}

// Socket is where datagrams come and go.
type Socket interface {
	Addr() netip.AddrPort
	Send(to netip.AddrPort, b []byte)
	Close()
}

// Host is this process's part in the fleet.
type Host struct {
	l     *eventloop.Loop
	log   *logrus.Logger
	cfg   Config
	self  membership.Self
	fleet *membership.Fleet
	sock  Socket
	// asking is the socket at which a process before this one is asked for.
	asking Socket
	closed bool
	timer  eventloop.Ref
	// place is this member's place in its own zone, as of a revision of the view.
	place    int
	placeRev uint64
	zones    zones

	count    uint64
	plain    []byte
	sealed   []byte
	senders  map[sender]*packet.Window
	instance map[membership.ID]uint64
	reach    map[membership.ID]netip.AddrPort
	whose    map[netip.AddrPort]membership.ID // the members at addresses that were heard from
	known    map[netip.AddrPort]bool
	hellos   map[netip.AddrPort]eventloop.Micros

	ours, others int // opened in this second, see mayOpen
	second       eventloop.Micros
	counts       Counts
}

// sender is one process of a member.
type sender struct {
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
		l: l, log: log, cfg: cfg, senders: map[sender]*packet.Window{}, instance: map[membership.ID]uint64{},
		reach: map[membership.ID]netip.AddrPort{}, whose: map[netip.AddrPort]membership.ID{}, known: map[netip.AddrPort]bool{}, hellos: map[netip.AddrPort]eventloop.Micros{},
	}
	if h.cfg.Open == nil {
		h.cfg.Open = func(addr netip.AddrPort, take func(from netip.AddrPort, b []byte)) (Socket, error) {
			return l.ListenDatagrams(addr, take)
		}
	}
	sock, err := h.cfg.Open(cfg.Listen, h.receive)
	if err != nil {
		return nil, err
	}
	h.sock = sock
	tells := cfg.Tells
	if !tells.IsValid() {
		tells = sock.Addr()
	}
	tells = netip.AddrPortFrom(tells.Addr().Unmap().WithZone(""), tells.Port()) // as it comes out of a datagram
	for name, at := range cfg.Reach {
		h.reach[NameID(name)], h.whose[at] = at, NameID(name)
	}
	// A later process has a later instance, as far as the clock tells; the last bits tell two of one moment apart.
	h.self = membership.Self{
		ID:       NameID(cfg.Name),
		Name:     cfg.Name,
		Addr:     tells,
		Instance: uint64(l.Now())<<12 | cfg.Seed&0xfff,
	}
	h.fleet = membership.New(
		membership.Config{Self: h.self, Inc: uint64(l.Now() / 1000), Seeds: cfg.Seeds, Seed: cfg.Seed},
		l.Now(),
	)
	h.place, h.placeRev = h.fleet.Place(), h.fleet.Revision()
	h.zones = h.startZones()
	log.WithFields(logrus.Fields{logging.Listen: sock.Addr(), logging.Member: cfg.Name}).Info("in the fleet")
	h.tick()
	h.relieve(relieveTimes)
	return h, nil
}

// Addr is where the member listens.
func (h *Host) Addr() netip.AddrPort { return h.sock.Addr() }

// Seeds takes the addresses that the seeds have now.
func (h *Host) Seeds(addrs []netip.AddrPort) {
	if h.zones.on() {
		h.zones.directory.Seeds(addrs) // which says how many of them are asked
		return
	}
	h.fleet.Seeds(addrs)
}

// View is the fleet as this member sees it; with zones, its own zone.
func (h *Host) View() []membership.Member { return h.fleet.View(h.l.Now()) }

// Doubts tells whether this member has reason to doubt itself.
func (h *Host) Doubts() bool { return h.fleet.Doubts(h.l.Now()) }

// Counts are what has happened so far.
func (h *Host) Counts() Counts {
	h.counts.Saved, h.counts.Pauses, h.counts.Accusations = int64(
		h.fleet.Saved,
	), int64(
		h.fleet.Pauses,
	), int64(
		h.fleet.Accusations,
	)
	return h.counts
}

// Divisor is by how much the fleet's budgets are divided to have this member's part.
func (h *Host) Divisor() float64 {
	if h.zones.on() {
		return h.zones.directory.Divisor()
	}
	return h.fleet.Divisor()
}

// Live is how many members are there, in all zones that are known to have some.
func (h *Host) Live() int {
	if h.zones.on() {
		return h.zones.directory.Live()
	}
	return h.fleet.Live()
}

// Known is how many members there are or were lately, in all zones.
func (h *Host) Known() int {
	if h.zones.on() {
		return h.zones.directory.Known()
	}
	return h.fleet.Known()
}

// Site is where this member stands; the zero Site in a fleet without zones.
func (h *Host) Site() zonedirectory.Site { return h.cfg.Site }

// Place is this member's place in the fleet: by zones where there are some, and by ids.
func (h *Host) Place() int {
	if h.zones.on() {
		return h.zones.directory.Place()
	}
	return h.placeInZone()
}

// placeInZone counts anew only where the view has changed: it takes a look at each member.
func (h *Host) placeInZone() int {
	if rev := h.fleet.Revision(); rev != h.placeRev {
		h.place, h.placeRev = h.fleet.Place(), rev
	}
	return h.place
}

// Rekey has datagrams sealed and opened with other keys from now on.
func (h *Host) Rekey(ring *packet.Ring) { h.cfg.Ring = ring }

// Leave tells the fleet that this member goes.
func (h *Host) Leave() {
	now := h.l.Now()
	h.carry(h.fleet.Leave(now))
	h.tickZones(now)
}

func (h *Host) tick() {
	h.timer = h.l.After(membership.Step, h.tick)
	now := h.l.Now()
	if h.zones.on() {
		h.fleet.Seeds(h.zones.directory.JoinSeeds(now))
	}
	h.carry(h.fleet.Tick(now))
	if h.fleet.Superseded() {
		h.log.WithField(logging.Member, h.cfg.Name).Warn("a later process has this name: it is the member now")
		h.Close()
		return
	}
	h.tickZones(now)
	if h.cfg.Changed != nil {
		h.cfg.Changed(int(math.Ceil(h.Divisor())), h.Place())
	}
}

// carry sends what the decisions say, and logs what has changed.
func (h *Host) carry(out []membership.Send, changes []membership.Change) {
	for _, c := range changes {
		h.log.WithFields(logrus.Fields{logging.Member: c.Name, logging.State: c.To.String(), logging.Before: c.From.String(), logging.Incarnation: c.Inc}).
			Info("a member has changed")
	}
	for i := range out {
		h.send(out[i].To, out[i].ID, &out[i].Msg)
	}
}

func (h *Host) send(to netip.AddrPort, id membership.ID, m *membership.Message) {
	to, id = h.reached(to, id)
	h.plain = packet.Encode(h.plain[:0], h.envelope(h.instance[id]), m)
	h.post(to)
}

// reached is where a member is reached, and who it is where that is known by its address.
func (h *Host) reached(to netip.AddrPort, id membership.ID) (netip.AddrPort, membership.ID) {
	if id == 0 {
		id = h.whose[to]
	}
	if at, ok := h.reach[id]; ok {
		to = at
	}
	return to, id
}

// envelope is that of the next datagram, for a process of this instance.
func (h *Host) envelope(to uint64) packet.Envelope {
	h.count++
	e := packet.Envelope{To: to, Count: h.count, Addr: h.self.Addr, Zone: h.zones.own}
	if h.zones.on() {
		e.Items = h.zones.directory.Digest()
	}
	return e
}

// post seals and sends what stands in plain.
func (h *Host) post(to netip.AddrPort) {
	h.sealed = h.cfg.Ring.Seal(h.sealed[:0], h.plain)
	h.counts.Sent++
	h.counts.SentBytes += int64(len(h.sealed))
	h.sock.Send(to, h.sealed)
}

// receive takes one datagram.
func (h *Host) receive(from netip.AddrPort, b []byte) {
	if !h.mayOpen(from) {
		h.counts.Lost++
		return
	}
	plain, err := h.cfg.Ring.Open(b)
	if err != nil {
		h.counts.Forged++
		return
	}
	d, err := packet.Decode(plain)
	switch {
	case errors.Is(err, packet.ErrVersion) || err == nil && (d.Zone != 0) != h.zones.on():
		h.counts.OtherVersion++
	case err != nil:
		h.counts.Malformed++
	case d.From() == h.self.ID:
		h.namesake(from, &d)
	case h.fresh(from, &d):
		h.take(from, &d)
	}
}

// take hands on what is fresh.
func (h *Host) take(from netip.AddrPort, d *packet.Datagram) {
	h.heard(from, d.Addr, d.From())
	if d.Hello() {
		h.instance[d.From()] = d.Instance()
		return
	}
	h.counts.Taken++
	h.known[from] = true
	if d.Addr.IsValid() {
		from = d.Addr
	}
	h.takeZones(from, d)
	if d.Directory == nil && d.Zone == h.zones.own {
		h.carry(h.fleet.Receive(h.l.Now(), from, d.Member))
	}
}

// heard notes where a member is.
func (h *Host) heard(from, tells netip.AddrPort, id membership.ID) {
	if len(h.whose) > 2*maxSenders {
		clear(h.whose)
	}
	h.whose[from] = id
	if tells.IsValid() {
		h.whose[tells] = id
	}
}

// mayOpen bounds what a flood makes this process open.
func (h *Host) mayOpen(from netip.AddrPort) bool {
	if now := h.l.Now(); now-h.second >= 1_000_000 {
		h.second, h.ours, h.others = now, 0, 0
		if len(h.known) > maxSenders {
			clear(h.known)
		}
	}
	if h.known[from] {
		h.ours++
		return h.ours <= openKnown
	}
	h.others++
	return h.others <= openOthers
}

// fresh tells whether a datagram was made for this very process and has not come before. One made for a process
// before this, or for one whose instance its sender did not know, may have been recorded: its sender is told which
// process this is, and says again what it has to say.
func (h *Host) fresh(from netip.AddrPort, d *packet.Datagram) bool {
	if d.To != h.self.Instance {
		if now := h.l.Now(); !d.Hello() && now-h.hellos[from] >= helloEvery {
			if len(h.hellos) > maxSenders {
				clear(h.hellos)
			}
			h.hellos[from] = now
			h.answerHello(from, d.From())
		}
		// A hello is believed as far as it names an instance: told wrongly, this process is not heard until it is
		// told again.
		return d.Hello() && d.To == 0
	}
	key := sender{d.From(), d.Instance()}
	w := h.senders[key]
	if w == nil {
		if len(h.senders) >= maxSenders {
			clear(h.senders) // what came before is taken once more, and says nothing new
		}
		w = &packet.Window{}
		h.senders[key] = w
	}
	if !w.Take(d.Count) {
		h.counts.Replayed++
		return false
	}
	h.instance[d.From()] = cmp.Or(d.Instance(), h.instance[d.From()])
	return true
}

func (h *Host) answerHello(from netip.AddrPort, id membership.ID) {
	if at, ok := h.reach[id]; ok {
		from = at
	}
	h.sock.Send(from, h.greeting(0))
}

// namesake takes what another process of this name says. A later one, which has been told which process this is,
// takes its place; all others are told.
func (h *Host) namesake(from netip.AddrPort, d *packet.Datagram) {
	switch {
	case d.Instance() == h.self.Instance: // what this process asks itself, see relieve
	case d.Hello() && d.To != h.self.Instance:
		h.sock.Send(from, h.greeting(d.Instance()))
	case d.Hello() && d.Instance() > h.self.Instance:
		h.fleet.Supersede()
	case !d.Hello() && d.Directory == nil && d.Zone == h.zones.own:
		h.carry(h.fleet.Receive(h.l.Now(), from, d.Member))
	}
}

// greeting says which process of its name this is, to one of that instance where it is known.
func (h *Host) greeting(for_ uint64) []byte {
	h.plain = packet.Encode(h.plain[:0], h.envelope(for_),
		&membership.Message{Kind: packet.Hello, From: h.self.ID, Instance: h.self.Instance})
	h.sealed = h.cfg.Ring.Seal(h.sealed[:0], h.plain)
	return h.sealed
}

// relieve asks for a process before this one at the same address, as there is in an upgrade. While both are bound,
// the kernel deals out datagrams by where they come from, and the others' may all reach the one before: so it is
// asked from a port of its own each time, until one question has reached it; once it has said which process it is,
// it is told to yield.
func (h *Host) relieve(left int) {
	if h.asking != nil {
		h.asking.Close()
		h.asking = nil
	}
	if left == 0 || h.closed || h.fleet.Superseded() {
		return
	}
	own := h.sock.Addr()
	sock, err := h.cfg.Open(netip.AddrPortFrom(own.Addr(), 0), func(from netip.AddrPort, b []byte) {
		plain, err := h.cfg.Ring.Open(b)
		if err != nil {
			return
		}
		if d, err := packet.Decode(plain); err == nil && d.Hello() && d.From() == h.self.ID &&
			d.Instance() < h.self.Instance {
			h.asking.Send(from, h.greeting(d.Instance()))
		}
	})
	if err != nil {
		return // without a descriptor to spare the one before stays until it is stopped
	}
	h.asking = sock
	sock.Send(own, h.greeting(0))
	h.l.After(relieveEvery, func() { h.relieve(left - 1) })
}

// Close leaves without a word.
func (h *Host) Close() {
	h.l.Cancel(&h.timer)
	h.closed = true
	h.relieve(0)
	h.sock.Close()
}
