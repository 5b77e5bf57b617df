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

	// what discovery has to tell counts as told so long after it had it and could be reached
	listDeadline        = 6 * sec
	watchSilenceTimeout = 2800 * ms // a watch that says nothing is found broken after this
	callTimeout         = 1500 * ms // a call that brings nothing is given up after this
	// discovery refuses what has waited so long; what it answers is there by then
	queueTimeout     = 1 * sec
	maxCheckInterval = 250 * ms * 5 / 4 // Due is asked at most so long apart
	minRetryDelay    = 250 * ms         // the least wait after a failure
	latenessMargin   = 500 * ms         // for a loop that runs late, and for requests on their way
	answerReserve    = minRetryDelay + maxCheckInterval + queueTimeout + latenessMargin

	cyclePerBalancer    = 100 * ms // of a cycle for each balancer: ten calls a second
	answerTimeout       = 8 * sec  // an ask without an answer or a failure is given up after this
	minBackoff          = 500 * ms // the least cycle after a failed ask; doubles with the next two
	backoffPatience     = 10 * sec // of failures in a row before a cycle grows beyond what leaves time
	firstAnswerPatience = 4 * sec  // the same for a process that discovery has never answered: many may start together
	maxCycleFactor      = 4        // times share, for each balancer: the longest cycle of all
	minRefreshInterval  = 12 * sec // asking again on a live watch at most so often
)

// Schedule is one balancer's part. Jitter draws from 0 to d.
type Schedule struct {
	Rank, Balancers        int
	MaxInterval            monotime.Micros // the longest that a balancer may go without asking
	Grace                  monotime.Micros // for how long it may act on the list before, once told
	Jitter                 func(d monotime.Micros) monotime.Micros
	watching, pollInFlight bool
	refreshPending         bool // asked for again though watching, at next
	nextPoll               monotime.Micros
	lastPoll               monotime.Micros // the last ask
	lastAnswer             monotime.Micros // discovery's last answer
	fastestAnswer          monotime.Micros // that an answer took; 0 until there was one
	failures, lateFailures int             // in a row, and those of them after patience
	failingSince           monotime.Micros // the first of them
}

// Start has the first ask made in this balancer's turn.
func (a *Schedule) Start(now monotime.Micros) {
	a.lastAnswer, a.nextPoll = now, a.nextTurn(now, a.SpreadTime())
}

// perBalancer is a time for each of the balancers.
func (a *Schedule) perBalancer(d monotime.Micros) monotime.Micros {
	return d * monotime.Micros(max(a.Balancers, 1))
}

// SpreadTime is the time over which all balancers' calls of one cause are spread; settings may give no time at all.
func (a *Schedule) SpreadTime() monotime.Micros {
	return max(min(a.perBalancer(cyclePerBalancer), a.MaxInterval, a.MaxInterval+a.Grace-answerReserve), ms)
}

// nextTurn is this balancer's next moment, by its rank, in a cycle of length d that all share by the clock.
func (a *Schedule) nextTurn(now, d monotime.Micros) monotime.Micros {
	n := monotime.Micros(max(a.Balancers, 1))
	at := now - now%d + d*(monotime.Micros(a.Rank)%n)/n + a.Jitter(d/n)
	if at <= now {
		at += d
	}
	return at
}

// PollDue tells whether to subscribe now, or to ask again on the watch, which is a cheap refresh. It counts as done.
func (a *Schedule) PollDue(now monotime.Micros) bool {
	if now < a.nextPoll || a.watching && !a.pollInFlight && !a.refreshPending {
		return false
	}
	a.pollInFlight, a.refreshPending, a.lastPoll = true, false, now
	a.nextPoll = now + answerTimeout*3/4 + a.Jitter(answerTimeout/2)
	return true
}

// Answered notes that discovery has spoken.
func (a *Schedule) Answered(now monotime.Micros) {
	if took := max(now-a.lastPoll, 1); a.pollInFlight && (a.fastestAnswer == 0 || took < a.fastestAnswer) {
		a.fastestAnswer = took
	}
	a.pollInFlight, a.watching, a.failures, a.lateFailures, a.lastAnswer = false, true, 0, 0, now
}

// Failed notes that an ask failed, or that the watch has ended.
func (a *Schedule) Failed(now monotime.Micros) {
	before := monotime.Micros(callTimeout)
	if a.watching && !a.pollInFlight {
		before = watchSilenceTimeout
	}
	if a.failures == 0 {
		a.failingSince = now
	}
	if span := now - a.failingSince; span >= backoffPatience || a.fastestAnswer == 0 && span >= firstAnswerPatience {
		a.lateFailures++
	}
	a.pollInFlight, a.watching = false, false
	a.nextPoll = a.nextTurn(now+minRetryDelay, a.retryCycle(listDeadline+a.Grace-before-answerReserve))
	a.failures++
}

// retryCycle is the time within which all balancers ask again after a failure; longest is what leaves time for an answer.
func (a *Schedule) retryCycle(longest monotime.Micros) monotime.Micros {
	d := min(max(a.perBalancer(cyclePerBalancer), minBackoff)<<min(a.failures, 2), longest)
	if a.fastestAnswer > 0 && a.perBalancer(a.fastestAnswer) <= longest {
		return d
	}
	for i := 0; i < a.lateFailures && d < a.perBalancer(cyclePerBalancer*maxCycleFactor); i++ {
		d = max(d*2, a.SpreadTime())
	}
	return d
}

// RefreshAllowed tells whether asking again on a live watch would be no more than is bearable.
func (a *Schedule) RefreshAllowed(now monotime.Micros) bool {
	return !a.pollInFlight && !a.refreshPending && a.watching && now-a.lastAnswer >= minRefreshInterval
}

// ScheduleRefresh has discovery asked again, in this balancer's turn.
func (a *Schedule) ScheduleRefresh(now monotime.Micros) {
	a.refreshPending, a.nextPoll = true, a.nextTurn(now, a.SpreadTime())
}
