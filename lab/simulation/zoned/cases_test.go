package zoned

import (
	"slices"
	"time"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
)

// smallFleet is a fleet of 30 members: regions 0 and 1 have two zones each, region 2 one.
func smallFleet() Topology { return EvenTopology(30, 5, 3) }

// unevenFleet is one whose first zone has twelve members.
func unevenFleet() Topology {
	return Topology{ZoneSizes: []int{12, 6, 6, 6}, ZoneRegions: []int{0, 1, 2, 0}}
}

// fleetWithSingleMemberZone is one whose second zone has a single member.
func fleetWithSingleMemberZone() Topology {
	return Topology{ZoneSizes: []int{8, 1, 8, 8}, ZoneRegions: []int{0, 1, 2, 0}}
}

// lossyFleet is small with one message in twenty between regions lost.
func lossyFleet() Topology {
	shape := smallFleet()
	shape.Loss = 0.05
	return shape
}

// fleetSeededByOneZone is small with all seeds in one zone.
func fleetSeededByOneZone() Topology {
	shape := smallFleet()
	shape.SeedZones = []int{3}
	return shape
}

// testCase is a fleet and what happens to it.
type testCase struct {
	shape Topology
	run   func(p *testRun)
}

func cases() map[string]testCase {
	return map[string]testCase{
		"rest":                {smallFleet(), atRest},
		"all delegates die":   {smallFleet(), delegatesDie},
		"all delegates pause": {smallFleet(), delegatesPause},
		"a delegate only receives from other zones": {smallFleet(), func(p *testRun) { oneWayBetweenZones(p, true) }},
		"a delegate only sends to other zones":      {smallFleet(), func(p *testRun) { oneWayBetweenZones(p, false) }},
		"a delegate only receives":                  {smallFleet(), func(p *testRun) { oneWay(p, true) }},
		"a delegate only sends":                     {smallFleet(), func(p *testRun) { oneWay(p, false) }},
		"a rack is cut off":                         {unevenFleet(), rackIsolated},
		"a region is cut off":                       {smallFleet(), func(p *testRun) { regionIsolated(p, true, true) }},
		"a region is cut off one way": {smallFleet(), func(p *testRun) {
			regionIsolated(p, p.seed%2 == 0, p.seed%2 != 0)
		}},
		"two regions lose each other":                 {smallFleet(), regionsPartitioned},
		"a zone of one member":                        {fleetWithSingleMemberZone(), singleMemberDies},
		"one message in twenty is lost":               {lossyFleet(), messagesLost},
		"a zone dies":                                 {smallFleet(), zoneDies},
		"a zone is partitioned":                       {unevenFleet(), zonePartitioned},
		"records on both sides of a partition":        {smallFleet(), recordsOnBothSides},
		"many are restarted":                          {smallFleet(), manyRestarted},
		"all are restarted while a region is cut off": {smallFleet(), allRestartedWhilePartitioned},
		"seeds in one zone":                           {fleetSeededByOneZone(), restartedWithDistantSeeds},
		"a zone leaves":                               {smallFleet(), zoneLeaves},
	}
}

func atRest(p *testRun) {
	p.RunFor(30 * time.Second)
	if mean, highest, worst := p.BytesPerS(); highest > maxRestBytesPerS || worst > maxSpikeBytesPerS {
		p.errorf("%.0f bytes a second on average, %.0f at most, %.0f in the worst ten seconds", mean, highest, worst)
	}
	p.checkBounds(false)
}

func delegatesDie(p *testRun) {
	p.Crash(p.Delegates(1, zonedirectory.Delegates)...)
	p.within(countTime, "all count the rest", p.AllReachable)
	record := p.mustPublish(p.Zones[0][2], "a", "1")
	p.within(recordTime, "all have a record", func() bool { return p.AllHaveRecord(nil, record) })
	p.RunFor(10 * time.Second)
	p.checkBounds(false)
}

func delegatesPause(p *testRun) {
	for _, i := range p.Delegates(1, zonedirectory.Delegates) {
		p.Pause(i, 2*time.Second)
	}
	p.RunFor(20 * time.Second)
	p.within(0, "all count all", p.AllReachable)
	p.checkBounds(false)
}

// oneWayBetweenZones has a delegate, the issuer or another one, not be received by other zones, or not receive them.
func oneWayBetweenZones(p *testRun, receives bool) {
	n := p.seed % zonedirectory.Delegates
	delegate := p.Delegates(1, zonedirectory.Delegates)[n : n+1]
	others := p.MembersOf([]int{0, 2, 3, 4})
	if receives {
		p.Disconnect(delegate, others)
	} else {
		p.Disconnect(others, delegate)
	}
	p.RunFor(15 * time.Second)
	record := p.mustPublish(delegate[0], "a", "1")
	p.within(recordTime, "all have its record", func() bool { return p.AllHaveRecord(nil, record) })
	p.Crash(p.Zones[2][2])
	p.within(countTime, "all count the rest", p.AllReachable)
	p.checkBounds(false)
	p.Reconnect()
	p.RunFor(10 * time.Second)
	p.checkBounds(false)
}

// oneWay has the issuer not be received by anybody, or not receive anybody.
func oneWay(p *testRun, receives bool) {
	delegate := p.Delegates(1, 1)
	if receives {
		p.Disconnect(delegate, p.MembersOf(nil))
	} else {
		p.Disconnect(p.MembersOf(nil), delegate)
	}
	p.within(countTime, "all others count the rest", func() bool { return p.othersCount(delegate[0], 29) })
	p.RunFor(20 * time.Second)
	p.Reconnect()
	p.within(countTime, "all count all again", p.AllReachable)
	p.StateChanges -= p.stateChangesSeenBy(delegate[0])
	p.checkBounds(false)
}

// rackIsolated has three members of a zone of twelve lose all others, and reach them again.
func rackIsolated(p *testRun) {
	rack := p.Zones[0][9:]
	rest := slices.Concat(p.Zones[0][:9], p.MembersOf([]int{1, 2, 3}))
	p.Disconnect(rack, rest)
	p.Disconnect(rest, rack)
	p.within(countTime, "all others count the rest", func() bool { return p.count([]int{1, 2, 3}, 27)() })
	p.RunFor(20 * time.Second)
	p.Reconnect()
	p.within(countTime, "all count all again", p.AllReachable)
	p.RunFor(10 * time.Second)
	for _, i := range rack { // to these, all other zones were rightly unknown
		p.StateChanges -= p.stateChangesSeenBy(i)
	}
	p.checkBounds(false)
}

// regionIsolated partitions region 0 from all others, in one direction or both, and ends it.
func regionIsolated(p *testRun, outbound, inbound bool) {
	in, out := p.ZonesIn(0), p.ZonesOutside(0)
	p.SetPartition(in, out, outbound)
	p.SetPartition(out, in, inbound)
	p.within(countTime, "to both sides the other is unknown", func() bool {
		return p.AllSee(in, out, zonedirectory.Unknown) && p.AllSee(out, in, zonedirectory.Unknown)
	})
	p.Crash(p.Zones[out[0]][3])
	p.within(countTime, "all count the rest of their side", func() bool {
		return p.count(in, len(p.MembersOf(in)))() && p.count(out, len(p.MembersOf(out))-1)()
	})
	p.RunFor(30 * time.Second)
	p.checkBounds(true)
	p.ResetCounts()
	p.SetPartition(in, out, false)
	p.SetPartition(out, in, false)
	p.within(countTime, "all count all again", p.AllReachable)
	p.RunFor(10 * time.Second)
	p.checkBounds(true)
}

// regionsPartitioned partitions regions 0 and 1 from each other, which both reach region 2.
func regionsPartitioned(p *testRun) {
	a, b := p.ZonesIn(0), p.ZonesIn(1)
	p.SetPartition(a, b, true)
	if p.seed%2 == 0 {
		p.SetPartition(b, a, true)
	}
	p.within(12*time.Second, "to both the other is partitioned", func() bool {
		return p.AllSee(a, b, zonedirectory.Partitioned) && p.AllSee(b, a, zonedirectory.Partitioned)
	})
	p.Crash(p.Zones[a[0]][3])
	p.within(countTime, "all count the rest", p.count(nil, 29))
	record := p.mustPublish(p.Zones[a[1]][1], "a", "1")
	p.within(recordTime, "all have a record", func() bool { return p.AllHaveRecord(nil, record) })
	p.RunFor(10 * time.Second)
	p.checkBounds(true)
	p.ResetCounts()
	p.SetPartition(a, b, false)
	p.SetPartition(b, a, false)
	p.within(countTime, "all count all again", p.AllReachable)
	p.RunFor(5 * time.Second)
	p.checkBounds(true)
}

func singleMemberDies(p *testRun) {
	p.RunFor(20 * time.Second)
	p.checkBounds(false)
	p.Crash(p.Zones[1][0])
	p.within(countTime, "its zone is unknown", func() bool {
		return p.AllSee([]int{0, 2, 3}, []int{1}, zonedirectory.Unknown)
	})
	p.RunFor(5 * time.Second)
	p.checkBounds(true)
	p.ResetCounts()
	p.Restart(p.Zones[1][0])
	p.within(countTime+time.Second, "all count all again", p.AllReachable)
	p.RunFor(5 * time.Second)
	p.checkBounds(true)
}

func messagesLost(p *testRun) {
	p.RunFor(40 * time.Second)
	p.Crash(p.Zones[2][1])
	p.within(countTime, "all count the rest", p.AllReachable)
	record := p.mustPublish(p.Zones[3][1], "a", "1")
	p.within(recordTime, "all have a record", func() bool { return p.AllHaveRecord(nil, record) })
	p.RunFor(20 * time.Second)
	p.checkBounds(false)
}

func zoneDies(p *testRun) {
	p.Crash(p.Zones[1]...)
	p.within(countTime, "all count the rest", p.count(nil, 24))
	p.within(0, "it is unknown", func() bool {
		return p.AllSee([]int{0, 2, 3, 4}, []int{1}, zonedirectory.Unknown)
	})
	p.RunFor(20 * time.Second)
	p.checkBounds(true)
	p.ResetCounts()
	p.Restart(p.Zones[1]...)
	p.within(10*time.Second, "all count all again", p.AllReachable)
	p.RunFor(5 * time.Second)
	p.checkBounds(true)
}

// zonePartitioned has four members of a zone lose the other eight, though both parts reach all other zones.
func zonePartitioned(p *testRun) {
	larger, smaller := p.Zones[0][:8], p.Zones[0][8:]
	p.Disconnect(larger, smaller)
	p.Disconnect(smaller, larger)
	p.within(20*time.Second, "the larger part's summary is kept", p.count([]int{1, 2, 3}, 26))
	p.ResetCounts()
	p.RunFor(60 * time.Second)
	yielded := 0
	for _, i := range p.Zones[0] {
		yielded += p.members[i].directory.IssuerBackoffs
	}
	if p.IssuerChanges > maxIssuersInMinute || yielded == 0 {
		p.errorf("the issuer has changed %d times in a minute, %d times one has yielded", p.IssuerChanges, yielded)
	}
	p.within(5*time.Second, "the larger part's summary is kept", p.count([]int{1, 2, 3}, 26))
	if p.StateChanges > 0 {
		p.errorf("%d changes of zones' states", p.StateChanges)
	}
	p.Reconnect()
	p.within(10*time.Second, "all count all again", p.AllReachable)
	p.checkBounds(false)
}

func recordsOnBothSides(p *testRun) {
	in, out := p.ZonesIn(2), p.ZonesOutside(2)
	p.SetPartition(in, out, true)
	p.SetPartition(out, in, true)
	p.RunFor(10 * time.Second)
	p.mustPublish(p.Zones[in[0]][1], "a", "older")
	only := p.mustPublish(p.Zones[in[0]][2], "b", "there")
	p.RunFor(time.Second)
	newer := p.mustPublish(p.Zones[out[0]][1], "a", "newer")
	p.within(recordTime, "all on one side have the newer", func() bool { return p.AllHaveRecord(out, newer) })
	p.SetPartition(in, out, false)
	p.SetPartition(out, in, false)
	p.within(recordTime, "all have both", func() bool {
		return p.AllHaveRecord(nil, newer) && p.AllHaveRecord(nil, only)
	})
	p.RunFor(10 * time.Second)
	p.checkBounds(true)
}

func manyRestarted(p *testRun) {
	for zone := range p.Zones {
		p.Restart(p.Zones[zone][:4]...)
	}
	p.within(15*time.Second, "all count all again", p.AllReachable)
	p.Restart(p.Zones[1]...)
	p.Restart(p.Zones[4]...)
	p.within(15*time.Second, "all count all again", p.AllReachable)
	p.RunFor(70 * time.Second)
	p.checkBounds(true)
}

func allRestartedWhilePartitioned(p *testRun) {
	in, out := p.ZonesIn(0), p.ZonesOutside(0)
	p.SetPartition(in, out, true)
	p.SetPartition(out, in, true)
	p.RunFor(8 * time.Second)
	p.Restart(p.MembersOf(nil)...)
	p.RunFor(80 * time.Second)
	p.SetPartition(in, out, false)
	p.SetPartition(out, in, false)
	p.within(12*time.Second, "all count all again", p.AllReachable)
	p.RunFor(5 * time.Second)
	if p.FalseDead > 0 || p.MaxBudgetSum > membership.MaxBudgetExcess {
		p.errorf("%d falsely dead, sum of parts %.2f", p.FalseDead, p.MaxBudgetSum)
	}
}

func restartedWithDistantSeeds(p *testRun) {
	p.Restart(p.Zones[1]...)
	p.Restart(p.Zones[4][:3]...)
	p.within(15*time.Second, "all count all again", p.AllReachable)
	p.RunFor(5 * time.Second)
	p.checkBounds(true)
}

func zoneLeaves(p *testRun) {
	for _, i := range p.Zones[1] {
		p.Leave(i)
		p.RunFor(1500 * time.Millisecond)
	}
	p.within(countTime, "to all it has left", func() bool {
		return p.AllSee([]int{0, 2, 3, 4}, []int{1}, zonedirectory.Left)
	})
	p.checkBounds(true)
	p.ResetCounts()
	p.Restart(p.Zones[1]...)
	p.within(10*time.Second, "all count all again", p.AllReachable)
	p.checkBounds(true)
}

// othersCount reports whether all but one member count so many.
func (p *testRun) othersCount(except, live int) bool {
	up := p.up[except]
	p.up[except] = false
	defer func() { p.up[except] = up }()
	return p.count(nil, live)()
}

// stateChangesSeenBy is how often one member has considered a zone to be something else than before.
func (p *testRun) stateChangesSeenBy(i int) int {
	changes := 0
	for _, c := range p.changeCounts[i] {
		changes += c
	}
	return changes
}
