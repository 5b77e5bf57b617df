package zonedirectory

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"spurspread/decision/monotime"
)

// Anti-entropy: datagrams carry a digest of their sender's items. Directories that differ for longer than items take to
// spread are compared by the versions of all items in a range of keys, and newer items are sent.

const (
	// syncInterval is the minimum time between two comparisons that a member starts within its own zone; syncJitter is
	// the maximum random addition. unsyncedSyncInterval replaces both until the member has synchronized for the first
	// time.
	syncInterval         = 1 * monotime.Second
	syncJitter           = syncInterval / 2
	unsyncedSyncInterval = syncInterval / 2
	// divergenceTolerance is the time for which directories may differ before they are compared: most items arrive by
	// gossip before that.
	divergenceTolerance = 700 * monotime.Millisecond
	// versionsPerRange is the maximum number of versions in one SyncVersions, without the two ends of the range.
	versionsPerRange = MaxVersions - 2
	// maxSyncReplies bounds the messages with items in reply to one comparison.
	maxSyncReplies = 4
	// maxDivergedPeers bounds the members of the local zone in divergedSince.
	maxDivergedPeers = 256
)

// observeZonePeer compares the directory of a member of the local zone with this one if it has differed for
// divergenceTolerance, or if this member has not synchronized yet.
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

// syncIfDiverged compares the directory of another zone's member, which has answered a probe, with this one:
// immediately if atOnce is set, because the zone was not reached before, or if this directory has not changed lately;
// otherwise once the digests have differed for divergenceTolerance. Until then the zone is probed more often.
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

// requestSync starts a comparison with the directory of another member.
func (d *Directory) requestSync(now monotime.Micros, to netip.AddrPort, id MemberID, zone ID) {
	ownZone := zone == d.ownZone
	if !d.synced {
		d.nextSyncAt = now + unsyncedSyncInterval
	} else if ownZone {
		d.nextSyncAt = now + syncInterval + d.jitter(syncJitter)
	}
	d.sendRepair(to, id, Message{Kind: SyncVersions, Versions: d.versionRange(ownZone)})
}

// versionRange returns the versions of the items that this member has or has dropped, in the range of keys that begins
// at syncCursor, and moves the cursor behind that range. The first and the last version mark its ends. Observations are
// included only if requested, since they stay within the local zone.
func (d *Directory) versionRange(observations bool) []ItemVersion {
	versions := d.listVersions(observations)
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

// listVersions returns the versions of all items that this member has or has dropped, in ascending order of keys.
func (d *Directory) listVersions(observations bool) []ItemVersion {
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

// handleSyncVersions answers another directory's versions with the items that are newer here, and requests those that
// are newer there.
func (d *Directory) handleSyncVersions(from netip.AddrPort, m *Message) {
	if len(m.Versions) == 0 || !slices.IsSortedFunc(m.Versions, compareKeys) {
		return
	}
	if m.Zone == d.ownZone && !m.IsReply {
		d.adoptTombstones(m.Versions)
	}
	d.sendEntries(from, m.From, d.entriesNewerThan(m))
	if m.IsReply {
		return
	}
	if wanted := d.versionsToRequest(m); len(wanted) > 0 {
		d.sendRepair(from, m.From, Message{Kind: SyncVersions, IsReply: true, Versions: wanted})
	}
}

// adoptTombstones forgets the Unknown or Left zones that another member of the local zone has already forgotten. That
// member may have seen them in that state earlier.
func (d *Directory) adoptTombstones(versions []ItemVersion) {
	for _, v := range versions {
		e := d.items[v.Key]
		if v.Checksum != 0 || e == nil || e.Summary == nil || e.version > v.Version {
			continue
		}
		if z := d.zoneByID(e.Summary.Site.ID()); z.id != d.ownZone && z.unknownOrLeft() {
			d.forgetZone(d.now, z)
		}
	}
}

// entriesNewerThan lists the entries to send in reply to m, within its range of keys: those newer than the listed
// version and, unless m is itself a reply, those that m does not list. It includes the local zone's summary if the
// sender has dropped it.
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

// versionsToRequest returns the versions held here of the items that may be newer at the sender of m.
func (d *Directory) versionsToRequest(m *Message) []ItemVersion {
	var wanted []ItemVersion
	for _, remote := range m.Versions {
		if remote.Version == 0 || remote.Checksum == 0 {
			continue
		}
		own := d.versionOf(remote.Key)
		if own.Checksum == 0 && remote.Key == summaryKey(m.Zone) {
			own = ItemVersion{Key: remote.Key} // dropped here, but a member of that zone still has it
		}
		otherContent := own.Checksum != 0 && remote.Checksum != own.Checksum
		if remote.Version > own.Version || remote.Version == own.Version && otherContent {
			wanted = append(wanted, own)
		}
	}
	return wanted
}

// versionOf returns the version of the item that this member has or has dropped under a key; Version is 0 if there is
// none.
func (d *Directory) versionOf(key uint64) ItemVersion {
	if e := d.items[key]; e != nil {
		return e.itemVersion()
	}
	if dropped, found := d.tombstones[key]; found {
		return dropped.version
	}
	return ItemVersion{Key: key}
}

// sendEntries sends entries in up to maxSyncReplies messages. The order is random, so that repeated comparisons
// transfer all of them.
func (d *Directory) sendEntries(to netip.AddrPort, id MemberID, newer []*entry) {
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

// sendRepair sends an anti-entropy message or an introduction, or drops it if the repair budget, which both share, is
// exhausted.
func (d *Directory) sendRepair(to netip.AddrPort, id MemberID, m Message) {
	if !d.repairBudget.refill(d.now) {
		d.Suppressed++
		return
	}
	d.repairBudget.available -= float64(ApproximateSize(&m))
	d.send(to, id, m)
}

// handleUpdate processes what an Update implies about its sender; merge has already processed its items. A new process
// that receives an Update from another zone requests all other items from the sender.
func (d *Directory) handleUpdate(now monotime.Micros, from netip.AddrPort, m *Message) {
	d.recordSeedZone(from, m.Zone)
	switch {
	case m.Zone == d.ownZone:
		d.synced = d.synced || m.IsReply
	case !d.synced && !d.settled && m.Digest != d.globalDigest && now >= d.nextSyncAt:
		d.requestSync(now, from, m.From, m.Zone)
	}
}
