package zonedirectory

import (
	"slices"
	"spurspread/decision/monotime"
)

// Kinds of items, as they are counted.
const (
	kindSummary = iota
	kindObservation
	kindRecord
)

func (e *entry) kind() int {
	switch {
	case e.Summary != nil:
		return kindSummary
	case e.Observation != nil:
		return kindObservation
	}
	return kindRecord
}

// merge takes an item that came with a message.
func (d *Directory) merge(now monotime.Micros, it Item, m *Message) {
	e := newEntry(it)
	if e == nil || e.Observation != nil && !d.acceptsObservation(e.Observation, m) {
		return
	}
	if f, ok := d.tombstones[e.key]; ok && e.version <= f.version.Version &&
		(e.Summary == nil || m.Zone != e.Summary.Site.ID()) {
		return
	}
	if !d.store(now, e) {
		return
	}
	if e.Observation != nil {
		d.verifyUnreachable(now, e.Observation.Unreachable)
	}
	// What a new process is told by its own zone is no news there.
	if m.IsReply && m.Zone == d.ownZone && !d.synced {
		e.gossipPending, e.pushPending = false, false
	}
}

// acceptsObservation tells whether an observation is one of this zone, by one who is or may become a delegate.
func (d *Directory) acceptsObservation(o *Observation, m *Message) bool {
	return o.Zone == d.ownZone && m.Zone == d.ownZone &&
		slices.ContainsFunc(d.candidates, func(c Member) bool { return c.ID == o.Delegate })
}

// store holds an item in place of an older one, and has it told to others. It says whether that was so.
func (d *Directory) store(now monotime.Micros, e *entry) bool {
	old := d.items[e.key]
	if old != nil && (old.kind() != e.kind() || !e.newer(old)) {
		return false
	}
	if old == nil && !d.ensureCapacity(e) {
		return false
	}
	if old != nil {
		d.toggleDigest(old)
		e.noteReplacedIssuer(old)
	} else {
		at, _ := slices.BinarySearch(d.keys, e.key)
		d.keys = slices.Insert(d.keys, at, e.key)
		d.itemCounts[e.kind()]++
	}
	delete(d.tombstones, e.key)
	d.items[e.key] = e
	d.toggleDigest(e)
	if e.isGlobal() {
		d.changedAt = now
	}
	e.gossipPending, e.pushPending = true, e.isGlobal()
	d.dissemination.gossipPending, d.dissemination.pushPending = true, true
	if e.Summary != nil {
		d.applySummary(now, e.Summary)
	}
	d.nextEvaluationAt = now
	return true
}

// noteReplacedIssuer remembers who issued a summary that another's has replaced, and that the new one does not name: it is
// told.
func (e *entry) noteReplacedIssuer(old *entry) {
	if e.Summary == nil || e.Summary.Issuer == old.Summary.Issuer {
		return
	}
	for _, c := range old.Summary.Contacts {
		if c.ID == old.Summary.Issuer &&
			!slices.ContainsFunc(e.Summary.Contacts, func(o Contact) bool { return o.ID == c.ID }) {
			e.replacedIssuer = &c
		}
	}
}

// toggleDigest puts an entry into the digests, or takes it out again.
func (d *Directory) toggleDigest(e *entry) {
	h := e.digest()
	d.digest ^= h
	if e.isGlobal() {
		d.globalDigest ^= h
	}
}

// ensureCapacity makes room for one more item. Where there are as many as there may be, those with the smallest keys stay,
// whatever order they come in; the own zone's summary stays in any case.
func (d *Directory) ensureCapacity(e *entry) bool {
	most := [...]int{MaxZones, maxObservations, MaxRecords}[e.kind()]
	if d.itemCounts[e.kind()] < most {
		return true
	}
	for i := len(d.keys) - 1; i >= 0; i-- {
		o := d.items[d.keys[i]]
		if o.kind() != e.kind() || o.key == summaryKey(d.ownZone) {
			continue
		}
		if o.key < e.key && e.key != summaryKey(d.ownZone) {
			return false
		}
		d.remove(o)
		return true
	}
	return false
}

// remove holds an item no longer.
func (d *Directory) remove(e *entry) {
	d.toggleDigest(e)
	delete(d.items, e.key)
	if at, ok := slices.BinarySearch(d.keys, e.key); ok {
		d.keys = slices.Delete(d.keys, at, at+1)
	}
	d.itemCounts[e.kind()]--
	if e.Summary != nil {
		id := e.Summary.Site.ID()
		d.zones = slices.DeleteFunc(d.zones, func(z *zoneState) bool { return z.id == id })
	}
}

// forgetZone drops the summary of a zone that has been gone for long. Others may have it a little longer, and tell of it.
func (d *Directory) forgetZone(now monotime.Micros, z *zoneState) {
	e := d.items[summaryKey(z.id)]
	d.remove(e)
	for k, f := range d.tombstones {
		if now >= f.expiresAt {
			delete(d.tombstones, k)
		}
	}
	if len(d.tombstones) < MaxZones {
		d.tombstones[e.key] = tombstone{z.id, ItemVersion{e.key, e.version, 0}, now + 2*zoneRetention}
	}
	d.nextEvaluationAt = now
}

// zoneByID is what is held of a zone, nil where it is not known.
func (d *Directory) zoneByID(id ID) *zoneState {
	if at, ok := d.zoneIndex(id); ok {
		return d.zones[at]
	}
	return nil
}

func (d *Directory) zoneIndex(id ID) (int, bool) {
	return slices.BinarySearchFunc(d.zones, id, func(z *zoneState, id ID) int {
		switch {
		case z.id < id:
			return -1
		case z.id > id:
			return 1
		}
		return 0
	})
}

// addedZones are the zones that a list has and the one before has not.
func addedZones(before, now []ID) []ID {
	return slices.DeleteFunc(slices.Clone(now), func(id ID) bool { return slices.Contains(before, id) })
}

// applySummary takes a zone's new summary.
func (d *Directory) applySummary(now monotime.Micros, s *Summary) {
	id := s.Site.ID()
	at, known := d.zoneIndex(id)
	if !known {
		z := &zoneState{id: id, state: Reachable, stateSince: now}
		if slices.Contains(d.unreachableZones, id) {
			z.state = Unknown
		}
		d.zones = slices.Insert(d.zones, at, z)
	}
	z := d.zones[at]
	if d.isActiveDelegate() && z.Summary != nil && id != d.ownZone {
		d.verifyUnreachable(now, addedZones(z.Unreachable, s.Unreachable))
	}
	z.Summary = s
	if id != d.ownZone {
		d.refreshContacts(now, z)
	}
}
