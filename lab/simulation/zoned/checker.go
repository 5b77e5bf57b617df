package zoned

import (
	"slices"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/lab/simulation"
)

const (
	// samplesPerIssuerCheck: issuers are counted in one of so many samples.
	samplesPerIssuerCheck = 5
	// byteWindowSeconds is the span, in seconds, in which bytes are counted.
	byteWindowSeconds = 10
)

// checker looks at a fleet from outside. All its counts begin at the last Mark but FalseDead.
type checker struct {
	fleet *Fleet

	// FalseDead counts the members that another one of their zone declared dead while their process ran and nothing
	// was severed.
	FalseDead int
	// MaxBudgetSum is the greatest sum of all members' parts of a budget.
	MaxBudgetSum float64
	// StateChanges counts the changes of a zone's state in the view of any member. Flaps is the maximum, over all pairs
	// of a member and a zone, of the number of changes after the first.
	StateChanges int
	Flaps        int
	// IssuerChanges counts how often a zone's summary had another issuer than before, as one member sees it.
	IssuerChanges int

	states       [][]zonedirectory.Reachability // by member and zone
	changeCounts [][]int                        // the same
	lastIssuers  map[zonedirectory.ID]zonedirectory.MemberID
	samples      int

	resetAt           simulation.Micros
	bytesAtReset      []int64 // of each member, sent and received
	nextSecondAt      simulation.Micros
	bytesPerSecondEnd [][]int64 // at the end of each of the last seconds
	maxWindowBytes    int64     // of any member in any byteWindowSeconds
}

func (c *checker) attach(f *Fleet) {
	c.fleet = f
	n, zones := len(f.zoneOf), len(f.Zones)
	c.states = make([][]zonedirectory.Reachability, n)
	c.changeCounts = make([][]int, n)
	for i := range n {
		c.states[i] = make([]zonedirectory.Reachability, zones)
		c.changeCounts[i] = make([]int, zones)
	}
	f.OnStateChange = func(observer, of int, change membership.StateChange) {
		if change.To == membership.Dead && f.up[of] && f.up[observer] && len(f.disconnected) == 0 {
			c.FalseDead++
		}
	}
	c.ResetCounts()
}

// ResetCounts begins all counts again.
func (c *checker) ResetCounts() {
	c.MaxBudgetSum = 0
	c.StateChanges, c.Flaps, c.IssuerChanges = 0, 0, 0
	for i := range c.changeCounts {
		clear(c.changeCounts[i])
	}
	c.lastIssuers = map[zonedirectory.ID]zonedirectory.MemberID{}
	c.resetAt = c.now()
	c.bytesAtReset = c.bytes()
	c.nextSecondAt = c.resetAt + simulation.Second
	c.bytesPerSecondEnd = nil
	c.maxWindowBytes = 0
}

func (c *checker) now() simulation.Micros { return simulation.Micros(c.fleet.Now().Microseconds()) }

// bytes are those that each member has sent and received.
func (c *checker) bytes() []int64 {
	bytes := make([]int64, len(c.fleet.zoneOf))
	for i := range bytes {
		bytes[i] = c.fleet.SentBytes[i] + c.fleet.ReceivedBytes[i]
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
			c.recordState(i, zone, b.directory.State(site.ID()))
		}
	}
	c.MaxBudgetSum = max(c.MaxBudgetSum, parts)
	c.samples++
	if c.samples%samplesPerIssuerCheck == 0 {
		c.countIssuers()
	}
	if c.now() >= c.nextSecondAt {
		c.nextSecondAt += simulation.Second
		c.countBytes()
	}
}

// recordState takes what a member considers a zone to be. Zones that are found or forgotten are no changes.
func (c *checker) recordState(i, zone int, state zonedirectory.Reachability) {
	before := c.states[i][zone]
	c.states[i][zone] = state
	if before == state || before == 0 || state == 0 {
		return
	}
	c.changeCounts[i][zone]++
	c.StateChanges++
	c.Flaps = max(c.Flaps, c.changeCounts[i][zone]-1)
}

// countIssuers counts the changes of issuers, as the last member sees them that is up.
func (c *checker) countIssuers() {
	for i, b := range slices.Backward(c.fleet.members) {
		if !c.fleet.up[i] {
			continue
		}
		for _, v := range b.directory.Views() {
			id := v.Site.ID()
			if before, known := c.lastIssuers[id]; known && before != v.Issuer {
				c.IssuerChanges++
			}
			c.lastIssuers[id] = v.Issuer
		}
		return
	}
}

// countBytes takes the bytes at the end of a second.
func (c *checker) countBytes() {
	c.bytesPerSecondEnd = append(c.bytesPerSecondEnd, c.bytes())
	if len(c.bytesPerSecondEnd) <= byteWindowSeconds {
		return
	}
	last := c.bytesPerSecondEnd[len(c.bytesPerSecondEnd)-1]
	for i, before := range c.bytesPerSecondEnd[0] {
		c.maxWindowBytes = max(c.maxWindowBytes, last[i]-before)
	}
	c.bytesPerSecondEnd = c.bytesPerSecondEnd[1:]
}

// BytesPerS are the bytes a second of a member since the last ResetCounts, sent and received: on average, of the member
// with the most, and of any in the worst ten seconds.
func (c *checker) BytesPerS() (mean, highest, worst float64) {
	seconds := (c.now() - c.resetAt).Seconds()
	bytes := c.bytes()
	for i := range bytes {
		perSecond := float64(bytes[i]-c.bytesAtReset[i]) / seconds
		mean += perSecond / float64(len(bytes))
		highest = max(highest, perSecond)
	}
	return mean, highest, float64(c.maxWindowBytes) / byteWindowSeconds
}

// AllReachable reports whether all members that are up consider all zones Reachable and count all that are up.
func (f *Fleet) AllReachable() bool {
	up := 0
	for _, runs := range f.up {
		if runs {
			up++
		}
	}
	return f.AllCount(nil, up, func(s zonedirectory.Reachability) bool { return s == zonedirectory.Reachable })
}

// AllCount reports whether every running member of the given zones, or of all zones if zones is nil, counts live
// members in the whole fleet and has every zone in an accepted state.
func (f *Fleet) AllCount(zones []int, live int, accepted func(zonedirectory.Reachability) bool) bool {
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

// AllSee reports whether all members of some zones consider others to be in a state.
func (f *Fleet) AllSee(zones, others []int, state zonedirectory.Reachability) bool {
	for _, i := range f.MembersOf(zones) {
		for _, zone := range others {
			if f.up[i] && f.members[i].directory.State(f.sites[zone].ID()) != state {
				return false
			}
		}
	}
	return true
}

// AllHaveRecord reports whether all members of some zones have a record.
func (f *Fleet) AllHaveRecord(zones []int, record zonedirectory.Record) bool {
	for _, i := range f.MembersOf(zones) {
		if f.up[i] && !slices.Contains(f.members[i].directory.Records(), record) {
			return false
		}
	}
	return true
}
