package decision

import (
	"container/heap"
	"math"
	"testing"
)

// A fleet of balancers that share nothing but the servers and one discovery, in virtual time. What one balancer may do
// and eighty may not shows in sums over all of them.
type balancerFleet struct {
	t         *testing.T
	balancers []*Balancer
	now       Micros
	timers    timerQueue
	seq       int
	onAction  func(i int, a Action) // what the world makes of an action
}

// fleetSeeds is how many are played of what must hold for any.
const fleetSeeds, manyFleetSeeds = 12, 60

type timerEvent struct {
	dueAt Micros
	order int // events of one moment keep their order
	run   func()
}

type timerQueue []timerEvent

func (d timerQueue) Len() int { return len(d) }
func (d timerQueue) Less(i, j int) bool {
	return d[i].dueAt < d[j].dueAt || d[i].dueAt == d[j].dueAt && d[i].order < d[j].order
}
func (d timerQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *timerQueue) Push(x any)   { *d = append(*d, x.(timerEvent)) }
func (d *timerQueue) Pop() any     { x := (*d)[len(*d)-1]; *d = (*d)[:len(*d)-1]; return x }

// newBalancerFleet starts n balancers in one moment, spread over the zones, with the same list.
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

// discoveryQueue is discovery: one call after another; one that has waited for a second fails, and is work all the
// same.
type discoveryQueue struct {
	fleet        *balancerFleet
	callTime     Micros // what a call takes
	idleAt       Micros // when it is done with what waits
	downUntil    Micros // no answer until then
	calls        map[Micros]int
	firstFreshAt map[int]Micros
}

func (q *discoveryQueue) poll(i int) {
	m := q.fleet
	q.calls[m.now/sec]++
	begin := max(m.now, q.idleAt)
	if begin-m.now < 3*sec { // what waits longer is not even kept
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

// Eighty balancers that start together, or hear nothing for a while, must not keep discovery so busy that it
// answers nobody: what all send it together stays in bounds, and each has a fresh list soon. Whoever failed asks
// again within 2.9 s, for what it misses counts as told 6 s after: that is 27 calls a second of eighty, beside 10
// of those that ask first.
func TestFleetPollsNoMoreThanDiscoveryAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		n           int
		each        Micros
		down, fresh Micros
		most        int // calls in any second
		lasting     int // calls in any ten seconds: the crowd thins out
	}{
		"three":                   {3, 200 * ms, 0, 2 * sec, 3, 3},
		"eighty":                  {80, 70 * ms, 0, 12 * sec, 15, 90},
		"eighty, slow":            {80, 200 * ms, 0, 70 * sec, 42, 250},
		"eighty, after an outage": {80, 200 * ms, 6 * sec, 80 * sec, 42, 260},
		"eighty, told in time":    {80, 30 * ms, 6 * sec, 12 * sec, 42, 190},
	} {
		for seed := range uint64(fleetSeeds) {
			s := testSettings()
			s.PollDiscovery = true
			m := newBalancerFleet(t, c.n, s, serverList(3, 3), seed)
			q := &discoveryQueue{
				fleet:        m,
				callTime:     c.each,
				downUntil:    start + c.down,
				calls:        map[Micros]int{},
				firstFreshAt: map[int]Micros{},
			}
			m.onAction = func(i int, a Action) {
				if _, ok := a.(WatchDiscovery); ok {
					q.poll(i)
				}
			}
			m.run(start + c.fresh)
			if len(q.firstFreshAt) != c.n {
				t.Errorf(
					"%s, seed %d: %d of %d have a fresh list after %d s",
					name,
					seed,
					len(q.firstFreshAt),
					c.n,
					c.fresh/sec,
				)
			}
			for second, n := range q.calls {
				if n > c.most {
					t.Errorf("%s, seed %d: %d calls in second %d", name, seed, n, second-start/sec)
				}
				lasting := 0
				for later := range Micros(10) {
					lasting += q.calls[second+later]
				}
				if lasting > c.lasting {
					t.Errorf(
						"%s, seed %d: %d calls in ten seconds from %d on",
						name,
						seed,
						lasting,
						second-start/sec,
					)
				}
			}
		}
	}
}

// Each balancer holds few of a group, and has learned of the servers in an order of its own; still they send a group's
// connections to one place in a zone, and all groups together to places of their own.
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
	places, used := map[uint64]map[uint64]bool{}, map[uint64]bool{}
	at := 0
	m.onAction = func(i int, a Action) {
		if a, ok := a.(StartAttempt); ok {
			group, where := uint64(at%12+1), m.balancers[i].serversByID[a.Server].StableID
			if places[group] == nil {
				places[group] = map[uint64]bool{}
			}
			places[group][where], used[where] = true, true
		}
	}
	for at = range 40 * 3 {
		m.handle(at%40, Request{ID: uint32(at), TimeLeft: sec, Group: uint64(at%12 + 1)})
	}
	all := 0
	for _, in := range places {
		all += len(in)
	}
	if len(places) != 12 || all > 24 || len(used) < 5 {
		t.Errorf("%d groups in %d places at %d of 8 servers", len(places), all, len(used))
	}
}

// What a warm server of mean size takes in a second, measured; see docs/design/fleet.md. A fleet's budget for a cold
// one stays under the rule's multiple of this.
const warmServerRate = 3.8

// What eighty balancers send a cold server stays under what the rule allows in every second, though each has a part of
// far less than one connection, also where all of them get a request at once after a quiet time; and where few have a
// request in a second, what it could take is not all wasted.
func TestFleetKeepsSlowStartBudget(t *testing.T) {
	for title, c := range map[string]struct {
		zones              int
		every, first, over Micros  // a request at each balancer so often, the first then, spread over that
		least              float64 // of what is allowed
	}{
		"a crowd":                   {1, 500 * ms, 0, 500 * ms, 0.2},
		"a request a second":        {1, sec, 0, sec, 0.2},
		"sparse":                    {1, 4 * sec, 0, 4 * sec, 0.1},
		"all at once, now and then": {1, 6 * sec, 5 * sec, sec, 0},
		"all at once, three zones":  {3, 6 * sec, 5 * sec, sec, 0},
		"a crowd, three zones":      {3, 500 * ms, 0, 500 * ms, 0.2},
	} {
		sums, limits := map[Micros]float64{}, map[Micros]float64{}
		for seed := range uint64(manyFleetSeeds) {
			s := testSettings()
			s.Zones = c.zones
			// its id is what decides whose turn it is
			cold := ServerEntry{Server: 50, StableID: stableID(50 + 1000*int(seed)), State: Ready, StartedAt: start}
			m := newBalancerFleet(t, 80, s, append(serverList(4, 0), cold), seed)
			single := map[Micros]float64{}
			m.onAction = func(i int, a Action) {
				if a, ok := a.(StartAttempt); ok {
					if a.Server == 50 {
						sums[(m.now-start)/sec]++
						single[(m.now-start)/sec]++
					}
					m.after(
						20*ms,
						func() { m.handle(i, Established{ID: a.ID, Server: a.Server, SetupTime: 20 * ms}) },
					)
				}
			}
			for i := range m.balancers { // part of the fleet is out: then cold servers of other zones are filled, too
				m.handle(
					i,
					ServerListUpdate{
						Kind:    UpdateDelta,
						Entries: []ServerEntry{{Server: 1, StableID: stableID(1), State: Removed}},
					},
				)
			}
			next := uint32(0)
			for i := range m.balancers {
				var ask func()
				ask = func() {
					next++
					m.handle(i, Request{ID: next, TimeLeft: sec, Key: uint64(next)})
					m.after(c.every, ask)
				}
				m.after(c.first+c.over*Micros(i)/80, ask)
			}
			m.run(start + 18*sec)
			for second, sent := range single {
				n := 2.5 * warmServerRate * (0.2 + 0.8*float64(second)/20)
				if most := n + 2*math.Sqrt(n) + 2; sent > most {
					t.Errorf(
						"%s: seed %d: %.0f sent in second %d, at most %.1f are put down to chance",
						title,
						seed,
						sent,
						second,
						most,
					)
				}
			}
		}
		all, allowed := 0.0, 0.0
		for second := range Micros(18) {
			limits[second] = manyFleetSeeds * 2.5 * warmServerRate * (0.2 + 0.8*(float64(second)+0.5)/20)
			all, allowed = all+sums[second], allowed+limits[second]
			if chance := 3 * math.Sqrt(limits[second]); sums[second] > limits[second]+chance {
				t.Errorf(
					"%s: %.1f sent in second %d, %.1f allowed",
					title,
					sums[second]/manyFleetSeeds,
					second,
					limits[second]/manyFleetSeeds,
				)
			}
		}
		if all < c.least*allowed {
			t.Errorf("%s: %.0f sent of %.0f allowed", title, all, allowed)
		}
	}
}

// A server that is late for all is late by its own notes: eighty balancers that hold connections there don't probe it,
// and trust it again once the notes have ceased.
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
		t.Errorf("%d probes", probes)
	}
	m.run(m.now + 10*sec)
	for i, b := range m.balancers {
		if s := b.serversByID[1]; s.health != Connected {
			t.Fatalf("balancer %d still holds it for %v", i, s.health)
		}
	}
}
