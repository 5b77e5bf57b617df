package zoned

import (
	"slices"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/lab/simulation"
)

const (
	// samplesPerIssuerCheck: one in this many samples compares the issuers of summaries.
	samplesPerIssuerCheck = 5
	// byteWindowSeconds is the length of the window over which the highest byte rate is measured, in seconds.
	byteWindowSeconds = 10
)

// checker samples the views of all members and counts what contradicts the injected faults. FalseDead counts from the
// start of the fleet, everything else from the last ResetCounts.
type checker struct {
	fleet *Fleet

	// FalseDead counts the reports that a member of the reporter's zone is dead, although both processes run and no
	// members are disconnected.
	FalseDead int
	// MaxBudgetSum is the maximum, over all samples, of the sum of the members' shares of a fleet-wide budget. A
	// member's share is the reciprocal of its rate divisor, and the ideal sum is 1.
	MaxBudgetSum float64
	// StateChanges counts the changes of a zone's state in the view of any member. Flaps is the maximum, over all pairs
	// of a member and a zone, of the number of changes after the first.
	StateChanges int
	Flaps        int
	// IssuerChanges counts how often a zone's summary changed its issuer, in the view of one member.
	IssuerChanges int

	states       [][]zonedirectory.Reachability // the last sample, by member and zone
	changeCounts [][]int                        // changes of states, by member and zone
	lastIssuers  map[zonedirectory.ID]zonedirectory.MemberID
	samples      int

	resetAt        simulation.Micros
	bytesAtReset   []int64 // by member, sent and received
	nextSecondAt   simulation.Micros
	bytesBySecond  [][]int64 // bytes of each member at the end of each of the last seconds
	maxWindowBytes int64     // of any member in any window of byteWindowSeconds
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

// ResetCounts sets all counts but FalseDead to 0.
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
	c.bytesBySecond = nil
	c.maxWindowBytes = 0
}

func (c *checker) now() simulation.Micros { return simulation.Micros(c.fleet.Now().Microseconds()) }

// bytes returns the bytes that each member has sent and received since the start.
func (c *checker) bytes() []int64 {
	bytes := make([]int64, len(c.fleet.zoneOf))
	for i := range bytes {
		bytes[i] = c.fleet.SentBytes[i] + c.fleet.ReceivedBytes[i]
	}
	return bytes
}

// sample updates the counts from the views of all running members.
func (c *checker) sample() {
	shares := 0.0
	for i, b := range c.fleet.members {
		if b == nil || !c.fleet.up[i] {
			continue
		}
		shares += 1 / b.directory.RateDivisor()
		for zone, site := range c.fleet.sites {
			c.recordState(i, zone, b.directory.State(site.ID()))
		}
	}
	c.MaxBudgetSum = max(c.MaxBudgetSum, shares)
	c.samples++
	if c.samples%samplesPerIssuerCheck == 0 {
		c.countIssuers()
	}
	if c.now() >= c.nextSecondAt {
		c.nextSecondAt += simulation.Second
		c.countBytes()
	}
}

// recordState records the state of a zone in a member's view, and counts changes of it. A zone that is found or
// forgotten does not count as a change.
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

// countIssuers counts the changes of issuers in the view of the running member with the highest number.
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

// countBytes records the members' bytes at the end of a second, and updates maxWindowBytes.
func (c *checker) countBytes() {
	c.bytesBySecond = append(c.bytesBySecond, c.bytes())
	if len(c.bytesBySecond) <= byteWindowSeconds {
		return
	}
	last := c.bytesBySecond[len(c.bytesBySecond)-1]
	for i, before := range c.bytesBySecond[0] {
		c.maxWindowBytes = max(c.maxWindowBytes, last[i]-before)
	}
	c.bytesBySecond = c.bytesBySecond[1:]
}

// BytesPerS returns how many bytes per second a member has sent and received since the last ResetCounts: the mean and
// the highest value of all members, and the highest of any member in any window of byteWindowSeconds.
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

// AllReachable reports whether every running member has all zones as Reachable and counts all running members as live.
func (f *Fleet) AllReachable() bool {
	up := 0
	for _, runs := range f.up {
		if runs {
			up++
		}
	}
	return f.AllCount(nil, up, func(s zonedirectory.Reachability) bool { return s == zonedirectory.Reachable })
}

// AllCount reports whether every running member of the given zones, or of all zones if zones is nil, counts this many
// live members in the whole fleet and has every zone in an accepted state.
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

// AllSee reports whether all running members of some zones have each of the other given zones in a state.
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

// AllHaveRecord reports whether all running members of some zones, or of all zones if zones is nil, have a record.
func (f *Fleet) AllHaveRecord(zones []int, record zonedirectory.Record) bool {
	for _, i := range f.MembersOf(zones) {
		if f.up[i] && !slices.Contains(f.members[i].directory.Records(), record) {
			return false
		}
	}
	return true
}
