package peer

import (
	"errors"
	"net/netip"
	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/eventloop"
	"spurspread/internal/logging"
	"spurspread/internal/peer/packet"

	"github.com/sirupsen/logrus"
)

// ErrNoZones is why a record can't be published: records spread from zone to zone.
var ErrNoZones = errors.New("the fleet has no zones")

// logZonesEvery is how often zones are looked through for a change of state to be logged.
const logZonesEvery = 1_000_000

// zones is what a host has of its fleet's zones; all of it is zero in a fleet without.
type zones struct {
	directory *zonedirectory.Directory
	own       zonedirectory.ID
	local     zonedirectory.Local // as the directory was told last
	told      bool                // that it was told
	states    map[zonedirectory.ID]zonedirectory.Reachability
	logAt     eventloop.Micros
}

func (z *zones) on() bool { return z.directory != nil }

func (h *Host) startZones() zones {
	if h.cfg.Site.ID() == 0 {
		return zones{}
	}
	cfg := zonedirectory.Config{
		Self: zonedirectory.Self{
			ID:       zonedirectory.MemberID(h.self.ID),
			Addr:     h.self.Addr,
			Instance: h.self.Instance,
		}, Site: h.cfg.Site, Seeds: h.cfg.Seeds,
		Expected: h.cfg.Expected, Seed: h.cfg.Seed, Divisor: &membership.RateDivisor{}, Rank: h.cfg.Rank,
	}
	return zones{
		directory: zonedirectory.New(cfg, h.l.Now()),
		own:       h.cfg.Site.ID(),
		states:    map[zonedirectory.ID]zonedirectory.Reachability{},
	}
}

// Zones are all zones that are known, this member's first; none in a fleet without zones.
func (h *Host) Zones() []zonedirectory.View {
	if !h.zones.on() {
		return nil
	}
	return h.zones.directory.Views(h.l.Now())
}

// Records are all records by their names; none in a fleet without zones.
func (h *Host) Records() []zonedirectory.Record {
	if !h.zones.on() {
		return nil
	}
	return h.zones.directory.Records()
}

// Publish begins to spread a new value of a record to all members. Errors are ErrNoZones and those of package zone.
func (h *Host) Publish(name, value string) (zonedirectory.Record, error) {
	if !h.zones.on() {
		return zonedirectory.Record{}, ErrNoZones
	}
	return h.zones.directory.Publish(h.l.Now(), name, value)
}

// tickZones does what is due between zones.
func (h *Host) tickZones(now eventloop.Micros) {
	if !h.zones.on() {
		return
	}
	h.carryZones(h.zones.directory.Tick(now, h.localView(now)))
	if met := h.zones.directory.Introductions(now); len(met) > 0 {
		h.carry(h.fleet.Introduce(met))
	}
	if now >= h.zones.logAt {
		h.zones.logAt = now + logZonesEvery
		h.logZones(now)
	}
}

// localView is what the directory is to be told of the own zone; nil where nothing has changed. Members are listed
// anew only with a new revision of the view.
func (h *Host) localView(now eventloop.Micros) *zonedirectory.Local {
	revision, doubts, l := h.fleet.Revision(), h.fleet.Doubts(now), &h.zones.local
	if h.zones.told && revision == l.Revision && doubts == l.Doubts {
		return nil
	}
	if !h.zones.told || revision != l.Revision {
		alive := h.fleet.Alive()
		l.Members = make([]zonedirectory.Member, len(alive))
		for i, m := range alive {
			l.Members[i] = zonedirectory.Member{ID: zonedirectory.MemberID(m.ID), Addr: m.Addr}
			h.expect(m)
		}
	}
	l.Revision, l.Doubts, l.Leaving = revision, doubts, h.fleet.Leaving()
	l.Live, l.Known, l.Dead, l.Place = h.fleet.Live(), h.fleet.Known(), h.fleet.Dead(), h.placeInZone()
	h.zones.told = true
	return l
}

// expect notes which process of a member there is by what others say, where it has not said so itself: items go to
// members that this one has never heard, and would be lost the first time.
func (h *Host) expect(m membership.Self) {
	if m.ID != h.self.ID && h.instance[m.ID] == 0 {
		h.instance[m.ID] = m.Instance
	}
}

// takeZones has the directory take a datagram: its message, or what any tells of its sender's zone.
func (h *Host) takeZones(from netip.AddrPort, d *packet.Datagram) {
	switch {
	case !h.zones.on():
	case d.Directory != nil:
		h.carryZones(h.zones.directory.Receive(h.l.Now(), from, *d.Directory))
	default:
		h.carryZones(h.zones.directory.Noticed(h.l.Now(), from, zonedirectory.MemberID(d.From()), d.Zone, d.Items))
	}
}

// carryZones sends what the directory says.
func (h *Host) carryZones(out []zonedirectory.Send) {
	for i := range out {
		to, id := h.reached(out[i].To, membership.ID(out[i].ID))
		h.plain = packet.EncodeDirectory(h.plain[:0], h.envelope(h.instance[id]), &out[i].Msg)
		h.post(to)
	}
}

// logZones logs each zone that is there for the first time, or in another state.
func (h *Host) logZones(now eventloop.Micros) {
	if len(h.zones.states) > 2*zonedirectory.MaxZones {
		clear(h.zones.states) // of zones that are long forgotten
	}
	for _, v := range h.zones.directory.Views(now) {
		id := v.Site.ID()
		was := h.zones.states[id]
		if was == v.State {
			continue
		}
		h.zones.states[id] = v.State
		h.log.WithFields(logrus.Fields{
			logging.Region: v.Site.Region, logging.Zone: v.Site.Zone, logging.State: v.State.String(),
			logging.Before: was.String(), logging.Live: v.Live,
		}).Info("a zone has changed")
	}
}
