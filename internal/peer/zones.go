package peer

import (
	"errors"
	"net/netip"

	"github.com/sirupsen/logrus"

	"spurspread/decision/membership"
	"spurspread/decision/monotime"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/logging"
	"spurspread/internal/peer/packet"
)

// ErrNoZones is returned by Publish in a fleet without zones: records are distributed by the zone directory.
var ErrNoZones = errors.New("the fleet has no zones")

const (
	// zoneLogInterval is the time between two checks of all zones for state changes to log.
	zoneLogInterval = 1 * monotime.Second
	// maxLoggedStates limits the number of zones whose last logged state is kept.
	maxLoggedStates = 2 * zonedirectory.MaxZones
)

// zones is a Host's state for a fleet with zones; the zero value in a fleet without them.
type zones struct {
	directory    *zonedirectory.Directory
	own          zonedirectory.ID
	local        zonedirectory.LocalZone // as last passed to the directory
	localSent    bool                    // whether local was passed to the directory at all
	loggedStates map[zonedirectory.ID]zonedirectory.Reachability
	nextLogAt    monotime.Micros
}

func (z *zones) enabled() bool { return z.directory != nil }

func (h *Host) startZones() zones {
	own := h.cfg.Site.ID()
	if own == 0 {
		return zones{}
	}
	self := zonedirectory.Self{
		ID:       zonedirectory.MemberID(h.self.ID),
		Addr:     h.self.Addr,
		Instance: h.self.Instance,
	}
	directory := zonedirectory.New(zonedirectory.Config{
		Self:            self,
		Site:            h.cfg.Site,
		Seeds:           h.cfg.Seeds,
		ExpectedMembers: h.cfg.ExpectedMembers,
		RandomSeed:      h.cfg.RandomSeed,
		RateDivisor:     &membership.RateDivisor{},
		Rank:            h.cfg.Rank,
	}, h.loop.Now())
	return zones{
		directory:    directory,
		own:          own,
		loggedStates: map[zonedirectory.ID]zonedirectory.Reachability{},
	}
}

// Zones returns all known zones, this member's own first; nil in a fleet without zones.
func (h *Host) Zones() []zonedirectory.View {
	if !h.zones.enabled() {
		return nil
	}
	return h.zones.directory.Views()
}

// Records returns all records, ordered by name; nil in a fleet without zones.
func (h *Host) Records() []zonedirectory.Record {
	if !h.zones.enabled() {
		return nil
	}
	return h.zones.directory.Records()
}

// Publish starts to distribute a new value of a record to all members. It returns ErrNoZones or an error of
// zonedirectory.Directory.Publish.
func (h *Host) Publish(name, value string) (zonedirectory.Record, error) {
	if !h.zones.enabled() {
		return zonedirectory.Record{}, ErrNoZones
	}
	return h.zones.directory.Publish(h.loop.Now(), name, value)
}

// tickZones advances the zone directory, if there is one.
func (h *Host) tickZones(now monotime.Micros) {
	if !h.zones.enabled() {
		return
	}
	h.dispatchDirectory(h.zones.directory.Tick(now, h.localView(now)))
	// The directory may name members of the own zone that membership does not know: request their views.
	if unlisted := h.zones.directory.Introductions(now); len(unlisted) > 0 {
		h.dispatch(h.fleet.SyncWith(unlisted))
	}
	if now >= h.zones.nextLogAt {
		h.zones.nextLogAt = now + zoneLogInterval
		h.logZoneChanges()
	}
}

// localView returns the state of this member's own zone for the directory, or nil if neither the revision of the view
// nor this member's health has changed since the last call. The list of members is rebuilt only for a new revision.
func (h *Host) localView(now monotime.Micros) *zonedirectory.LocalZone {
	local := &h.zones.local
	revision, unhealthy := h.fleet.Revision(), h.fleet.Unhealthy(now)
	newRevision := !h.zones.localSent || revision != local.Revision
	if !newRevision && unhealthy == local.Unhealthy {
		return nil
	}
	if newRevision {
		local.Members = h.localMembers()
	}
	local.Revision = revision
	local.Unhealthy = unhealthy
	local.Leaving = h.fleet.Leaving()
	local.Live = h.fleet.Live()
	local.Known = h.fleet.Known()
	local.Dead = h.fleet.Dead()
	local.Position = h.positionInZone()
	h.zones.localSent = true
	return local
}

func (h *Host) localMembers() []zonedirectory.Member {
	alive := h.fleet.Alive()
	members := make([]zonedirectory.Member, len(alive))
	for i, m := range alive {
		members[i] = zonedirectory.Member{ID: zonedirectory.MemberID(m.ID), Addr: m.Addr}
		h.learnInstance(m)
	}
	return members
}

// learnInstance stores a member's instance from the view if the member itself has not sent one. Directory items are
// also sent to members that this one has never heard from, and the first datagram without the right instance is not
// accepted.
func (h *Host) learnInstance(m membership.Self) {
	if m.ID != h.self.ID && h.instances[m.ID] == 0 {
		h.instances[m.ID] = m.Instance
	}
}

// deliverToDirectory passes a directory message to the zone directory. Of any other datagram it passes on the sender's
// zone and directory digest.
func (h *Host) deliverToDirectory(from netip.AddrPort, d *packet.Datagram) {
	if !h.zones.enabled() {
		return
	}
	now := h.loop.Now()
	if d.Directory != nil {
		h.dispatchDirectory(h.zones.directory.Receive(now, from, *d.Directory))
		return
	}
	id := zonedirectory.MemberID(d.From())
	h.dispatchDirectory(h.zones.directory.ObserveDatagram(now, from, id, d.Zone, d.DirectoryDigest))
}

// dispatchDirectory sends messages of the zone directory.
func (h *Host) dispatchDirectory(out []zonedirectory.Outgoing) {
	for i := range out {
		to, receiver := h.resolve(out[i].To, membership.ID(out[i].Receiver))
		envelope := h.nextEnvelope(h.instances[receiver])
		h.plaintext = packet.EncodeDirectory(h.plaintext[:0], envelope, &out[i].Message)
		h.sendSealed(to)
	}
}

// logZoneChanges logs each zone that is new or has changed its state.
func (h *Host) logZoneChanges() {
	if len(h.zones.loggedStates) > maxLoggedStates {
		clear(h.zones.loggedStates) // most are of zones that the directory has long forgotten
	}
	for _, v := range h.zones.directory.Views() {
		id := v.Site.ID()
		before := h.zones.loggedStates[id]
		if before == v.State {
			continue
		}
		h.zones.loggedStates[id] = v.State
		h.log.WithFields(logrus.Fields{
			logging.Region:        v.Site.Region,
			logging.Zone:          v.Site.Zone,
			logging.State:         v.State.String(),
			logging.PreviousState: before.String(),
			logging.LiveMembers:   v.Live,
		}).Info("a zone has changed")
	}
}
