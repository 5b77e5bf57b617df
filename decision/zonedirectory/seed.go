package zonedirectory

import (
	"net/netip"
	"slices"

	"spurspread/decision/monotime"
)

const (
	// seedProbeInterval is the mean time between two rounds of probes of seeds that have not answered or whose zone
	// this member cannot reach; seedProbeJitter is its range of variation. Each round probes at most maxSeedProbes
	// seeds.
	seedProbeInterval = 5 * monotime.Second
	seedProbeJitter   = seedProbeInterval / 5
	maxSeedProbes     = 4

	// joinInterval is the time after which a new process joins through other seeds: maxLocalJoinSeeds that may be in
	// its own zone, and maxRemoteJoinSeeds in other zones.
	joinInterval       = 500 * monotime.Millisecond
	maxLocalJoinSeeds  = 3
	maxRemoteJoinSeeds = 1

	// introductionInterval is the time between two comparisons of the local zone's view with the contacts in its
	// summary.
	introductionInterval = 1 * monotime.Second
	// introductionReplyInterval is the minimum time between two introductions of the same address in another zone.
	// maxIntroduced bounds the addresses that are remembered for that.
	introductionReplyInterval = 500 * monotime.Millisecond
	maxIntroduced             = 1024
)

// recordSeedZone remembers the zone of a seed; other addresses are ignored.
func (d *Directory) recordSeedZone(from netip.AddrPort, zone ID) {
	if !slices.Contains(d.cfg.Seeds, from) {
		return
	}
	if len(d.seedZones) > 2*len(d.cfg.Seeds) { // the seeds have changed
		clear(d.seedZones)
	}
	d.seedZones[from] = zone
}

// probeSeeds probes seeds in zones that this member may not know.
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

// seedProbeNeeded reports whether to probe a seed: it is not a member of the local zone, and its zone is unknown or
// cannot be reached.
func (d *Directory) seedProbeNeeded(seed netip.AddrPort) bool {
	if seed == d.cfg.Self.Addr || slices.ContainsFunc(d.zonePeers, func(m Member) bool { return m.Addr == seed }) {
		return false
	}
	return !d.reachesZone(d.seedZones[seed])
}

// JoinSeeds returns the seeds through which membership.Fleet should join: some that may be in the local zone, and one
// in another zone, which answers with the contacts of the local zone. The owner passes them to
// membership.Fleet.SetSeeds before each of its Ticks.
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

// Introductions returns the address of a member that the local zone's summary names and the view lacks, drawn at random
// if there are several. Usually there is none. Members that are not delegates, or are leaving, get none. The owner
// passes the result to membership.Fleet.SyncWith after each Tick.
func (d *Directory) Introductions(now monotime.Micros) []netip.AddrPort {
	current := d.zoneByID(d.ownZone)
	if now < d.nextIntroductionAt || current == nil || d.ownRank >= Delegates || d.local.Leaving {
		return nil
	}
	d.nextIntroductionAt = now + introductionInterval
	var unlisted []netip.AddrPort
	for _, contact := range current.Contacts {
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

// introduceZone answers a member of another zone, which uses this member's address as a seed, with the summaries of
// this zone and of the sender's zone.
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
