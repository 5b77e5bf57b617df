package zoned

import (
	"slices"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/lab/simulation"
)

const (
	// issuerSamples: issuers are counted in one of so many samples.
	issuerSamples = 5
	// budgetSpan is the span, in seconds, in which bytes are counted.
	budgetSpan = 10
)

// checker looks at a fleet from outside. All its counts begin at the last Mark but FalseDead.
type checker struct {
	fleet *Fleet

	// FalseDead counts the members that another one of their zone declared dead while their process ran and nothing
	// was severed.
	FalseDead int
	// Factor is the greatest sum of all members' parts of a budget.
	Factor float64
	// Changes counts how often any member has considered a zone to be something else than before; Flaps how often the
	// same member did that with the same zone, beyond the first time.
	Changes int
	Flaps   int
	// Issuers counts how often a zone's summary had another issuer than before, as one member sees it.
	Issuers int

	states  [][]zonedirectory.Reachability // by member and zone
	changed [][]int                        // the same
	issuers map[zonedirectory.ID]zonedirectory.MemberID
	samples int

	markAt       simulation.Micros
	bytesAtMark  []int64 // of each member, sent and received
	nextSecondAt simulation.Micros
	bytesBySec   [][]int64 // at the end of each of the last seconds
	worstBytes   int64     // of any member in any budgetSpan
}

func (c *checker) begin(f *Fleet) {
	c.fleet = f
	n, zones := len(f.zoneOf), len(f.Zones)
	c.states = make([][]zonedirectory.Reachability, n)
	c.changed = make([][]int, n)
	for i := range n {
		c.states[i] = make([]zonedirectory.Reachability, zones)
		c.changed[i] = make([]int, zones)
	}
	f.Changed = func(observer, of int, change membership.StateChange) {
		if change.To == membership.Dead && f.up[of] && f.up[observer] && len(f.severed) == 0 {
			c.FalseDead++
		}
	}
	c.Mark()
}

// Mark begins all counts again.
func (c *checker) Mark() {
	c.Factor = 0
	c.Changes, c.Flaps, c.Issuers = 0, 0, 0
	for i := range c.changed {
		clear(c.changed[i])
	}
	c.issuers = map[zonedirectory.ID]zonedirectory.MemberID{}
	c.markAt = c.now()
	c.bytesAtMark = c.bytes()
	c.nextSecondAt = c.markAt + simulation.Second
	c.bytesBySec = nil
	c.worstBytes = 0
}

func (c *checker) now() simulation.Micros { return simulation.Micros(c.fleet.Now().Microseconds()) }

// bytes are those that each member has sent and received.
func (c *checker) bytes() []int64 {
	bytes := make([]int64, len(c.fleet.zoneOf))
	for i := range bytes {
		bytes[i] = c.fleet.Bytes[i] + c.fleet.Received[i]
	}
	return bytes
}

// sample looks at all members.
func (c *checker) sample() {
	parts := 0.0
	for i, b := range c.fleet.members {
		if b == nil || !c.fleet.up[i] {
			continue
		}
		parts += 1 / b.directory.RateDivisor()
		for zone, site := range c.fleet.sites {
			c.noteState(i, zone, b.directory.State(site.ID()))
		}
	}
	c.Factor = max(c.Factor, parts)
	c.samples++
	if c.samples%issuerSamples == 0 {
		c.countIssuers()
	}
	if c.now() >= c.nextSecondAt {
		c.nextSecondAt += simulation.Second
		c.countBytes()
	}
}

// noteState takes what a member considers a zone to be. Zones that are found or forgotten are no changes.
func (c *checker) noteState(i, zone int, state zonedirectory.Reachability) {
	before := c.states[i][zone]
	c.states[i][zone] = state
	if before == state || before == 0 || state == 0 {
		return
	}
	c.changed[i][zone]++
	c.Changes++
	c.Flaps = max(c.Flaps, c.changed[i][zone]-1)
}

// countIssuers counts the changes of issuers, as the last member sees them that is up.
func (c *checker) countIssuers() {
	for i, b := range slices.Backward(c.fleet.members) {
		if !c.fleet.up[i] {
			continue
		}
		for _, v := range b.directory.Views() {
			id := v.Site.ID()
			if before, known := c.issuers[id]; known && before != v.Issuer {
				c.Issuers++
			}
			c.issuers[id] = v.Issuer
		}
		return
	}
}

// countBytes takes the bytes at the end of a second.
func (c *checker) countBytes() {
	c.bytesBySec = append(c.bytesBySec, c.bytes())
	if len(c.bytesBySec) <= budgetSpan {
		return
	}
	last := c.bytesBySec[len(c.bytesBySec)-1]
	for i, before := range c.bytesBySec[0] {
		c.worstBytes = max(c.worstBytes, last[i]-before)
	}
	c.bytesBySec = c.bytesBySec[1:]
}

// BytesPerS are the bytes a second of a member since the last Mark, sent and received: on average, of the member with
// the most, and of any in the worst ten seconds.
func (c *checker) BytesPerS() (mean, highest, worst float64) {
	seconds := (c.now() - c.markAt).Seconds()
	bytes := c.bytes()
	for i := range bytes {
		perSecond := float64(bytes[i]-c.bytesAtMark[i]) / seconds
		mean += perSecond / float64(len(bytes))
		highest = max(highest, perSecond)
	}
	return mean, highest, float64(c.worstBytes) / budgetSpan
}

// AllReachable reports whether all members that are up consider all zones Reachable and count all that are up.
func (f *Fleet) AllReachable() bool {
	up := 0
	for _, runs := range f.up {
		if runs {
			up++
		}
	}
	return f.Count(nil, up, func(s zonedirectory.Reachability) bool { return s == zonedirectory.Reachable })
}

// Count reports whether all members of zones, or of all where zones is nil, count so many live ones, and consider all
// zones to be in a state that is accepted.
func (f *Fleet) Count(zones []int, live int, accepted func(zonedirectory.Reachability) bool) bool {
	for _, i := range f.MembersOf(zones) {
		if !f.up[i] {
			continue
		}
		b := f.members[i]
		if b == nil || b.directory.Live() != live {
			return false
		}
		for _, site := range f.sites {
			if !accepted(b.directory.State(site.ID())) {
				return false
			}
		}
	}
	return true
}

// Hold reports whether all members of some zones consider others to be in a state.
func (f *Fleet) Hold(zones, others []int, state zonedirectory.Reachability) bool {
	for _, i := range f.MembersOf(zones) {
		for _, zone := range others {
			if f.up[i] && f.members[i].directory.State(f.sites[zone].ID()) != state {
				return false
			}
		}
	}
	return true
}

// HaveRecord reports whether all members of some zones have a record.
func (f *Fleet) HaveRecord(zones []int, record zonedirectory.Record) bool {
	for _, i := range f.MembersOf(zones) {
		if f.up[i] && !slices.Contains(f.members[i].directory.Records(), record) {
			return false
		}
	}
	return true
}
