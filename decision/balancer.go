// Package logic makes the decisions of a balancer for long-lived connections: where each request goes, when
// it is tried again, refused or failed, which servers are trusted, and when discovery and servers are asked.
// Its words are in api.go. It has no clock, goroutine or I/O: the same events give the same actions.
package decision

import (
	"math"
	"math/rand/v2"
	"slices"
	"spurspread/decision/concurrency"
	"spurspread/decision/fleetsize"
	"spurspread/decision/latency"
	"spurspread/decision/outcome"
	"spurspread/decision/polling"
	"spurspread/decision/retry"
	"spurspread/decision/serverload"
	"spurspread/decision/slowstart"
)

// Every tuned constant. The troubles answered here last seconds to half a minute, not the note's minute.
const (
	tickInterval = 250 * ms // how often the slow work is looked at: validation, discovery, moves

	// Health and validation.
	longUnhealthyAfter    = 10 * sec // Unhealthy so long: the next placement starts a refresh (the note's minute)
	pendingTimeout        = 10 * sec // UnhealthyPending for so long ranks with Connected again (the note's minute)
	minValidationDelay    = 1 * sec  // from a demotion to its validation
	maxValidationDelay    = 6 * sec  // the same after many relapses, each of which doubles it
	demotionResetAfter    = 10 * sec // a server that stayed Connected so long starts again at validateFirst
	maxConcurrentProbes   = 4        // validations under way at once
	maxSlowUnhealthyShare = 0.5      // share of home above which slowness is shared, no server's fault

	// Placement.
	holdInterval          = 40 * ms // a request that no server may have now is looked at again after this
	answerMargin          = 12 * ms // final answers leave so long before the client's time is up
	attemptTimeoutShare   = 0.45    // of the time left goes to one attempt while further ones are possible
	minAttemptTimeout     = 80 * ms
	setupTimeoutFactor    = 4.0  // times what set-ups take now is the least for an attempt
	retryTokensPerRequest = 0.5  // retries that each request adds to the budget
	fleetRetryTokens      = 60.0 // saved up by all balancers together; each may save up two

	// Slow servers.
	maxMoveSetupShare      = 0.4    // of a class's aim: while set-ups take longer, nothing of it is moved
	forcedMoveLatencyRatio = 1.5    // of a class aim: moved though no other server has room
	maxMovedShare          = 0.7    // of its connections, at one note
	drainSharePerTick      = 1. / 8 // of what stands on a draining server leaves at each tick: half of all in 1.5 s

	maxValidationUtilization = 0.85     // of its capacity asked: no validation
	serverFullPause          = 300 * ms // nothing new to a server that turned an attempt away as full
	resetPause               = 2 * sec  // the same after a reset
	resetPairWindow          = 1 * sec  // two resets within this are the doing of the server

	// Filling servers.
	groupAffinity       = 50   // times as likely is a server that has others of the group
	connectionsPerGroup = 0.5  // connections that a group counts as, besides its own
	loadExponent        = 2.0  // how strongly a server's load tells against it
	loadOffset          = 10.0 // connections; fewer of a balancer's own say little against a group's hash

	ms  Micros = 1000
	sec Micros = 1000 * ms
)

// Health is what a balancer thinks of a server.
type Health uint8

// The four states, best first.
const (
	Connected Health = iota
	Unknown
	UnhealthyPending
	Unhealthy
)

// server is all that this balancer knows of one server.
type server struct {
	ServerEntry
	serverload.Gauge
	slowstart.Budget
	latency.Estimate
	health               Health
	enteredAt            [4]Micros // when it last entered each state
	consecutiveDemotions int       // demotions in a row without forgiveAfter of good service
	validateAt           Micros    // when an Unhealthy server may be validated
	probing              bool
	demotedForFailure    bool           // demoted for a failure, not for slowness
	pendingAttempts      int            // attempts under way
	groupSizes           map[uint64]int // how many of them each group has
	connections          []*request     // connections that stand, in no order that matters but a fixed one
	pausedUntil          Micros         // nothing new until then
	lastResetAt          Micros         // the last reset by it
	lastTriedBy          uint32         // request that has tried it last, plus one
}

// request is one client request that this balancer has taken, until its last outcome.
type request struct {
	id              uint32
	class           Class
	key, group      uint64
	deadline        Micros // the final answer leaves by then
	relativeWork    float64
	attempts        int     // attempts made
	admissionCost   float64 // of a server's filling rate; see room
	server          *server // server of the attempt under way or of the connection
	load            float64 // cores, as told, hinted or guessed
	chargedTo       *server // whose load it is counted to
	open            bool    // the connection stands
	closed          bool    // answered or withdrawn; only an outcome is awaited
	attemptHistory  retry.AttemptHistory
	erroredServer   *server // server that answered an error, until another has judged the request
	lastAttemptAt   Micros
	lastLocation    retry.Location // as it was then
	connectionIndex int            // place in at.conns while open
	pinnedTo        *server        // nobody else may have it: its client was told to come there
	resumable       bool           // its client can be told where to come
}

// Balancer decides for one proxy.
type Balancer struct {
	settings    Settings
	rng         *rand.Rand
	started     bool
	servers     []*server // in the order in which they were first listed
	serversByID map[uint32]*server
	fleetLoad   serverload.LoadModel
	requests    map[uint32]*request
	actions     []Action

	polling        polling.Schedule
	probesUnderWay int // validations under way

	fleetSize    fleetsize.Estimate
	reportBudget serverload.ReportBudget
	meanWeight   float64 // size of a ready server

	setups              concurrency.Limiter
	retryTokens         float64
	meanHint, hintCount float64 // the mean hint, and how many there were
	meanChargedWork     float64 // work of which a connection is booked, of the mean work
}

// New returns a balancer that has just started.
func New(s Settings, seed uint64, now Micros) *Balancer {
	b := &Balancer{
		rng:         rand.New(rand.NewPCG(seed, 0x726f62696e6c7567)),
		serversByID: map[uint32]*server{}, requests: map[uint32]*request{},
		meanWeight: 1, meanChargedWork: 1, fleetSize: fleetsize.New(now), setups: concurrency.NewLimiter(),
	}
	b.polling.Jitter = b.jitter
	b.applySettings(s)
	b.polling.Start(now)
	b.retryTokens = max(fleetRetryTokens*b.fleetShare(1), 2)
	return b
}

// applySettings has all go by these settings from now on.
func (b *Balancer) applySettings(s Settings) {
	b.settings, b.fleetLoad.DynamicWeights, b.fleetLoad.LoadsReported = s, s.DynamicWeights, s.ReportsConnectionLoad
	b.polling.Rank, b.polling.Balancers = s.Rank, s.Balancers
	b.polling.MaxInterval, b.polling.Grace = s.PollInterval, s.DrainGrace
}

// shortestMessageObjective is the shortest message aim of the classes; 0 where none is stated.
func (b *Balancer) shortestMessageObjective() (aim Micros) {
	for _, c := range b.settings.Classes {
		if c.MessageLatencyObjective > 0 && (aim == 0 || c.MessageLatencyObjective < aim) {
			aim = c.MessageLatencyObjective
		}
	}
	return aim
}

// Timer tokens: the kind in the upper half, a request in the lower.
const (
	tickTimer uint64 = iota << 32
	deadlineTimer
	holdTimer
)

// Handle takes one event and appends to out what is to be done.
func (b *Balancer) Handle(now Micros, ev Event, out []Action) []Action {
	b.actions = out
	if !b.started {
		b.started = true
		b.setTimer(b.jitter(tickInterval), tickTimer)
	}
	switch ev := ev.(type) {
	case ServerListUpdate:
		b.onServerListUpdate(now, ev)
	case Request:
		b.onRequest(now, ev)
	case ExistingConnection:
		b.onExistingConnection(now, ev)
	case Established:
		b.onEstablished(now, ev)
	case ConnectionMetric:
		b.onConnectionMetric(now, ev)
	case AttemptEnded:
		b.onAttemptEnded(now, ev)
	case MoveRequested:
		b.onMoveRequested(now, ev)
	case RequestCancelled:
		b.onRequestCancelled(ev)
	case RequestExpired:
		b.onTimerFired(now, TimerFired{deadlineTimer | uint64(ev.ID)})
	case TimerFired:
		b.onTimerFired(now, ev)
	case ProbeResult:
		b.onProbeResult(now, ev)
	case SettingsChanged:
		b.applySettings(ev.Settings)
	}
	out, b.actions = b.actions, nil
	return out
}

func (b *Balancer) emit(a Action)                   { b.actions = append(b.actions, a) }
func (b *Balancer) setTimer(d Micros, token uint64) { b.emit(SetTimer{max(d, 1), token}) }

// jitter draws from 0 to d.
func (b *Balancer) jitter(d Micros) Micros { return Micros(b.rng.Float64() * float64(d)) }

// jitterAround draws from 3/4 d to 5/4 d, so that balancers which saw one event don't act on it in step.
func (b *Balancer) jitterAround(d Micros) Micros { return d*3/4 + b.jitter(d/2) }

func (b *Balancer) onTimerFired(now Micros, ev TimerFired) {
	r := b.requests[uint32(ev.Token)]
	switch kind := ev.Token >> 32 << 32; {
	case kind == tickTimer:
		b.onTick(now)
	case r == nil || r.open || r.closed:
	case kind == deadlineTimer:
		b.answerFinally(r)
	case kind == holdTimer && r.server == nil:
		b.placeRequest(now, r)
	}
}

// ---- Health transitions ----

func (b *Balancer) setHealth(now Micros, s *server, h Health) {
	s.health, s.enteredAt[h] = h, now
}

// markConnected notes that a connection, an answer or a validation succeeded.
func (b *Balancer) markConnected(now Micros, s *server) {
	s.demotedForFailure = false
	if s.health != Connected {
		b.setHealth(now, s, Connected)
	}
}

// demote makes a server Unhealthy. A relapse soon after its return doubles the time to its validation.
func (b *Balancer) demote(now Micros, s *server) {
	if s.health == Unhealthy {
		return
	}
	if s.health == Connected && now-s.enteredAt[Connected] > demotionResetAfter {
		s.consecutiveDemotions = 0
	}
	b.setHealth(now, s, Unhealthy)
	s.demotedForFailure = true
	b.updateFleetSize(now)
	s.validateAt = now + b.jitterAround(min(minValidationDelay<<min(s.consecutiveDemotions, 8), maxValidationDelay))
	s.consecutiveDemotions++
}

// demoteForSlowness demotes for slowness, unless so much of home is demoted that the cause must be shared (a store,
// a link, overload): demoting all for it would only move the crowd.
func (b *Balancer) demoteForSlowness(now Micros, s *server) {
	all, low := 0, 0
	for _, o := range b.servers {
		if o.State == Ready && o.Zone == s.Zone {
			all++
			if o.health == Unhealthy {
				low++
			}
		}
	}
	if float64(low+1) <= maxSlowUnhealthyShare*float64(all) && s.health != Unhealthy {
		b.demote(now, s)
		s.demotedForFailure = false
		b.updateFleetSize(now)
	}
}

// healthRank orders servers for the pick: 0 is best.
func healthRank(now Micros, s *server) int {
	switch s.health {
	case Unhealthy:
		return 2
	case UnhealthyPending:
		if now-s.enteredAt[UnhealthyPending] < pendingTimeout {
			return 1
		}
	}
	return 0
}

// ---- Refresh and validation ----

func (b *Balancer) onServerListUpdate(now Micros, ev ServerListUpdate) {
	if ev.Kind == UpdateFailed {
		b.polling.Failed(now)
		return
	}
	if ev.Kind != UpdateDelta {
		for _, s := range b.servers {
			s.State = Removed
		}
	}
	for _, e := range ev.Entries {
		b.updateServer(now, e)
	}
	units, ready := 0.0, 0.0
	for _, s := range b.servers {
		if s.State == Ready {
			units, ready = units+s.Weight, ready+1
		}
	}
	if ready > 0 {
		b.meanWeight = units / ready
	}
	if ev.Kind != UpdateCached {
		b.polling.Answered(now)
		return
	}
	for _, s := range b.servers {
		s.Tokens = slowstart.StartupTokens * s.Weight / b.meanWeight
	}
}

// updateServer takes one entry. A server that restarted is Unknown again, whatever it was.
func (b *Balancer) updateServer(now Micros, e ServerEntry) {
	s := b.serversByID[e.Server]
	if s == nil {
		s = &server{Estimate: latency.New(), groupSizes: map[uint64]int{}}
		b.serversByID[e.Server] = s
		b.servers = append(b.servers, s)
		b.setHealth(now, s, Unknown)
	} else if e.StartedAt != s.StartedAt && e.State == Ready {
		b.setHealth(now, s, Unknown)
		s.consecutiveDemotions, s.ConnectionCapacity = 0, math.Inf(1)
		s.ResetReports()
		s.ResetGrants()
	}
	s.ServerEntry = e
	if s.Weight <= 0 {
		s.Weight = 1 // not told
	}
	size, held := b.fleetLoad.SizeFromWeight(e.MachineType, s.Weight)
	s.SetListed(size, held)
	s.Weight = size
}

// onTick does what no event starts: it asks discovery, and validates demoted servers.
func (b *Balancer) onTick(now Micros) {
	b.setTimer(b.jitterAround(tickInterval), tickTimer)
	b.setups.Decay()
	b.updateFleetSize(now)
	if b.settings.PollDiscovery && b.polling.PollDue(now) {
		b.emit(WatchDiscovery{On: true})
	}
	b.requestLoadReports(now)
	b.rebalance(now)
	for _, s := range b.servers {
		s.GrowCapacity(now, tickInterval)
		switch {
		case s.State != Ready || s.health != Unhealthy || now < s.validateAt:
		case s.demotedForFailure || len(s.connections) == 0:
			b.validateServer(now, s)
		case !s.DelayKnown(now): // its notes told that it was late, and tell no more
			b.markConnected(now, s)
		}
	}
}

// validateServer turns a listed Unhealthy server UnhealthyPending and probes it, if the cap has room, else not now.
func (b *Balancer) validateServer(now Micros, s *server) {
	if b.settings.AllowProbes {
		if b.probesUnderWay >= maxConcurrentProbes || s.probing {
			return
		}
		b.probeServer(s)
	}
	b.setHealth(now, s, UnhealthyPending)
}

func (b *Balancer) probeServer(s *server) {
	s.probing = true
	b.probesUnderWay++
	b.emit(ProbeServer{s.Server})
}

func (b *Balancer) onProbeResult(now Micros, ev ProbeResult) {
	s := b.serversByID[ev.Server]
	if s == nil || !s.probing {
		return
	}
	s.probing = false
	b.probesUnderWay--
	load, told := b.reportedUtilization(ev.LoadReport)
	if told {
		s.ApplyReport(now, &b.fleetLoad, b.warmupFactor(now, s), load)
	}
	switch {
	case s.health != UnhealthyPending:
	case ev.Status == outcome.Inconclusive: // it was never sent, which says nothing of the server
		b.setHealth(now, s, Unhealthy)
		s.validateAt = now + b.jitterAround(minValidationDelay)
	case ev.Status == outcome.OK && load <= maxValidationUtilization:
		b.markConnected(now, s)
	default:
		b.demote(now, s)
	}
}

// requestLoadReports keeps the account of what servers carry, and asks them how they are, as far as the price of probes
// goes: those first that were not asked for longest.
func (b *Balancer) requestLoadReports(now Micros) {
	for _, s := range b.servers {
		s.SampleUtilization(now, &b.fleetLoad, b.warmupFactor(now, s))
	}
	for b.settings.AllowProbes && b.utilizationColumn() >= 0 && b.probesUnderWay < maxConcurrentProbes {
		var longest *server
		for _, s := range b.servers {
			if s.State == Ready && !s.probing &&
				(s.OwnConnections > 0 || b.zoneIndex(s) == 0 || s.ReportRequestedAt == 0) &&
				(longest == nil || s.ReportRequestedAt < longest.ReportRequestedAt) {
				longest = s
			}
		}
		if longest == nil || !b.reportBudget.RequestDue(now, &longest.Gauge) {
			return
		}
		b.probeServer(longest)
	}
}

// utilizationColumn is where load reports tell what is asked of a server over what it can do, -1 where they don't.
func (b *Balancer) utilizationColumn() int { return slices.Index(b.settings.LoadReportColumns, "x0") }

// reportedUtilization reads that; what is absent or no number says nothing.
func (b *Balancer) reportedUtilization(r LoadReport) (float64, bool) {
	at := b.utilizationColumn()
	if at < 0 || at >= r.Count || !(r.Values[at] >= 0) || math.IsInf(float64(r.Values[at]), 0) {
		return 0, false
	}
	return float64(r.Values[at]), true
}

// refreshServerListIfLongUnhealthy asks discovery again when a server has been Unhealthy for long, as others will have seen.
func (b *Balancer) refreshServerListIfLongUnhealthy(now Micros) {
	for _, s := range b.servers {
		if b.settings.PollDiscovery && s.State == Ready && s.health == Unhealthy &&
			now-s.enteredAt[Unhealthy] > longUnhealthyAfter && b.polling.RefreshAllowed(now) {
			b.polling.ScheduleRefresh(now)
		}
	}
}

// ---- Pick ----

// pauseUntil keeps s from getting anything new for a while: one more would cost all that are there.
func (s *server) pauseUntil(until Micros) { s.pausedUntil = max(s.pausedUntil, until) }

// warmupFactor is the part of its capacity that a server surely has: ColdFrom, and more as evenly as it warms.
func (b *Balancer) warmupFactor(now Micros, s *server) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= b.settings.WarmupTime {
		return 1
	}
	return b.settings.InitialCapacity + (1-b.settings.InitialCapacity)*float64(
		max(age, 0),
	)/float64(
		b.settings.WarmupTime,
	)
}

// zoneIndex is 0 for a server of the home zone, 1 for another.
func (b *Balancer) zoneIndex(s *server) int {
	if int(s.Zone) == b.settings.Zone {
		return 0
	}
	return 1
}

// mayServe tells whether the rules let r go to s at all.
func (b *Balancer) mayServe(now Micros, r *request, s *server) bool {
	if s.State != Ready || r.pinnedTo != nil && r.pinnedTo != s {
		return false
	}
	return r.class.RetryPolicy().RetryAllowedAt(&r.attemptHistory, now, s.location())
}

func (s *server) location() retry.Location { return retry.Location{Zone: s.Zone, Cell: s.Cell} }

// pickServer draws by share among the best-ranked ready servers of the home zone, and of the others where home has
// only lower ranks. It returns nil where no server may have the request now.
func (b *Balancer) pickServer(now Micros, r *request) *server {
	var best [2][3]*server // home or away, by rank
	var least [2][3]float64
	for _, s := range b.servers {
		if !b.mayServe(now, r, s) {
			continue
		}
		zone, rk, share := b.zoneIndex(s), healthRank(now, s), b.warmupFactor(now, s)
		if b.fleetLoad.LoadsReported { // the crossing is in the appeal
			zone = 0
		}
		if now < s.pausedUntil || s.lastTriedBy == r.id+1 || !b.hasSpareCapacity(now, r, s) ||
			(share < 1 && (r.admissionCost == 0 || !b.slowStartAllows(now, s))) || b.fleetLoad.LoadsReported &&
			!s.HasCapacityFor(&b.fleetLoad, share, r.load, s.hasGroupOf(r), r.class.RelativePriority) {
			continue
		}
		// The least of exponential draws with these rates falls on each server by its share.
		draw := -math.Log(1-b.selectionDraw(r, s)) / b.selectionWeight(now, r, s)
		if share < 1 { // what its budget allows is little, and would be lost
			if draw = 0; b.fleetSize.Reduced() {
				zone = 0
			}
		}
		if best[zone][rk] == nil || draw < least[zone][rk] {
			best[zone][rk], least[zone][rk] = s, draw
		}
	}
	for rk := range 3 {
		for zone := range 2 {
			if best[zone][rk] != nil {
				return best[zone][rk]
			}
		}
	}
	return nil
}

// selectionWeight is how likely s is to be picked for r: by its size, less for what it carries, much more where it has
// others of r's group, whose work it then does only once; the size alone, alike to all, where packets pass.
func (b *Balancer) selectionWeight(now Micros, r *request, s *server) float64 {
	size := s.Weight / b.meanWeight
	if b.settings.Passthrough {
		return size
	}
	if b.fleetLoad.LoadsReported {
		return s.SelectionWeight(&b.fleetLoad, b.warmupFactor(now, s), r.load, s.hasGroupOf(r), b.zoneIndex(s) == 1)
	}
	load := float64(len(s.connections)+s.pendingAttempts) + connectionsPerGroup*float64(len(s.groupSizes))
	appeal := size * math.Pow(1+load/(loadOffset*size), -loadExponent)
	if s.groupSizes[r.group] > 0 {
		appeal *= groupAffinity
	}
	return appeal
}

// selectionDraw is a random number from 0 to 1 that every proxy draws alike: by the group, which so comes together, or
// where connections pass through by the key, so that one that changes proxies finds its server again.
func (b *Balancer) selectionDraw(r *request, s *server) float64 {
	of := r.group
	if b.settings.Passthrough {
		of = r.key
	}
	if of == 0 {
		return b.rng.Float64()
	}
	h := of ^ s.StableID*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return float64((h^h>>31)>>11) / (1 << 53)
}

// ---- Request life ----

func (b *Balancer) addRequest(now Micros, ev Request) *request {
	if b.requests[ev.ID] != nil {
		return nil
	}
	r := &request{
		id: ev.ID, key: ev.Key, group: ev.Group, relativeWork: 1, admissionCost: 1,
		deadline: now + ev.TimeLeft - answerMargin, class: Class{Idempotency: NonIdempotent},
	}
	if ev.Class < len(b.settings.Classes) {
		r.class = b.settings.Classes[ev.Class]
	}
	if r.resumable = ev.Resumable; ev.Pinned {
		if r.pinnedTo = b.serversByID[ev.PinnedServer]; r.pinnedTo == nil {
			r.pinnedTo = &server{} // which is not ready
		}
	}
	if ev.Reconnected {
		r.admissionCost = b.fleetSize.TakeReturn()
	}
	if ev.HasLoadHint && ev.LoadHint > 0 {
		b.hintCount++
		b.meanHint += (ev.LoadHint - b.meanHint) / min(b.hintCount, 500)
		r.relativeWork = ev.LoadHint / b.meanHint
		b.meanChargedWork += (max(r.relativeWork, 1) - b.meanChargedWork) / min(b.hintCount, 500)
		r.load = ev.LoadHint / 1e6
		b.fleetLoad.ObserveHint(r.load)
	} else {
		r.load = b.fleetLoad.MeanLoad()
	}
	b.requests[ev.ID] = r
	return r
}

func (b *Balancer) onRequest(now Micros, ev Request) {
	r := b.addRequest(now, ev)
	if r == nil {
		return
	}
	b.retryTokens = min(b.retryTokens+retryTokensPerRequest, max(fleetRetryTokens*b.fleetShare(1), 2))
	b.setTimer(r.deadline-now, deadlineTimer|uint64(r.id))
	b.reportBudget.Earn(b.settings.ProbeCost)
	b.refreshServerListIfLongUnhealthy(now)
	b.placeRequest(now, r)
}

func (b *Balancer) onExistingConnection(now Micros, ev ExistingConnection) {
	s := b.serversByID[ev.Server]
	if s == nil {
		return
	}
	if r := b.addRequest(now, ev.Request); r != nil {
		r.attempts, r.server = 1, s
		b.charge(s, r)
		b.establish(r)
		b.markConnected(now, s)
	}
}

func (b *Balancer) establish(r *request) {
	r.open, r.connectionIndex = true, len(r.server.connections)
	r.server.connections = append(r.server.connections, r)
}

// hasGroupOf tells that r brings s no group that it does not have.
func (s *server) hasGroupOf(r *request) bool { return r.group == 0 || s.groupSizes[r.group] > 0 }

// charge counts a request's load to the server that has it.
func (b *Balancer) charge(s *server, r *request) {
	r.chargedTo = s
	s.OwnLoad, s.OwnConnections = s.OwnLoad+r.load, s.OwnConnections+1
	if r.group != 0 {
		s.groupSizes[r.group]++
	}
	s.GroupCount = len(s.groupSizes)
}

// release takes it away again.
func (b *Balancer) release(r *request) {
	if s := r.chargedTo; s != nil {
		r.chargedTo, s.OwnLoad, s.OwnConnections = nil, max(s.OwnLoad-r.load, 0), s.OwnConnections-1
		if s.groupSizes[r.group]--; s.groupSizes[r.group] <= 0 {
			delete(s.groupSizes, r.group)
		}
		s.GroupCount = len(s.groupSizes)
	}
}

func (b *Balancer) closeConnection(r *request) {
	conns := r.server.connections
	last := conns[len(conns)-1]
	conns[r.connectionIndex], last.connectionIndex = last, r.connectionIndex
	r.server.connections = conns[:len(conns)-1]
	b.release(r)
	r.open = false
}

// placeRequest sends a request to the server picked for it, or holds it until one may have it.
func (b *Balancer) placeRequest(now Micros, r *request) {
	left := r.deadline - now
	// Whose token is given back can come again with it; an attempt that ends too soon would have used it up.
	stuck := r.pinnedTo != nil && (r.attempts > 0 || r.pinnedTo.State != Ready || left < minAttemptTimeout) ||
		r.class.RetryPolicy().RetryForbidden(&r.attemptHistory, now)
	if left <= 0 || stuck || r.attempts >= b.settings.MaxAttempts ||
		(r.attempts > 0 && (b.retryTokens < 1 || b.setups.FailuresShared())) {
		b.answerFinally(r)
		return
	}
	var s *server
	under := 0
	for _, o := range b.servers {
		under += o.pendingAttempts
	}
	if b.settings.Passthrough || b.setups.Allows(under) {
		s = b.pickServer(now, r)
	}
	if s == nil {
		b.setTimer(min(b.jitterAround(holdInterval), left), holdTimer|uint64(r.id))
		return
	}
	if b.rng.Float64() < b.setups.ShedProbability(b.fleetShare(1)) {
		b.setups.RecordShed()
		b.answerFinally(r)
		return
	}
	if r.attempts > 0 {
		b.retryTokens--
	}
	b.spendConnectionBudget(now, s, r)
	b.charge(s, r)
	s.pendingAttempts++
	s.lastTriedBy = r.id + 1
	r.attempts++
	r.server, r.lastAttemptAt, r.lastLocation = s, now, s.location()
	send := StartAttempt{ID: r.id, Timeout: b.attemptTimeout(r, left), Server: s.Server}
	if until, bound := r.class.RetryPolicy().RetryDeadline(&r.attemptHistory); bound {
		send.WriteWithin = Micros(until) - now
	}
	b.emit(send)
}

// attemptTimeout is an attempt's time-out: it leaves room for another try, but cuts nothing short that would stand.
func (b *Balancer) attemptTimeout(r *request, left Micros) Micros {
	if r.attempts >= b.settings.MaxAttempts || left < 2*minAttemptTimeout || r.pinnedTo != nil ||
		r.class.Idempotency == NonIdempotent {
		return left
	}
	return min(
		max(
			Micros(float64(left)*attemptTimeoutShare),
			minAttemptTimeout,
			Micros(setupTimeoutFactor*b.setups.SetupLatency()),
		),
		left,
	)
}

// answerFinally gives the final answer: a refusal where a repeat is harmless, else a failure.
func (b *Balancer) answerFinally(r *request) {
	unsure := r.attemptHistory.MayHaveExecuted() || r.server != nil
	b.endRequest(r)
	if r.class.RetryPolicy().ClientRetrySafe(unsure) {
		hold := Micros(0)
		if b.settings.AllowRetryAfter {
			hold = min(200*ms+b.jitter(400*ms), b.settings.MaxRetryAfter)
		}
		b.emit(Reject{r.id, hold})
	} else {
		b.emit(Fail{r.id})
	}
}

// endRequest gives up what a request has under way, and forgets it or keeps it closed until its last outcome.
func (b *Balancer) endRequest(r *request) {
	r.closed = true
	switch {
	case r.server == nil:
		delete(b.requests, r.id)
	case r.open:
		b.closeConnection(r)
		r.server.pendingAttempts++
	case b.settings.AllowCancel:
		b.emit(CancelAttempt{r.id, r.attempts - 1})
	}
}

func (b *Balancer) onRequestCancelled(ev RequestCancelled) {
	if r := b.requests[ev.ID]; r != nil && !r.closed {
		b.endRequest(r)
	}
}

func (b *Balancer) onEstablished(now Micros, ev Established) {
	r := b.requests[ev.ID]
	if r == nil || r.server == nil || r.open || ev.Attempt != r.attempts-1 || r.server.Server != ev.Server {
		return
	}
	b.markConnected(now, r.server)
	b.recordSetup(outcome.OK, ev.SetupTime)
	if r.erroredServer != nil && r.erroredServer != r.server {
		b.recordSetup(outcome.ErrorResponse, 0)
		b.updateHealth(now, r.erroredServer, outcome.ErrorResponse, false)
	}
	r.erroredServer = nil
	if r.closed {
		return
	}
	r.server.pendingAttempts--
	b.establish(r)
}

func (b *Balancer) onAttemptEnded(now Micros, ev AttemptEnded) {
	r := b.requests[ev.ID]
	if r == nil || r.server == nil || ev.Attempt != r.attempts-1 || r.server.Server != ev.Server {
		return
	}
	s, wasOpen := r.server, r.open
	if wasOpen {
		b.closeConnection(r)
		if ev.Status != outcome.OK {
			b.fleetSize.ExpectReturn()
		}
	} else {
		s.pendingAttempts--
	}
	b.release(r)
	r.server = nil
	// An error may be the request's own fault: another server judges it, or one bad client would demote all.
	unsure := ev.Status == outcome.ErrorResponse && !wasOpen && r.class.Idempotency == Idempotent
	if !unsure && !ev.SharedCause {
		if !wasOpen {
			b.recordSetup(ev.Status, ev.Duration)
		}
		b.updateHealth(now, s, ev.Status, wasOpen)
	}
	if ev.RequestClosed || r.closed || wasOpen {
		b.endRequest(r)
		return
	}
	if unsure && r.erroredServer != nil {
		b.answerFinally(r)
		return
	}
	if unsure {
		r.erroredServer = s
	}
	if ev.Status != outcome.ServerFull && ev.Status != outcome.ConnectFailed && ev.Status != outcome.Inconclusive {
		r.attemptHistory.RecordAttempt(r.lastAttemptAt, r.lastLocation)
	}
	b.placeRequest(now, r)
}

// setupResults are the outcomes that tell how set-ups go.
var setupResults = map[outcome.Status]concurrency.Outcome{
	outcome.OK:            concurrency.Established,
	outcome.ErrorResponse: concurrency.Failed,
	outcome.TimedOut:      concurrency.TimedOut,
}

func (b *Balancer) recordSetup(st outcome.Status, took Micros) {
	b.setups.Record(setupResults[st], float64(took))
}

// updateHealth draws a server's health from how an attempt ended.
func (b *Balancer) updateHealth(now Micros, s *server, st outcome.Status, wasOpen bool) {
	switch st {
	case outcome.OK:
		if !wasOpen {
			b.markConnected(now, s)
		}
	case outcome.ServerFull:
		s.pauseUntil(now + b.jitterAround(serverFullPause))
	case outcome.Reset:
		// Servers with too much piled up drop connections; one that died is shut with as much reason. A
		// single one may as well be the network's doing.
		if now-s.lastResetAt < resetPairWindow {
			b.demote(now, s)
			s.pauseUntil(now + b.jitterAround(resetPause))
		}
		s.lastResetAt = now
	case outcome.ConnectFailed:
		b.demote(now, s)
	case outcome.ErrorResponse:
		if !b.setups.FailuresShared() {
			b.demote(now, s)
		}
	case outcome.TimedOut:
		if !b.setups.FailuresShared() {
			b.demoteForSlowness(now, s)
		}
	}
}

func (b *Balancer) onConnectionMetric(now Micros, ev ConnectionMetric) {
	s := b.serversByID[ev.Server]
	if r := b.requests[ev.ID]; r != nil && r.chargedTo != nil && ev.Kind == LoadMetric {
		r.chargedTo.OwnLoad += ev.Value/1e6 - r.load
		r.load = ev.Value / 1e6
		b.fleetLoad.Observe(r.load)
	}
	if s == nil || ev.Kind != MessageLatencyMetric ||
		!s.ObserveDelay(
			now,
			ev.Value*float64(ms),
			float64(b.shortestMessageObjective()),
			float64(len(s.connections)+s.pendingAttempts),
		) {
		return
	}
	switch {
	case s.MeasuredSlow():
		for _, o := range b.servers {
			o.CapTokens(max(b.fleetShare(1), slowstart.MinFleetShare))
		}
		b.demoteForSlowness(now, s)
		if s.MissesObjective(now) {
			s.pauseUntil(now + latency.ReportLifetime)
			b.moveFromLateServer(now, s)
		}
	case s.health != Connected:
		b.markConnected(now, s)
	}
}

// moveFromLateServer moves the part off a late server that its notes tell is too much. All proxies hear one note and
// move one part, however many they are. Nothing is moved without a place to go, unless so late that staying
// is worth nothing.
func (b *Balancer) moveFromLateServer(now Micros, s *server) {
	free, part := b.spareConnections(
		now,
	), min(
		s.ExcessPart(float64(b.shortestMessageObjective())),
		maxMovedShare*b.fleetSize.PresentPart()*b.fleetSize.PresentPart(),
	)
	if b.fleetLoad.LoadsReported {
		if free >= 1 {
			b.moveLoad(now, s, part*s.OwnLoad)
		}
		return
	}
	for i := len(s.connections) - 1; i >= 0; i-- {
		r := s.connections[i]
		if r.class.MessageLatencyObjective <= 0 ||
			b.setups.SetupLatency() >= maxMoveSetupShare*float64(r.class.LatencyObjective) {
			continue
		}
		over := s.DelayRatio(float64(b.shortestMessageObjective()), float64(r.class.MessageLatencyObjective))
		if over > latency.MoveThreshold && (free >= 1 || over > forcedMoveLatencyRatio) && b.rng.Float64() < part {
			b.moveConnection(now, r, false)
			free--
		}
	}
}

// rebalance moves connections off servers that are asked for more than they can do, as far as others have room,
// and off draining ones bit by bit: what still stands when those stop is cut off, and comes back at once.
func (b *Balancer) rebalance(now Micros) {
	room := 0.0
	for _, s := range b.servers {
		if s.State == Ready && now >= s.pausedUntil && healthRank(now, s) == 0 {
			room += s.SpareCapacity(&b.fleetLoad, b.warmupFactor(now, s))
		}
	}
	for _, s := range b.servers {
		if excess := s.ExcessLoad(now, &b.fleetLoad, b.warmupFactor(now, s)); b.fleetLoad.LoadsReported &&
			s.State == Ready {
			room -= b.moveLoad(now, s, min(excess, room))
		}
		for i := len(s.connections) - 1; b.fleetLoad.LoadsReported && s.State == Draining && i >= 0; i-- {
			if r := s.connections[i]; room > 0 && !r.resumable &&
				b.rng.Float64() < drainSharePerTick { // else a plan has it
				room -= r.load
				b.moveConnection(now, r, false)
			}
		}
	}
}

// moveLoad moves so much load off a server, and returns what it did.
func (b *Balancer) moveLoad(now Micros, s *server, want float64) float64 {
	conns := slices.Clone(s.connections)
	items := make([]serverload.Connection, len(conns))
	for i, r := range conns {
		items[i] = serverload.Connection{Group: r.group, Load: r.load}
	}
	leave, moved := serverload.SelectConnectionsToMove(&b.fleetLoad, items, want)
	for _, i := range leave {
		if b.setups.SetupLatency() < maxMoveSetupShare*float64(
			conns[i].class.LatencyObjective,
		) { // else it could not come back
			s.RebalancedAt = now
			b.moveConnection(now, conns[i], false)
		}
	}
	return moved
}

func (b *Balancer) spareConnections(now Micros) float64 {
	free := 0.0
	for _, s := range b.servers {
		if s.State == Ready && now >= s.pausedUntil && healthRank(now, s) == 0 && !s.MissesObjective(now) &&
			b.hasSpareCapacity(now, &request{admissionCost: 1}, s) {
			free += min(s.Tokens, s.ConnectionCapacity-float64(len(s.connections)+s.pendingAttempts))
		}
	}
	return free
}

func (b *Balancer) onMoveRequested(now Micros, ev MoveRequested) {
	if r := b.requests[ev.ID]; r != nil && r.open {
		if !ev.SameServerAllowed {
			b.fleetSize.ExpectReturn()
		}
		b.moveConnection(now, r, ev.SameServerAllowed)
	}
}

// moveConnection ends a connection politely; its client comes again, where it can be told to the pick of now.
func (b *Balancer) moveConnection(now Micros, r *request, stay bool) {
	m, next := MoveConnection{ID: r.id}, r.server
	if r.resumable && !(stay && next.State == Ready && !next.MissesObjective(now)) {
		next.lastTriedBy = r.id + 1 // anywhere else
		next = b.pickServer(now, &request{id: r.id, class: r.class, key: r.key, group: r.group})
	}
	if r.resumable && next != nil {
		m.NextServer, m.HasNextServer = next.Server, true
	}
	b.emit(m)
	b.endRequest(r)
}

// updateFleetSize looks how much of the fleet is there; while a part is gone, what comes back is let in more slowly.
func (b *Balancer) updateFleetSize(now Micros) {
	units := 0.0
	for _, s := range b.servers {
		if s.State == Ready && !s.demotedForFailure {
			units += s.Weight * b.warmupFactor(now, s)
		}
	}
	b.fleetSize.Update(now, units)
}

// slowStartAllows tells whether a cold server's budget has room: what it takes by size and warmth, times the rule's
// multiple, divided among all balancers. A grant is for the mean of what connections are booked at.
func (b *Balancer) slowStartAllows(now Micros, s *server) bool {
	slot, began := slowstart.SlotAt(now, s.StartedAt, b.settings.OverloadWindow)
	rate := slowstart.WarmUpRate * s.Weight / b.meanWeight * b.warmupFactor(
		Micros(began),
		s,
	) * b.settings.OverloadFactor
	most := rate * b.settings.OverloadWindow.Seconds()
	return s.GrantAvailable(slot, most/b.meanChargedWork, slowstart.Fleet{
		Rank: b.settings.Rank, Balancers: b.settings.Balancers,
		Zones: b.settings.Zones, ServerID: s.StableID, SameZone: b.zoneIndex(s) == 0, UnevenLoads: b.fleetLoad.LoadsReported,
	})
}

// fleetShare is this balancer's part of what each of so many parts of the fleet may do together.
func (b *Balancer) fleetShare(parts int) float64 {
	return min(float64(parts)/float64(max(b.settings.Balancers, 1)), 1)
}

// hasSpareCapacity tells whether s may be sent one more connection now, each server by its size; what finds none goes
// on to other zones. A server that told of lateness gets no more than it had until it has been in time
// a while.
func (b *Balancer) hasSpareCapacity(now Micros, r *request, s *server) bool {
	s.Refill(now, s.Weight/b.meanWeight*max(b.fleetShare(1), slowstart.MinFleetShare), r.admissionCost)
	return b.settings.Passthrough ||
		s.Tokens >= r.admissionCost && float64(len(s.connections)+s.pendingAttempts) < s.ConnectionCapacity
}

// spendConnectionBudget books an attempt on its budget. A light one costs as much to set up as any.
func (b *Balancer) spendConnectionBudget(now Micros, s *server, r *request) {
	s.Spend(b.warmupFactor(now, s) < 1, max(r.relativeWork, 1), b.meanChargedWork, r.admissionCost)
}
