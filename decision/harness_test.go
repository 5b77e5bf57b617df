package decision

import (
	"math"
	"testing"

	"spurspread/decision/outcome"
	"spurspread/decision/slowstart"
)

const start = 1000 * sec // arbitrary start time

// harness drives one balancer in virtual time.
type harness struct {
	t    *testing.T
	b    *Balancer
	now  Micros
	next uint32
}

func testSettings() Settings {
	return Settings{
		Balancers: 4, Zones: 2, ClockResolution: 2 * ms,
		Classes: []Class{
			{LatencyObjective: 300 * ms, Deadline: 2 * sec, Streaming: true, MessageLatencyObjective: 100 * ms},
		},
		MaxAttempts: 5, AllowProbes: true, AllowCancel: true, AllowRetryAfter: true, MaxRetryAfter: sec,
		PollInterval:    10 * sec,
		InitialCapacity: 0.2, WarmupTime: 20 * sec, DrainGrace: 500 * ms, OverloadWindow: sec, OverloadFactor: 2.5,
	}
}

// serverList lists servers 1, 2, ... of the home zone and 101, 102, ... of another, all warmed up.
func serverList(home, other int) []ServerEntry {
	var out []ServerEntry
	for i := range home {
		out = append(out, ServerEntry{Server: uint32(1 + i), StableID: stableID(1 + i), State: Ready})
	}
	for i := range other {
		out = append(out, ServerEntry{Server: uint32(101 + i), StableID: stableID(101 + i), Zone: 1, State: Ready})
	}
	return out
}

// stableID returns a number in place of the hash of a server's id.
func stableID(i int) uint64 { return uint64(i) * 0xd1342543de82ef95 }

func newHarness(t *testing.T, s Settings, entries []ServerEntry) *harness {
	t.Helper()
	g := &harness{t: t, b: New(s, 7, start), now: start}
	g.handle(ServerListUpdate{Kind: UpdateCached, Entries: entries})
	return g
}

func (g *harness) handle(ev Event) []Action { return g.b.Handle(g.now, ev, nil) }

// advance advances the time by d in ticks and returns the actions of the ticks.
func (g *harness) advance(d Micros) []Action {
	var out []Action
	for end := g.now + d; g.now < end; {
		g.now += tickInterval
		out = append(out, g.handle(TimerFired{tickTimer})...)
	}
	return out
}

// actionsOf returns the actions of type A.
func actionsOf[A Action](all []Action) []A {
	var out []A
	for _, a := range all {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

// request passes one request to the balancer, with set-ups and tokens unlimited, and returns the server that its
// attempt is sent to, or 0 without an attempt.
func (g *harness) request() (id, server uint32) {
	g.b.setupLimiter.Limit = math.Inf(1)
	for _, s := range g.b.servers {
		s.budget.Tokens, s.budget.RefilledAt = slowstart.Burst, g.now
	}
	return g.requestNow()
}

// requestNow passes one request to the balancer and returns the server that its attempt is sent to, or 0 without an
// attempt.
func (g *harness) requestNow() (id, server uint32) {
	g.next++
	actions := g.handle(Request{ID: g.next, TimeLeft: 2 * sec})
	if attempts := actionsOf[StartAttempt](actions); len(attempts) == 1 {
		return g.next, attempts[0].Server
	}
	return g.next, 0
}

// connect establishes the connection of a new request.
func (g *harness) connect() (id, server uint32) {
	g.t.Helper()
	id, server = g.request()
	if server == 0 {
		g.t.Fatal("no attempt was started")
	}
	g.handle(Established{ID: id, Server: server, SetupTime: 10 * ms})
	return id, server
}

// connectMany establishes n connections and returns the ID of one connection for each server.
func (g *harness) connectMany(n int) map[uint32]uint32 {
	g.t.Helper()
	byServer := map[uint32]uint32{}
	for range n {
		id, server := g.connect()
		byServer[server] = id
	}
	return byServer
}

func (g *harness) health(server uint32) healthState { return g.b.serversByID[server].health }

// endAttempt reports the end of an attempt.
func (g *harness) endAttempt(id, server uint32, attempt int, status outcome.Status) []Action {
	return g.handle(AttemptEnded{ID: id, Attempt: attempt, Server: server, Status: status})
}

// reportLatency reports a server's message latency in milliseconds and returns the resulting moves.
func (g *harness) reportLatency(id, server uint32, milliseconds float64) []MoveConnection {
	return actionsOf[MoveConnection](
		g.handle(ConnectionMetric{ID: id, Server: server, Kind: MessageLatencyMetric, Value: milliseconds}),
	)
}

// reconnectCost returns the admission cost of a client that reconnects now.
func (g *harness) reconnectCost() float64 {
	g.next++
	return g.b.addRequest(g.now, &Request{ID: g.next, TimeLeft: sec, Reconnected: true}).admissionCost
}

// loadReportingSettings returns the settings of a deployment whose servers report the loads of connections, whose
// weights fall with use, and whose probes report utilization.
func loadReportingSettings() Settings {
	s := testSettings()
	s.ReportsConnectionLoad, s.DynamicWeights, s.Zones, s.Balancers = true, true, 1, 1
	s.Classes[0].RelativePriority = 1
	s.ProbeCost, s.LoadReportColumns = 0.004, []string{"depth", "x0"}
	return s
}

// twoCoreServers lists n idle servers of two cores each.
func twoCoreServers(n int) []ServerEntry {
	list := serverList(n, 0)
	for i := range list {
		list[i].Weight = 2
	}
	return list
}

// connectWithLoad establishes a connection of the given load, in microseconds of work per second, and group. It returns
// the connection's server.
func (g *harness) connectWithLoad(load float64, group uint64) uint32 {
	g.t.Helper()
	g.now += 100 * ms
	g.b.setupLimiter.Limit = 100
	g.next++
	actions := g.handle(Request{ID: g.next, TimeLeft: 2 * sec, Group: group, LoadHint: load, HasLoadHint: true})
	attempts := actionsOf[StartAttempt](actions)
	if len(attempts) != 1 {
		g.t.Fatalf("got %v, want one attempt", actions)
	}
	server := attempts[0].Server
	g.handle(Established{ID: g.next, Server: server, SetupTime: 10 * ms})
	g.handle(ConnectionMetric{ID: g.next, Server: server, Kind: LoadMetric, Value: load})
	return server
}
