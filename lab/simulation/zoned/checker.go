package zoned

import (
	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/lab/simulation"
)

// checker looks at a fleet from outside.
type checker struct {
	f *Fleet
	// FalseDead counts who was held dead by one of its zone while its process ran and nothing set the two apart.
	FalseDead int
	// Factor is the most that the sum of all members' parts of a budget came to.
	Factor float64
	// Flaps is how often a member has changed what it holds a zone to be, since the last Mark, more than once.
	Flaps int
	// Changes is how often any member has changed what it holds a zone to be, since the last Mark.
	Changes int
	// Issuers is how often a zone's summary had another issuer than before, as one member sees it, since the last
	// Mark.
	Issuers int
	state   [][]zonedirectory.Reachability
	changed [][]int

	markAt   simulation.Micros
	atMark   []int64 // bytes of each member, sent and received
	seconds  [][]int64
	secondAt simulation.Micros
	worst    int64
	issuer   map[zonedirectory.ID]zonedirectory.MemberID
	samples  int
}

// issuersEvery is in how many samples issuers are looked at once.
const issuersEvery = 5

func (c *checker) begin(f *Fleet) {
	c.f = f
	n := len(f.zoneOf)
	c.state, c.changed = make([][]zonedirectory.Reachability, n), make([][]int, n)
	for i := range n {
		c.state[i], c.changed[i] = make([]zonedirectory.Reachability, len(f.Zones)), make([]int, len(f.Zones))
	}
	f.Changed = func(observer, of int, ch membership.StateChange) {
		if ch.To == membership.Dead && f.up[of] && f.up[observer] && len(f.severed) == 0 {
			c.FalseDead++
		}
	}
	c.Mark()
}

// Mark begins anew with what is counted.
func (c *checker) Mark() {
	c.Flaps, c.Factor, c.worst, c.Issuers, c.Changes = 0, 0, 0, 0, 0
	c.issuer = map[zonedirectory.ID]zonedirectory.MemberID{}
	for i := range c.changed {
		clear(c.changed[i])
	}
	c.markAt, c.atMark, c.seconds = c.micros(), c.bytes(), nil
	c.secondAt = c.markAt
}

func (c *checker) micros() simulation.Micros {
	return simulation.Micros(c.f.Cluster.Now().Microseconds())
}

func (c *checker) bytes() []int64 {
	out := make([]int64, len(c.f.zoneOf))
	for i := range out {
		out[i] = c.f.Bytes[i] + c.f.Received[i]
	}
	return out
}

func (c *checker) sample() {
	f, sum := c.f, 0.0
	for i, b := range f.members {
		if b == nil || !f.up[i] {
			continue
		}
		sum += 1 / b.directory.RateDivisor()
		for z, site := range f.sites {
			s := b.directory.State(site.ID())
			if was := c.state[i][z]; was != s {
				if c.state[i][z] = s; was != 0 && s != 0 {
					c.changed[i][z]++
					c.Changes++
					c.Flaps = max(c.Flaps, c.changed[i][z]-1)
				}
			}
		}
	}
	c.Factor = max(c.Factor, sum)
	if c.samples++; c.samples%issuersEvery == 0 {
		c.countIssuers()
	}
	if now := c.micros(); now-c.secondAt >= simulation.Second {
		c.secondAt += simulation.Second
		c.count()
	}
}

// countIssuers counts how often the issuer of a zone's summary changes, as the first that is up of another zone
// sees it.
func (c *checker) countIssuers() {
	f := c.f
	for i := len(f.zoneOf) - 1; i >= 0; i-- {
		if !f.up[i] {
			continue
		}
		for _, v := range f.members[i].directory.Views() {
			id := v.Site.ID()
			if was, ok := c.issuer[id]; ok && was != v.Issuer {
				c.Issuers++
			}
			c.issuer[id] = v.Issuer
		}
		return
	}
}

// count notes the bytes of another second, and the worst member's in any span of so many.
func (c *checker) count() {
	c.seconds = append(c.seconds, c.bytes())
	if n := len(c.seconds); n > budgetSpan {
		from, to := c.seconds[n-1-budgetSpan], c.seconds[n-1]
		for i := range to {
			c.worst = max(c.worst, to[i]-from[i])
		}
		c.seconds = c.seconds[1:]
	}
}

// BytesPerS are the bytes a second of a member since the last Mark, sent and received: on average, the most of any,
// and the most of any in the worst ten seconds.
func (c *checker) BytesPerS() (mean, most, worst float64) {
	now := c.bytes()
	span := float64(c.micros()-c.markAt) / float64(simulation.Second)
	for i := range now {
		b := float64(now[i]-c.atMark[i]) / span
		mean += b / float64(len(now))
		most = max(most, b)
	}
	return mean, most, float64(c.worst) / budgetSpan
}

// AllReachable tells whether all that are up hold all zones Reachable and count all that are up.
func (f *Fleet) AllReachable() bool { return f.Agree(nil) }

// Agree tells whether all that are up, or those of the zones given, count all that are up, and hold all zones
// Reachable.
func (f *Fleet) Agree(zones []int) bool {
	n := 0
	for _, up := range f.up {
		if up {
			n++
		}
	}
	return f.Count(zones, n, func(s zonedirectory.Reachability) bool { return s == zonedirectory.Reachable })
}

// Count tells whether all members of zones, or of all where it is nil, count so many, and hold all zones what they
// are to hold.
func (f *Fleet) Count(zones []int, live int, state func(zonedirectory.Reachability) bool) bool {
	if zones == nil {
		zones = f.all()
	}
	for _, i := range f.MembersOf(zones) {
		b := f.members[i]
		if !f.up[i] {
			continue
		}
		if b == nil || b.directory.Live() != live {
			return false
		}
		for _, site := range f.sites {
			if !state(b.directory.State(site.ID())) {
				return false
			}
		}
	}
	return true
}

// Hold tells whether all members of some zones hold others to be so.
func (f *Fleet) Hold(zones, others []int, state zonedirectory.Reachability) bool {
	for _, i := range f.MembersOf(zones) {
		for _, z := range others {
			if f.up[i] && f.members[i].directory.State(f.sites[z].ID()) != state {
				return false
			}
		}
	}
	return true
}

// HaveRecord tells whether all members of some zones have this record.
func (f *Fleet) HaveRecord(zones []int, r zonedirectory.Record) bool {
	for _, i := range f.MembersOf(zones) {
		if !f.up[i] {
			continue
		}
		has := false
		for _, held := range f.members[i].directory.Records() {
			has = has || held == r
		}
		if !has {
			return false
		}
	}
	return true
}

func (f *Fleet) all() (out []int) {
	for z := range f.Zones {
		out = append(out, z)
	}
	return out
}
