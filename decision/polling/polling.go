// Package poll is the discovery polling schedule: it decides when one of many balancers asks discovery, where that
// answers only when asked. All ask by turns, each at its own moment of a cycle that all share by the clock, since
// discovery takes one call after another, and what waits too long is lost work to it: asked faster than it answers,
// it answers nobody. It does not know what is asked for, nor any clock; times are microseconds.
//
// However many balancers there are, each asks so soon after a failure that it can have the answer by when it may no
// longer act on an older list. A failure does not tell whether discovery is away or has too many callers, so that a
// cycle grows only after several failures in a row, and not where discovery was seen to answer fast enough for all
// of them.
package polling

import "spurspread/decision/monotime"

const (
	ms  = 1000
	sec = 1000 * ms

	told    = 6 * sec          // what discovery has to tell counts as told so long after it had it and could be reached
	silence = 2800 * ms        // a watch that says nothing is found broken after this
	giveUp  = 1500 * ms        // a call that brings nothing is given up after this
	queued  = 1 * sec          // discovery refuses what has waited so long; what it answers is there by then
	look    = 250 * ms * 5 / 4 // Due is asked at most so long apart
	pause   = 250 * ms         // the least wait after a failure
	slack   = 500 * ms         // for a loop that runs late, and for requests on their way
	rest    = pause + look + queued + slack

	share      = 100 * ms // of a cycle for each balancer: ten calls a second
	guard      = 8 * sec  // an ask without an answer or a failure is given up after this
	backoff    = 500 * ms // the least cycle after a failed ask; doubles with the next two
	patience   = 10 * sec // of failures in a row before a cycle grows beyond what leaves time
	first      = 4 * sec  // the same for a process that discovery has never answered: many may start together
	widest     = 4        // times share, for each balancer: the longest cycle of all
	refreshGap = 12 * sec // asking again on a live watch at most so often
)

// Schedule is one balancer's part. Jitter draws from 0 to d.
type Schedule struct {
	Rank, Balancers  int
	Every            monotime.Micros // the longest that a balancer may go without asking
	Grace            monotime.Micros // for how long it may act on the list before, once told
	Jitter           func(d monotime.Micros) monotime.Micros
	watching, asking bool
	refresh          bool // asked for again though watching, at next
	next             monotime.Micros
	asked            monotime.Micros // the last ask
	heard            monotime.Micros // discovery's last answer
	least            monotime.Micros // that an answer took; 0 until there was one
	fails, late      int             // in a row, and those of them after patience
	since            monotime.Micros // the first of them
}

// Begin has the first ask made in this balancer's turn.
func (a *Schedule) Begin(now monotime.Micros) { a.heard, a.next = now, a.turn(now, a.Span()) }

// each is a time for each of the balancers.
func (a *Schedule) each(d monotime.Micros) monotime.Micros {
	return d * monotime.Micros(max(a.Balancers, 1))
}

// Span is the time over which all balancers' calls of one cause are spread; settings may give no time at all.
func (a *Schedule) Span() monotime.Micros {
	return max(min(a.each(share), a.Every, a.Every+a.Grace-rest), ms)
}

// turn is this balancer's next moment, by its rank, in a cycle of length d that all share by the clock.
func (a *Schedule) turn(now, d monotime.Micros) monotime.Micros {
	n := monotime.Micros(max(a.Balancers, 1))
	at := now - now%d + d*(monotime.Micros(a.Rank)%n)/n + a.Jitter(d/n)
	if at <= now {
		at += d
	}
	return at
}

// Due tells whether to subscribe now, or to ask again on the watch, which is a cheap refresh. It counts as done.
func (a *Schedule) Due(now monotime.Micros) bool {
	if now < a.next || a.watching && !a.asking && !a.refresh {
		return false
	}
	a.asking, a.refresh, a.asked = true, false, now
	a.next = now + guard*3/4 + a.Jitter(guard/2)
	return true
}

// Answered notes that discovery has spoken.
func (a *Schedule) Answered(now monotime.Micros) {
	if took := max(now-a.asked, 1); a.asking && (a.least == 0 || took < a.least) {
		a.least = took
	}
	a.asking, a.watching, a.fails, a.late, a.heard = false, true, 0, 0, now
}

// Failed notes that an ask failed, or that the watch has ended.
func (a *Schedule) Failed(now monotime.Micros) {
	before := monotime.Micros(giveUp)
	if a.watching && !a.asking {
		before = silence
	}
	if a.fails == 0 {
		a.since = now
	}
	if span := now - a.since; span >= patience || a.least == 0 && span >= first {
		a.late++
	}
	a.asking, a.watching = false, false
	a.next = a.turn(now+pause, a.cycle(told+a.Grace-before-rest))
	a.fails++
}

// cycle is the time within which all balancers ask again after a failure; longest is what leaves time for an answer.
func (a *Schedule) cycle(longest monotime.Micros) monotime.Micros {
	d := min(max(a.each(share), backoff)<<min(a.fails, 2), longest)
	if a.least > 0 && a.each(a.least) <= longest {
		return d
	}
	for i := 0; i < a.late && d < a.each(share*widest); i++ {
		d = max(d*2, a.Span())
	}
	return d
}

// MayRefresh tells whether asking again on a live watch would be no more than is bearable.
func (a *Schedule) MayRefresh(now monotime.Micros) bool {
	return !a.asking && !a.refresh && a.watching && now-a.heard >= refreshGap
}

// Refresh has discovery asked again, in this balancer's turn.
func (a *Schedule) Refresh(now monotime.Micros) { a.refresh, a.next = true, a.turn(now, a.Span()) }
