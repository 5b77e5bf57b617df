package decision_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"

	"spurspread/decision"
	"spurspread/decision/outcome"
)

// wantDigests are digests of all actions of a Balancer for generated event sequences, one per seed. They detect any
// change of decisions, bit for bit. A change that is not meant to affect decisions must leave them as they are. Any
// other change updates them in a commit of its own that says so; the failing test prints the new digests.
var wantDigests = []string{
	"f7b225ee8cfed51d", "90b94e5905452d5c", "ba6ab11846903e9f", "b7435edfdce1108f",
	"ef6f6162fdc09fc2", "c3b4d212bec5cb39", "335c8bf4ad0a69f6", "c40841f5542f726e",
	"dbaddea6bf2e16c4", "2a6dbe2939d63f4b", "4bfcdd49c5cc0658", "09af5e05b0fb649b",
	"57f16f223b7a6f26", "d180e95685675822", "d195623076d2906a", "35c558420568d538",
	"05459825e4df2b9c", "5dd37fa476ab7577", "3cfa95f83b1290b3", "dcb353e8b3dc8246",
	"199f6ad9fcffe0d3", "c85dfa2ca3b1ac76", "2f7ad1a33231a9bc", "99abeb537ee9f1d5",
}

const digestSteps = 8000

func TestDecisionDigests(t *testing.T) {
	var all [actionKinds]int
	for seed, want := range wantDigests {
		got, kinds := runDigest(uint64(seed))
		if got != want {
			t.Errorf("seed %d: digest %s, want %s", seed, got, want)
		}
		for kind, n := range kinds {
			all[kind] += n
		}
	}
	for kind, n := range all {
		if n == 0 && kind != actionFetch {
			t.Errorf("no sequence has an action of kind %d", kind)
		}
	}
}

// actionKinds is the number of kinds of actions that recordAction distinguishes.
const actionKinds = 9

// actionFetch is the kind of FetchServerList, which a Balancer never emits.
const actionFetch = 1

// digestTimer is a timer that has not fired yet.
type digestTimer struct {
	due   decision.Micros
	order int
	token decision.TimerToken
}

type timerHeap []digestTimer

func (h timerHeap) Len() int      { return len(h) }
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timerHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].order < h[j].order
}
func (h *timerHeap) Push(x any) { *h = append(*h, x.(digestTimer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// attempt is an attempt under way or an established connection.
type attempt struct {
	id, server  uint32
	number      int
	established bool
}

// eventGenerator drives one Balancer with random events, most of which respond to its actions.
type eventGenerator struct {
	rng             *rand.Rand
	balancer        *decision.Balancer
	settings        decision.Settings
	now             decision.Micros
	timers          timerHeap
	order           int
	attempts        []attempt
	probes          []uint32
	attemptsStarted map[uint32]int
	nextID          uint32
	startedAt       map[uint32]decision.Micros
	failureRate     float64 // fraction of attempts that fail
	slowSetups      bool    // whether set-ups take 100 ms or more
	digest          hash.Hash64
	kinds           [actionKinds]int
	out             []decision.Action
}

func runDigest(seed uint64) (string, [actionKinds]int) {
	g := &eventGenerator{
		rng: rand.New(rand.NewPCG(seed, 99)), attemptsStarted: map[uint32]int{},
		startedAt: map[uint32]decision.Micros{}, digest: fnv.New64a(), now: 3_000_000,
		failureRate: []float64{0.5, 0.02, 0.15, 0.8}[seed/2%4], slowSetups: seed%6 == 5,
	}
	g.settings = g.settingsForSeed(seed)
	g.balancer = decision.New(g.settings, seed, g.now)
	g.handle(g.list(decision.UpdateCached, 12))
	for range 20 {
		g.restoreConnection()
	}
	for range digestSteps {
		g.now += decision.Micros(g.rng.IntN(25_000))
		for len(g.timers) > 0 && g.timers[0].due <= g.now {
			g.handle(decision.TimerFired{Token: heap.Pop(&g.timers).(digestTimer).token})
		}
		g.step()
	}
	return fmt.Sprintf("%016x", g.digest.Sum64()), g.kinds
}

// settingsForSeed returns settings that vary with the seed, so that every mode is covered.
func (g *eventGenerator) settingsForSeed(seed uint64) decision.Settings {
	const second = 1_000_000
	bit := func(n uint) bool { return seed>>n&1 == 1 }
	s := decision.Settings{
		Rank: int(seed) % 3, Balancers: 3 + 7*int(seed%3), Zone: 0, Zones: 2, PollDiscovery: !bit(1),
		Passthrough: seed%5 == 4, ReportsConnectionLoad: bit(0), DynamicWeights: bit(2),
		ClockResolution: 1000, OverQuotaPriority: 0.1, MaxAttempts: 3, MaxHeldRequests: 100,
		AllowProbes: seed%4 != 3, AllowCancel: seed%3 != 2, AllowRetryAfter: !bit(3), MaxRetryAfter: 2 * second,
		AnswerTolerance: 20_000, PollInterval: second, InitialCapacity: 0.2, WarmupTime: 20 * second,
		DrainGrace: 5 * second, OverloadWindow: 2 * second, OverloadFactor: 3, CrossZoneCost: 0.1, MoveCost: 0.02,
		ProbeCost: 0.0001, LoadReportColumns: []string{"inflight", "x0", "x1"},
	}
	for i, class := range []decision.Class{
		{Idempotency: decision.Idempotent, DedupScope: decision.ScopeAll},
		{Idempotency: decision.IdempotentWithKey, DedupScope: decision.ScopeZone},
		{Idempotency: decision.NonIdempotent, DedupScope: decision.ScopeCell},
		{Idempotency: decision.IdempotentWithKey, DedupScope: decision.ScopeAll},
	} {
		class.LatencyObjective, class.Deadline, class.DedupWindow = 500_000, 3*second, 2*second
		class.Priority, class.RelativePriority = 1/float64(1+i), 1/float64(1+i)
		class.Streaming = i < 2
		class.MessageLatencyObjective = decision.Micros(100_000 * (1 + i%2))
		s.Classes = append(s.Classes, class)
	}
	return s
}

func (g *eventGenerator) chance(p float64) bool { return g.rng.Float64() < p }

// list returns an update of n servers, some of them warming up, draining or removed.
func (g *eventGenerator) list(kind decision.UpdateKind, n int) decision.ServerListUpdate {
	update := decision.ServerListUpdate{Kind: kind}
	for range n {
		server := uint32(g.rng.IntN(16))
		if g.chance(0.1) {
			g.startedAt[server] = g.now - decision.Micros(g.rng.IntN(10_000_000))
		}
		state := decision.Ready
		if g.chance(0.12) {
			state = decision.ServerState(g.rng.IntN(2))
		}
		update.Entries = append(update.Entries, decision.ServerEntry{
			Server: server, StableID: uint64(server) * 0x9e37,
			Zone: uint32(server % 2), MachineType: uint16(server % 3), State: state, Weight: float64(1 + server%4),
			Cell: uint64(server % 4), StartedAt: g.startedAt[server],
		})
	}
	return update
}

func (g *eventGenerator) request() decision.Request {
	g.nextID++
	r := decision.Request{
		ID: g.nextID, TimeLeft: decision.Micros(50_000 + g.rng.IntN(3_000_000)), Class: g.rng.IntN(5),
		Tenant: g.rng.IntN(2), Key: g.rng.Uint64(), Retry: g.chance(0.1), MidConnection: g.chance(0.05),
		Reconnected: g.chance(0.15), Resumable: g.chance(0.3),
	}
	if g.chance(0.5) {
		r.Group = uint64(1 + g.rng.IntN(6))
	}
	if g.chance(0.6) {
		r.HasLoadHint, r.LoadHint = true, 1000*math.Exp(3*g.rng.Float64())
	}
	if g.chance(0.05) {
		r.Pinned, r.PinnedServer = true, uint32(g.rng.IntN(17))
	}
	return r
}

// restoreConnection passes in a connection that was established before the start.
func (g *eventGenerator) restoreConnection() {
	server, r := uint32(g.rng.IntN(16)), g.request()
	g.attempts = append(g.attempts, attempt{id: r.ID, server: server, established: true})
	g.attemptsStarted[r.ID] = 1
	g.handle(decision.ExistingConnection{Request: r, Server: server})
}

// step generates and handles one random event, or lets time pass.
func (g *eventGenerator) step() {
	switch draw := g.rng.IntN(100); {
	case draw < 30:
		g.handle(g.request())
	case draw < 75 && len(g.attempts) > 0:
		g.advanceAttempt(g.rng.IntN(len(g.attempts)))
	case draw < 80:
		g.completeProbe()
	case draw < 88:
		g.handle(g.list(decision.UpdateDelta, 1+g.rng.IntN(3)))
	case draw < 89:
		g.handle(g.list([]decision.UpdateKind{decision.UpdateFull, decision.UpdateFailed}[g.rng.IntN(2)], 14))
	case draw < 92:
		g.handle(decision.RequestCancelled{ID: 1 + g.rng.Uint32N(g.nextID)})
	case draw < 94:
		g.handle(decision.RequestExpired{ID: 1 + g.rng.Uint32N(g.nextID)})
	case draw < 97:
		g.handle(decision.MoveRequested{ID: 1 + g.rng.Uint32N(g.nextID), SameServerAllowed: g.chance(0.5)})
	case draw == 97 && g.chance(0.02):
		g.settings.Balancers = 1 + g.rng.IntN(40)
		g.handle(decision.SettingsChanged{Settings: g.settings})
	case draw == 98:
		g.now += decision.Micros(g.rng.IntN(1_000_000))
	}
}

// advanceAttempt reports attempt i as established or ended, or reports a metric of it.
func (g *eventGenerator) advanceAttempt(i int) {
	a := g.attempts[i]
	duration := decision.Micros(math.Exp(13 * g.rng.Float64()))
	if g.slowSetups {
		duration = decision.Micros(100_000 + g.rng.IntN(250_000))
	}
	switch {
	case !a.established && g.chance(1-g.failureRate):
		g.attempts[i].established = true
		g.handle(decision.Established{ID: a.id, Attempt: a.number, Server: a.server, SetupTime: duration})
	case a.established && g.chance(0.7):
		metric := decision.ConnectionMetric{
			ID: a.id, Attempt: a.number, Server: a.server, Kind: decision.LoadMetric,
			Value: 50_000 * g.rng.Float64(),
		}
		if g.chance(0.6) {
			metric.Kind, metric.Value = decision.MessageLatencyMetric, 400*g.rng.Float64()*g.rng.Float64()
		}
		g.handle(metric)
	default:
		status := outcome.Status(g.rng.IntN(8))
		if !g.chance(g.failureRate) {
			status = outcome.OK
		}
		g.attempts[i] = g.attempts[len(g.attempts)-1]
		g.attempts = g.attempts[:len(g.attempts)-1]
		g.handle(decision.AttemptEnded{
			ID: a.id, Attempt: a.number, Server: a.server, Status: status, Duration: duration,
			RequestClosed: a.established ||
				status == outcome.OK, CauseAlreadyReported: g.chance(0.1), LoadReport: g.report(),
		})
	}
}

func (g *eventGenerator) report() decision.LoadReport {
	return decision.LoadReport{
		Count:  g.rng.IntN(4),
		Values: [4]float32{g.rng.Float32() * 9, g.rng.Float32() * 1.3, g.rng.Float32()},
	}
}

// completeProbe reports the result of the oldest probe in flight, if any.
func (g *eventGenerator) completeProbe() {
	if len(g.probes) == 0 {
		return
	}
	server := g.probes[0]
	g.probes = g.probes[1:]
	status := outcome.OK
	if g.chance(g.failureRate / 2) {
		status = outcome.Status(g.rng.IntN(8))
	}
	g.handle(decision.ProbeResult{Server: server, Status: status, Duration: 900, LoadReport: g.report()})
}

// handle passes one event to the Balancer and records its actions.
func (g *eventGenerator) handle(event decision.Event) {
	g.out = g.balancer.Handle(g.now, event, g.out[:0])
	for _, action := range g.out {
		g.recordAction(action)
	}
}

// recordAction adds one action to the digest and updates the generator's state by it.
func (g *eventGenerator) recordAction(action decision.Action) {
	switch a := action.(type) {
	case decision.WatchDiscovery:
		g.add(0, flag(a.On))
	case decision.FetchServerList:
		g.add(actionFetch)
	case decision.StartAttempt:
		g.add(2, uint64(a.ID), uint64(a.Timeout), uint64(a.WriteTimeout), uint64(a.Server))
		g.attempts = append(g.attempts, attempt{id: a.ID, server: a.Server, number: g.attemptsStarted[a.ID]})
		g.attemptsStarted[a.ID]++
	case decision.Reject:
		g.add(3, uint64(a.ID), uint64(a.RetryAfter))
	case decision.Fail:
		g.add(4, uint64(a.ID))
	case decision.CancelAttempt:
		g.add(5, uint64(a.ID), uint64(a.Attempt))
	case decision.MoveConnection:
		g.add(6, uint64(a.ID), uint64(a.NextServer), flag(a.HasNextServer))
	case decision.ProbeServer:
		g.add(7, uint64(a.Server))
		g.probes = append(g.probes, a.Server)
	case decision.SetTimer:
		g.add(8, uint64(a.Delay), uint64(a.Token))
		g.order++
		heap.Push(&g.timers, digestTimer{g.now + a.Delay, g.order, a.Token})
	}
}

func (g *eventGenerator) add(kind int, values ...uint64) {
	g.kinds[kind]++
	for _, v := range append([]uint64{uint64(kind), uint64(g.now)}, values...) {
		_ = binary.Write(g.digest, binary.LittleEndian, v)
	}
}

func flag(on bool) uint64 {
	if on {
		return 1
	}
	return 0
}
