package decision

import (
	"container/heap"
	"math"
	"testing"
)

// balancerFleet is a fleet of balancers in virtual time that share the servers and one discovery. It shows the total
// load of decisions that are harmless at one balancer but not at eighty.
type balancerFleet struct {
	t         *testing.T
	balancers []*Balancer
	now       Micros
	timers    timerQueue
	seq       int
	onAction  func(i int, a Action) // carries out an action other than SetTimer
}

// Numbers of seeds for tests of properties that must hold for any seed.
const fleetSeeds, manyFleetSeeds = 12, 60

type timerEvent struct {
	dueAt Micros
	order int // events of the same time keep their order
	run   func()
}

type timerQueue []timerEvent

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].dueAt < q[j].dueAt || q[i].dueAt == q[j].dueAt && q[i].order < q[j].order
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timerEvent)) }
func (q *timerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newBalancerFleet starts n balancers at the same time and with the same server list, spread over the zones.
func newBalancerFleet(t *testing.T, n int, s Settings, list []ServerEntry, seed uint64) *balancerFleet {
	m := &balancerFleet{t: t, now: start, onAction: func(int, Action) {}}
	s.Balancers = n
	for i := range n {
		s.Rank, s.Zone = i, i%max(s.Zones, 1)
		m.balancers = append(m.balancers, New(s, uint64(i)*77+seed, start))
	}
	for i := range n {
		m.handle(i, ServerListUpdate{Kind: UpdateCached, Entries: list})
	}
	return m
}

func (m *balancerFleet) after(d Micros, do func()) {
	m.seq++
	heap.Push(&m.timers, timerEvent{m.now + d, m.seq, do})
}

func (m *balancerFleet) handle(i int, ev Event) {
	for _, a := range m.balancers[i].Handle(m.now, ev, nil) {
		if timer, ok := a.(SetTimer); ok {
			m.after(timer.Delay, func() { m.handle(i, TimerFired{timer.Token}) })
		} else {
			m.onAction(i, a)
		}
	}
}

func (m *balancerFleet) run(until Micros) {
	for len(m.timers) > 0 && m.timers[0].dueAt <= until {
		d := heap.Pop(&m.timers).(timerEvent)
		m.now = d.dueAt
		d.run()
	}
	m.now = until
}

// discoveryQueue simulates discovery, which serves one call after another. A call fails if it is not answered within a
// second, but still takes its call time.
type discoveryQueue struct {
	fleet        *balancerFleet
	callTime     Micros // duration of one call
	idleAt       Micros // when all queued calls are done
	downUntil    Micros // no call is answered before
	calls        map[Micros]int
	firstFreshAt map[int]Micros
}

// poll queues a call by balancer i.
func (q *discoveryQueue) poll(i int) {
	m := q.fleet
	q.calls[m.now/sec]++
	begin := max(m.now, q.idleAt)
	if begin-m.now < 3*sec { // the queue holds no more
		q.idleAt = begin + q.callTime
	}
	if wait := begin + q.callTime - m.now; wait > sec || m.now < q.downUntil {
		m.after(sec, func() { m.handle(i, ServerListUpdate{Kind: UpdateFailed}) })
		return
	}
	m.after(begin+q.callTime-m.now, func() {
		if q.firstFreshAt[i] == 0 {
			q.firstFreshAt[i] = m.now
		}
		m.handle(i, ServerListUpdate{Kind: UpdateDelta})
	})
}

// Eighty balancers that start together, or get no update for a while, must not overload discovery so much that it
// answers none of them: their polls stay within bounds, and each has a fresh list soon. A balancer polls again within
// 2.9 s of a failure, because it must know a change within 6 s. With eighty balancers that is 27 calls a second, in
// addition to 10 first polls.
func TestFleetPollsNoMoreThanDiscoveryAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		balancers       int
		callTime        Micros
		downFor         Micros
		freshWithin     Micros
		maxInSecond     int  // calls
		maxInTenSeconds int  // calls
		requests        bool // each balancer has one at its start, so that it needs a fresh list soon
	}{
		"three":                   {3, 200 * ms, 0, 2 * sec, 3, 3, false},
		"eighty":                  {80, 70 * ms, 0, 12 * sec, 15, 90, false},
		"eighty, slow":            {80, 200 * ms, 0, 70 * sec, 42, 250, false},
		"eighty, after an outage": {80, 200 * ms, 6 * sec, 80 * sec, 42, 260, false},
		"eighty, fast":            {80, 30 * ms, 6 * sec, 12 * sec, 42, 190, false},
		"eighty with requests":    {80, 70 * ms, 0, 70 * sec, 80, 250, true},
	} {
		for seed := range uint64(fleetSeeds) {
			s := testSettings()
			s.PollDiscovery = true
			m := newBalancerFleet(t, c.balancers, s, serverList(3, 3), seed)
			q := &discoveryQueue{
				fleet:        m,
				callTime:     c.callTime,
				downUntil:    start + c.downFor,
				calls:        map[Micros]int{},
				firstFreshAt: map[int]Micros{},
			}
			m.onAction = func(i int, a Action) {
				if _, ok := a.(WatchDiscovery); ok {
					q.poll(i)
				}
			}
			for i := range m.balancers {
				if c.requests {
					m.handle(i, Request{TimeLeft: sec})
				}
			}
			m.run(start + c.freshWithin)
			if len(q.firstFreshAt) != c.balancers {
				t.Errorf("%s, seed %d: %d of %d have a fresh list after %d s",
					name, seed, len(q.firstFreshAt), c.balancers, c.freshWithin/sec)
			}
			for second, n := range q.calls {
				if n > c.maxInSecond {
					t.Errorf("%s, seed %d: %d calls in second %d, want at most %d",
						name, seed, n, second-start/sec, c.maxInSecond)
				}
				inTenSeconds := 0
				for later := range Micros(10) {
					inTenSeconds += q.calls[second+later]
				}
				if inTenSeconds > c.maxInTenSeconds {
					t.Errorf("%s, seed %d: %d calls in ten seconds from %d on",
						name, seed, inTenSeconds, second-start/sec)
				}
			}
		}
	}
}

// Each balancer has few connections of a group and numbers the servers differently. Even so, all balancers send a
// group's connections to the same server, and different groups to different servers.
func TestFleetKeepsGroupsTogether(t *testing.T) {
	s := testSettings()
	s.Zones = 1
	m := newBalancerFleet(t, 40, s, nil, 5)
	for i := range m.balancers {
		list := serverList(8, 0)
		for j := range list {
			list[j].Server = uint32((j*5 + i*3) % 8)
		}
		m.handle(i, ServerListUpdate{Kind: UpdateCached, Entries: list})
	}
	serversByGroup, used := map[uint64]map[uint64]bool{}, map[uint64]bool{}
	request := 0
	m.onAction = func(i int, a Action) {
		if a, ok := a.(StartAttempt); ok {
			group, server := uint64(request%12+1), m.balancers[i].serversByID[a.Server].StableID
			if serversByGroup[group] == nil {
				serversByGroup[group] = map[uint64]bool{}
			}
			serversByGroup[group][server], used[server] = true, true
		}
	}
	for request = range 40 * 3 {
		m.handle(request%40, Request{ID: uint32(request), TimeLeft: sec, Group: uint64(request%12 + 1)})
	}
	pairs := 0
	for _, servers := range serversByGroup {
		pairs += len(servers)
	}
	if len(serversByGroup) != 12 || pairs > 24 || len(used) < 5 {
		t.Errorf("%d groups on %d pairs of group and server and %d of 8 servers, want 12 on at most 24 and at least 5",
			len(serversByGroup), pairs, len(used))
	}
}

// warmServerRate is the number of connections per second that a server of mean weight takes once it is warmed up; see
// docs/design/fleet.md. A fleet's slow-start budget stays below OverloadFactor times this rate.
const warmServerRate = 3.8

// slowStartCase describes how requests arrive at a fleet while one server warms up.
type slowStartCase struct {
	zones    int
	interval Micros  // between two requests at each balancer
	first    Micros  // time of the first request at the first balancer
	spread   Micros  // time from that to the last balancer's first request
	minUsed  float64 // minimum fraction of the budget that must be used
}

// simulateSlowStart returns the number of attempts that eighty balancers together start at a server that warms up, by
// second.
func simulateSlowStart(t *testing.T, c slowStartCase, seed uint64) map[Micros]float64 {
	t.Helper()
	const balancers, warmingServer = 80, 50
	s := testSettings()
	s.Zones = c.zones
	// The stable ID decides which balancer gets which grant.
	warming := ServerEntry{
		Server: warmingServer, StableID: stableID(warmingServer + 1000*int(seed)), State: Ready, StartedAt: start,
	}
	m := newBalancerFleet(t, balancers, s, append(serverList(4, 0), warming), seed)
	attempts := map[Micros]float64{}
	m.onAction = func(i int, action Action) {
		a, ok := action.(StartAttempt)
		if !ok {
			return
		}
		if a.Server == warmingServer {
			attempts[(m.now-start)/sec]++
		}
		m.after(20*ms, func() { m.handle(i, Established{ID: a.ID, Server: a.Server, SetupTime: 20 * ms}) })
	}
	// While a part of the fleet is missing, balancers also send connections to servers of other zones that warm up.
	absent := []ServerEntry{{Server: 1, StableID: stableID(1), State: Removed}}
	for i := range m.balancers {
		m.handle(i, ServerListUpdate{Kind: UpdateDelta, Entries: absent})
	}
	next := uint32(0)
	for i := range m.balancers {
		var request func()
		request = func() {
			next++
			m.handle(i, Request{ID: next, TimeLeft: sec, Key: uint64(next)})
			m.after(c.interval, request)
		}
		m.after(c.first+c.spread*Micros(i)/balancers, request)
	}
	m.run(start + 18*sec)
	return attempts
}

// slowStartLimit returns the number of connections per second that all balancers may start at a server of the given age
// in seconds.
func slowStartLimit(age float64) float64 { return 2.5 * warmServerRate * (0.2 + 0.8*age/20) }

// Eighty balancers together stay within a server's slow-start budget in every second, although each one's share is far
// less than one connection, and even if all get a request at once after a period without any. If few of them have a
// request in a second, part of the budget is still used.
func TestFleetKeepsSlowStartBudget(t *testing.T) {
	for name, c := range map[string]slowStartCase{
		"many requests":              {1, 500 * ms, 0, 500 * ms, 0.2},
		"a request a second":         {1, sec, 0, sec, 0.2},
		"few requests":               {1, 4 * sec, 0, 4 * sec, 0.1},
		"all at once, now and then":  {1, 6 * sec, 5 * sec, sec, 0},
		"all at once, three zones":   {3, 6 * sec, 5 * sec, sec, 0},
		"many requests, three zones": {3, 500 * ms, 0, 500 * ms, 0.2},
	} {
		sums := map[Micros]float64{}
		for seed := range uint64(manyFleetSeeds) {
			for second, n := range simulateSlowStart(t, c, seed) {
				sums[second] += n
				mean := slowStartLimit(float64(second))
				if limit := mean + 2*math.Sqrt(mean) + 2; n > limit {
					t.Errorf("%s: seed %d: %.0f attempts in second %d, want at most %.1f including random variation",
						name, seed, n, second, limit)
				}
			}
		}
		all, allowed := 0.0, 0.0
		for second := range Micros(18) {
			limit := manyFleetSeeds * slowStartLimit(float64(second)+0.5)
			all += sums[second]
			allowed += limit
			if chance := 3 * math.Sqrt(limit); sums[second] > limit+chance {
				t.Errorf("%s: %.1f attempts in second %d, want at most %.1f and random variation",
					name, sums[second]/manyFleetSeeds, second, limit/manyFleetSeeds)
			}
		}
		if all < c.minUsed*allowed {
			t.Errorf("%s: %.0f attempts of %.0f allowed, want at least %.0f", name, all, allowed, c.minUsed*allowed)
		}
	}
}

// A server that reports high message latency is not probed by balancers that have connections there; it is Connected
// again once the reports have stopped.
func TestFleetDoesNotProbeServersThatReportLatency(t *testing.T) {
	m := newBalancerFleet(t, 80, testSettings(), serverList(4, 4), 5)
	probes := 0
	m.onAction = func(_ int, a Action) {
		if _, ok := a.(ProbeServer); ok {
			probes++
		}
	}
	for i := range m.balancers {
		for id := range uint32(4) {
			m.handle(i, ExistingConnection{Request: Request{ID: id}, Server: id%2 + 1})
		}
	}
	for range 6 {
		for i := range m.balancers {
			m.handle(i, ConnectionMetric{ID: 0, Server: 1, Kind: MessageLatencyMetric, Value: 50})
		}
		m.run(m.now + sec)
	}
	if probes > 0 {
		t.Errorf("%d probes, want none", probes)
	}
	m.run(m.now + 10*sec)
	for i, b := range m.balancers {
		if s := b.serversByID[1]; s.health != healthConnected {
			t.Fatalf("balancer %d: health %v after the reports have stopped, want Connected", i, s.health)
		}
	}
}
