package zoned

import (
	"slices"
	"time"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
)

// small is a fleet of 30 members: regions 0 and 1 have two zones each, region 2 one.
func small() Shape { return Even(30, 5, 3) }

// uneven is one whose first zone has twelve members.
func uneven() Shape { return Shape{Members: []int{12, 6, 6, 6}, Region: []int{0, 1, 2, 0}} }

// withSingle is one whose second zone has a single member.
func withSingle() Shape { return Shape{Members: []int{8, 1, 8, 8}, Region: []int{0, 1, 2, 0}} }

// lossy is small with one message in twenty between regions lost.
func lossy() Shape {
	shape := small()
	shape.Loss = 0.05
	return shape
}

// seededByOneZone is small with all seeds in one zone.
func seededByOneZone() Shape {
	shape := small()
	shape.SeedZones = []int{3}
	return shape
}

// testCase is a fleet and what happens to it.
type testCase struct {
	shape Shape
	run   func(p *play)
}

func cases() map[string]testCase {
	return map[string]testCase{
		"rest":                {small(), atRest},
		"all delegates die":   {small(), delegatesDie},
		"all delegates pause": {small(), delegatesPause},
		"a delegate only receives from other zones": {small(), func(p *play) { oneWayBetweenZones(p, true) }},
		"a delegate only sends to other zones":      {small(), func(p *play) { oneWayBetweenZones(p, false) }},
		"a delegate only receives":                  {small(), func(p *play) { oneWay(p, true) }},
		"a delegate only sends":                     {small(), func(p *play) { oneWay(p, false) }},
		"a rack is cut off":                         {uneven(), rackIsolated},
		"a region is cut off":                       {small(), func(p *play) { regionIsolated(p, true, true) }},
		"a region is cut off one way": {small(), func(p *play) {
			regionIsolated(p, p.seed%2 == 0, p.seed%2 != 0)
		}},
		"two regions lose each other":                 {small(), regionsPartitioned},
		"a zone of one member":                        {withSingle(), singleMemberDies},
		"one message in twenty is lost":               {lossy(), messagesLost},
		"a zone dies":                                 {small(), zoneDies},
		"a zone is partitioned":                       {uneven(), zonePartitioned},
		"records on both sides of a partition":        {small(), recordsOnBothSides},
		"many are restarted":                          {small(), manyRestarted},
		"all are restarted while a region is cut off": {small(), allRestartedWhilePartitioned},
		"seeds in one zone":                           {seededByOneZone(), restartedWithDistantSeeds},
		"a zone leaves":                               {small(), zoneLeaves},
	}
}

func atRest(p *play) {
	p.For(30 * time.Second)
	if mean, highest, worst := p.BytesPerS(); highest > maxRestBytesPerS || worst > maxSpikeBytesPerS {
		p.errorf("%.0f bytes a second on average, %.0f at most, %.0f in the worst ten seconds", mean, highest, worst)
	}
	p.checkBounds(false)
}

func delegatesDie(p *play) {
	p.Crash(p.Delegates(1, zonedirectory.Delegates)...)
	p.within(countTime, "all count the rest", p.AllReachable)
	record := p.mustPublish(p.Zones[0][2], "a", "1")
	p.within(recordTime, "all have a record", func() bool { return p.HaveRecord(nil, record) })
	p.For(10 * time.Second)
	p.checkBounds(false)
}

func delegatesPause(p *play) {
	for _, i := range p.Delegates(1, zonedirectory.Delegates) {
		p.Pause(i, 2*time.Second)
	}
	p.For(20 * time.Second)
	p.within(0, "all count all", p.AllReachable)
	p.checkBounds(false)
}

// oneWayBetweenZones has a delegate, the issuer or another one, not be received by other zones, or not receive them.
func oneWayBetweenZones(p *play, receives bool) {
	n := p.seed % zonedirectory.Delegates
	delegate := p.Delegates(1, zonedirectory.Delegates)[n : n+1]
	others := p.MembersOf([]int{0, 2, 3, 4})
	if receives {
		p.Sever(delegate, others)
	} else {
		p.Sever(others, delegate)
	}
	p.For(15 * time.Second)
	record := p.mustPublish(delegate[0], "a", "1")
	p.within(recordTime, "all have its record", func() bool { return p.HaveRecord(nil, record) })
	p.Crash(p.Zones[2][2])
	p.within(countTime, "all count the rest", p.AllReachable)
	p.checkBounds(false)
	p.Reconnect()
	p.For(10 * time.Second)
	p.checkBounds(false)
}

// oneWay has the issuer not be received by anybody, or not receive anybody.
func oneWay(p *play, receives bool) {
	delegate := p.Delegates(1, 1)
	if receives {
		p.Sever(delegate, p.MembersOf(nil))
	} else {
		p.Sever(p.MembersOf(nil), delegate)
	}
	p.within(countTime, "all others count the rest", func() bool { return p.othersCount(delegate[0], 29) })
	p.For(20 * time.Second)
	p.Reconnect()
	p.within(countTime, "all count all again", p.AllReachable)
	p.Changes -= p.changesOf(delegate[0])
	p.checkBounds(false)
}

// rackIsolated has three members of a zone of twelve lose all others, and reach them again.
func rackIsolated(p *play) {
	rack := p.Zones[0][9:]
	rest := slices.Concat(p.Zones[0][:9], p.MembersOf([]int{1, 2, 3}))
	p.Sever(rack, rest)
	p.Sever(rest, rack)
	p.within(countTime, "all others count the rest", func() bool { return p.count([]int{1, 2, 3}, 27)() })
	p.For(20 * time.Second)
	p.Reconnect()
	p.within(countTime, "all count all again", p.AllReachable)
	p.For(10 * time.Second)
	for _, i := range rack { // to these, all other zones were rightly unknown
		p.Changes -= p.changesOf(i)
	}
	p.checkBounds(false)
}

// regionIsolated partitions region 0 from all others, in one direction or both, and ends it.
func regionIsolated(p *play, outbound, inbound bool) {
	in, out := p.In(0), p.Outside(0)
	p.SetPartition(in, out, outbound)
	p.SetPartition(out, in, inbound)
	p.within(countTime, "to both sides the other is unknown", func() bool {
		return p.Hold(in, out, zonedirectory.Unknown) && p.Hold(out, in, zonedirectory.Unknown)
	})
	p.Crash(p.Zones[out[0]][3])
	p.within(countTime, "all count the rest of their side", func() bool {
		return p.count(in, len(p.MembersOf(in)))() && p.count(out, len(p.MembersOf(out))-1)()
	})
	p.For(30 * time.Second)
	p.checkBounds(true)
	p.Mark()
	p.SetPartition(in, out, false)
	p.SetPartition(out, in, false)
	p.within(countTime, "all count all again", p.AllReachable)
	p.For(10 * time.Second)
	p.checkBounds(true)
}

// regionsPartitioned partitions regions 0 and 1 from each other, which both reach region 2.
func regionsPartitioned(p *play) {
	a, b := p.In(0), p.In(1)
	p.SetPartition(a, b, true)
	if p.seed%2 == 0 {
		p.SetPartition(b, a, true)
	}
	p.within(12*time.Second, "to both the other is partitioned", func() bool {
		return p.Hold(a, b, zonedirectory.Partitioned) && p.Hold(b, a, zonedirectory.Partitioned)
	})
	p.Crash(p.Zones[a[0]][3])
	p.within(countTime, "all count the rest", p.count(nil, 29))
	record := p.mustPublish(p.Zones[a[1]][1], "a", "1")
	p.within(recordTime, "all have a record", func() bool { return p.HaveRecord(nil, record) })
	p.For(10 * time.Second)
	p.checkBounds(true)
	p.Mark()
	p.SetPartition(a, b, false)
	p.SetPartition(b, a, false)
	p.within(countTime, "all count all again", p.AllReachable)
	p.For(5 * time.Second)
	p.checkBounds(true)
}

func singleMemberDies(p *play) {
	p.For(20 * time.Second)
	p.checkBounds(false)
	p.Crash(p.Zones[1][0])
	p.within(countTime, "its zone is unknown", func() bool {
		return p.Hold([]int{0, 2, 3}, []int{1}, zonedirectory.Unknown)
	})
	p.For(5 * time.Second)
	p.checkBounds(true)
	p.Mark()
	p.Restart(p.Zones[1][0])
	p.within(countTime+time.Second, "all count all again", p.AllReachable)
	p.For(5 * time.Second)
	p.checkBounds(true)
}

func messagesLost(p *play) {
	p.For(40 * time.Second)
	p.Crash(p.Zones[2][1])
	p.within(countTime, "all count the rest", p.AllReachable)
	record := p.mustPublish(p.Zones[3][1], "a", "1")
	p.within(recordTime, "all have a record", func() bool { return p.HaveRecord(nil, record) })
	p.For(20 * time.Second)
	p.checkBounds(false)
}

func zoneDies(p *play) {
	p.Crash(p.Zones[1]...)
	p.within(countTime, "all count the rest", p.count(nil, 24))
	p.within(0, "it is unknown", func() bool {
		return p.Hold([]int{0, 2, 3, 4}, []int{1}, zonedirectory.Unknown)
	})
	p.For(20 * time.Second)
	p.checkBounds(true)
	p.Mark()
	p.Restart(p.Zones[1]...)
	p.within(10*time.Second, "all count all again", p.AllReachable)
	p.For(5 * time.Second)
	p.checkBounds(true)
}

// zonePartitioned has four members of a zone lose the other eight, though both parts reach all other zones.
func zonePartitioned(p *play) {
	larger, smaller := p.Zones[0][:8], p.Zones[0][8:]
	p.Sever(larger, smaller)
	p.Sever(smaller, larger)
	p.within(20*time.Second, "the larger part's summary is kept", p.count([]int{1, 2, 3}, 26))
	p.Mark()
	p.For(60 * time.Second)
	yielded := 0
	for _, i := range p.Zones[0] {
		yielded += p.members[i].directory.IssuerBackoffs
	}
	if p.Issuers > maxIssuersInMinute || yielded == 0 {
		p.errorf("the issuer has changed %d times in a minute, %d times one has yielded", p.Issuers, yielded)
	}
	p.within(5*time.Second, "the larger part's summary is kept", p.count([]int{1, 2, 3}, 26))
	if p.Changes > 0 {
		p.errorf("%d changes of zones' states", p.Changes)
	}
	p.Reconnect()
	p.within(10*time.Second, "all count all again", p.AllReachable)
	p.checkBounds(false)
}

func recordsOnBothSides(p *play) {
	in, out := p.In(2), p.Outside(2)
	p.SetPartition(in, out, true)
	p.SetPartition(out, in, true)
	p.For(10 * time.Second)
	p.mustPublish(p.Zones[in[0]][1], "a", "older")
	only := p.mustPublish(p.Zones[in[0]][2], "b", "there")
	p.For(time.Second)
	newer := p.mustPublish(p.Zones[out[0]][1], "a", "newer")
	p.within(recordTime, "all on one side have the newer", func() bool { return p.HaveRecord(out, newer) })
	p.SetPartition(in, out, false)
	p.SetPartition(out, in, false)
	p.within(recordTime, "all have both", func() bool {
		return p.HaveRecord(nil, newer) && p.HaveRecord(nil, only)
	})
	p.For(10 * time.Second)
	p.checkBounds(true)
}

func manyRestarted(p *play) {
	for zone := range p.Zones {
		p.Restart(p.Zones[zone][:4]...)
	}
	p.within(15*time.Second, "all count all again", p.AllReachable)
	p.Restart(p.Zones[1]...)
	p.Restart(p.Zones[4]...)
	p.within(15*time.Second, "all count all again", p.AllReachable)
	p.For(70 * time.Second)
	p.checkBounds(true)
}

func allRestartedWhilePartitioned(p *play) {
	in, out := p.In(0), p.Outside(0)
	p.SetPartition(in, out, true)
	p.SetPartition(out, in, true)
	p.For(8 * time.Second)
	p.Restart(p.MembersOf(nil)...)
	p.For(80 * time.Second)
	p.SetPartition(in, out, false)
	p.SetPartition(out, in, false)
	p.within(12*time.Second, "all count all again", p.AllReachable)
	p.For(5 * time.Second)
	if p.FalseDead > 0 || p.Factor > membership.MaxBudgetExcess {
		p.errorf("%d falsely dead, sum of parts %.2f", p.FalseDead, p.Factor)
	}
}

func restartedWithDistantSeeds(p *play) {
	p.Restart(p.Zones[1]...)
	p.Restart(p.Zones[4][:3]...)
	p.within(15*time.Second, "all count all again", p.AllReachable)
	p.For(5 * time.Second)
	p.checkBounds(true)
}

func zoneLeaves(p *play) {
	for _, i := range p.Zones[1] {
		p.Leave(i)
		p.For(1500 * time.Millisecond)
	}
	p.within(countTime, "to all it has left", func() bool {
		return p.Hold([]int{0, 2, 3, 4}, []int{1}, zonedirectory.Left)
	})
	p.checkBounds(true)
	p.Mark()
	p.Restart(p.Zones[1]...)
	p.within(10*time.Second, "all count all again", p.AllReachable)
	p.checkBounds(true)
}

// othersCount reports whether all but one member count so many.
func (p *play) othersCount(except, live int) bool {
	up := p.up[except]
	p.up[except] = false
	defer func() { p.up[except] = up }()
	return p.count(nil, live)()
}

// changesOf is how often one member has considered a zone to be something else than before.
func (p *play) changesOf(i int) int {
	changes := 0
	for _, c := range p.changed[i] {
		changes += c
	}
	return changes
}
