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

// zoneLogInterval is how often zones are looked through for a change of state to be logged.
const zoneLogInterval = 1_000_000

// zones is what a host has of its fleet's zones; all of it is zero in a fleet without.
type zones struct {
	directory    *zonedirectory.Directory
	own          zonedirectory.ID
	local        zonedirectory.LocalZone // as the directory was told last
	localSent    bool                    // that it was told
	loggedStates map[zonedirectory.ID]zonedirectory.Reachability
	nextLogAt    eventloop.Micros
}

func (z *zones) enabled() bool { return z.directory != nil }

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
		ExpectedMembers: h.cfg.ExpectedMembers, RandomSeed: h.cfg.RandomSeed, RateDivisor: &membership.RateDivisor{}, Rank: h.cfg.Rank,
	}
	return zones{
		directory:    zonedirectory.New(cfg, h.loop.Now()),
		own:          h.cfg.Site.ID(),
		loggedStates: map[zonedirectory.ID]zonedirectory.Reachability{},
	}
}

// Zones are all zones that are known, this member's first; none in a fleet without zones.
func (h *Host) Zones() []zonedirectory.View {
	if !h.zones.enabled() {
		return nil
	}
	return h.zones.directory.Views()
}

// Records are all records by their names; none in a fleet without zones.
func (h *Host) Records() []zonedirectory.Record {
	if !h.zones.enabled() {
		return nil
	}
	return h.zones.directory.Records()
}

// Publish begins to spread a new value of a record to all members. Errors are ErrNoZones and those of package zone.
func (h *Host) Publish(name, value string) (zonedirectory.Record, error) {
	if !h.zones.enabled() {
		return zonedirectory.Record{}, ErrNoZones
	}
	return h.zones.directory.Publish(h.loop.Now(), name, value)
}

// tickZones does what is due between zones.
func (h *Host) tickZones(now eventloop.Micros) {
	if !h.zones.enabled() {
		return
	}
	h.dispatchDirectory(h.zones.directory.Tick(now, h.localView(now)))
	if met := h.zones.directory.Introductions(now); len(met) > 0 {
		h.dispatch(h.fleet.SyncWith(met))
	}
	if now >= h.zones.nextLogAt {
		h.zones.nextLogAt = now + zoneLogInterval
		h.logZoneChanges(now)
	}
}

// localView is what the directory is to be told of the own zone; nil where nothing has changed. Members are listed
// anew only with a new revision of the view.
func (h *Host) localView(now eventloop.Micros) *zonedirectory.LocalZone {
	revision, doubts, l := h.fleet.Revision(), h.fleet.Unhealthy(now), &h.zones.local
	if h.zones.localSent && revision == l.Revision && doubts == l.Unhealthy {
		return nil
	}
	if !h.zones.localSent || revision != l.Revision {
		alive := h.fleet.Alive()
		l.Members = make([]zonedirectory.Member, len(alive))
		for i, m := range alive {
			l.Members[i] = zonedirectory.Member{ID: zonedirectory.MemberID(m.ID), Addr: m.Addr}
			h.noteInstance(m)
		}
	}
	l.Revision, l.Unhealthy, l.Leaving = revision, doubts, h.fleet.Leaving()
	l.Live, l.Known, l.Dead, l.Position = h.fleet.Live(), h.fleet.Known(), h.fleet.Dead(), h.positionInZone()
	h.zones.localSent = true
	return l
}

// noteInstance notes which process of a member there is by what others say, where it has not said so itself: items go
// to members that this one has never heard, and would be lost the first time.
func (h *Host) noteInstance(m membership.Self) {
	if m.ID != h.self.ID && h.instances[m.ID] == 0 {
		h.instances[m.ID] = m.Instance
	}
}

// deliverToDirectory has the directory take a datagram: its message, or what any tells of its sender's zone.
func (h *Host) deliverToDirectory(from netip.AddrPort, d *packet.Datagram) {
	switch {
	case !h.zones.enabled():
	case d.Directory != nil:
		h.dispatchDirectory(h.zones.directory.Receive(h.loop.Now(), from, *d.Directory))
	default:
		h.dispatchDirectory(
			h.zones.directory.ObserveDatagram(
				h.loop.Now(),
				from,
				zonedirectory.MemberID(d.From()),
				d.Zone,
				d.DirectoryDigest,
			),
		)
	}
}

// dispatchDirectory sends what the directory says.
func (h *Host) dispatchDirectory(out []zonedirectory.Outgoing) {
	for i := range out {
		to, id := h.resolve(out[i].To, membership.ID(out[i].Receiver))
		h.plaintext = packet.EncodeDirectory(h.plaintext[:0], h.nextEnvelope(h.instances[id]), &out[i].Message)
		h.sendSealed(to)
	}
}

// logZoneChanges logs each zone that is there for the first time, or in another state.
func (h *Host) logZoneChanges(now eventloop.Micros) {
	if len(h.zones.loggedStates) > 2*zonedirectory.MaxZones {
		clear(h.zones.loggedStates) // of zones that are long forgotten
	}
	for _, v := range h.zones.directory.Views() {
		id := v.Site.ID()
		was := h.zones.loggedStates[id]
		if was == v.State {
			continue
		}
		h.zones.loggedStates[id] = v.State
		h.log.WithFields(logrus.Fields{
			logging.Region: v.Site.Region, logging.Zone: v.Site.Zone, logging.State: v.State.String(),
			logging.PreviousState: was.String(), logging.LiveMembers: v.Live,
		}).Info("a zone has changed")
	}
}
