package zonedirectory

import (
	"cmp"
	"slices"
	"spurspread/decision/monotime"
)

const (
	// forgetTime is how long a zone that is Unknown or has Left counts as known.
	forgetTime = 600 * sec
	// cutTime is how long a zone has to be reached by others only before it is held Cut: when one dies, or a region
	// is cut off, some zones find it out a little later than others.
	cutTime = 2500 * ms
	// judgeEvery is how often states are looked at where no item is new.
	judgeEvery = 500 * ms
)

// judge says what each zone is held to be, and counts the fleet. A member that doubts itself leaves states as they are.
func (d *Directory) judge(now monotime.Micros) {
	if now < d.judgeAt {
		return
	}
	d.judgeAt = now + judgeEvery
	d.missing = d.unreachable()
	for _, z := range slices.Clone(d.zones) {
		d.become(now, z, d.state(z))
		if (z.state == Unknown || z.state == Left) && z.id != d.own && now-z.since > forgetTime {
			d.forget(now, z)
		}
	}
	d.live, d.known, d.before = 0, 0, 0
	for _, z := range d.zones {
		if z.id == d.own {
			continue
		}
		d.known += z.Known
		if z.state != Reachable && z.state != Cut {
			continue
		}
		if d.live += z.Live; z.id < d.own {
			d.before += z.Live
		}
	}
}

// state is what a zone is at this moment, by what the delegates of this one do not reach, and the others' summaries.
func (d *Directory) state(z *zoneState) Reachability {
	switch {
	case z.id == d.own:
		return Reachable
	case z.Live == 0:
		return Left
	case !slices.Contains(d.missing, z.id):
		return Reachable
	}
	for _, c := range d.zones {
		if c != z && c.id != d.own && c.Live > 0 && !slices.Contains(d.missing, c.id) && !c.misses(z.id) {
			return Cut
		}
	}
	return Unknown
}

// misses tells whether a zone says that it does not reach another.
func (z *zoneState) misses(id ID) bool {
	_, found := slices.BinarySearch(z.Unreachable, id)
	return found
}

// become changes what a zone is held to be; to Cut only after a while.
func (d *Directory) become(now monotime.Micros, z *zoneState, s Reachability) {
	if s != Cut {
		z.cutSince = 0
	} else if z.cutSince == 0 {
		z.cutSince = now
	}
	if s == z.state || d.local.Doubts || d.deaf() || s == Cut && now-z.cutSince < cutTime {
		return
	}
	z.state, z.since = s, now
}

// State is what a zone is held to be, 0 where it is not known.
func (d *Directory) State(id ID) Reachability {
	if z := d.zone(id); z != nil {
		return z.state
	}
	return 0
}

// Views are all zones that are known, this one first, the others by region and name.
func (d *Directory) Views(monotime.Micros) []View {
	out := make([]View, 0, len(d.zones))
	for _, z := range d.zones {
		out = append(out, View{Summary: *z.Summary, Own: z.id == d.own, State: z.state, Since: z.since})
	}
	slices.SortFunc(out, func(a, b View) int {
		if a.Own != b.Own {
			return map[bool]int{true: -1, false: 1}[a.Own]
		}
		return cmp.Or(cmp.Compare(a.Site.Region, b.Site.Region), cmp.Compare(a.Site.Zone, b.Site.Zone))
	})
	return out
}

// Live is how many members are there in all zones but those that have left or are Unknown.
func (d *Directory) Live() int { return d.local.Live + d.live }

// Known is how many members there are or were, in all zones that are not forgotten.
func (d *Directory) Known() int { return d.local.Known + d.known }

// Divisor is by how much a budget of the whole fleet is divided to have this member's part.
func (d *Directory) Divisor() float64 { return d.cfg.Divisor.Value() }

// Place is this member's place in the fleet: by zones, and in the zone by ids.
func (d *Directory) Place() int { return d.before + d.local.Place }
