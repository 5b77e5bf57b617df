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
	tickEvery = 250 * ms // how often the slow work is looked at: validation, discovery, moves

	// Health and validation.
	longUnhealthy  = 10 * sec // Unhealthy so long: the next placement starts a refresh (the note's minute)
	pendingLapse   = 10 * sec // UnhealthyPending for so long ranks with Connected again (the note's minute)
	validateFirst  = 1 * sec  // from a demotion to its validation
	validateLast   = 6 * sec  // the same after many relapses, each of which doubles it
	forgiveAfter   = 10 * sec // a server that stayed Connected so long starts again at validateFirst
	probeCap       = 4        // validations under way at once
	softDemotedMax = 0.5      // share of home above which slowness is shared, no server's fault

	// Placement.
	holdStep   = 40 * ms // a request that no server may have now is looked at again after this
	answerLead = 12 * ms // final answers leave so long before the client's time is up
	tryShare   = 0.45    // of the time left goes to one attempt while further ones are possible
	tryLeast   = 80 * ms
	setUpRoom  = 4.0  // times what set-ups take now is the least for an attempt
	retryGrant = 0.5  // retries that each request adds to the budget
	retryMost  = 60.0 // saved up by all balancers together; each may save up two

	// Slow servers.
	moveSetUp = 0.4    // of a class's aim: while set-ups take longer, nothing of it is moved
	shedAt    = 1.5    // of a class aim: moved though no other server has room
	moveMost  = 0.7    // of its connections, at one note
	drainPart = 1. / 8 // of what stands on a draining server leaves at each tick: half of all in 1.5 s

	loadFull   = 0.85     // of its capacity asked: no validation
	fullPause  = 300 * ms // nothing new to a server that turned an attempt away as full
	resetPause = 2 * sec  // the same after a reset
	resetPair  = 1 * sec  // two resets within this are the doing of the server

	// Filling servers.
	groupBonus = 50   // times as likely is a server that has others of the group
	groupLoad  = 0.5  // connections that a group counts as, besides its own
	evenness   = 2.0  // how strongly a server's load tells against it
	evenLeast  = 10.0 // connections; fewer of a balancer's own say little against a group's hash

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
	Entry
	serverload.Gauge
	slowstart.Budget
	latency.Estimate
	health     Health
	entered    [4]Micros // when it last entered each state
	strikes    int       // demotions in a row without forgiveAfter of good service
	validateAt Micros    // when an Unhealthy server may be validated
	probing    bool
	failed     bool           // demoted for a failure, not for slowness
	pending    int            // attempts under way
	groups     map[uint64]int // how many of them each group has
	conns      []*request     // connections that stand, in no order that matters but a fixed one
	shutUntil  Micros         // nothing new until then
	resetAt    Micros         // the last reset by it
	triedBy    uint32         // request that has tried it last, plus one
}

// request is one client request that this balancer has taken, until its last outcome.
type request struct {
	id         uint32
	class      Class
	key, group uint64
	due        Micros // the final answer leaves by then
	work       float64
	sent       int     // attempts made
	price      float64 // of a server's filling rate; see room
	at         *server // server of the attempt under way or of the connection
	load       float64 // cores, as told, hinted or guessed
	borne      *server // whose load it is counted to
	open       bool    // the connection stands
	closed     bool    // answered or withdrawn; only an outcome is awaited
	past       retry.Past
	erred      *server // server that answered an error, until another has judged the request
	lastSent   Micros
	sentTo     retry.Place // as it was then
	slot       int         // place in at.conns while open
	only       *server     // nobody else may have it: its client was told to come there
	resumes    bool        // its client can be told where to come
}

// Balancer decides for one proxy.
type Balancer struct {
	set     Settings
	rng     *rand.Rand
	started bool
	servers []*server // in the order in which they were first listed
	byID    map[uint32]*server
	fleet   serverload.Fleet
	reqs    map[uint32]*request
	out     []Action

	polling polling.Schedule
	probes  int // validations under way

	present   fleetsize.Estimate
	polls     serverload.Survey
	meanUnits float64 // size of a ready server

	pace            concurrency.Pace
	retries         float64
	meanWork, hints float64 // the mean hint, and how many there were
	meanBooked      float64 // work of which a connection is booked, of the mean work
}

// New returns a balancer that has just started.
func New(s Settings, seed uint64, now Micros) *Balancer {
	b := &Balancer{
		rng:  rand.New(rand.NewPCG(seed, 0x726f62696e6c7567)),
		byID: map[uint32]*server{}, reqs: map[uint32]*request{},
		meanUnits: 1, meanBooked: 1, present: fleetsize.New(now), pace: concurrency.New(),
	}
	b.polling.Jitter = b.jitter
	b.tune(s)
	b.polling.Begin(now)
	b.retries = max(retryMost*b.share(1), 2)
	return b
}

// tune has all go by these settings from now on.
func (b *Balancer) tune(s Settings) {
	b.set, b.fleet.Live, b.fleet.Told = s, s.LiveWeights, s.TellsLoad
	b.polling.Rank, b.polling.Balancers = s.Rank, s.Balancers
	b.polling.Every, b.polling.Grace = s.AskEvery, s.DrainGrace
}

// aim is the shortest message aim of the classes; 0 where none is stated.
func (b *Balancer) aim() (aim Micros) {
	for _, c := range b.set.Classes {
		if c.MessageAim > 0 && (aim == 0 || c.MessageAim < aim) {
			aim = c.MessageAim
		}
	}
	return aim
}

// Timer tokens: the kind in the upper half, a request in the lower.
const (
	timerTick uint64 = iota << 32
	timerDue
	timerHold
)

// Handle takes one event and appends to out what is to be done.
func (b *Balancer) Handle(now Micros, ev Event, out []Action) []Action {
	b.out = out
	if !b.started {
		b.started = true
		b.timer(b.jitter(tickEvery), timerTick)
	}
	switch ev := ev.(type) {
	case Update:
		b.onUpdate(now, ev)
	case Request:
		b.onRequest(now, ev)
	case Open:
		b.onOpen(now, ev)
	case Established:
		b.onEstablished(now, ev)
	case Note:
		b.onNote(now, ev)
	case Outcome:
		b.onOutcome(now, ev)
	case Leaving:
		b.onLeaving(now, ev)
	case Withdrawn:
		b.onWithdrawn(ev)
	case Expire:
		b.onTimer(now, Timer{timerDue | uint64(ev.ID)})
	case Timer:
		b.onTimer(now, ev)
	case Probed:
		b.onProbed(now, ev)
	case Retuned:
		b.tune(ev.Settings)
	}
	out, b.out = b.out, nil
	return out
}

func (b *Balancer) do(a Action)                  { b.out = append(b.out, a) }
func (b *Balancer) timer(d Micros, token uint64) { b.do(SetTimer{max(d, 1), token}) }

// jitter draws from 0 to d.
func (b *Balancer) jitter(d Micros) Micros { return Micros(b.rng.Float64() * float64(d)) }

// around draws from 3/4 d to 5/4 d, so that balancers which saw one event don't act on it in step.
func (b *Balancer) around(d Micros) Micros { return d*3/4 + b.jitter(d/2) }

func (b *Balancer) onTimer(now Micros, ev Timer) {
	r := b.reqs[uint32(ev.Token)]
	switch kind := ev.Token >> 32 << 32; {
	case kind == timerTick:
		b.tick(now)
	case r == nil || r.open || r.closed:
	case kind == timerDue:
		b.finish(r)
	case kind == timerHold && r.at == nil:
		b.place(now, r)
	}
}

// ---- Health transitions ----

func (b *Balancer) enter(now Micros, s *server, h Health) {
	s.health, s.entered[h] = h, now
}

// connected notes that a connection, an answer or a validation succeeded.
func (b *Balancer) connected(now Micros, s *server) {
	s.failed = false
	if s.health != Connected {
		b.enter(now, s, Connected)
	}
}

// demote makes a server Unhealthy. A relapse soon after its return doubles the time to its validation.
func (b *Balancer) demote(now Micros, s *server) {
	if s.health == Unhealthy {
		return
	}
	if s.health == Connected && now-s.entered[Connected] > forgiveAfter {
		s.strikes = 0
	}
	b.enter(now, s, Unhealthy)
	s.failed = true
	b.census(now)
	s.validateAt = now + b.around(min(validateFirst<<min(s.strikes, 8), validateLast))
	s.strikes++
}

// demoteSoft demotes for slowness, unless so much of home is demoted that the cause must be shared (a store,
// a link, overload): demoting all for it would only move the crowd.
func (b *Balancer) demoteSoft(now Micros, s *server) {
	all, low := 0, 0
	for _, o := range b.servers {
		if o.State == Ready && o.Zone == s.Zone {
			all++
			if o.health == Unhealthy {
				low++
			}
		}
	}
	if float64(low+1) <= softDemotedMax*float64(all) && s.health != Unhealthy {
		b.demote(now, s)
		s.failed = false
		b.census(now)
	}
}

// rank orders servers for the pick: 0 is best.
func rank(now Micros, s *server) int {
	switch s.health {
	case Unhealthy:
		return 2
	case UnhealthyPending:
		if now-s.entered[UnhealthyPending] < pendingLapse {
			return 1
		}
	}
	return 0
}

// ---- Refresh and validation ----

func (b *Balancer) onUpdate(now Micros, ev Update) {
	if ev.Kind == Failed {
		b.polling.Failed(now)
		return
	}
	if ev.Kind != Delta {
		for _, s := range b.servers {
			s.State = Gone
		}
	}
	for _, e := range ev.Entries {
		b.list(now, e)
	}
	units, ready := 0.0, 0.0
	for _, s := range b.servers {
		if s.State == Ready {
			units, ready = units+s.Units, ready+1
		}
	}
	if ready > 0 {
		b.meanUnits = units / ready
	}
	if ev.Kind != Cached {
		b.polling.Answered(now)
		return
	}
	for _, s := range b.servers {
		s.Tokens = slowstart.First * s.Units / b.meanUnits
	}
}

// list takes one entry. A server that restarted is Unknown again, whatever it was.
func (b *Balancer) list(now Micros, e Entry) {
	s := b.byID[e.Server]
	if s == nil {
		s = &server{Estimate: latency.New(), groups: map[uint64]int{}}
		b.byID[e.Server] = s
		b.servers = append(b.servers, s)
		b.enter(now, s, Unknown)
	} else if e.Started != s.Started && e.State == Ready {
		b.enter(now, s, Unknown)
		s.strikes, s.Most = 0, math.Inf(1)
		s.Restarted()
		s.Restart()
	}
	s.Entry = e
	if s.Units <= 0 {
		s.Units = 1 // not told
	}
	size, held := b.fleet.Size(e.Kind, s.Units)
	s.List(size, held)
	s.Units = size
}

// tick does what no event starts: it asks discovery, and validates demoted servers.
func (b *Balancer) tick(now Micros) {
	b.timer(b.around(tickEvery), timerTick)
	b.pace.Fade()
	b.census(now)
	if b.set.Ask && b.polling.Due(now) {
		b.do(Watch{On: true})
	}
	b.survey(now)
	b.spread(now)
	for _, s := range b.servers {
		s.Grow(now, tickEvery)
		switch {
		case s.State != Ready || s.health != Unhealthy || now < s.validateAt:
		case s.failed || len(s.conns) == 0:
			b.validate(now, s)
		case !s.Told(now): // its notes told that it was late, and tell no more
			b.connected(now, s)
		}
	}
}

// validate turns a listed Unhealthy server UnhealthyPending and probes it, if the cap has room, else not now.
func (b *Balancer) validate(now Micros, s *server) {
	if b.set.MayProbe {
		if b.probes >= probeCap || s.probing {
			return
		}
		b.probe(s)
	}
	b.enter(now, s, UnhealthyPending)
}

func (b *Balancer) probe(s *server) {
	s.probing = true
	b.probes++
	b.do(Probe{s.Server})
}

func (b *Balancer) onProbed(now Micros, ev Probed) {
	s := b.byID[ev.Server]
	if s == nil || !s.probing {
		return
	}
	s.probing = false
	b.probes--
	load, told := b.used(ev.Load)
	if told {
		s.Read(now, &b.fleet, b.warmth(now, s), load)
	}
	switch {
	case s.health != UnhealthyPending:
	case ev.Status == outcome.Inconclusive: // it was never sent, which says nothing of the server
		b.enter(now, s, Unhealthy)
		s.validateAt = now + b.around(validateFirst)
	case ev.Status == outcome.OK && load <= loadFull:
		b.connected(now, s)
	default:
		b.demote(now, s)
	}
}

// survey keeps the account of what servers carry, and asks them how they are, as far as the price of probes
// goes: those first that were not asked for longest.
func (b *Balancer) survey(now Micros) {
	for _, s := range b.servers {
		s.Look(now, &b.fleet, b.warmth(now, s))
	}
	for b.set.MayProbe && b.column() >= 0 && b.probes < probeCap {
		var longest *server
		for _, s := range b.servers {
			if s.State == Ready && !s.probing && (s.Conns > 0 || b.away(s) == 0 || s.AskedAt == 0) &&
				(longest == nil || s.AskedAt < longest.AskedAt) {
				longest = s
			}
		}
		if longest == nil || !b.polls.Due(now, &longest.Gauge) {
			return
		}
		b.probe(longest)
	}
}

// column is where load reports tell what is asked of a server over what it can do, -1 where they don't.
func (b *Balancer) column() int { return slices.Index(b.set.Columns, "x0") }

// used reads that; what is absent or no number says nothing.
func (b *Balancer) used(r Report) (float64, bool) {
	at := b.column()
	if at < 0 || at >= r.N || !(r.Values[at] >= 0) || math.IsInf(float64(r.Values[at]), 0) {
		return 0, false
	}
	return float64(r.Values[at]), true
}

// refreshIfLong asks discovery again when a server has been Unhealthy for long, as others will have seen.
func (b *Balancer) refreshIfLong(now Micros) {
	for _, s := range b.servers {
		if b.set.Ask && s.State == Ready && s.health == Unhealthy &&
			now-s.entered[Unhealthy] > longUnhealthy && b.polling.MayRefresh(now) {
			b.polling.Refresh(now)
		}
	}
}

// ---- Pick ----

// shut keeps s from getting anything new for a while: one more would cost all that are there.
func (s *server) shut(until Micros) { s.shutUntil = max(s.shutUntil, until) }

// warmth is the part of its capacity that a server surely has: ColdFrom, and more as evenly as it warms.
func (b *Balancer) warmth(now Micros, s *server) float64 {
	age := now - s.Started
	if s.Started <= 0 || age >= b.set.Cold {
		return 1
	}
	return b.set.ColdFrom + (1-b.set.ColdFrom)*float64(max(age, 0))/float64(b.set.Cold)
}

// away is 0 for a server of the home zone, 1 for another.
func (b *Balancer) away(s *server) int {
	if int(s.Zone) == b.set.Zone {
		return 0
	}
	return 1
}

// allowed tells whether the rules let r go to s at all.
func (b *Balancer) allowed(now Micros, r *request, s *server) bool {
	if s.State != Ready || r.only != nil && r.only != s {
		return false
	}
	return r.class.Rule().Allows(&r.past, now, s.place())
}

func (s *server) place() retry.Place { return retry.Place{Zone: s.Zone, Cell: s.Cell} }

// pick draws by share among the best-ranked ready servers of the home zone, and of the others where home has
// only lower ranks. It returns nil where no server may have the request now.
func (b *Balancer) pick(now Micros, r *request) *server {
	var best [2][3]*server // home or away, by rank
	var least [2][3]float64
	for _, s := range b.servers {
		if !b.allowed(now, r, s) {
			continue
		}
		zone, rk, share := b.away(s), rank(now, s), b.warmth(now, s)
		if b.fleet.Told { // the crossing is in the appeal
			zone = 0
		}
		if now < s.shutUntil || s.triedBy == r.id+1 || !b.room(now, r, s) ||
			(share < 1 && (r.price == 0 || !b.coldRoom(now, s))) || b.fleet.Told &&
			!s.Fits(&b.fleet, share, r.load, s.holds(r), r.class.WorthPart) {
			continue
		}
		// The least of exponential draws with these rates falls on each server by its share.
		draw := -math.Log(1-b.draw(r, s)) / b.appeal(now, r, s)
		if share < 1 { // what its budget allows is little, and would be lost
			if draw = 0; b.present.Thin() {
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

// appeal is how likely s is to be picked for r: by its size, less for what it carries, much more where it has
// others of r's group, whose work it then does only once; the size alone, alike to all, where packets pass.
func (b *Balancer) appeal(now Micros, r *request, s *server) float64 {
	size := s.Units / b.meanUnits
	if b.set.Pass {
		return size
	}
	if b.fleet.Told {
		return s.Appeal(&b.fleet, b.warmth(now, s), r.load, s.holds(r), b.away(s) == 1)
	}
	load := float64(len(s.conns)+s.pending) + groupLoad*float64(len(s.groups))
	appeal := size * math.Pow(1+load/(evenLeast*size), -evenness)
	if s.groups[r.group] > 0 {
		appeal *= groupBonus
	}
	return appeal
}

// draw is a random number from 0 to 1 that every proxy draws alike: by the group, which so comes together, or
// where connections pass through by the key, so that one that changes proxies finds its server again.
func (b *Balancer) draw(r *request, s *server) float64 {
	of := r.group
	if b.set.Pass {
		of = r.key
	}
	if of == 0 {
		return b.rng.Float64()
	}
	h := of ^ s.Name*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return float64((h^h>>31)>>11) / (1 << 53)
}

// ---- Request life ----

func (b *Balancer) take(now Micros, ev Request) *request {
	if b.reqs[ev.ID] != nil {
		return nil
	}
	r := &request{
		id: ev.ID, key: ev.Key, group: ev.Group, work: 1, price: 1,
		due: now + ev.Left - answerLead, class: Class{Effect: Unsafe},
	}
	if ev.Class < len(b.set.Classes) {
		r.class = b.set.Classes[ev.Class]
	}
	if r.resumes = ev.Resumes; ev.Pinned {
		if r.only = b.byID[ev.To]; r.only == nil {
			r.only = &server{} // which is not ready
		}
	}
	if ev.Returned {
		r.price = b.present.Returned()
	}
	if ev.HasHint && ev.Hint > 0 {
		b.hints++
		b.meanWork += (ev.Hint - b.meanWork) / min(b.hints, 500)
		r.work = ev.Hint / b.meanWork
		b.meanBooked += (max(r.work, 1) - b.meanBooked) / min(b.hints, 500)
		r.load = ev.Hint / 1e6
		b.fleet.Hinted(r.load)
	} else {
		r.load = b.fleet.Mean()
	}
	b.reqs[ev.ID] = r
	return r
}

func (b *Balancer) onRequest(now Micros, ev Request) {
	r := b.take(now, ev)
	if r == nil {
		return
	}
	b.retries = min(b.retries+retryGrant, max(retryMost*b.share(1), 2))
	b.timer(r.due-now, timerDue|uint64(r.id))
	b.polls.Earn(b.set.FeeProbe)
	b.refreshIfLong(now)
	b.place(now, r)
}

func (b *Balancer) onOpen(now Micros, ev Open) {
	s := b.byID[ev.Server]
	if s == nil {
		return
	}
	if r := b.take(now, ev.Request); r != nil {
		r.sent, r.at = 1, s
		b.bear(s, r)
		b.stand(r)
		b.connected(now, s)
	}
}

func (b *Balancer) stand(r *request) {
	r.open, r.slot = true, len(r.at.conns)
	r.at.conns = append(r.at.conns, r)
}

// holds tells that r brings s no group that it does not have.
func (s *server) holds(r *request) bool { return r.group == 0 || s.groups[r.group] > 0 }

// bear counts a request's load to the server that has it.
func (b *Balancer) bear(s *server, r *request) {
	r.borne = s
	s.Own, s.Conns = s.Own+r.load, s.Conns+1
	if r.group != 0 {
		s.groups[r.group]++
	}
	s.Groups = len(s.groups)
}

// unbear takes it away again.
func (b *Balancer) unbear(r *request) {
	if s := r.borne; s != nil {
		r.borne, s.Own, s.Conns = nil, max(s.Own-r.load, 0), s.Conns-1
		if s.groups[r.group]--; s.groups[r.group] <= 0 {
			delete(s.groups, r.group)
		}
		s.Groups = len(s.groups)
	}
}

func (b *Balancer) fall(r *request) {
	conns := r.at.conns
	last := conns[len(conns)-1]
	conns[r.slot], last.slot = last, r.slot
	r.at.conns = conns[:len(conns)-1]
	b.unbear(r)
	r.open = false
}

// place sends a request to the server picked for it, or holds it until one may have it.
func (b *Balancer) place(now Micros, r *request) {
	left := r.due - now
	// Whose token is given back can come again with it; an attempt that ends too soon would have used it up.
	stuck := r.only != nil && (r.sent > 0 || r.only.State != Ready || left < tryLeast) ||
		r.class.Rule().Spent(&r.past, now)
	if left <= 0 || stuck || r.sent >= b.set.MostTries || (r.sent > 0 && (b.retries < 1 || b.pace.Shared())) {
		b.finish(r)
		return
	}
	var s *server
	under := 0
	for _, o := range b.servers {
		under += o.pending
	}
	if b.set.Pass || b.pace.Room(under) {
		s = b.pick(now, r)
	}
	if s == nil {
		b.timer(min(b.around(holdStep), left), timerHold|uint64(r.id))
		return
	}
	if b.rng.Float64() < b.pace.Refuses(b.share(1)) {
		b.pace.NotBegun()
		b.finish(r)
		return
	}
	if r.sent > 0 {
		b.retries--
	}
	b.spend(now, s, r)
	b.bear(s, r)
	s.pending++
	s.triedBy = r.id + 1
	r.sent++
	r.at, r.lastSent, r.sentTo = s, now, s.place()
	send := Send{ID: r.id, GiveUp: b.giveUp(r, left), Server: s.Server}
	if until, bound := r.class.Rule().Until(&r.past); bound {
		send.Within = Micros(until) - now
	}
	b.do(send)
}

// giveUp is an attempt's time-out: it leaves room for another try, but cuts nothing short that would stand.
func (b *Balancer) giveUp(r *request, left Micros) Micros {
	if r.sent >= b.set.MostTries || left < 2*tryLeast || r.only != nil || r.class.Effect == Unsafe {
		return left
	}
	return min(max(Micros(float64(left)*tryShare), tryLeast, Micros(setUpRoom*b.pace.Span())), left)
}

// finish gives the final answer: a refusal where a repeat is harmless, else a failure.
func (b *Balancer) finish(r *request) {
	unsure := r.past.MayHaveRun() || r.at != nil
	b.end(r)
	if r.class.Rule().Harmless(unsure) {
		hold := Micros(0)
		if b.set.MayHold {
			hold = min(200*ms+b.jitter(400*ms), b.set.MaxRetryAfter)
		}
		b.do(Refuse{r.id, hold})
	} else {
		b.do(Fail{r.id})
	}
}

// end gives up what a request has under way, and forgets it or keeps it closed until its last outcome.
func (b *Balancer) end(r *request) {
	r.closed = true
	switch {
	case r.at == nil:
		delete(b.reqs, r.id)
	case r.open:
		b.fall(r)
		r.at.pending++
	case b.set.MayCancel:
		b.do(Cancel{r.id, r.sent - 1})
	}
}

func (b *Balancer) onWithdrawn(ev Withdrawn) {
	if r := b.reqs[ev.ID]; r != nil && !r.closed {
		b.end(r)
	}
}

func (b *Balancer) onEstablished(now Micros, ev Established) {
	r := b.reqs[ev.ID]
	if r == nil || r.at == nil || r.open || ev.Attempt != r.sent-1 || r.at.Server != ev.Server {
		return
	}
	b.connected(now, r.at)
	b.tally(outcome.OK, ev.Took)
	if r.erred != nil && r.erred != r.at {
		b.tally(outcome.ErrorAnswer, 0)
		b.judge(now, r.erred, outcome.ErrorAnswer, false)
	}
	r.erred = nil
	if r.closed {
		return
	}
	r.at.pending--
	b.stand(r)
}

func (b *Balancer) onOutcome(now Micros, ev Outcome) {
	r := b.reqs[ev.ID]
	if r == nil || r.at == nil || ev.Attempt != r.sent-1 || r.at.Server != ev.Server {
		return
	}
	s, wasOpen := r.at, r.open
	if wasOpen {
		b.fall(r)
		if ev.Status != outcome.OK {
			b.present.Owe()
		}
	} else {
		s.pending--
	}
	b.unbear(r)
	r.at = nil
	// An error may be the request's own fault: another server judges it, or one bad client would demote all.
	unsure := ev.Status == outcome.ErrorAnswer && !wasOpen && r.class.Effect == Safe
	if !unsure && !ev.Echo {
		if !wasOpen {
			b.tally(ev.Status, ev.Took)
		}
		b.judge(now, s, ev.Status, wasOpen)
	}
	if ev.Closed || r.closed || wasOpen {
		b.end(r)
		return
	}
	if unsure && r.erred != nil {
		b.finish(r)
		return
	}
	if unsure {
		r.erred = s
	}
	if ev.Status != outcome.ServerFull && ev.Status != outcome.ConnectFailed && ev.Status != outcome.Inconclusive {
		r.past.Ran(r.lastSent, r.sentTo)
	}
	b.place(now, r)
}

// setUpEnds are the outcomes that tell how set-ups go.
var setUpEnds = map[outcome.Status]concurrency.End{
	outcome.OK:          concurrency.Stood,
	outcome.ErrorAnswer: concurrency.Failed,
	outcome.TimedOut:    concurrency.TimedOut,
}

func (b *Balancer) tally(st outcome.Status, took Micros) { b.pace.Ended(setUpEnds[st], float64(took)) }

// judge draws a server's health from how an attempt ended.
func (b *Balancer) judge(now Micros, s *server, st outcome.Status, wasOpen bool) {
	switch st {
	case outcome.OK:
		if !wasOpen {
			b.connected(now, s)
		}
	case outcome.ServerFull:
		s.shut(now + b.around(fullPause))
	case outcome.Reset:
		// Servers with too much piled up drop connections; one that died is shut with as much reason. A
		// single one may as well be the network's doing.
		if now-s.resetAt < resetPair {
			b.demote(now, s)
			s.shut(now + b.around(resetPause))
		}
		s.resetAt = now
	case outcome.ConnectFailed:
		b.demote(now, s)
	case outcome.ErrorAnswer:
		if !b.pace.Shared() {
			b.demote(now, s)
		}
	case outcome.TimedOut:
		if !b.pace.Shared() {
			b.demoteSoft(now, s)
		}
	}
}

func (b *Balancer) onNote(now Micros, ev Note) {
	s := b.byID[ev.Server]
	if r := b.reqs[ev.ID]; r != nil && r.borne != nil && ev.Kind == LoadNote {
		r.borne.Own += ev.Value/1e6 - r.load
		r.load = ev.Value / 1e6
		b.fleet.Learn(r.load)
	}
	if s == nil || ev.Kind != DelayNote ||
		!s.Note(now, ev.Value*float64(ms), float64(b.aim()), float64(len(s.conns)+s.pending)) {
		return
	}
	switch {
	case s.Slow():
		for _, o := range b.servers {
			o.Calm(max(b.share(1), slowstart.Least))
		}
		b.demoteSoft(now, s)
		if s.Late(now) {
			s.shut(now + latency.Fresh)
			b.relieve(now, s)
		}
	case s.health != Connected:
		b.connected(now, s)
	}
}

// relieve moves the part off a late server that its notes tell is too much. All proxies hear one note and
// move one part, however many they are. Nothing is moved without a place to go, unless so late that staying
// is worth nothing.
func (b *Balancer) relieve(now Micros, s *server) {
	free, part := b.free(now), min(s.Part(float64(b.aim())), moveMost*b.present.Part()*b.present.Part())
	if b.fleet.Told {
		if free >= 1 {
			b.lighten(now, s, part*s.Own)
		}
		return
	}
	for i := len(s.conns) - 1; i >= 0; i-- {
		r := s.conns[i]
		if r.class.MessageAim <= 0 || b.pace.Span() >= moveSetUp*float64(r.class.Aim) {
			continue
		}
		over := s.Times(float64(b.aim()), float64(r.class.MessageAim))
		if over > latency.MoveAt && (free >= 1 || over > shedAt) && b.rng.Float64() < part {
			b.move(now, r, false)
			free--
		}
	}
}

// spread moves connections off servers that are asked for more than they can do, as far as others have room,
// and off draining ones bit by bit: what still stands when those stop is cut off, and comes back at once.
func (b *Balancer) spread(now Micros) {
	room := 0.0
	for _, s := range b.servers {
		if s.State == Ready && now >= s.shutUntil && rank(now, s) == 0 {
			room += s.Room(&b.fleet, b.warmth(now, s))
		}
	}
	for _, s := range b.servers {
		if excess := s.Excess(now, &b.fleet, b.warmth(now, s)); b.fleet.Told && s.State == Ready {
			room -= b.lighten(now, s, min(excess, room))
		}
		for i := len(s.conns) - 1; b.fleet.Told && s.State == Draining && i >= 0; i-- {
			if r := s.conns[i]; room > 0 && !r.resumes && b.rng.Float64() < drainPart { // else a plan has it
				room -= r.load
				b.move(now, r, false)
			}
		}
	}
}

// lighten moves so much load off a server, and returns what it did.
func (b *Balancer) lighten(now Micros, s *server, want float64) float64 {
	conns := slices.Clone(s.conns)
	items := make([]serverload.Item, len(conns))
	for i, r := range conns {
		items[i] = serverload.Item{Group: r.group, Load: r.load}
	}
	leave, moved := serverload.Leaving(&b.fleet, items, want)
	for _, i := range leave {
		if b.pace.Span() < moveSetUp*float64(conns[i].class.Aim) { // else it could not come back
			s.LeftAt = now
			b.move(now, conns[i], false)
		}
	}
	return moved
}

func (b *Balancer) free(now Micros) float64 {
	free := 0.0
	for _, s := range b.servers {
		if s.State == Ready && now >= s.shutUntil && rank(now, s) == 0 && !s.Late(now) &&
			b.room(now, &request{price: 1}, s) {
			free += min(s.Tokens, s.Most-float64(len(s.conns)+s.pending))
		}
	}
	return free
}

func (b *Balancer) onLeaving(now Micros, ev Leaving) {
	if r := b.reqs[ev.ID]; r != nil && r.open {
		if !ev.Stay {
			b.present.Owe()
		}
		b.move(now, r, ev.Stay)
	}
}

// move ends a connection politely; its client comes again, where it can be told to the pick of now.
func (b *Balancer) move(now Micros, r *request, stay bool) {
	m, next := Move{ID: r.id}, r.at
	if r.resumes && !(stay && next.State == Ready && !next.Late(now)) {
		next.triedBy = r.id + 1 // anywhere else
		next = b.pick(now, &request{id: r.id, class: r.class, key: r.key, group: r.group})
	}
	if r.resumes && next != nil {
		m.Next, m.Named = next.Server, true
	}
	b.do(m)
	b.end(r)
}

// census looks how much of the fleet is there; while a part is gone, what comes back is let in more slowly.
func (b *Balancer) census(now Micros) {
	units := 0.0
	for _, s := range b.servers {
		if s.State == Ready && !s.failed {
			units += s.Units * b.warmth(now, s)
		}
	}
	b.present.Count(now, units)
}

// coldRoom tells whether a cold server's budget has room: what it takes by size and warmth, times the rule's
// multiple, divided among all balancers. A grant is for the mean of what connections are booked at.
func (b *Balancer) coldRoom(now Micros, s *server) bool {
	slot, began := slowstart.Slot(now, s.Started, b.set.TipAfter)
	rate := slowstart.ColdRate * s.Units / b.meanUnits * b.warmth(Micros(began), s) * b.set.OverloadFactor
	most := rate * b.set.TipAfter.Seconds()
	return s.Cold(slot, most/b.meanBooked, slowstart.Fleet{
		Rank: b.set.Rank, Balancers: b.set.Balancers,
		Zones: b.set.Zones, Server: s.Name, Home: b.away(s) == 0, Uneven: b.fleet.Told,
	})
}

// share is this balancer's part of what each of so many parts of the fleet may do together.
func (b *Balancer) share(parts int) float64 {
	return min(float64(parts)/float64(max(b.set.Balancers, 1)), 1)
}

// room tells whether s may be sent one more connection now, each server by its size; what finds none goes
// on to other zones. A server that told of lateness gets no more than it had until it has been in time
// a while.
func (b *Balancer) room(now Micros, r *request, s *server) bool {
	s.Fill(now, s.Units/b.meanUnits*max(b.share(1), slowstart.Least), r.price)
	return b.set.Pass || s.Tokens >= r.price && float64(len(s.conns)+s.pending) < s.Most
}

// spend books an attempt on its budget. A light one costs as much to set up as any.
func (b *Balancer) spend(now Micros, s *server, r *request) {
	s.Spend(b.warmth(now, s) < 1, max(r.work, 1), b.meanBooked, r.price)
}
