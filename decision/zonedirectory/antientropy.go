package zonedirectory

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"spurspread/decision/monotime"
)

// Anti-entropy: datagrams carry a digest of their sender's items. Directories that differ for longer than items take
// are compared by the versions of all items in a range of keys, and what is newer is sent.

const (
	// syncInterval is the least time between two comparisons that a member begins in its own zone, syncJitter what is
	// added at random; unsyncedSyncInterval the same while it is new.
	syncInterval         = 1 * monotime.Second
	syncJitter           = syncInterval / 2
	unsyncedSyncInterval = syncInterval / 2
	// divergenceTolerance is how long directories may differ before they are compared: items mostly arrive by
	// themselves.
	divergenceTolerance = 700 * monotime.Millisecond
	// versionsPerRange is how many versions one SyncVersions has, besides its two ends.
	versionsPerRange = MaxVersions - 2
	// maxSyncReplies bounds the messages of items in answer to one comparison.
	maxSyncReplies = 4
	// maxDivergedPeers bounds the members of the own zone that are remembered to differ.
	maxDivergedPeers = 256
)

// observeZonePeer decides whether the directory of a member of the own zone is compared with this one: it has
// differed for divergenceTolerance, or this member is new.
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

// syncIfDiverged decides whether the directory of another zone's member, which has answered a probe, is compared with
// this one: at once after the zone was not reached, otherwise once it has differed for divergenceTolerance. Until
// then the zone is probed more often.
func (d *Directory) syncIfDiverged(now monotime.Micros, from netip.AddrPort, m *Message, l *link, atOnce bool) {
	if m.Digest == d.globalDigest {
		l.divergedSince = 0
		return
	}
	lasting := l.divergedSince > 0 && now-l.divergedSince >= divergenceTolerance
	unchanged := now-d.changedAt >= divergenceTolerance
	if atOnce || lasting || unchanged {
		l.divergedSince = 0
		d.requestSync(now, from, m.From, m.Zone)
	} else if l.divergedSince == 0 {
		l.divergedSince = now
	}
	l.nextProbeAt = min(l.nextProbeAt, now+divergenceTolerance)
}

// requestSync has another directory compared with this one.
func (d *Directory) requestSync(now monotime.Micros, to netip.AddrPort, id MemberID, zone ID) {
	ownZone := zone == d.ownZone
	if !d.synced {
		d.nextSyncAt = now + unsyncedSyncInterval
	} else if ownZone {
		d.nextSyncAt = now + syncInterval + d.jitter(syncJitter)
	}
	d.sendRepair(to, id, Message{Kind: SyncVersions, Versions: d.versionRange(ownZone)})
}

// versionRange names the items that this member has or has dropped, from the cursor on, between the ends of their
// range. It moves the cursor behind them. Observations are for the own zone only.
func (d *Directory) versionRange(observations bool) []ItemVersion {
	versions := d.heldVersions(observations)
	from, to := d.syncCursor, uint64(math.MaxUint64)
	at, _ := slices.BinarySearchFunc(versions, ItemVersion{Key: from}, compareKeys)
	versions = versions[at:]
	d.syncCursor = 0
	if len(versions) > versionsPerRange {
		versions = versions[:versionsPerRange]
		to = versions[versionsPerRange-1].Key
		d.syncCursor = to + 1
	}
	if len(versions) == 0 || versions[0].Key != from {
		versions = slices.Insert(versions, 0, ItemVersion{Key: from})
	}
	if versions[len(versions)-1].Key != to {
		versions = append(versions, ItemVersion{Key: to})
	}
	return versions
}

// heldVersions names all items that this member has or has dropped, ascending by key.
func (d *Directory) heldVersions(observations bool) []ItemVersion {
	var versions []ItemVersion
	for _, key := range d.keys {
		if e := d.items[key]; observations || e.isGlobal() {
			versions = append(versions, e.itemVersion())
		}
	}
	for _, dropped := range d.tombstones {
		versions = append(versions, dropped.version)
	}
	slices.SortFunc(versions, compareKeys)
	return versions
}

func compareKeys(a, b ItemVersion) int { return cmp.Compare(a.Key, b.Key) }

// handleSync answers the versions of another directory with what is newer here, and requests what is newer there.
func (d *Directory) handleSync(from netip.AddrPort, m *Message) {
	if len(m.Versions) == 0 || !slices.IsSortedFunc(m.Versions, compareKeys) {
		return
	}
	if m.Zone == d.ownZone && !m.IsReply {
		d.adoptTombstones(m.Versions)
	}
	d.sendNewer(from, m.From, d.entriesNewerThan(m))
	if m.IsReply {
		return
	}
	if wanted := d.wantedVersions(m); len(wanted) > 0 {
		d.sendRepair(from, m.From, Message{Kind: SyncVersions, IsReply: true, Versions: wanted})
	}
}

// adoptTombstones forgets zones that are gone here and that another member of the own zone, which knew them longer,
// has forgotten.
func (d *Directory) adoptTombstones(versions []ItemVersion) {
	for _, v := range versions {
		e := d.items[v.Key]
		if v.Checksum != 0 || e == nil || e.Summary == nil || e.version > v.Version {
			continue
		}
		if z := d.zoneByID(e.Summary.Site.ID()); z.id != d.ownZone && z.isGone() {
			d.forgetZone(d.now, z)
		}
	}
}

// entriesNewerThan lists the entries in the range of keys that the sender of m is sent: newer ones than it has, in a
// request those that it doesn't have, and the own zone's summary where the sender has dropped it.
func (d *Directory) entriesNewerThan(m *Message) []*entry {
	lowest, highest := m.Versions[0].Key, m.Versions[len(m.Versions)-1].Key
	var newer []*entry
	for _, key := range d.keys {
		e := d.items[key]
		if key < lowest || key > highest || !e.isGlobal() && m.Zone != d.ownZone {
			continue
		}
		at, listed := slices.BinarySearchFunc(m.Versions, ItemVersion{Key: key}, compareKeys)
		if !listed {
			if !m.IsReply {
				newer = append(newer, e)
			}
			continue
		}
		v := m.Versions[at]
		droppedThere := v.Checksum == 0 && key == summaryKey(d.ownZone)
		if droppedThere || e.mayBeNewer(v) {
			newer = append(newer, e)
		}
	}
	return newer
}

// wantedVersions lists the versions here of items that may be newer at the sender of m.
func (d *Directory) wantedVersions(m *Message) []ItemVersion {
	var wanted []ItemVersion
	for _, remote := range m.Versions {
		if remote.Version == 0 || remote.Checksum == 0 {
			continue
		}
		own := d.versionOf(remote.Key)
		if own.Checksum == 0 && remote.Key == summaryKey(m.Zone) {
			own = ItemVersion{Key: remote.Key} // dropped here, and a member of the zone itself has it
		}
		otherContent := own.Checksum != 0 && remote.Checksum != own.Checksum
		if remote.Version > own.Version || remote.Version == own.Version && otherContent {
			wanted = append(wanted, own)
		}
	}
	return wanted
}

// versionOf names what this member has, or has dropped, under a key.
func (d *Directory) versionOf(key uint64) ItemVersion {
	if e := d.items[key]; e != nil {
		return e.itemVersion()
	}
	if dropped, found := d.tombstones[key]; found {
		return dropped.version
	}
	return ItemVersion{Key: key}
}

// sendNewer sends entries, as many as maxSyncReplies messages hold, in random order, so that all arrive after some
// comparisons.
func (d *Directory) sendNewer(to netip.AddrPort, id MemberID, newer []*entry) {
	d.rng.Shuffle(len(newer), func(i, j int) { newer[i], newer[j] = newer[j], newer[i] })
	for range maxSyncReplies {
		if len(newer) == 0 {
			return
		}
		n := countFitting(newer)
		d.sendRepair(to, id, Message{Kind: Update, IsReply: true, Items: itemsOf(newer[:n])})
		newer = newer[n:]
	}
}

// sendRepair sends a message of anti-entropy, as far as its budget goes.
func (d *Directory) sendRepair(to netip.AddrPort, id MemberID, m Message) {
	if !d.repairBudget.refill(d.now) {
		d.Suppressed++
		return
	}
	d.repairBudget.available -= float64(ApproximateSize(&m))
	d.send(to, id, m)
}

// handleUpdate takes what an Update says of its sender. A new process that learns of another zone from one of its
// members requests all other items there.
func (d *Directory) handleUpdate(now monotime.Micros, from netip.AddrPort, m *Message) {
	d.noteSeed(from, m.Zone)
	switch {
	case m.Zone == d.ownZone:
		d.synced = d.synced || m.IsReply
	case !d.synced && !d.settled && m.Digest != d.globalDigest && now >= d.nextSyncAt:
		d.requestSync(now, from, m.From, m.Zone)
	}
}
