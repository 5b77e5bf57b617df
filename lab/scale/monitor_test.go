package scale

import (
	"slices"
	"testing"

	"spurspread/lab/link"
)

// A partition applies to one direction, and determines the numbers of members that members have to count.
func TestExpectedCounts(t *testing.T) {
	topology := &Topology{Members: 9, Regions: 3, Zones: 3}
	links := topology.Links(0)
	links.Set(topology.RacksOf([]int{0}), topology.RacksOf([]int{1}), func(l *link.Link) { l.Partitioned = true })
	if len(links.DrawDelays(0, racksPerZone)) != 0 || len(links.DrawDelays(racksPerZone, 0)) != 1 {
		t.Error("a one-way partition does not lose datagrams in exactly one direction")
	}
	m := newMonitor(topology)
	for member := range topology.Members {
		m.markStarted(member)
	}
	for _, c := range []struct {
		partitions [][2]int // zones
		want       []int
	}{
		{nil, []int{9, 9, 9}},
		{[][2]int{{0, 1}}, []int{9, 9, 9}},
		{[][2]int{{0, 1}, {2, 0}}, []int{3, 6, 6}},
	} {
		clear(m.partitioned)
		for _, pair := range c.partitions {
			m.setPartitioned(topology.RacksOf(pair[:1]), topology.RacksOf(pair[1:]), true)
		}
		if got := m.expectedCounts(); !slices.Equal(got, c.want) {
			t.Errorf("expected counts with zones %v partitioned: %v, want %v", c.partitions, got, c.want)
		}
	}
	clear(m.partitioned)
	m.markStopped(4, false)
	if got := m.expectedCounts(); got[2] != 8 {
		t.Errorf("expected counts after a crash: %v, want 8 in zone 2", got)
	}
}

// The monitor counts the death of a running member and its recovery, but not a death while timers fire late.
func TestFalseDeathsAndFlapsAreCounted(t *testing.T) {
	m := newMonitor(&Topology{Members: 4, Regions: 1, Zones: 1})
	m.addLoop(0, 0, []int{0, 1, 2, 3})
	m.recording = true
	for member := range 4 {
		m.markStarted(member)
	}
	m.markStopped(3, false)
	death := func(at int64, subject int) Sample {
		return Sample{
			At:      at,
			Changes: []Change{{Observer: 0, Subject: subject, From: "suspect", To: "dead", At: at}},
		}
	}
	for _, sample := range []Sample{
		death(1, 3),
		death(2, 1),
		{At: 3, Changes: []Change{{Observer: 0, Subject: 1, From: "dead", To: "alive", At: 3}}},
		{At: 4, LagMicros: []int64{starvationLagMicros + 1}},
		death(5, 2),
	} {
		m.applySample(0, &sample)
	}
	if m.falseDeaths != 1 || m.ignoredWhileStarved != 1 || m.flaps != 1 {
		t.Errorf("%d false deaths, %d ignored while starved, %d flaps, want 1 of each",
			m.falseDeaths, m.ignoredWhileStarved, m.flaps)
	}
	if _, holds := m.deathSeen(3)(); holds {
		t.Error("a crash counts as seen by all three running members, but only one has seen it")
	}
}
