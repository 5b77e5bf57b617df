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
	if e == nil || e.Observation != nil && !d.takes(e.Observation, m) {
		return
	}
	if f, ok := d.forgotten[e.key]; ok && e.version <= f.version.Version &&
		(e.Summary == nil || m.Zone != e.Summary.Site.ID()) {
		return
	}
	if !d.put(now, e) {
		return
	}
	if e.Observation != nil {
		d.doubt(now, e.Observation.Unreachable)
	}
	// What a new process is told by its own zone is no news there.
	if m.Back && m.Zone == d.own && !d.synced {
		e.spreading, e.pushing = false, false
	}
}

// takes tells whether an observation is one of this zone, by one who is or may become a delegate.
func (d *Directory) takes(o *Observation, m *Message) bool {
	return o.Zone == d.own && m.Zone == d.own &&
		slices.ContainsFunc(d.ranked, func(c Member) bool { return c.ID == o.Delegate })
}

// put holds an item in place of an older one, and has it told to others. It says whether that was so.
func (d *Directory) put(now monotime.Micros, e *entry) bool {
	old := d.items[e.key]
	if old != nil && (old.kind() != e.kind() || !e.newer(old)) {
		return false
	}
	if old == nil && !d.room(e) {
		return false
	}
	if old != nil {
		d.mix(old)
		e.noteIssuer(old)
	} else {
		at, _ := slices.BinarySearch(d.keys, e.key)
		d.keys = slices.Insert(d.keys, at, e.key)
		d.counts[e.kind()]++
	}
	delete(d.forgotten, e.key)
	d.items[e.key] = e
	d.mix(e)
	if e.global() {
		d.changedAt = now
	}
	e.spreading, e.pushing = true, e.global()
	d.spread.fresh, d.spread.pushes = true, true
	if e.Summary != nil {
		d.summarized(now, e.Summary)
	}
	d.judgeAt = now
	return true
}

// noteIssuer remembers who issued a summary that another's has replaced, and that the new one does not name: it is
// told.
func (e *entry) noteIssuer(old *entry) {
	if e.Summary == nil || e.Summary.Issuer == old.Summary.Issuer {
		return
	}
	for _, c := range old.Summary.Contacts {
		if c.ID == old.Summary.Issuer &&
			!slices.ContainsFunc(e.Summary.Contacts, func(o Contact) bool { return o.ID == c.ID }) {
			e.before = &c
		}
	}
}

// mix puts an entry into the digests, or takes it out again.
func (d *Directory) mix(e *entry) {
	h := e.hash()
	d.digest ^= h
	if e.global() {
		d.global ^= h
	}
}

// room makes room for one more item. Where there are as many as there may be, those with the smallest keys stay,
// whatever order they come in; the own zone's summary stays in any case.
func (d *Directory) room(e *entry) bool {
	most := [...]int{MaxZones, maxObservations, MaxRecords}[e.kind()]
	if d.counts[e.kind()] < most {
		return true
	}
	for i := len(d.keys) - 1; i >= 0; i-- {
		o := d.items[d.keys[i]]
		if o.kind() != e.kind() || o.key == summaryKey(d.own) {
			continue
		}
		if o.key < e.key && e.key != summaryKey(d.own) {
			return false
		}
		d.drop(o)
		return true
	}
	return false
}

// drop holds an item no longer.
func (d *Directory) drop(e *entry) {
	d.mix(e)
	delete(d.items, e.key)
	if at, ok := slices.BinarySearch(d.keys, e.key); ok {
		d.keys = slices.Delete(d.keys, at, at+1)
	}
	d.counts[e.kind()]--
	if e.Summary != nil {
		id := e.Summary.Site.ID()
		d.zones = slices.DeleteFunc(d.zones, func(z *zoneState) bool { return z.id == id })
	}
}

// forget drops the summary of a zone that has been gone for long. Others may have it a little longer, and tell of it.
func (d *Directory) forget(now monotime.Micros, z *zoneState) {
	e := d.items[summaryKey(z.id)]
	d.drop(e)
	for k, f := range d.forgotten {
		if now >= f.until {
			delete(d.forgotten, k)
		}
	}
	if len(d.forgotten) < MaxZones {
		d.forgotten[e.key] = forgotten{z.id, ItemVersion{e.key, e.version, 0}, now + 2*forgetTime}
	}
	d.judgeAt = now
}

// zone is what is held of a zone, nil where it is not known.
func (d *Directory) zone(id ID) *zoneState {
	if at, ok := d.place(id); ok {
		return d.zones[at]
	}
	return nil
}

func (d *Directory) place(id ID) (int, bool) {
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

// added are the zones that a list has and the one before has not.
func added(before, now []ID) []ID {
	return slices.DeleteFunc(slices.Clone(now), func(id ID) bool { return slices.Contains(before, id) })
}

// summarized takes a zone's new summary.
func (d *Directory) summarized(now monotime.Micros, s *Summary) {
	id := s.Site.ID()
	at, known := d.place(id)
	if !known {
		z := &zoneState{id: id, state: Reachable, since: now}
		if slices.Contains(d.missing, id) {
			z.state = Unknown
		}
		d.zones = slices.Insert(d.zones, at, z)
	}
	z := d.zones[at]
	if d.delegate() && z.Summary != nil && id != d.own {
		d.doubt(now, added(z.Unreachable, s.Unreachable))
	}
	z.Summary = s
	if id != d.own {
		d.relink(now, z)
	}
}
