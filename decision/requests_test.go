package decision

import (
	"math/rand/v2"
	"testing"

	"spurspread/decision/outcome"
)

func TestCancelledRequestGetsNoFurtherAction(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3, 0))
	id, s := g.request()
	if actions := g.handle(RequestCancelled{id}); len(actionsOf[CancelAttempt](actions)) != 1 {
		t.Fatalf("actions on cancellation: %v, want a CancelAttempt", actions)
	}
	if actions := g.endAttempt(id, s, 0, outcome.TimedOut); len(actions) != 0 {
		t.Fatalf("actions after the cancelled attempt has ended: %v, want none", actions)
	}
}

// Events that refer to unknown or ended requests, attempts, timers, probes and servers are ignored.
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
		if actions := g.handle(ev); len(actions) != 0 {
			t.Errorf("%#v: actions %v, want none", ev, actions)
		}
	}
	id, s := g.request()
	if actions := g.endAttempt(id, s, 3, outcome.Reset); len(actions) != 0 || g.health(s) == healthUnhealthy {
		t.Errorf("end of an attempt that was never started: actions %v, health %v, want none and no demotion",
			actions, g.health(s))
	}
}

// A connection that an earlier process established counts at its server, and leaves nothing behind when it ends.
func TestExistingConnections(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(2, 0))
	g.handle(ExistingConnection{Request: Request{ID: 5}, Server: 2})
	if n := len(g.b.serversByID[2].connections); n != 1 || g.health(2) != healthConnected {
		t.Fatalf("%d connections, health %v, want 1 and Connected", n, g.health(2))
	}
	g.handle(AttemptEnded{ID: 5, Server: 2, Status: outcome.OK, RequestClosed: true})
	if n := len(g.b.serversByID[2].connections); n != 0 || len(g.b.requests) != 0 {
		t.Fatalf("%d connections, %d requests left, want none", n, len(g.b.requests))
	}
}

// requestSimulator passes random events for requests to one balancer and checks its state after each.
type requestSimulator struct {
	*harness
	rng           *rand.Rand
	attempts      []StartAttempt
	attemptCounts map[uint32]int // attempts started, by request
	answered      map[uint32]bool
}

// do handles one event. It checks that no request gets a second answer or an attempt after its answer, and the state of
// all servers.
func (p *requestSimulator) do(ev Event) {
	p.t.Helper()
	for _, action := range p.handle(ev) {
		switch a := action.(type) {
		case StartAttempt:
			if p.answered[a.ID] {
				p.t.Fatalf("an attempt for request %d after its final answer", a.ID)
			}
			p.attempts = append(p.attempts, a)
			p.attemptCounts[a.ID]++
		case Reject:
			p.answer(a.ID)
		case Fail:
			p.answer(a.ID)
		}
	}
	p.checkState()
}

// answer records the answer to a request, and fails if it is the second.
func (p *requestSimulator) answer(id uint32) {
	p.t.Helper()
	if p.answered[id] {
		p.t.Fatalf("a second final answer to request %d", id)
	}
	p.answered[id] = true
}

// step advances the time and handles one random event.
func (p *requestSimulator) step() {
	p.t.Helper()
	p.now += Micros(p.rng.IntN(int(30 * ms)))
	id := 1 + p.rng.Uint32N(p.next+1)
	switch draw := p.rng.IntN(20); {
	case draw < 6:
		p.next++
		p.do(Request{ID: p.next, TimeLeft: sec, Group: p.rng.Uint64N(3), Resumable: p.rng.IntN(2) == 0})
	case draw < 14 && len(p.attempts) > 0:
		p.advanceAttempt(p.attempts[p.rng.IntN(len(p.attempts))])
	case draw == 14:
		p.do(RequestCancelled{ID: id})
	case draw == 15:
		p.do(RequestExpired{ID: id})
	case draw == 16:
		p.do(MoveRequested{ID: id, SameServerAllowed: p.rng.IntN(2) == 0})
	case draw == 17:
		p.do(TimerFired{holdTimer.forRequest(id)})
	case draw == 18:
		p.next++
		p.do(ExistingConnection{Request: Request{ID: p.next}, Server: 1 + p.rng.Uint32N(5)})
	default:
		p.do(TimerFired{tickTimer})
	}
}

// advanceAttempt reports an attempt, which may have ended already, as established or ended.
func (p *requestSimulator) advanceAttempt(a StartAttempt) {
	p.t.Helper()
	number := p.attemptCounts[a.ID] - 1
	if p.rng.IntN(2) == 0 {
		p.do(Established{ID: a.ID, Attempt: number, Server: a.Server, SetupTime: 10 * ms})
		return
	}
	status := outcome.Status(p.rng.IntN(int(outcome.Inconclusive) + 1))
	p.do(AttemptEnded{
		ID: a.ID, Attempt: number, Server: a.Server, Status: status, RequestClosed: p.rng.IntN(4) == 0,
	})
}

// checkState compares the counts of each server with the states of all requests.
func (p *requestSimulator) checkState() {
	p.t.Helper()
	pending, established, charged := map[*server]int{}, map[*server]int{}, map[*server]int{}
	closing := map[*server]int{}
	for id, r := range p.b.requests {
		hasServer := r.state != requestWaiting
		isCharged := r.state == requestConnecting || r.state == requestEstablished
		if (r.server != nil) != hasServer || isCharged && r.chargedTo != r.server {
			p.t.Fatalf("request %d in state %d: server %v, charged to %v do not match the state",
				id, r.state, r.server, r.chargedTo)
		}
		if r.chargedTo != nil {
			charged[r.chargedTo]++
		}
		switch {
		case r.state == requestClosing && r.wasEstablished:
			closing[r.server]++
		case r.state == requestConnecting, r.state == requestClosing:
			pending[r.server]++
		case r.state == requestEstablished:
			established[r.server]++
			if r.server.connections[r.connectionIndex] != r {
				p.t.Fatalf("request %d is not connection %d of its server", id, r.connectionIndex)
			}
		}
	}
	for _, s := range p.b.servers {
		got := [...]int{s.pendingAttempts, len(s.connections), s.closingConnections, s.load.OwnConnections}
		want := [...]int{pending[s], established[s], closing[s], charged[s]}
		if got != want {
			p.t.Fatalf("server %d counts %v attempts, connections, closing connections and charged requests, want %v",
				s.Server, got, want)
		}
	}
}

// For any sequence of events, the counts of servers agree with the states of requests, and each request gets at most
// one answer.
func TestRequestStates(t *testing.T) {
	for seed := range uint64(12) {
		g := newHarness(t, testSettings(), serverList(5, 0))
		p := &requestSimulator{
			harness: g, rng: rand.New(rand.NewPCG(seed, 1)),
			attemptCounts: map[uint32]int{}, answered: map[uint32]bool{},
		}
		for range 4000 {
			p.step()
		}
		if len(p.attempts) < 100 || len(p.answered) < 100 {
			t.Errorf("seed %d: %d attempts and %d answers, want at least 100 each",
				seed, len(p.attempts), len(p.answered))
		}
	}
}

// A connection that closes after its client has left is not a set-up: its duration does not count as set-up latency,
// nor lower the limit of concurrent set-ups.
func TestClosedConnectionsAreNotSlowSetups(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	limit := g.b.setupLimiter.Limit
	for range 1000 {
		g.now += sec
		id, server := g.requestNow()
		if server == 0 {
			t.Fatal("no attempt was started")
		}
		g.handle(Established{ID: id, Server: server, SetupTime: 10 * ms})
		g.handle(RequestCancelled{ID: id})
		g.handle(AttemptEnded{ID: id, Server: server, Status: outcome.OK, Duration: 60 * sec, RequestClosed: true})
	}
	if g.b.setupLimiter.Limit < limit || g.b.setupLimiter.SetupLatency() > float64(20*ms) {
		t.Errorf("the concurrency limit went from %.0f to %.0f, the set-up latency is %.0f us",
			limit, g.b.setupLimiter.Limit, g.b.setupLimiter.SetupLatency())
	}
}

// Closing connections do not count as set-ups under way, so no new request is held for them.
func TestClosingConnectionsDoNotLimitSetups(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	for range 100 {
		id, _ := g.connect()
		g.handle(RequestCancelled{ID: id})
	}
	g.b.setupLimiter.Limit = 2
	g.now += sec
	if id, server := g.requestNow(); server == 0 {
		t.Errorf("request %d is held though no set-up is under way", id)
	}
	for _, s := range g.b.servers {
		if int(s.connectionCount()) < 20 {
			t.Errorf("server %d counts %.0f connections while 100 close at 4 servers, want at least 20",
				s.Server, s.connectionCount())
		}
	}
}
