package zonedirectory

import (
	"math"
	"net/netip"
	"slices"
	"spurspread/decision/monotime"
)

const (
	// syncEvery is the least time between two comparisons that a member begins in its own zone; half as long while
	// it is new.
	syncEvery = 1 * sec
	// rangeVersions is how many versions one Compare has, besides its two ends.
	rangeVersions = MaxVersions - 2
	// answers is how many messages of items answer one Compare.
	answers = 4
	// maxDiffers bounds the members of this zone that are remembered to differ.
	maxDiffers = 256
)

// noticedHere takes the digest of a member of this zone. What is new comes by itself: who differs for longer is asked.
func (d *Directory) noticedHere(now monotime.Micros, from netip.AddrPort, id MemberID, digest uint64) {
	if digest == d.digest {
		delete(d.differs, id)
		d.synced = true
		return
	}
	since, known := d.differs[id]
	if !known {
		if len(d.differs) >= maxDiffers {
			clear(d.differs)
		}
		since = now
		d.differs[id] = now
	}
	if now < d.syncAt || d.synced && now-since < differWait {
		return
	}
	delete(d.differs, id)
	d.ask(now, from, id, d.own)
}

// ask has another's directory compared with this one.
func (d *Directory) ask(now monotime.Micros, to netip.AddrPort, id MemberID, zone ID) {
	if zone == d.own || !d.synced {
		d.syncAt = now + syncEvery/2
		if d.synced {
			d.syncAt += syncEvery/2 + monotime.Micros(d.rng.Int64N(int64(syncEvery/2)))
		}
	}
	d.sendRepair(to, id, Message{Kind: Compare, Versions: d.versions(zone == d.own)})
}

// versions names what this member has, or has forgotten, from the cursor on, with the ends of that range.
func (d *Directory) versions(all bool) []ItemVersion {
	var held []ItemVersion
	for _, k := range d.keys {
		if e := d.items[k]; all || e.global() {
			held = append(held, e.versionOf())
		}
	}
	for _, f := range d.forgotten {
		held = append(held, f.version)
	}
	slices.SortFunc(held, byKey)
	from := d.cursor
	at, _ := slices.BinarySearchFunc(held, ItemVersion{Key: from}, byKey)
	held = held[at:]
	to := uint64(math.MaxUint64)
	if d.cursor = 0; len(held) > rangeVersions {
		held = held[:rangeVersions]
		to = held[rangeVersions-1].Key
		d.cursor = to + 1
	}
	if len(held) == 0 || held[0].Key != from {
		held = slices.Insert(held, 0, ItemVersion{Key: from})
	}
	if held[len(held)-1].Key != to {
		held = append(held, ItemVersion{Key: to})
	}
	return held
}

func byKey(a, b ItemVersion) int {
	switch {
	case a.Key < b.Key:
		return -1
	case a.Key > b.Key:
		return 1
	}
	return 0
}

// compared answers with what is newer here, and asks for what is newer there.
func (d *Directory) compared(from netip.AddrPort, m *Message) {
	if len(m.Versions) == 0 || !slices.IsSortedFunc(m.Versions, byKey) {
		return
	}
	if m.Zone == d.own && !m.Back {
		d.forgetToo(m.Versions)
	}
	var newer []*entry
	low, high := m.Versions[0].Key, m.Versions[len(m.Versions)-1].Key
	for _, k := range d.keys {
		e := d.items[k]
		if k < low || k > high || !e.global() && m.Zone != d.own {
			continue
		}
		at, listed := slices.BinarySearchFunc(m.Versions, ItemVersion{Key: k}, byKey)
		if !listed && !m.Back ||
			listed && (e.after(m.Versions[at]) || m.Versions[at].Check == 0 && e.key == summaryKey(d.own)) {
			newer = append(newer, e)
		}
	}
	d.answer(from, m.From, newer)
	if m.Back {
		return
	}
	if wants := d.wants(m); len(wants) > 0 {
		d.sendRepair(from, m.From, Message{Kind: Compare, Back: true, Versions: wants})
	}
}

// forgetToo forgets zones that a member of this one has forgotten, which knew of them longer: they are gone for
// this one as well.
func (d *Directory) forgetToo(versions []ItemVersion) {
	for _, v := range versions {
		e := d.items[v.Key]
		if v.Check != 0 || e == nil || e.Summary == nil || e.version > v.Version {
			continue
		}
		if z := d.zone(e.Summary.Site.ID()); z.id != d.own && (z.state == Unknown || z.state == Left) {
			d.forget(d.now, z)
		}
	}
}

// after tells whether an entry may be newer than what another has: of one version neither can say without the content.
func (e *entry) after(v ItemVersion) bool {
	return e.version > v.Version || e.version == v.Version && e.check() != v.Check && v.Check != 0
}

// wants are the versions of what may be newer with the sender of a Compare.
func (d *Directory) wants(m *Message) (out []ItemVersion) {
	for _, v := range m.Versions {
		if v.Version == 0 || v.Check == 0 {
			continue
		}
		own := ItemVersion{Key: v.Key}
		if e := d.items[v.Key]; e != nil {
			own = e.versionOf()
		} else if f, ok := d.forgotten[v.Key]; ok {
			own = f.version
		}
		if own.Check == 0 && v.Key == summaryKey(m.Zone) {
			own = ItemVersion{Key: v.Key} // it was forgotten, and says itself that it is there
		}
		if v.Version > own.Version || v.Version == own.Version && own.Check != 0 && v.Check != own.Check {
			out = append(out, own)
		}
	}
	return out
}

// answer sends entries, as many as a few messages hold, others first each time.
func (d *Directory) answer(to netip.AddrPort, id MemberID, newer []*entry) {
	d.rng.Shuffle(len(newer), func(i, j int) { newer[i], newer[j] = newer[j], newer[i] })
	for range answers {
		if len(newer) == 0 {
			return
		}
		n := fitting(newer)
		d.sendRepair(to, id, Message{Kind: Update, Back: true, Items: items(newer[:n])})
		newer = newer[n:]
	}
}

// sendRepair sends what makes directories the same, as far as the budget goes.
func (d *Directory) sendRepair(to netip.AddrPort, id MemberID, m Message) {
	if !d.repair.has(d.now) {
		d.Saved++
		return
	}
	d.repair.left -= float64(Size(&m))
	d.send(to, id, m)
}

// updated takes note of what an Update says of its sender. A new process asks who tells it of another zone for all
// the rest.
func (d *Directory) updated(now monotime.Micros, from netip.AddrPort, m *Message) {
	d.noteSeed(from, m.Zone)
	switch {
	case m.Zone == d.own:
		d.synced = d.synced || m.Back
	case !d.synced && !d.ready && m.Digest != d.global && now >= d.syncAt:
		d.ask(now, from, m.From, m.Zone)
	}
}
