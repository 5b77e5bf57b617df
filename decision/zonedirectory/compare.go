package zonedirectory

import (
	"math"
	"net/netip"
	"slices"
	"spurspread/decision/monotime"
)

const (
	// syncInterval is the least time between two comparisons that a member begins in its own zone; half as long while
	// it is new.
	syncInterval = 1 * sec
	// versionsPerRange is how many versions one Compare has, besides its two ends.
	versionsPerRange = MaxVersions - 2
	// maxSyncReplies is how many messages of items answer one Compare.
	maxSyncReplies = 4
	// maxDivergedPeers bounds the members of this zone that are remembered to differ.
	maxDivergedPeers = 256
)

// observeZonePeer takes the digest of a member of this zone. What is new comes by itself: who differs for longer is asked.
func (d *Directory) observeZonePeer(now monotime.Micros, from netip.AddrPort, id MemberID, digest uint64) {
	if digest == d.digest {
		delete(d.divergedSince, id)
		d.synced = true
		return
	}
	since, known := d.divergedSince[id]
	if !known {
		if len(d.divergedSince) >= maxDivergedPeers {
			clear(d.divergedSince)
		}
		since = now
		d.divergedSince[id] = now
	}
	if now < d.nextSyncAt || d.synced && now-since < divergenceTolerance {
		return
	}
	delete(d.divergedSince, id)
	d.requestSync(now, from, id, d.ownZone)
}

// requestSync has another's directory compared with this one.
func (d *Directory) requestSync(now monotime.Micros, to netip.AddrPort, id MemberID, zone ID) {
	if zone == d.ownZone || !d.synced {
		d.nextSyncAt = now + syncInterval/2
		if d.synced {
			d.nextSyncAt += syncInterval/2 + monotime.Micros(d.rng.Int64N(int64(syncInterval/2)))
		}
	}
	d.sendRepair(to, id, Message{Kind: SyncVersions, Versions: d.versionRange(zone == d.ownZone)})
}

// versionRange names what this member has, or has forgotten, from the cursor on, with the ends of that range.
func (d *Directory) versionRange(all bool) []ItemVersion {
	var held []ItemVersion
	for _, k := range d.keys {
		if e := d.items[k]; all || e.isGlobal() {
			held = append(held, e.itemVersion())
		}
	}
	for _, f := range d.tombstones {
		held = append(held, f.version)
	}
	slices.SortFunc(held, compareKeys)
	from := d.syncCursor
	at, _ := slices.BinarySearchFunc(held, ItemVersion{Key: from}, compareKeys)
	held = held[at:]
	to := uint64(math.MaxUint64)
	if d.syncCursor = 0; len(held) > versionsPerRange {
		held = held[:versionsPerRange]
		to = held[versionsPerRange-1].Key
		d.syncCursor = to + 1
	}
	if len(held) == 0 || held[0].Key != from {
		held = slices.Insert(held, 0, ItemVersion{Key: from})
	}
	if held[len(held)-1].Key != to {
		held = append(held, ItemVersion{Key: to})
	}
	return held
}

func compareKeys(a, b ItemVersion) int {
	switch {
	case a.Key < b.Key:
		return -1
	case a.Key > b.Key:
		return 1
	}
	return 0
}

// handleSync answers with what is newer here, and asks for what is newer there.
func (d *Directory) handleSync(from netip.AddrPort, m *Message) {
	if len(m.Versions) == 0 || !slices.IsSortedFunc(m.Versions, compareKeys) {
		return
	}
	if m.Zone == d.ownZone && !m.IsReply {
		d.adoptTombstones(m.Versions)
	}
	var newer []*entry
	low, high := m.Versions[0].Key, m.Versions[len(m.Versions)-1].Key
	for _, k := range d.keys {
		e := d.items[k]
		if k < low || k > high || !e.isGlobal() && m.Zone != d.ownZone {
			continue
		}
		at, listed := slices.BinarySearchFunc(m.Versions, ItemVersion{Key: k}, compareKeys)
		if !listed && !m.IsReply ||
			listed &&
				(e.mayBeNewer(m.Versions[at]) || m.Versions[at].Checksum == 0 && e.key == summaryKey(d.ownZone)) {
			newer = append(newer, e)
		}
	}
	d.sendNewer(from, m.From, newer)
	if m.IsReply {
		return
	}
	if wants := d.wantedVersions(m); len(wants) > 0 {
		d.sendRepair(from, m.From, Message{Kind: SyncVersions, IsReply: true, Versions: wants})
	}
}

// adoptTombstones forgets zones that a member of this one has forgotten, which knew of them longer: they are gone for
// this one as well.
func (d *Directory) adoptTombstones(versions []ItemVersion) {
	for _, v := range versions {
		e := d.items[v.Key]
		if v.Checksum != 0 || e == nil || e.Summary == nil || e.version > v.Version {
			continue
		}
		if z := d.zoneByID(e.Summary.Site.ID()); z.id != d.ownZone && (z.state == Unknown || z.state == Left) {
			d.forgetZone(d.now, z)
		}
	}
}

// mayBeNewer tells whether an entry may be newer than what another has: of one version neither can say without the content.
func (e *entry) mayBeNewer(v ItemVersion) bool {
	return e.version > v.Version || e.version == v.Version && e.checksum() != v.Checksum && v.Checksum != 0
}

// wantedVersions are the versions of what may be newer with the sender of a Compare.
func (d *Directory) wantedVersions(m *Message) (out []ItemVersion) {
	for _, v := range m.Versions {
		if v.Version == 0 || v.Checksum == 0 {
			continue
		}
		own := ItemVersion{Key: v.Key}
		if e := d.items[v.Key]; e != nil {
			own = e.itemVersion()
		} else if f, ok := d.tombstones[v.Key]; ok {
			own = f.version
		}
		if own.Checksum == 0 && v.Key == summaryKey(m.Zone) {
			own = ItemVersion{Key: v.Key} // it was forgotten, and says itself that it is there
		}
		if v.Version > own.Version || v.Version == own.Version && own.Checksum != 0 && v.Checksum != own.Checksum {
			out = append(out, own)
		}
	}
	return out
}

// sendNewer sends entries, as many as a few messages hold, others first each time.
func (d *Directory) sendNewer(to netip.AddrPort, id MemberID, newer []*entry) {
	d.rng.Shuffle(len(newer), func(i, j int) { newer[i], newer[j] = newer[j], newer[i] })
	for range maxSyncReplies {
		if len(newer) == 0 {
			return
		}
		n := countFitting(newer)
		d.sendRepair(to, id, Message{Kind: Update, IsReply: true, Items: items(newer[:n])})
		newer = newer[n:]
	}
}

// sendRepair sends what makes directories the same, as far as the budget goes.
func (d *Directory) sendRepair(to netip.AddrPort, id MemberID, m Message) {
	if !d.repairBudget.refill(d.now) {
		d.Suppressed++
		return
	}
	d.repairBudget.available -= float64(ApproximateSize(&m))
	d.send(to, id, m)
}

// handleUpdate takes note of what an Update says of its sender. A new process asks who tells it of another zone for all
// the rest.
func (d *Directory) handleUpdate(now monotime.Micros, from netip.AddrPort, m *Message) {
	d.noteSeed(from, m.Zone)
	switch {
	case m.Zone == d.ownZone:
		d.synced = d.synced || m.IsReply
	case !d.synced && !d.settled && m.Digest != d.globalDigest && now >= d.nextSyncAt:
		d.requestSync(now, from, m.From, m.Zone)
	}
}
