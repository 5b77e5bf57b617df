package zonedirectory

import (
	"slices"

	"spurspread/decision/monotime"
)

// tombstoneRetention is how long a zone that was forgotten is remembered as that: others may forget it a little
// later.
const tombstoneRetention = 2 * zoneRetention

// tombstone is a zone's summary that was dropped when it expired.
type tombstone struct {
	zone      ID
	version   ItemVersion
	expiresAt monotime.Micros
}

// merge takes an item that came with a message.
func (d *Directory) merge(now monotime.Micros, item Item, m *Message) {
	e := newEntry(item)
	if e == nil || e.Observation != nil && !d.acceptsObservation(e.Observation, m) || d.expired(e, m) {
		return
	}
	if !d.store(now, e) {
		return
	}
	if e.Observation != nil {
		d.verifyUnreachable(now, e.Observation.Unreachable)
	}
	// What a new process learns from its own zone is known there.
	if m.IsReply && m.Zone == d.ownZone && !d.synced {
		e.gossipPending = false
		e.pushPending = false
	}
}

// acceptsObservation decides whether an observation is taken: it came from the own zone, and is by one that is or may
// become a delegate there.
func (d *Directory) acceptsObservation(o *Observation, m *Message) bool {
	return o.Zone == d.ownZone && m.Zone == d.ownZone && d.isCandidate(o.Delegate)
}

// expired decides whether an item is ignored because it was dropped here. A zone's own members override that.
func (d *Directory) expired(e *entry, m *Message) bool {
	dropped, found := d.tombstones[e.key]
	if !found || e.version > dropped.version.Version {
		return false
	}
	return e.Summary == nil || m.Zone != e.Summary.Site.ID()
}

// store holds an item in place of an older one, and has it sent to others. It reports whether the item is newer than
// what was held, and there is space for it.
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
		e.noteReplacedIssuer(old)
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

// noteReplacedIssuer remembers the issuer of a summary that another one's has replaced, where the new one doesn't
// name it: it is notified.
func (e *entry) noteReplacedIssuer(old *entry) {
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

// toggleDigest adds an entry to the digests, or removes it again.
func (d *Directory) toggleDigest(e *entry) {
	digest := e.digest()
	d.digest ^= digest
	if e.isGlobal() {
		d.globalDigest ^= digest
	}
}

// ensureCapacity decides whether one more item is held, and drops another one for it where there are as many of its
// kind as there may be: those with the smallest keys stay, whatever order they come in, and the own zone's summary in
// any case.
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

// forgetZone drops the summary of a zone that is gone, and leaves a tombstone: others may have it a little longer,
// and send it.
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
