package zonedirectory

import (
	"slices"

	"spurspread/decision/monotime"
)

// tombstoneRetention is the lifetime of the tombstone of a forgotten zone: other members may forget the zone a little
// later.
const tombstoneRetention = 2 * zoneRetention

// tombstone represents a zone's summary that was dropped after it expired.
type tombstone struct {
	zone      ID
	version   ItemVersion
	expiresAt monotime.Micros
}

// merge adds an item from a message if it is valid and newer than the entry in the directory.
func (d *Directory) merge(now monotime.Micros, item Item, m *Message) {
	e := newEntry(item)
	if e == nil || e.Observation != nil && !d.acceptsObservation(e.Observation, m) || d.isTombstoned(e, m) {
		return
	}
	if !d.store(now, e) {
		return
	}
	if e.Observation != nil {
		d.verifyUnreachable(now, e.Observation.Unreachable)
	}
	// Items that a new process learns from its own zone are known there already, and need not be disseminated.
	if m.IsReply && m.Zone == d.ownZone && !d.synced {
		e.gossipPending = false
		e.pushPending = false
	}
}

// acceptsObservation reports whether an observation is accepted: it was sent from the local zone and made by one of
// this zone's candidates for delegate.
func (d *Directory) acceptsObservation(o *Observation, m *Message) bool {
	return o.Zone == d.ownZone && m.Zone == d.ownZone && d.isCandidate(o.Delegate)
}

// isTombstoned reports whether an item is ignored because it was dropped here. Messages from members of the item's zone
// override a tombstone.
func (d *Directory) isTombstoned(e *entry, m *Message) bool {
	dropped, found := d.tombstones[e.key]
	if !found || e.version > dropped.version.Version {
		return false
	}
	return e.Summary == nil || m.Zone != e.Summary.Site.ID()
}

// store adds an entry or replaces an older one, and marks it for dissemination. It reports whether the entry was added:
// it is newer than the existing one, and there is space for it.
func (d *Directory) store(now monotime.Micros, e *entry) bool {
	old := d.items[e.key]
	switch {
	case old == nil:
		if !d.ensureCapacity(e) {
			return false
		}
		at, _ := slices.BinarySearch(d.keys, e.key)
		d.keys = slices.Insert(d.keys, at, e.key)
		d.itemCounts[e.kind()]++
	case old.kind() != e.kind() || !e.newer(old):
		return false
	default:
		d.toggleDigest(old)
		e.recordReplacedIssuer(old)
	}
	delete(d.tombstones, e.key)
	d.items[e.key] = e
	d.toggleDigest(e)
	if e.isGlobal() {
		d.changedAt = now
	}
	e.gossipPending = true
	e.pushPending = e.isGlobal()
	d.dissemination.gossipPending = true
	d.dissemination.pushPending = true
	if e.Summary != nil {
		d.applySummary(now, e.Summary)
	}
	d.nextEvaluationAt = now
	return true
}

// recordReplacedIssuer remembers the issuer of the replaced summary, in order to notify it, if another member issued
// the new one and the new one does not name it as a contact.
func (e *entry) recordReplacedIssuer(old *entry) {
	if e.Summary == nil || e.Summary.Issuer == old.Summary.Issuer {
		return
	}
	for _, contact := range old.Summary.Contacts {
		sameMember := func(c Contact) bool { return c.ID == contact.ID }
		if contact.ID == old.Summary.Issuer && !slices.ContainsFunc(e.Summary.Contacts, sameMember) {
			e.replacedIssuer = &contact
		}
	}
}

// toggleDigest adds an entry to the digests, or removes it if it is included.
func (d *Directory) toggleDigest(e *entry) {
	digest := e.digest()
	d.digest ^= digest
	if e.isGlobal() {
		d.globalDigest ^= digest
	}
}

// ensureCapacity reports whether there is space for e. If the limit of its kind is reached, it drops the entry with the
// greatest key, unless e has the greatest one itself. The smallest keys therefore remain in any order of arrival, and
// the local zone's summary always remains.
func (d *Directory) ensureCapacity(e *entry) bool {
	if d.itemCounts[e.kind()] < e.kind().limit() {
		return true
	}
	ownKey := summaryKey(d.ownZone)
	for _, key := range slices.Backward(d.keys) {
		other := d.items[key]
		if other.kind() != e.kind() || key == ownKey {
			continue
		}
		if key < e.key && e.key != ownKey {
			return false
		}
		d.remove(other)
		return true
	}
	return false
}

// remove removes an entry and, if it is a summary, the state of its zone.
func (d *Directory) remove(e *entry) {
	d.toggleDigest(e)
	delete(d.items, e.key)
	if at, found := slices.BinarySearch(d.keys, e.key); found {
		d.keys = slices.Delete(d.keys, at, at+1)
	}
	d.itemCounts[e.kind()]--
	if e.Summary != nil {
		id := e.Summary.Site.ID()
		d.zones = slices.DeleteFunc(d.zones, func(z *zoneState) bool { return z.id == id })
	}
}

// forgetZone drops the summary of a zone and leaves a tombstone, since other members may keep and send the summary a
// little longer. It also removes expired tombstones.
func (d *Directory) forgetZone(now monotime.Micros, z *zoneState) {
	e := d.items[summaryKey(z.id)]
	d.remove(e)
	for key, dropped := range d.tombstones {
		if now >= dropped.expiresAt {
			delete(d.tombstones, key)
		}
	}
	if len(d.tombstones) < MaxZones {
		d.tombstones[e.key] = tombstone{
			zone:      z.id,
			version:   ItemVersion{Key: e.key, Version: e.version},
			expiresAt: now + tombstoneRetention,
		}
	}
	d.nextEvaluationAt = now
}
