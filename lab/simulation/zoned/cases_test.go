package zoned

import (
	"slices"
	"time"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
)

// smallFleet is a fleet of 30 members in five zones: regions 0 and 1 have two zones each, and region 2 has one.
func smallFleet() Topology { return EvenTopology(30, 5, 3) }

// unevenFleet is a fleet of four zones, the first of which has twelve members and the others six each.
func unevenFleet() Topology {
	return Topology{ZoneSizes: []int{12, 6, 6, 6}, ZoneRegions: []int{0, 1, 2, 0}}
}

// fleetWithSingleMemberZone is a fleet whose second zone has a single member.
func fleetWithSingleMemberZone() Topology {
	return Topology{ZoneSizes: []int{8, 1, 8, 8}, ZoneRegions: []int{0, 1, 2, 0}}
}

// lossyFleet is smallFleet, but one in twenty messages between regions is lost.
func lossyFleet() Topology {
	topology := smallFleet()
	topology.Loss = 0.05
	return topology
}

// fleetSeededByOneZone is smallFleet with all seeds in one zone.
func fleetSeededByOneZone() Topology {
	topology := smallFleet()
	topology.SeedZones = []int{3}
	return topology
}

// testCase is a topology, and a function that injects faults into a fleet of it and checks the fleet.
type testCase struct {
	topology Topology
	run      func(r *testRun)
}

func cases() map[string]testCase {
	return map[string]testCase{
		"rest":                {smallFleet(), atRest},
		"all delegates die":   {smallFleet(), delegatesDie},
		"all delegates pause": {smallFleet(), delegatesPause},
		"a delegate only receives from other zones": {smallFleet(), func(r *testRun) { oneWayBetweenZones(r, true) }},
		"a delegate only sends to other zones":      {smallFleet(), func(r *testRun) { oneWayBetweenZones(r, false) }},
		"a delegate only receives":                  {smallFleet(), func(r *testRun) { oneWay(r, true) }},
		"a delegate only sends":                     {smallFleet(), func(r *testRun) { oneWay(r, false) }},
		"a rack is cut off":                         {unevenFleet(), rackIsolated},
		"a region is cut off":                       {smallFleet(), func(r *testRun) { regionIsolated(r, true, true) }},
		"a region is cut off one way": {smallFleet(), func(r *testRun) {
			regionIsolated(r, r.seed%2 == 0, r.seed%2 != 0)
		}},
		"two regions are partitioned from each other": {smallFleet(), regionsPartitioned},
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

func atRest(r *testRun) {
	r.RunFor(30 * time.Second)
	if mean, highest, worst := r.BytesPerS(); highest > maxRestBytesPerS || worst > maxSpikeBytesPerS {
		r.errorf("bytes per second: %.0f on average, %.0f at most, %.0f in the worst ten seconds", mean, highest, worst)
	}
	r.checkBounds(false)
}

func delegatesDie(r *testRun) {
	r.Crash(r.Delegates(1, zonedirectory.Delegates)...)
	r.within(countTime, "all members count the remaining ones", r.AllReachable)
	record := r.mustPublish(r.Zones[0][2], "a", "1")
	r.within(recordTime, "all members have the record", func() bool { return r.AllHaveRecord(nil, record) })
	r.RunFor(10 * time.Second)
	r.checkBounds(false)
}

func delegatesPause(r *testRun) {
	for _, i := range r.Delegates(1, zonedirectory.Delegates) {
		r.Pause(i, 2*time.Second)
	}
	r.RunFor(20 * time.Second)
	r.within(0, "all members count the whole fleet", r.AllReachable)
	r.checkBounds(false)
}

// oneWayBetweenZones cuts one direction between a delegate and all other zones: the delegate's packets are lost if
// receiveOnly is true, else the packets to it. The seed chooses the issuer or another delegate.
func oneWayBetweenZones(r *testRun, receiveOnly bool) {
	n := r.seed % zonedirectory.Delegates
	delegate := r.Delegates(1, zonedirectory.Delegates)[n : n+1]
	others := r.MembersOf([]int{0, 2, 3, 4})
	if receiveOnly {
		r.Disconnect(delegate, others)
	} else {
		r.Disconnect(others, delegate)
	}
	r.RunFor(15 * time.Second)
	record := r.mustPublish(delegate[0], "a", "1")
	r.within(recordTime, "all members have its record", func() bool { return r.AllHaveRecord(nil, record) })
	r.Crash(r.Zones[2][2])
	r.within(countTime, "all members count the remaining ones", r.AllReachable)
	r.checkBounds(false)
	r.Reconnect()
	r.RunFor(10 * time.Second)
	r.checkBounds(false)
}

// oneWay cuts one direction between the issuer of a zone and all other members: the issuer's packets are lost if
// receiveOnly is true, else the packets to it.
func oneWay(r *testRun, receiveOnly bool) {
	delegate := r.Delegates(1, 1)
	if receiveOnly {
		r.Disconnect(delegate, r.MembersOf(nil))
	} else {
		r.Disconnect(r.MembersOf(nil), delegate)
	}
	r.within(countTime, "all others count the remaining ones", func() bool { return r.othersCount(delegate[0], 29) })
	r.RunFor(20 * time.Second)
	r.Reconnect()
	r.within(countTime, "all members count the whole fleet again", r.AllReachable)
	r.StateChanges -= r.stateChangesSeenBy(delegate[0])
	r.checkBounds(false)
}

// rackIsolated disconnects three members of a zone of twelve from all others, and reconnects them.
func rackIsolated(r *testRun) {
	rack := r.Zones[0][9:]
	rest := slices.Concat(r.Zones[0][:9], r.MembersOf([]int{1, 2, 3}))
	r.Disconnect(rack, rest)
	r.Disconnect(rest, rack)
	r.within(countTime, "all others count the remaining ones", func() bool { return r.count([]int{1, 2, 3}, 27)() })
	r.RunFor(20 * time.Second)
	r.Reconnect()
	r.within(countTime, "all members count the whole fleet again", r.AllReachable)
	r.RunFor(10 * time.Second)
	for _, i := range rack { // in their views all other zones became unknown, as they should
		r.StateChanges -= r.stateChangesSeenBy(i)
	}
	r.checkBounds(false)
}

// regionIsolated partitions region 0 from all others, in one direction or both, and then heals the partition.
func regionIsolated(r *testRun, outbound, inbound bool) {
	in, out := r.ZonesIn(0), r.ZonesOutside(0)
	r.SetPartition(in, out, outbound)
	r.SetPartition(out, in, inbound)
	r.within(countTime, "both sides have the other one as unknown", func() bool {
		return r.AllSee(in, out, zonedirectory.Unknown) && r.AllSee(out, in, zonedirectory.Unknown)
	})
	r.Crash(r.Zones[out[0]][3])
	r.within(countTime, "all members count the remaining ones of their side", func() bool {
		return r.count(in, len(r.MembersOf(in)))() && r.count(out, len(r.MembersOf(out))-1)()
	})
	r.RunFor(30 * time.Second)
	r.checkBounds(true)
	r.ResetCounts()
	r.SetPartition(in, out, false)
	r.SetPartition(out, in, false)
	r.within(countTime, "all members count the whole fleet again", r.AllReachable)
	r.RunFor(10 * time.Second)
	r.checkBounds(true)
}

// regionsPartitioned partitions regions 0 and 1 from each other, while both still reach region 2.
func regionsPartitioned(r *testRun) {
	a, b := r.ZonesIn(0), r.ZonesIn(1)
	r.SetPartition(a, b, true)
	if r.seed%2 == 0 {
		r.SetPartition(b, a, true)
	}
	r.within(12*time.Second, "both regions have the other one as partitioned", func() bool {
		return r.AllSee(a, b, zonedirectory.Partitioned) && r.AllSee(b, a, zonedirectory.Partitioned)
	})
	r.Crash(r.Zones[a[0]][3])
	r.within(countTime, "all members count the remaining ones", r.count(nil, 29))
	record := r.mustPublish(r.Zones[a[1]][1], "a", "1")
	r.within(recordTime, "all members have the record", func() bool { return r.AllHaveRecord(nil, record) })
	r.RunFor(10 * time.Second)
	r.checkBounds(true)
	r.ResetCounts()
	r.SetPartition(a, b, false)
	r.SetPartition(b, a, false)
	r.within(countTime, "all members count the whole fleet again", r.AllReachable)
	r.RunFor(5 * time.Second)
	r.checkBounds(true)
}

func singleMemberDies(r *testRun) {
	r.RunFor(20 * time.Second)
	r.checkBounds(false)
	r.Crash(r.Zones[1][0])
	r.within(countTime, "its zone is unknown", func() bool {
		return r.AllSee([]int{0, 2, 3}, []int{1}, zonedirectory.Unknown)
	})
	r.RunFor(5 * time.Second)
	r.checkBounds(true)
	r.ResetCounts()
	r.Restart(r.Zones[1][0])
	r.within(countTime+time.Second, "all members count the whole fleet again", r.AllReachable)
	r.RunFor(5 * time.Second)
	r.checkBounds(true)
}

func messagesLost(r *testRun) {
	r.RunFor(40 * time.Second)
	r.Crash(r.Zones[2][1])
	r.within(countTime, "all members count the remaining ones", r.AllReachable)
	record := r.mustPublish(r.Zones[3][1], "a", "1")
	r.within(recordTime, "all members have the record", func() bool { return r.AllHaveRecord(nil, record) })
	r.RunFor(20 * time.Second)
	r.checkBounds(false)
}

func zoneDies(r *testRun) {
	r.Crash(r.Zones[1]...)
	r.within(countTime, "all members count the remaining ones", r.count(nil, 24))
	r.within(0, "the zone is unknown", func() bool {
		return r.AllSee([]int{0, 2, 3, 4}, []int{1}, zonedirectory.Unknown)
	})
	r.RunFor(20 * time.Second)
	r.checkBounds(true)
	r.ResetCounts()
	r.Restart(r.Zones[1]...)
	r.within(10*time.Second, "all members count the whole fleet again", r.AllReachable)
	r.RunFor(5 * time.Second)
	r.checkBounds(true)
}

// zonePartitioned disconnects four members of a zone from the other eight, while both parts still reach all other
// zones.
func zonePartitioned(r *testRun) {
	larger, smaller := r.Zones[0][:8], r.Zones[0][8:]
	r.Disconnect(larger, smaller)
	r.Disconnect(smaller, larger)
	r.within(20*time.Second, "all other zones keep the summary of the larger part", r.count([]int{1, 2, 3}, 26))
	r.ResetCounts()
	r.RunFor(60 * time.Second)
	backoffs := 0
	for _, i := range r.Zones[0] {
		backoffs += r.members[i].directory.IssuerBackoffs
	}
	if r.IssuerChanges > maxIssuerChangesPerMinute || backoffs == 0 {
		r.errorf("the issuer has changed %d times in a minute, and has backed off %d times", r.IssuerChanges, backoffs)
	}
	r.within(5*time.Second, "all other zones keep the summary of the larger part", r.count([]int{1, 2, 3}, 26))
	if r.StateChanges > 0 {
		r.errorf("%d changes of zone states", r.StateChanges)
	}
	r.Reconnect()
	r.within(10*time.Second, "all members count the whole fleet again", r.AllReachable)
	r.checkBounds(false)
}

func recordsOnBothSides(r *testRun) {
	in, out := r.ZonesIn(2), r.ZonesOutside(2)
	r.SetPartition(in, out, true)
	r.SetPartition(out, in, true)
	r.RunFor(10 * time.Second)
	r.mustPublish(r.Zones[in[0]][1], "a", "older")
	only := r.mustPublish(r.Zones[in[0]][2], "b", "there")
	r.RunFor(time.Second)
	newer := r.mustPublish(r.Zones[out[0]][1], "a", "newer")
	r.within(recordTime, "all on one side have the newer record", func() bool { return r.AllHaveRecord(out, newer) })
	r.SetPartition(in, out, false)
	r.SetPartition(out, in, false)
	r.within(recordTime, "all members have both records", func() bool {
		return r.AllHaveRecord(nil, newer) && r.AllHaveRecord(nil, only)
	})
	r.RunFor(10 * time.Second)
	r.checkBounds(true)
}

func manyRestarted(r *testRun) {
	for zone := range r.Zones {
		r.Restart(r.Zones[zone][:4]...)
	}
	r.within(15*time.Second, "all members count the whole fleet again", r.AllReachable)
	r.Restart(r.Zones[1]...)
	r.Restart(r.Zones[4]...)
	r.within(15*time.Second, "all members count the whole fleet again", r.AllReachable)
	r.RunFor(70 * time.Second)
	r.checkBounds(true)
}

func allRestartedWhilePartitioned(r *testRun) {
	in, out := r.ZonesIn(0), r.ZonesOutside(0)
	r.SetPartition(in, out, true)
	r.SetPartition(out, in, true)
	r.RunFor(8 * time.Second)
	r.Restart(r.MembersOf(nil)...)
	r.RunFor(80 * time.Second)
	r.SetPartition(in, out, false)
	r.SetPartition(out, in, false)
	r.within(12*time.Second, "all members count the whole fleet again", r.AllReachable)
	r.RunFor(5 * time.Second)
	if r.FalseDead > 0 || r.MaxBudgetSum > membership.MaxBudgetExcess {
		r.errorf("%d falsely dead, sum of budget shares %.2f", r.FalseDead, r.MaxBudgetSum)
	}
}

func restartedWithDistantSeeds(r *testRun) {
	r.Restart(r.Zones[1]...)
	r.Restart(r.Zones[4][:3]...)
	r.within(15*time.Second, "all members count the whole fleet again", r.AllReachable)
	r.RunFor(5 * time.Second)
	r.checkBounds(true)
}

func zoneLeaves(r *testRun) {
	for _, i := range r.Zones[1] {
		r.Leave(i)
		r.RunFor(1500 * time.Millisecond)
	}
	r.within(countTime, "all other zones have the zone as left", func() bool {
		return r.AllSee([]int{0, 2, 3, 4}, []int{1}, zonedirectory.Left)
	})
	r.checkBounds(true)
	r.ResetCounts()
	r.Restart(r.Zones[1]...)
	r.within(10*time.Second, "all members count the whole fleet again", r.AllReachable)
	r.checkBounds(true)
}

// othersCount reports whether all running members but one count this many live members in the whole fleet.
func (r *testRun) othersCount(except, live int) bool {
	up := r.up[except]
	r.up[except] = false
	defer func() { r.up[except] = up }()
	return r.count(nil, live)()
}

// stateChangesSeenBy returns the number of changes of zone states in the view of one member.
func (r *testRun) stateChangesSeenBy(i int) int {
	changes := 0
	for _, c := range r.changeCounts[i] {
		changes += c
	}
	return changes
}
