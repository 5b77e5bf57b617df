package decision

import (
	"testing"

	"spurspread/decision/outcome"
)

func TestEstablishedMakesConnected(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(1, 0))
	if h := g.health(1); h != healthUnknown {
		t.Fatalf("a newly listed server is %v, want Unknown", h)
	}
	g.now += sec
	g.connect()
	if s := g.b.serversByID[1]; s.health != healthConnected || s.enteredAt[healthConnected] != g.now ||
		s.enteredAt[healthUnknown] != start {
		t.Fatalf("health %v, states entered at %v, want Connected since %d", s.health, s.enteredAt, g.now)
	}
}

// A failed connect or a timeout demotes a server at once. A full server, a single reset, and an attempt that was
// cancelled or is inconclusive do not.
func TestFailuresDemote(t *testing.T) {
	for _, status := range []outcome.Status{outcome.ConnectFailed, outcome.TimedOut} {
		g := newHarness(t, testSettings(), serverList(4, 0))
		id, s := g.request()
		g.endAttempt(id, s, 0, status)
		if g.health(s) != healthUnhealthy {
			t.Errorf("after status %v: health %v, want Unhealthy", status, g.health(s))
		}
	}
	for _, status := range []outcome.Status{
		outcome.ServerFull, outcome.Cancelled, outcome.Inconclusive, outcome.OK, outcome.Reset,
	} {
		g := newHarness(t, testSettings(), serverList(4, 0))
		id, s := g.request()
		g.endAttempt(id, s, 0, status)
		if g.health(s) == healthUnhealthy {
			t.Errorf("after status %v: health Unhealthy, want no demotion", status)
		}
	}
}

// An error response demotes a server only once another server has accepted the same request. If two servers answer with
// errors, the request itself is at fault: it is not retried again, and no server is demoted.
func TestErrorNeedsASecondServersConfirmation(t *testing.T) {
	for _, second := range []outcome.Status{outcome.OK, outcome.ErrorResponse} {
		g := newHarness(t, testSettings(), serverList(4, 0))
		id, s := g.request()
		attempts := actionsOf[StartAttempt](g.endAttempt(id, s, 0, outcome.ErrorResponse))
		if len(attempts) != 1 || attempts[0].Server == s || g.health(s) == healthUnhealthy {
			t.Fatalf("after the first error: attempts %v, health %v, want one attempt elsewhere and no demotion",
				attempts, g.health(s))
		}
		other := attempts[0].Server
		if second == outcome.OK {
			g.handle(Established{ID: id, Attempt: 1, Server: other, SetupTime: 10 * ms})
			if g.health(s) != healthUnhealthy || g.health(other) != healthConnected {
				t.Errorf("health of the first server %v, of the second %v, want Unhealthy and Connected",
					g.health(s), g.health(other))
			}
			continue
		}
		if actions := g.endAttempt(id, other, 1, outcome.ErrorResponse); len(actionsOf[Reject](actions)) != 1 ||
			len(actionsOf[StartAttempt](actions)) != 0 {
			t.Errorf("after the second error: %v, want a Reject", actions)
		}
		if g.health(s) == healthUnhealthy || g.health(other) == healthUnhealthy || g.b.setupLimiter.FailuresShared() {
			t.Errorf("health of the first server %v, of the second %v, failures shared %v, want no demotion and false",
				g.health(s), g.health(other), g.b.setupLimiter.FailuresShared())
		}
	}
}

// The result of a probe that was never sent neither validates a server nor counts as a demotion.
func TestInconclusiveProbeChangesNothing(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	id, s := g.request()
	g.endAttempt(id, s, 0, outcome.ConnectFailed)
	g.advance(3 * sec)
	g.handle(ProbeResult{Server: s, Status: outcome.Inconclusive})
	if sv := g.b.serversByID[s]; sv.health != healthUnhealthy || sv.consecutiveDemotions != 1 ||
		len(actionsOf[ProbeServer](g.advance(3*sec))) != 1 {
		t.Errorf("health %v, %d consecutive demotions, want Unhealthy after 1 and another probe",
			sv.health, sv.consecutiveDemotions)
	}
}

// A demoted server is probed. It is Unhealthy after a failed probe, and Connected after a successful one.
func TestValidationBeforeReturn(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	id, s := g.request()
	g.endAttempt(id, s, 0, outcome.ConnectFailed)
	probes := actionsOf[ProbeServer](g.advance(3 * sec))
	if len(probes) != 1 || probes[0].Server != s || g.health(s) != healthPending {
		t.Fatalf("probes %v, health %v, want one probe and Pending", probes, g.health(s))
	}
	g.handle(ProbeResult{Server: s, Status: outcome.ConnectFailed})
	if g.health(s) != healthUnhealthy {
		t.Fatalf("after a failed probe: health %v, want Unhealthy", g.health(s))
	}
	g.advance(6 * sec)
	g.handle(ProbeResult{Server: s, Status: outcome.OK})
	if g.health(s) != healthConnected {
		t.Fatalf("after a successful probe: health %v, want Connected", g.health(s))
	}
}

func TestConcurrentProbesAreLimited(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3*maxConcurrentProbes, 0))
	for i := range 3 * maxConcurrentProbes {
		g.b.demoteForFailure(g.now, g.b.serversByID[uint32(1+i)])
	}
	if n := len(actionsOf[ProbeServer](g.advance(5 * sec))); n != maxConcurrentProbes {
		t.Fatalf("%d probes under way, want %d, the limit", n, maxConcurrentProbes)
	}
}

// A server that has been Pending for pendingTimeout ranks with the healthy servers.
func TestPendingTimeoutRanksWithConnected(t *testing.T) {
	s := &server{health: healthPending}
	s.enteredAt[healthPending] = start
	if r := healthRank(start+pendingTimeout-1, s); r != rankPending {
		t.Fatalf("rank %d before the timeout, want %d", r, rankPending)
	}
	if r := healthRank(start+pendingTimeout, s); r != rankHealthy {
		t.Fatalf("rank %d after the timeout, want %d", r, rankHealthy)
	}
}

// The validation delay grows with each demotion that follows soon after a validation.
func TestRepeatedDemotionDelaysValidation(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	s := g.b.serversByID[1]
	var last Micros
	for i := range 3 {
		g.b.demoteForFailure(g.now, s)
		wait := s.validateAt - g.now
		if i > 0 && wait <= last {
			t.Fatalf("validation delay %d after demotion %d, not above the previous %d", wait, i, last)
		}
		last = wait
		g.b.markConnected(g.now, s)
		g.now += sec
	}
	g.now += demotionResetAfter
	g.b.demoteForFailure(g.now, s)
	if wait := s.validateAt - g.now; wait > 2*minValidationDelay {
		t.Fatalf("validation delay %d after a long time as Connected, want a short one", wait)
	}
}

func TestRestartedServerIsUnknown(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(2, 0))
	g.b.demoteForFailure(g.now, g.b.serversByID[1])
	g.handle(
		ServerListUpdate{Kind: UpdateDelta, Entries: []ServerEntry{{Server: 1, State: Ready, StartedAt: g.now}}},
	)
	if g.health(1) != healthUnknown {
		t.Fatalf("a restarted server is %v, want Unknown", g.health(1))
	}
}

// If most servers of a zone are slow, they have a common cause: demoting all of them would only shift the load.
func TestSharedSlownessDemotesUpToHalf(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(10, 0))
	byServer := g.connectMany(300)
	demoted := 0
	for s := uint32(1); s <= 10; s++ {
		g.reportLatency(byServer[s], s, 70)
	}
	for s := uint32(1); s <= 10; s++ {
		if g.health(s) == healthUnhealthy {
			demoted++
		}
	}
	if demoted == 0 || demoted > 5 {
		t.Fatalf("%d of 10 slow servers demoted, want 1 to 5", demoted)
	}
}

// A slow or failing store makes set-ups fail at all servers: no server is at fault, and retries add load to the store.
func TestSharedFailuresAreNotRetriedAndDemoteNoServer(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(20, 0))
	for range 30 {
		g.b.recordSetup(outcome.ErrorResponse, 0)
	}
	id, s := g.request()
	actions := g.endAttempt(id, s, 0, outcome.ErrorResponse)
	if g.health(s) == healthUnhealthy || len(actionsOf[StartAttempt](actions)) != 0 ||
		len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("health %v, actions %v, want no demotion and a Reject", g.health(s), actions)
	}
}

// A server that resets connections or is full gets no new ones until its pause is over.
func TestResetAndServerFullPause(t *testing.T) {
	for status, pause := range map[outcome.Status]Micros{
		outcome.Reset:      resetPause,
		outcome.ServerFull: serverFullPause,
	} {
		g := newHarness(t, testSettings(), serverList(1, 0))
		g.b.serversByID[1].lastResetAt = g.now // the first of a pair
		id, s := g.request()
		if n := len(actionsOf[StartAttempt](g.endAttempt(id, s, 0, status))); n != 0 {
			t.Fatalf("status %v: retried at the paused server", status)
		}
		if _, s := g.request(); s != 0 {
			t.Fatalf("status %v: the paused server got another request", status)
		}
		g.now += pause*5/4 + 1
		if _, s := g.request(); s == 0 {
			t.Fatalf("status %v: no attempt after a pause of %d us", status, pause)
		}
	}
}

// A single reset may be caused by the network; a second one soon after is attributed to the server.
func TestSecondResetDemotes(t *testing.T) {
	for gap, want := range map[Micros]healthState{
		resetPairWindow / 2: healthUnhealthy,
		resetPairWindow * 2: healthConnected,
	} {
		g := newHarness(t, testSettings(), serverList(2, 0))
		g.connectMany(40)
		s := g.b.serversByID[1]
		for range 2 {
			g.now += gap
			r := s.connections[0]
			g.handle(AttemptEnded{ID: r.id, Server: 1, Status: outcome.Reset, RequestClosed: true})
		}
		if s.health != want {
			t.Errorf("two resets %d us apart: health %v, want %v", gap, s.health, want)
		}
	}
}
