package zonedirectory

import (
	"net/netip"
	"slices"

	"spurspread/decision/monotime"
)

const (
	// seedProbeInterval is how often seeds are probed that have not answered or whose zone is not reached,
	// maxSeedProbes at once; seedProbeJitter is by how much it varies.
	seedProbeInterval = 5 * monotime.Second
	seedProbeJitter   = seedProbeInterval / 5
	maxSeedProbes     = 4

	// joinInterval is how often a new process joins by other seeds: maxLocalJoinSeeds that may be in its zone, and
	// maxRemoteJoinSeeds of other zones.
	joinInterval       = 500 * monotime.Millisecond
	maxLocalJoinSeeds  = 3
	maxRemoteJoinSeeds = 1

	// introductionInterval is how often the view of the own zone is compared with its summary's contacts.
	introductionInterval = 1 * monotime.Second
	// introductionReplyInterval is how often, at most, one address of another zone is introduced to this one;
	// maxIntroduced bounds the addresses that are remembered for that.
	introductionReplyInterval = 500 * monotime.Millisecond
	maxIntroduced             = 1024
)

// noteSeed remembers in which zone a seed is.
func (d *Directory) noteSeed(from netip.AddrPort, zone ID) {
	if !slices.Contains(d.cfg.Seeds, from) {
		return
	}
	if len(d.seedZones) > 2*len(d.cfg.Seeds) { // the seeds were others before
		clear(d.seedZones)
	}
	d.seedZones[from] = zone
}

// probeSeeds probes seeds of zones that this one may not know of.
func (d *Directory) probeSeeds(now monotime.Micros) {
	if now < d.nextSeedProbeAt || len(d.cfg.Seeds) == 0 {
		return
	}
	d.nextSeedProbeAt = now + d.spreadAround(seedProbeInterval, seedProbeJitter)
	probes := 0
	for range d.cfg.Seeds {
		d.seedIndex = (d.seedIndex + 1) % len(d.cfg.Seeds)
		seed := d.cfg.Seeds[d.seedIndex]
		if !d.seedProbeNeeded(seed) {
			continue
		}
		d.send(seed, 0, Message{Kind: Probe, Seq: d.nextSeq})
		d.nextSeq++
		probes++
		if probes >= maxSeedProbes {
			return
		}
	}
}

// seedProbeNeeded decides whether a seed is probed: it is no member of the own zone, and not in a zone that is
// reached.
func (d *Directory) seedProbeNeeded(seed netip.AddrPort) bool {
	if seed == d.cfg.Self.Addr || slices.ContainsFunc(d.zonePeers, func(m Member) bool { return m.Addr == seed }) {
		return false
	}
	return !d.reachesZone(d.seedZones[seed])
}

// JoinSeeds are the seeds by which membership.Fleet is to join: some that may be in this zone, and one of another,
// which answers with this zone's contacts. They are to be given to membership.Fleet.SetSeeds before each of its
// Ticks.
func (d *Directory) JoinSeeds(now monotime.Micros) []netip.AddrPort {
	joined := len(d.zonePeers) > 0 && len(d.joinSeeds) > 0
	if joined || now < d.nextJoinAt {
		return d.joinSeeds
	}
	d.nextJoinAt = now + joinInterval
	var local, remote []netip.AddrPort
	for _, seed := range d.cfg.Seeds {
		if zone := d.seedZones[seed]; zone != 0 && zone != d.ownZone {
			remote = append(remote, seed)
		} else {
			local = append(local, seed)
		}
	}
	d.shuffle(local)
	d.shuffle(remote)
	local = local[:min(len(local), maxLocalJoinSeeds)]
	remote = remote[:min(len(remote), maxRemoteJoinSeeds)]
	d.joinSeeds = slices.Concat(local, remote)
	return d.joinSeeds
}

func (d *Directory) shuffle(addrs []netip.AddrPort) {
	d.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
}

// Introductions are addresses of members that the own zone's summary names and the view doesn't have. They are to be
// given to membership.Fleet.SyncWith after each Tick; mostly there are none.
func (d *Directory) Introductions(now monotime.Micros) []netip.AddrPort {
	held := d.zoneByID(d.ownZone)
	if now < d.nextIntroductionAt || held == nil || d.ownRank >= Delegates || d.local.Leaving {
		return nil
	}
	d.nextIntroductionAt = now + introductionInterval
	var unlisted []netip.AddrPort
	for _, contact := range held.Contacts {
		if contact.ID != d.cfg.Self.ID && !d.isZonePeer(contact.ID) {
			unlisted = append(unlisted, contact.Addr)
		}
	}
	if len(unlisted) <= 1 {
		return unlisted
	}
	drawn := d.rng.IntN(len(unlisted))
	return unlisted[drawn : drawn+1]
}

// introduceZone answers a member of another zone, which has this one's address as a seed, with the summaries of this
// zone and of its own.
func (d *Directory) introduceZone(now monotime.Micros, from netip.AddrPort, id MemberID, zone ID) {
	if len(d.introducedAt) > maxIntroduced {
		clear(d.introducedAt)
	}
	if last, found := d.introducedAt[from]; found && now-last < introductionReplyInterval {
		return
	}
	d.introducedAt[from] = now
	var items []Item
	for _, known := range []ID{d.ownZone, zone} {
		if e := d.items[summaryKey(known)]; e != nil {
			items = append(items, e.Item)
		}
	}
	if len(items) > 0 {
		d.sendRepair(from, id, Message{Kind: Update, Items: items})
	}
}
