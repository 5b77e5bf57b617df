package decision

import (
	"math"
	"reflect"
	"slices"
	"spurspread/decision/latency"
	"spurspread/decision/outcome"
	"spurspread/decision/slowstart"
	"testing"
)

const start = 1000 * sec // the clock begins anywhere

// harness drives one balancer through time.
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
		MaxAttempts: 5, AllowProbes: true, AllowCancel: true, AllowRetryAfter: true, MaxRetryAfter: sec, PollInterval: 10 * sec,
		InitialCapacity: 0.2, WarmupTime: 20 * sec, DrainGrace: 500 * ms, OverloadWindow: sec, OverloadFactor: 2.5,
	}
}

// serverList lists home servers 1, 2, ... and away servers 101, 102, ..., all warm.
func serverList(home, away int) []ServerEntry {
	var out []ServerEntry
	for i := range home {
		out = append(out, ServerEntry{Server: uint32(1 + i), StableID: stableID(1 + i), State: Ready})
	}
	for i := range away {
		out = append(out, ServerEntry{Server: uint32(101 + i), StableID: stableID(101 + i), Zone: 1, State: Ready})
	}
	return out
}

// stableID is as good as a hash of a server's id.
func stableID(i int) uint64 { return uint64(i) * 0xd1342543de82ef95 }

func newHarness(t *testing.T, s Settings, entries []ServerEntry) *harness {
	g := &harness{t: t, b: New(s, 7, start), now: start}
	g.handle(ServerListUpdate{Kind: UpdateCached, Entries: entries})
	return g
}

func (g *harness) handle(ev Event) []Action { return g.b.Handle(g.now, ev, nil) }

// advance lets time pass, tick by tick, and returns what the ticks did.
func (g *harness) advance(d Micros) []Action {
	var out []Action
	for end := g.now + d; g.now < end; {
		g.now += tickInterval
		out = append(out, g.handle(TimerFired{tickTimer})...)
	}
	return out
}

func actionsOf[A Action](acts []Action) []A {
	var out []A
	for _, a := range acts {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

// request brings one request and returns where it went, or 0. It comes when servers have room for it.
func (g *harness) request() (id, server uint32) {
	g.b.setups.Limit = math.Inf(1)
	for _, s := range g.b.servers {
		s.budget.Tokens, s.budget.RefilledAt = slowstart.Burst, g.now
	}
	return g.requestNow()
}

func (g *harness) requestNow() (id, server uint32) {
	g.next++
	acts := g.handle(Request{ID: g.next, TimeLeft: 2 * sec})
	if sends := actionsOf[StartAttempt](acts); len(sends) == 1 {
		return g.next, sends[0].Server
	}
	return g.next, 0
}

// connect brings a request and lets its connection stand.
func (g *harness) connect() (id, server uint32) {
	id, server = g.request()
	if server == 0 {
		g.t.Fatal("the request was not sent")
	}
	g.handle(Established{ID: id, Server: server, SetupTime: 10 * ms})
	return id, server
}

// connectMany lets n connections stand and returns one for each server.
func (g *harness) connectMany(n int) map[uint32]uint32 {
	at := map[uint32]uint32{}
	for range n {
		id, s := g.connect()
		at[s] = id
	}
	return at
}

func (g *harness) health(server uint32) Health { return g.b.serversByID[server].health }

func (g *harness) outcome(id, server uint32, attempt int, st outcome.Status) []Action {
	return g.handle(AttemptEnded{ID: id, Attempt: attempt, Server: server, Status: st})
}

func TestSetUpMakesConnected(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(1, 0))
	if h := g.health(1); h != Unknown {
		t.Fatalf("a listed server is %v, not Unknown", h)
	}
	g.now += sec
	g.connect()
	if s := g.b.serversByID[1]; s.health != Connected || s.enteredAt[Connected] != g.now ||
		s.enteredAt[Unknown] != start {
		t.Fatalf("health %v, entered %v", s.health, s.enteredAt)
	}
}

func TestFailuresDemote(t *testing.T) {
	for _, st := range []outcome.Status{outcome.ConnectFailed, outcome.TimedOut} {
		g := newHarness(t, testSettings(), serverList(4, 0))
		id, s := g.request()
		g.outcome(id, s, 0, st)
		if g.health(s) != Unhealthy {
			t.Errorf("status %v leaves the server %v", st, g.health(s))
		}
	}
	for _, st := range []outcome.Status{outcome.ServerFull, outcome.Cancelled, outcome.Inconclusive, outcome.OK, outcome.Reset} {
		g := newHarness(t, testSettings(), serverList(4, 0))
		id, s := g.request()
		g.outcome(id, s, 0, st)
		if g.health(s) == Unhealthy {
			t.Errorf("status %v demotes", st)
		}
	}
}

// An error demotes once another server has taken the same request. One that two servers turn down is at fault itself:
// it is not tried on, and demotes nobody.
func TestErrorNeedsASecondServersConfirmation(t *testing.T) {
	for _, second := range []outcome.Status{outcome.OK, outcome.ErrorResponse} {
		g := newHarness(t, testSettings(), serverList(4, 0))
		id, s := g.request()
		sends := actionsOf[StartAttempt](g.outcome(id, s, 0, outcome.ErrorResponse))
		if len(sends) != 1 || sends[0].Server == s || g.health(s) == Unhealthy {
			t.Fatalf("sends %v, server %v", sends, g.health(s))
		}
		other := sends[0].Server
		if second == outcome.OK {
			g.handle(Established{ID: id, Attempt: 1, Server: other, SetupTime: 10 * ms})
			if g.health(s) != Unhealthy || g.health(other) != Connected {
				t.Errorf("first %v, second %v", g.health(s), g.health(other))
			}
			continue
		}
		if acts := g.outcome(id, other, 1, outcome.ErrorResponse); len(actionsOf[Reject](acts)) != 1 ||
			len(actionsOf[StartAttempt](acts)) != 0 {
			t.Errorf("not ended: %v", acts)
		}
		if g.health(s) == Unhealthy || g.health(other) == Unhealthy || g.b.setups.FailuresShared() {
			t.Errorf("first %v, second %v, failing %v", g.health(s), g.health(other), g.b.setups.FailuresShared())
		}
	}
}

// A probe that was never sent neither clears a server nor is a further strike.
func TestInconclusiveProbeChangesNothing(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	id, s := g.request()
	g.outcome(id, s, 0, outcome.ConnectFailed)
	g.advance(3 * sec)
	g.handle(ProbeResult{Server: s, Status: outcome.Inconclusive})
	if sv := g.b.serversByID[s]; sv.health != Unhealthy || sv.consecutiveDemotions != 1 ||
		len(actionsOf[ProbeServer](g.advance(3*sec))) != 1 {
		t.Errorf("%v, %d strikes", sv.health, sv.consecutiveDemotions)
	}
}

func TestValidationBeforeReturn(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	id, s := g.request()
	g.outcome(id, s, 0, outcome.ConnectFailed)
	probes := actionsOf[ProbeServer](g.advance(3 * sec))
	if len(probes) != 1 || probes[0].Server != s || g.health(s) != UnhealthyPending {
		t.Fatalf("probes %v, health %v", probes, g.health(s))
	}
	g.handle(ProbeResult{Server: s, Status: outcome.ConnectFailed})
	if g.health(s) != Unhealthy {
		t.Fatalf("a failed probe leaves %v", g.health(s))
	}
	g.advance(6 * sec)
	g.handle(ProbeResult{Server: s, Status: outcome.OK})
	if g.health(s) != Connected {
		t.Fatalf("a good probe leaves %v", g.health(s))
	}
}

func TestProbeCapSkipsValidations(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3*maxConcurrentProbes, 0))
	for i := range 3 * maxConcurrentProbes {
		g.b.demoteForFailure(g.now, g.b.serversByID[uint32(1+i)])
	}
	if n := len(actionsOf[ProbeServer](g.advance(5 * sec))); n != maxConcurrentProbes {
		t.Fatalf("%d probes under way, the cap is %d", n, maxConcurrentProbes)
	}
}

func TestPendingTimeoutRanksWithConnected(t *testing.T) {
	s := &server{health: UnhealthyPending}
	s.enteredAt[UnhealthyPending] = start
	if r := healthRank(start+pendingTimeout-1, s); r != 1 {
		t.Fatalf("rank %d before the lapse", r)
	}
	if r := healthRank(start+pendingTimeout, s); r != 0 {
		t.Fatalf("rank %d after the lapse", r)
	}
}

// A server that passes its probe and errs again comes back later each time.
func TestRepeatedDemotionDelaysValidation(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	s := g.b.serversByID[1]
	var last Micros
	for i := range 3 {
		g.b.demoteForFailure(g.now, s)
		wait := s.validateAt - g.now
		if i > 0 && wait <= last {
			t.Fatalf("relapse %d waits %d after %d", i, wait, last)
		}
		last = wait
		g.b.markConnected(g.now, s)
		g.now += sec
	}
	g.now += demotionResetAfter
	g.b.demoteForFailure(g.now, s)
	if wait := s.validateAt - g.now; wait > 2*minValidationDelay {
		t.Fatalf("after long good service it still waits %d", wait)
	}
}

func TestRestartIsUnknownAgain(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(2, 0))
	g.b.demoteForFailure(g.now, g.b.serversByID[1])
	g.handle(
		ServerListUpdate{Kind: UpdateDelta, Entries: []ServerEntry{{Server: 1, State: Ready, StartedAt: g.now}}},
	)
	if g.health(1) != Unknown {
		t.Fatalf("a restarted server is %v", g.health(1))
	}
}

func TestLongUnhealthyRefreshesServerListAtPlacement(t *testing.T) {
	s := testSettings()
	s.PollDiscovery, s.AllowProbes = true, false
	g := newHarness(t, s, serverList(2, 0))
	g.handle(ServerListUpdate{Kind: UpdateDelta})
	g.now += 20 * sec
	sv := g.b.serversByID[1]
	sv.setHealth(g.now-longUnhealthyAfter-1, Unhealthy)
	for range 3 {
		g.next++
		if n := len(actionsOf[WatchDiscovery](g.handle(Request{ID: g.next, TimeLeft: sec}))); n != 0 {
			t.Fatalf("%d asks in step with all that saw the same", n)
		}
	}
	if n := len(actionsOf[WatchDiscovery](g.advance(Micros(g.b.polling.SpreadTime()) + tickInterval))); n != 1 {
		t.Fatalf("%d asks in the fleet's span", n)
	}
}

func TestPickPrefersHomeZoneAndSpreads(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 4))
	got := map[uint32]int{}
	for range 4000 {
		id, s := g.request()
		got[s]++
		g.handle(RequestCancelled{id})
		g.outcome(id, s, 0, outcome.Cancelled)
	}
	for s := uint32(1); s <= 4; s++ {
		if got[s] < 850 || got[s] > 1150 {
			t.Errorf("server %d got %d of 4000, a quarter is wanted", s, got[s])
		}
	}
}

func TestPickByHealth(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(2, 1))
	r := &request{id: 99, class: g.b.settings.Classes[0]}
	g.b.serversByID[1].setHealth(g.now, Unhealthy)
	g.b.serversByID[2].setHealth(g.now, UnhealthyPending)
	if s := g.b.pickServer(g.now, r); s.Server != 101 {
		t.Errorf("home has lower ranks only, yet %d was picked", s.Server)
	}
	g.b.serversByID[101].setHealth(g.now, Unhealthy)
	g.b.serversByID[1].budget.GrantsLeft, g.b.serversByID[2].budget.GrantsLeft = 1, 1                     // their budgets have room
	g.b.serversByID[1].budget.NextSlot, g.b.serversByID[2].budget.NextSlot = math.MaxInt64, math.MaxInt64 // and no slot is counted
	if s := g.b.pickServer(g.now, r); s.Server != 2 {
		t.Errorf("%d was picked before the pending one", s.Server)
	}
	g.b.serversByID[2].setHealth(g.now, Unhealthy)
	if s := g.b.pickServer(g.now, r); s == nil {
		t.Error("with all demoted nothing was picked")
	}
}

func TestNothingToDrainingOrRemoved(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3, 0))
	g.handle(
		ServerListUpdate{
			Kind:    UpdateDelta,
			Entries: []ServerEntry{{Server: 1, State: Draining}, {Server: 2, State: Removed}},
		},
	)
	for range 50 {
		if id, s := g.request(); s != 3 {
			t.Fatalf("request %d went to %d", id, s)
		}
	}
	g.handle(ServerListUpdate{Kind: UpdateFull, Entries: nil})
	if _, s := g.request(); s != 0 {
		t.Fatalf("sent to %d, which a full list no longer has", s)
	}
}

// With no server to send to, every request still gets its answer before the deadline.
func TestAnswerInTimeWithoutServers(t *testing.T) {
	g := newHarness(t, testSettings(), nil)
	acts := g.handle(Request{ID: 1, TimeLeft: 2 * sec})
	due := Micros(0)
	for _, tm := range actionsOf[SetTimer](acts) {
		if tm.Token == deadlineTimer.forRequest(1) {
			due = tm.Delay
		}
	}
	if due <= 0 || due >= 2*sec {
		t.Fatalf("the answer is due after %d", due)
	}
	g.now += due
	if n := len(actionsOf[Reject](g.handle(TimerFired{deadlineTimer.forRequest(1)}))); n != 1 {
		t.Fatalf("%d refusals", n)
	}
	if acts := g.handle(TimerFired{deadlineTimer.forRequest(1)}); len(acts) != 0 {
		t.Fatalf("after the answer: %v", acts)
	}
}

func TestAnswerWhileAnAttemptIsUnderWay(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(1, 0))
	id, s := g.request()
	acts := g.handle(TimerFired{deadlineTimer.forRequest(id)})
	if len(actionsOf[Reject](acts)) != 1 || len(actionsOf[CancelAttempt](acts)) != 1 {
		t.Fatalf("at the deadline: %v", acts)
	}
	if acts := g.outcome(id, s, 0, outcome.Cancelled); len(acts) != 0 {
		t.Fatalf("after the answer: %v", acts)
	}
	if len(g.b.requests) != 0 || g.b.serversByID[s].pendingAttempts != 0 {
		t.Fatalf("left behind: %d requests, %d pending", len(g.b.requests), g.b.serversByID[s].pendingAttempts)
	}
}

func TestAttemptTimeoutLeavesTimeForAnother(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3, 0))
	sends := actionsOf[StartAttempt](g.handle(Request{ID: 1, TimeLeft: 2 * sec}))
	if sends[0].Timeout <= 0 || sends[0].Timeout > sec {
		t.Fatalf("the first attempt may take %d of %d", sends[0].Timeout, 2*sec)
	}
	again := actionsOf[StartAttempt](g.outcome(1, sends[0].Server, 0, outcome.TimedOut))
	if len(again) != 1 || again[0].Server == sends[0].Server {
		t.Fatalf("the second attempt: %v after %v", again, sends)
	}
}

// With a slow store a set-up takes long on every server: cutting it short to try another only pays twice.
func TestSlowSetupsAreNotTimedOutEarly(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3, 0))
	for range 40 {
		g.b.recordSetup(outcome.OK, 600*ms)
	}
	if s := actionsOf[StartAttempt](g.handle(Request{ID: 1, TimeLeft: 2 * sec})); s[0].Timeout < 1900*ms {
		t.Fatalf("given up after %d", s[0].Timeout)
	}
}

// A few servers that hang are no slow store: attempts stay short and moves go on.
func TestHangingServersDoNotCountAsSharedSlowness(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3, 0))
	for i := range 200 {
		if i%5 == 0 {
			g.b.recordSetup(outcome.TimedOut, 900*ms)
		} else {
			g.b.recordSetup(outcome.OK, 20*ms)
		}
	}
	if g.b.setups.SetupLatency() > float64(100*ms) {
		t.Fatalf("set-ups are taken to need %.0f us", g.b.setups.SetupLatency())
	}
}

func TestMaxAttempts(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 2
	g := newHarness(t, s, serverList(6, 0))
	id, sv := g.request()
	next := actionsOf[StartAttempt](g.outcome(id, sv, 0, outcome.ConnectFailed))
	acts := g.outcome(id, next[0].Server, 1, outcome.ConnectFailed)
	if len(actionsOf[StartAttempt](acts)) != 0 || len(actionsOf[Reject](acts)) != 1 {
		t.Fatalf("after the last try: %v", acts)
	}
}

func TestRetryBudgetRunsOut(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(40, 0))
	g.b.retryTokens = 0.2
	id, sv := g.request()
	acts := g.outcome(id, sv, 0, outcome.ConnectFailed)
	if len(actionsOf[StartAttempt](acts)) != 0 || len(actionsOf[Reject](acts)) != 1 {
		t.Fatalf("with no budget: %v", acts)
	}
}

func TestNonIdempotentIsNotRetried(t *testing.T) {
	s := testSettings()
	s.Classes[0].Idempotency = NonIdempotent
	g := newHarness(t, s, serverList(4, 0))
	id, sv := g.request()
	next := actionsOf[StartAttempt](g.outcome(id, sv, 0, outcome.ServerFull))
	if len(next) != 1 {
		t.Fatal("an attempt that surely never ran was not repeated")
	}
	if left := g.b.requests[id].deadline - g.now; next[0].Timeout != left {
		t.Errorf("an attempt that can't be repeated is given up after %d of %d", next[0].Timeout, left)
	}
	// What nobody may have any more is answered at once, not when its time is up.
	acts := g.outcome(id, next[0].Server, 1, outcome.TimedOut)
	if len(actionsOf[Fail](acts)) != 1 || len(actionsOf[Reject](acts)) != 0 ||
		len(actionsOf[StartAttempt](acts)) != 0 {
		t.Fatalf("after an attempt that may have run: %v", acts)
	}
	if acts := g.handle(TimerFired{deadlineTimer.forRequest(id)}); len(acts) != 0 {
		t.Fatalf("a second answer: %v", acts)
	}
}

// A repeat that comes to its server after the window would be a second effect, so the time to its writing is bounded.
func TestKeyedRetryIsWrittenWithinItsDedupWindow(t *testing.T) {
	s := testSettings()
	s.Classes[0].Idempotency, s.Classes[0].DedupWindow = IdempotentWithKey, 300*ms
	g := newHarness(t, s, serverList(4, 0))
	id, sv := g.request()
	sent := g.now
	if first := g.b.requests[id]; first.attemptHistory.MayHaveExecuted() {
		t.Fatal("ran before an outcome")
	}
	g.now += 100 * ms
	next := actionsOf[StartAttempt](g.outcome(id, sv, 0, outcome.Reset))
	if len(next) != 1 || next[0].WriteWithin <= 0 || g.now+next[0].WriteWithin > sent+300*ms {
		t.Fatalf("%+v, %d after the first", next, g.now-sent)
	}
	// One that could not be written in time never ran; now nobody may have it, and all servers discard its repeats.
	g.now = sent + 300*ms
	acts := g.outcome(id, next[0].Server, 1, outcome.Inconclusive)
	if len(actionsOf[StartAttempt](acts)) != 0 || len(actionsOf[Reject](acts)) != 1 {
		t.Fatalf("after the window: %v", acts)
	}
}

// Told to answer at once, as when the balancer ends, the answer promises no more than at any other time.
func TestExpiredRequestIsRejectedOnlyIfRetryIsHarmless(t *testing.T) {
	for _, c := range []struct {
		effect Idempotency
		scope  DedupScope
		fails  bool
	}{{Idempotent, ScopeAll, false}, {IdempotentWithKey, ScopeAll, false}, {IdempotentWithKey, ScopeZone, true}, {IdempotentWithKey, ScopeCell, true}, {NonIdempotent, ScopeAll, true}} {
		s := testSettings()
		s.Classes[0].Idempotency, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = c.effect, c.scope, sec
		g := newHarness(t, s, serverList(4, 0))
		id, sv := g.request()
		acts := g.handle(RequestExpired{id})
		if len(actionsOf[Fail](acts))+len(actionsOf[Reject](acts)) != 1 ||
			len(actionsOf[Fail](acts)) == 1 != c.fails {
			t.Errorf("%+v: %v", c, acts)
		}
		if acts := append(g.handle(RequestExpired{id}), g.outcome(id, sv, 0, outcome.Cancelled)...); len(
			acts,
		) != 0 {
			t.Errorf("%+v: a second answer: %v", c, acts)
		}
		stands, _ := g.connect()
		if acts := g.handle(RequestExpired{stands}); len(acts) != 0 {
			t.Errorf("%+v: one that stands: %v", c, acts)
		}
	}
}

func TestKeyedRetryStaysInDedupScopeAndWindow(t *testing.T) {
	s := testSettings()
	s.Classes[0].Idempotency, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = IdempotentWithKey, ScopeCell, sec
	entries := serverList(4, 0)
	entries[0].Cell, entries[1].Cell, entries[2].Cell, entries[3].Cell = 1, 1, 2, 2
	for range 20 {
		g := newHarness(t, s, entries)
		id, sv := g.request()
		next := actionsOf[StartAttempt](g.outcome(id, sv, 0, outcome.TimedOut))
		if len(next) != 1 || g.b.serversByID[next[0].Server].Cell != g.b.serversByID[sv].Cell {
			t.Fatalf("after %d: %v", sv, next)
		}
		g.now += sec
		acts := append(
			g.outcome(id, next[0].Server, 1, outcome.TimedOut),
			g.handle(TimerFired{deadlineTimer.forRequest(id)})...)
		if len(actionsOf[StartAttempt](acts)) != 0 || len(actionsOf[Fail](acts)) != 1 ||
			len(actionsOf[Reject](acts)) != 0 {
			t.Fatalf("outside the window: %v", acts)
		}
	}
}

func TestCancelledRequestGetsNoFurtherAction(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3, 0))
	id, s := g.request()
	if acts := g.handle(RequestCancelled{id}); len(actionsOf[CancelAttempt](acts)) != 1 {
		t.Fatalf("on withdrawal: %v", acts)
	}
	if acts := g.outcome(id, s, 0, outcome.TimedOut); len(acts) != 0 {
		t.Fatalf("after withdrawal: %v", acts)
	}
}

// Events about things unknown or ended do no harm.
func TestStrayEvents(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(1, 0))
	for _, ev := range []Event{
		AttemptEnded{ID: 9, Server: 9},
		Established{ID: 9, Server: 9},
		ConnectionMetric{ID: 9, Server: 9, Kind: 2},
		RequestCancelled{9},
		TimerFired{deadlineTimer.forRequest(9)},
		TimerFired{holdTimer.forRequest(9)},
		TimerFired{1 << 60},
		ProbeResult{Server: 9},
		ProbeResult{Server: 1},
		ExistingConnection{Request: Request{ID: 3}, Server: 77},
	} {
		if acts := g.handle(ev); len(acts) != 0 {
			t.Errorf("%#v: %v", ev, acts)
		}
	}
	id, s := g.request()
	if acts := g.outcome(id, s, 3, outcome.Reset); len(acts) != 0 || g.health(s) == Unhealthy {
		t.Errorf("an outcome of an attempt never made: %v", acts)
	}
}

func TestClassOutOfRangeIsAnswered(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(1, 0))
	if n := len(actionsOf[StartAttempt](g.handle(Request{ID: 1, TimeLeft: sec, Class: 40, Tenant: 90}))); n != 1 {
		t.Fatalf("%d sends", n)
	}
}

// Servers that stay inside every time-out and yet keep their messages waiting.
func TestMessageLatencyDemotesAndMoves(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(8, 0))
	at := map[uint32][]uint32{}
	for range 200 {
		id, s := g.connect()
		at[s] = append(at[s], id)
	}
	slow := uint32(3)
	moved := 0
	for i := range 8 {
		moved += len(
			actionsOf[MoveConnection](
				g.handle(
					ConnectionMetric{
						ID:     at[slow][0],
						Server: slow,
						Kind:   MessageLatencyMetric,
						Value:  150 + float64(i),
					},
				),
			),
		)
		g.advance(sec)
	}
	if g.health(slow) != Unhealthy || moved == 0 {
		t.Fatalf("health %v, %d moved", g.health(slow), moved)
	}
	for range 50 {
		if _, s := g.request(); s == slow {
			t.Fatal("a late server got a new connection")
		}
	}
	g.handle(ConnectionMetric{ID: at[slow][0], Server: slow, Kind: MessageLatencyMetric, Value: 10})
	if g.health(slow) != Connected {
		t.Fatalf("back in time, yet %v", g.health(slow))
	}
}

// What is moved is what a server is sent too much: the more the faster its delay grows, none while it melts away, a
// part at most; the same note on another connection is no further news.
func TestMovesByLatencyTrend(t *testing.T) {
	for second, most := range map[float64]float64{200: 0, 400: 0.2, 470: 0.2, 900: maxMovedShare} {
		g := newHarness(t, testSettings(), serverList(4, 0))
		at := g.connectMany(800)
		had := float64(len(g.b.serversByID[2].connections))
		g.handle(ConnectionMetric{ID: at[2], Server: 2, Kind: MessageLatencyMetric, Value: 400})
		g.advance(sec)
		n := 0.0
		for range 3 {
			n += float64(
				len(
					actionsOf[MoveConnection](
						g.handle(ConnectionMetric{ID: at[2], Server: 2, Kind: MessageLatencyMetric, Value: second}),
					),
				),
			)
		}
		if n > 1.5*most*had || n < 0.4*most*had {
			t.Errorf("%.0f of %.0f moved at %v after 400", n, had, second)
		}
	}
}

// Only what is late for its class is moved.
func TestMovesByClass(t *testing.T) {
	set := testSettings()
	set.Classes = append(
		set.Classes,
		Class{LatencyObjective: 300 * ms, Deadline: 2 * sec, MessageLatencyObjective: 500 * ms},
	)
	g := newHarness(t, set, serverList(1, 0))
	at := g.connectMany(100)
	for _, r := range g.b.requests {
		r.class = set.Classes[r.id%2]
	}
	moved := actionsOf[MoveConnection](
		g.handle(ConnectionMetric{ID: at[1], Server: 1, Kind: MessageLatencyMetric, Value: 200}),
	)
	for _, m := range moved {
		if m.ID%2 == 1 {
			t.Errorf("%d is not late", m.ID)
		}
	}
	if len(moved) == 0 {
		t.Error("nothing moved")
	}
}

// A server does a group's own work once: who has some of a group gets the others, too, while it has room.
func TestGroupsStayTogether(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	held := map[uint64]map[uint32]int{}
	for i := range 400 {
		group := uint64(1 + i%20)
		g.next++
		for _, s := range g.b.servers {
			s.budget.Tokens, s.budget.RefilledAt = slowstart.Burst, g.now
		}
		sends := actionsOf[StartAttempt](g.handle(Request{ID: g.next, TimeLeft: 2 * sec, Group: group}))
		g.handle(Established{ID: g.next, Server: sends[0].Server, SetupTime: 10 * ms})
		if held[group] == nil {
			held[group] = map[uint32]int{}
		}
		held[group][sends[0].Server]++
	}
	places := 0
	for _, at := range held {
		places += len(at)
	}
	if places > 50 {
		t.Errorf("20 groups in %d places", places)
	}
	for _, s := range g.b.servers {
		if n := len(s.connections); n < 50 || n > 150 {
			t.Errorf("server %d has %d of 400", s.Server, n)
		}
	}
}

// Slowness of most of home is shared: demoting all for it would only move the crowd.
func TestSharedSlownessDemotesAtMostHalf(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(10, 0))
	at := g.connectMany(300)
	low := 0
	for s := uint32(1); s <= 10; s++ {
		g.handle(ConnectionMetric{ID: at[s], Server: s, Kind: MessageLatencyMetric, Value: 70})
	}
	for s := uint32(1); s <= 10; s++ {
		if g.health(s) == Unhealthy {
			low++
		}
	}
	if low == 0 || low > 5 {
		t.Fatalf("%d of 10 demoted", low)
	}
}

// A slow or failing store makes set-ups fail everywhere: no server is to blame, and retries feed the store's trouble.
func TestSharedFailuresDemoteNobodyAndAreNotRetried(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(20, 0))
	for range 30 {
		g.b.recordSetup(outcome.ErrorResponse, 0)
	}
	id, s := g.request()
	acts := g.outcome(id, s, 0, outcome.ErrorResponse)
	if g.health(s) == Unhealthy || len(actionsOf[StartAttempt](acts)) != 0 || len(actionsOf[Reject](acts)) != 1 {
		t.Fatalf("health %v, %v", g.health(s), acts)
	}
}

// A server that drops its newest connections, or has no room, gets no more of them for a while.
func TestResetAndServerFullPause(t *testing.T) {
	for st, pause := range map[outcome.Status]Micros{outcome.Reset: resetPause, outcome.ServerFull: serverFullPause} {
		g := newHarness(t, testSettings(), serverList(1, 0))
		g.b.serversByID[1].lastResetAt = g.now // one was before
		id, s := g.request()
		if n := len(actionsOf[StartAttempt](g.outcome(id, s, 0, st))); n != 0 {
			t.Fatalf("status %v: sent again at once", st)
		}
		if _, s := g.request(); s != 0 {
			t.Fatalf("status %v: another was sent", st)
		}
		g.now += pause*5/4 + 1
		if _, s := g.request(); s == 0 {
			t.Fatalf("status %v: still shut", st)
		}
	}
}

// All proxies together must not push over a restarted server, however the crowd comes.
func TestSlowStartBudget(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(8, 0))
	for range 400 { // 20 a second for 20 s: 2.5 a second for each server
		g.now += 50 * ms
		g.connect()
		g.handle(TimerFired{tickTimer})
	}
	g.handle(
		ServerListUpdate{Kind: UpdateDelta, Entries: []ServerEntry{{Server: 1, State: Ready, StartedAt: g.now}}},
	)
	for s := uint32(2); s <= 8; s++ {
		g.handle(ServerListUpdate{Kind: UpdateDelta, Entries: []ServerEntry{{Server: s, State: Removed}}})
	}
	// Of 5 s with a crowd of 200 a second, the server may get multiple x capacity and no more, by its warmth.
	got := 0
	for range 1000 {
		g.now += 5 * ms
		if _, s := g.request(); s == 1 {
			got++
		}
	}
	most := 2.5 * 0.4 * slowstart.WarmUpRate * 5
	if got == 0 || float64(got) > most {
		t.Fatalf("%d sent in 5 s, at most %.0f allowed", got, most)
	}
}

// A cold server of another zone gets a small part of its budget, by its size, and only what home has no room for.
func TestLittleSpilloverToServersInSlowStart(t *testing.T) {
	sent := func(zone uint8, units float64) int {
		g := newHarness(t, testSettings(), serverList(4, 4))
		g.connectMany(200)
		g.advance(sec)
		g.handle(ServerListUpdate{Kind: UpdateFull, Entries: []ServerEntry{
			{Server: 200, Zone: zone, Weight: units, State: Ready, StartedAt: g.now},
			{Server: 201, Zone: zone, Weight: 4 - units, State: Removed},
		}})
		g.b.meanWeight = 2
		n := 0
		for range 200 {
			g.now += 50 * ms
			if _, s := g.request(); s != 0 {
				n++
			}
		}
		return n
	}
	home, away, large := sent(0, 2), sent(1, 2), sent(1, 4)
	if away == 0 || away > home/2 || large <= away {
		t.Errorf("%d at home, %d away, %d of a large one", home, away, large)
	}
}

// Many light connections are as many set-ups all the same.
func TestLightConnectionsChargeAFullToken(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(1, 0))
	s := &server{}
	s.StartedAt, s.budget.GrantsLeft = g.now, 1
	g.b.spendConnectionBudget(g.now, s, &request{relativeWork: 0.05})
	if s.budget.GrantsLeft > 0 {
		t.Fatalf("%v left", s.budget.GrantsLeft)
	}
}

// A crowd that comes back is let in at a rate, each server by its size; what home has no room for goes on. The rate
// is the fleet's, divided by the balancers that share it, but for a least share.
func TestServersReceiveConnectionsAtALimitedRate(t *testing.T) {
	for balancers, part := range map[int]float64{0: 1, 1: 1, 2: 1. / 2, 3: 1. / 3, 4: slowstart.MinFleetShare, 300: slowstart.MinFleetShare} {
		list := serverList(2, 1)
		list[0].Weight, list[1].Weight, list[2].Weight = 3, 1, 2
		set := testSettings()
		set.Balancers = balancers
		g := newHarness(t, set, list)
		g.b.setups.Limit = math.Inf(1)
		got := map[uint32]float64{}
		crowd := func() {
			for range 100 {
				_, s := g.requestNow()
				got[s]++
			}
		}
		for _, s := range g.b.servers {
			s.budget.Tokens = 0 // as if long after the start
		}
		crowd()
		if got[1] != 1.5*slowstart.Burst*part || got[2] != slowstart.Burst/2*part ||
			got[101] != slowstart.Burst*part ||
			got[0] == 0 {
			t.Fatalf("%d balancers, at first %v", balancers, got)
		}
		clear(got)
		g.now += sec
		crowd()
		if n := got[1] + got[2] + got[101]; n < 3*slowstart.Rate*part-3 || n > 3*slowstart.Rate*part {
			t.Fatalf("%d balancers, after a second %v", balancers, got)
		}
	}
}

// A balancer that has just started gets back what it had, and knows nothing of it: it fills servers further, until one
// tells of lateness.
func TestNewBalancerMaySendMore(t *testing.T) {
	for late, want := range map[bool]int{false: 2 * slowstart.StartupTokens, true: 2 * slowstart.Burst * slowstart.MinFleetShare} {
		g := newHarness(t, testSettings(), serverList(2, 0))
		g.b.setups.Limit = math.Inf(1)
		if late {
			g.handle(
				ConnectionMetric{
					Server: 1,
					Kind:   MessageLatencyMetric,
					Value:  (latency.SlowThreshold + latency.MoveThreshold) / 2 * 100,
				},
			)
			g.b.serversByID[1].latency.ConnectionCapacity = math.Inf(1)
			g.b.markConnected(g.now, g.b.serversByID[1])
		}
		n := 0
		for range 100 {
			if _, s := g.requestNow(); s != 0 {
				n++
			}
		}
		if n != want {
			t.Errorf("late %v: %d, want %d", late, n, want)
		}
	}
}

// Set-ups that take long wait for something that all share, so fewer go at once; a few servers that hang don't count.
func TestConcurrentSetupsAreLimited(t *testing.T) {
	atOnce := func(took Micros, hung int) int {
		g := newHarness(t, testSettings(), serverList(10, 0))
		for i := range 60 {
			g.now += 200 * ms
			id, s := g.requestNow()
			if s == 0 {
				t.Fatalf("%d was not sent", id)
			}
			if i%5 < hung {
				g.outcome(id, s, 0, outcome.TimedOut)
				g.handle(RequestCancelled{id})
				continue
			}
			g.handle(Established{ID: id, Server: s, SetupTime: took})
		}
		n := 0
		for range 100 {
			if _, s := g.requestNow(); s != 0 {
				n++
			}
		}
		return n
	}
	if quick, slow := atOnce(30*ms, 0), atOnce(400*ms, 0); quick != 40 || slow != 2 {
		t.Errorf("%d at once where they are quick, %d where they are slow", quick, slow)
	}
	if n := atOnce(30*ms, 1); n < 20 {
		t.Errorf("%d at once where one of ten hangs", n)
	}
}

// A server that says that its messages are late gets no more than it had, until they have been in time for a while.
func TestLateServerKeepsItsConnectionLimit(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(2, 0))
	at := g.connectMany(40)
	s := g.b.serversByID[1]
	had := len(s.connections)
	g.handle(
		ConnectionMetric{
			ID:     at[1],
			Server: 1,
			Kind:   MessageLatencyMetric,
			Value:  (latency.SlowThreshold + latency.MoveThreshold) / 2 * 100,
		},
	)
	g.now += 2 * latency.ReportLifetime
	g.b.markConnected(g.now, s)
	g.connectMany(40)
	if len(s.connections) != had {
		t.Fatalf("had %d, has %d", had, len(s.connections))
	}
	g.advance(4 * sec)
	if g.connectMany(40); len(s.connections) <= had {
		t.Fatalf("still %d", had)
	}
}

// Larger servers get more, by their size.
func TestPickByWeight(t *testing.T) {
	list := serverList(2, 0)
	list[0].Weight, list[1].Weight = 3, 1
	g := newHarness(t, testSettings(), list)
	got := map[uint32]int{}
	for range 4000 {
		id, s := g.request()
		got[s]++
		g.handle(RequestCancelled{id})
		g.outcome(id, s, 0, outcome.Cancelled)
	}
	if got[1] < 2850 || got[1] > 3150 {
		t.Errorf("of 4000 the server of size 3 got %d, that of size 1 %d", got[1], got[2])
	}
}

func TestLoadReportsWithoutUtilization(t *testing.T) {
	s := testSettings()
	s.LoadReportColumns = []string{"concurrent", "x0"}
	g := newHarness(t, s, serverList(1, 0))
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, r := range []LoadReport{{}, {Count: 1}, {Count: 2, Values: [4]float32{0, -1}}, {Count: 2, Values: [4]float32{0, nan}}, {Count: 2, Values: [4]float32{0, inf}}} {
		if v, told := g.b.reportedUtilization(r); told {
			t.Errorf("%v tells %v", r, v)
		}
	}
	if v, told := g.b.reportedUtilization(LoadReport{Count: 2, Values: [4]float32{0, 1.25}}); !told || v != 1.25 {
		t.Errorf("%v, told %v", v, told)
	}
}

func TestExistingConnections(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(2, 0))
	g.handle(ExistingConnection{Request: Request{ID: 5}, Server: 2})
	if n := len(g.b.serversByID[2].connections); n != 1 || g.health(2) != Connected {
		t.Fatalf("%d connections, %v", n, g.health(2))
	}
	g.handle(AttemptEnded{ID: 5, Server: 2, Status: outcome.OK, RequestClosed: true})
	if n := len(g.b.serversByID[2].connections); n != 0 || len(g.b.requests) != 0 {
		t.Fatalf("%d connections, %d requests left", n, len(g.b.requests))
	}
}

// Where packets pass through, two proxies draw one server for one key.
func TestPassthroughSelectsByKey(t *testing.T) {
	s := testSettings()
	s.Passthrough = true
	a, b := New(s, 1, start), New(s, 2, start)
	a.Handle(start, ServerListUpdate{Kind: UpdateCached, Entries: serverList(9, 3)}, nil)
	b.Handle(start, ServerListUpdate{Kind: UpdateCached, Entries: serverList(9, 3)}, nil)
	seen := map[uint32]bool{}
	for k := uint32(1); k < 60; k++ {
		sa := actionsOf[StartAttempt](a.Handle(start, Request{ID: k, TimeLeft: sec, Key: uint64(k) * 7919}, nil))
		sb := actionsOf[StartAttempt](
			b.Handle(start, Request{ID: k, TimeLeft: sec, Key: uint64(k) * 7919, MidConnection: true}, nil),
		)
		if sa[0].Server != sb[0].Server {
			t.Fatalf("key %d: %d and %d", k, sa[0].Server, sb[0].Server)
		}
		seen[sa[0].Server] = true
	}
	if len(seen) < 6 {
		t.Fatalf("only %d servers drawn", len(seen))
	}
}

// The same settings, seed and events give the same actions.
func TestDeterminism(t *testing.T) {
	play := func() [][]Action {
		g := newHarness(t, testSettings(), serverList(12, 5))
		var log [][]Action
		for i := range 600 {
			g.now += 20 * ms
			g.next++
			acts := g.handle(Request{ID: g.next, TimeLeft: 2 * sec, LoadHint: float64(i%7 + 1), HasLoadHint: true})
			log = append(log, acts)
			for _, sd := range actionsOf[StartAttempt](acts) {
				st := []outcome.Status{outcome.OK, outcome.ErrorResponse, outcome.TimedOut, outcome.ServerFull, outcome.Reset, outcome.ConnectFailed}[i%6]
				if st == outcome.OK {
					log = append(
						log,
						g.handle(Established{ID: sd.ID, Server: sd.Server}),
						g.handle(
							ConnectionMetric{
								ID:     sd.ID,
								Server: sd.Server,
								Kind:   MessageLatencyMetric,
								Value:  float64(i % 200),
							},
						),
					)
				} else {
					log = append(log, g.outcome(sd.ID, sd.Server, 0, st))
				}
			}
			log = append(log, g.handle(TimerFired{tickTimer}))
		}
		return log
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Fatal("two plays of the same events differ")
	}
}

// While set-ups are slow a moved client could not come back.
func TestNoMovesWhileSetupsAreSlow(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	at := g.connectMany(200)
	for range 30 {
		g.b.recordSetup(outcome.OK, g.b.settings.Classes[0].LatencyObjective)
	}
	if n := len(actionsOf[MoveConnection](g.handle(ConnectionMetric{ID: at[2], Server: 2, Kind: MessageLatencyMetric, Value: 400}))); n != 0 {
		t.Fatalf("%d moved", n)
	}
}

// A connection that is moved and finds no place is worse off than on a late server, unless that one is very late.
func TestNothingMovedWithoutSpareCapacity(t *testing.T) {
	for delay, some := range map[float64]bool{latency.MoveThreshold * 1.1: false, forcedMoveLatencyRatio * 1.2: true} {
		g := newHarness(t, testSettings(), serverList(2, 0))
		at := g.connectMany(100)
		g.b.serversByID[2].latency.ConnectionCapacity = 0
		acts := g.handle(ConnectionMetric{ID: at[1], Server: 1, Kind: MessageLatencyMetric, Value: delay * 100})
		if n := len(actionsOf[MoveConnection](acts)); (n > 0) != some {
			t.Errorf("%d moved at %.1f of the aim", n, delay)
		}
	}
}

// A single reset may be the network's doing; a second one soon after is the server's.
func TestSecondResetDemotes(t *testing.T) {
	for gap, want := range map[Micros]Health{resetPairWindow / 2: Unhealthy, resetPairWindow * 2: Connected} {
		g := newHarness(t, testSettings(), serverList(2, 0))
		g.connectMany(40)
		s := g.b.serversByID[1]
		for range 2 {
			g.now += gap
			r := s.connections[0]
			g.handle(AttemptEnded{ID: r.id, Server: 1, Status: outcome.Reset, RequestClosed: true})
		}
		if s.health != want {
			t.Errorf("two resets %d apart: %v", gap, s.health)
		}
	}
}

// With a server gone its connections come back as more than the others had, and are let in more slowly. Those that
// another balancer sent away are not: what they did stand on is still there.
func TestReconnectsAfterServerLossAreAdmittedSlowly(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	g.connectMany(100)
	g.advance(sec)
	price := func() float64 {
		g.next++
		return g.b.addRequest(g.now, &Request{ID: g.next, TimeLeft: sec, Reconnected: true}).admissionCost
	}
	if p := price(); p != 1 {
		t.Fatalf("%v with all there", p)
	}
	lost := slices.Clone(g.b.serversByID[4].connections)
	for _, r := range lost {
		g.handle(AttemptEnded{ID: r.id, Server: 4, Status: outcome.Reset, RequestClosed: true})
	}
	g.handle(ServerListUpdate{Kind: UpdateDelta, Entries: []ServerEntry{{Server: 4, State: Removed}}})
	for i := range lost {
		if p := price(); p != 2.5 {
			t.Fatalf("%v for number %d of %d that were lost", p, i, len(lost))
		}
	}
	if p := price(); p != 1 {
		t.Errorf("%v for one more than were lost", p)
	}
}
