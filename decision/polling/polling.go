package polling

import "spurspread/decision/monotime"

// When lists and calls are too old.
const (
	// listDeadline is the time, after discovery has a change and can be reached, within which a balancer must know it.
	listDeadline = 6 * monotime.Second
	// watchSilenceTimeout is the time after which a watch without data is found broken.
	watchSilenceTimeout = 2800 * monotime.Millisecond
	// callTimeout is the time after which a call without data is abandoned.
	callTimeout = 1500 * monotime.Millisecond
	// queueTimeout is the time that a call may wait at discovery: it has either answered or rejected it by then.
	queueTimeout = 1 * monotime.Second
	// answerTimeout is the mean time after which a poll without an answer or a failure is repeated: at least
	// minAnswerTimeout, and up to answerJitter more.
	answerTimeout    = 8 * monotime.Second
	minAnswerTimeout = answerTimeout * 3 / 4
	answerJitter     = answerTimeout / 2
)

// What must fit between a failure and the time by which the answer is needed.
const (
	// maxCheckInterval is the longest time between two calls of PollDue: a tick of 250 ms, with its jitter.
	maxCheckInterval = 250 * monotime.Millisecond * 5 / 4
	// minRetryDelay is the least time between a failure and the next poll.
	minRetryDelay = 250 * monotime.Millisecond
	// latenessMargin is for an event loop that runs late, and for calls on their way.
	latenessMargin = 500 * monotime.Millisecond
	// answerReserve is the sum of these: a poll's cycle must end this much before its answer is needed.
	answerReserve = minRetryDelay + maxCheckInterval + queueTimeout + latenessMargin
)

// How long cycles are.
const (
	// cyclePerBalancer is the time of a cycle for each balancer: ten calls a second over the fleet.
	cyclePerBalancer = 100 * monotime.Millisecond
	// minSpreadTime bounds SpreadTime where settings leave no time at all.
	minSpreadTime = 1 * monotime.Millisecond
	// minBackoff is the shortest cycle after a failure. It doubles with further ones, at most maxBackoffDoublings
	// times.
	minBackoff          = 500 * monotime.Millisecond
	maxBackoffDoublings = 2
	// overloadAssumedAfter is for how long failures must follow each other before a cycle grows beyond what leaves time
	// for an answer, and firstOverloadAssumedAfter the same for a process that discovery has never answered: many may
	// start at once.
	overloadAssumedAfter      = 10 * monotime.Second
	firstOverloadAssumedAfter = 4 * monotime.Second
	// maxCycleFactor bounds a cycle that has grown, as a multiple of cyclePerBalancer for each balancer.
	maxCycleFactor = 4
	// cycleGrowth is the factor by which a cycle grows with each late failure.
	cycleGrowth = 2
	// minRefreshInterval is the least time between an answer and a further poll on the same watch.
	minRefreshInterval = 12 * monotime.Second
)

// Schedule is one balancer's part of the schedule. Set the exported fields, then call Start.
type Schedule struct {
	// Rank is this balancer's place in the cycle, from 0, and Balancers how many there are.
	Rank, Balancers int
	// MaxInterval is the longest time that a balancer may go without polling; 10 s where settings don't say. A shorter
	// one finds changes sooner, and leaves less time to spread the fleet's polls over.
	MaxInterval monotime.Micros
	// Grace is for how long a balancer may still act on an older list after listDeadline. A longer one leaves more time
	// for polls after a failure, and has drained servers used that much longer.
	Grace monotime.Micros
	// Jitter draws a time between 0 and limit.
	Jitter func(limit monotime.Micros) monotime.Micros

	startedAt             monotime.Micros
	confirmed             bool // discovery has answered since the start
	confirmationRequested bool // a request needs the first answer

	watching         bool            // discovery has answered, and the watch has not failed since
	pollInFlight     bool            // a poll has neither been answered nor failed
	refreshPending   bool            // poll at nextPoll although watching
	nextPoll         monotime.Micros // when to poll next, unless watching
	lastPoll         monotime.Micros
	lastAnswer       monotime.Micros
	fastestAnswer    monotime.Micros // the shortest time that an answer took; 0: there was none
	failures         int             // in a row
	overloadFailures int             // those of them that came after patience had ended
	failingSince     monotime.Micros // the first of them
}

// Start schedules the first poll, in this balancer's turn.
func (s *Schedule) Start(now monotime.Micros) {
	s.startedAt = now
	s.lastAnswer = now
	s.nextPoll = s.nextTurn(now, s.SpreadTime())
}

// PollDue decides whether to poll now, and counts that as done. On a live watch a poll is a refresh. It is due at
// nextPoll, unless the watch is live and no refresh is pending; if neither Answered nor Failed follows, it is repeated
// after answerTimeout, with jitter.
func (s *Schedule) PollDue(now monotime.Micros) bool {
	watchIsEnough := s.watching && !s.pollInFlight && !s.refreshPending
	if now < s.nextPoll || watchIsEnough {
		return false
	}
	s.pollInFlight = true
	s.refreshPending = false
	s.lastPoll = now
	s.nextPoll = now + minAnswerTimeout + s.Jitter(answerJitter)
	return true
}

// Answered records that discovery has sent a list, in answer to a poll or on the watch.
func (s *Schedule) Answered(now monotime.Micros) {
	if s.pollInFlight {
		s.recordAnswerTime(max(now-s.lastPoll, 1))
	}
	s.pollInFlight = false
	s.confirmed = true
	s.watching = true
	s.failures = 0
	s.overloadFailures = 0
	s.lastAnswer = now
}

func (s *Schedule) recordAnswerTime(took monotime.Micros) {
	if s.fastestAnswer == 0 || took < s.fastestAnswer {
		s.fastestAnswer = took
	}
}

// Failed records that a poll failed or that the watch ended, and schedules the next poll in this balancer's turn of a
// cycle for retries.
func (s *Schedule) Failed(now monotime.Micros) {
	noticedAfter := callTimeout
	if s.watching && !s.pollInFlight {
		noticedAfter = watchSilenceTimeout
	}
	if s.failures == 0 {
		s.failingSince = now
	}
	if s.discoveryMayBeOverloaded(now) {
		s.overloadFailures++
	}
	s.pollInFlight = false
	s.watching = false
	longest := listDeadline + s.Grace - noticedAfter - answerReserve
	s.nextPoll = s.nextTurn(now+minRetryDelay, s.retryCycle(longest))
	s.failures++
}

// discoveryMayBeOverloaded decides whether failures have lasted so long that discovery may have too many callers.
func (s *Schedule) discoveryMayBeOverloaded(now monotime.Micros) bool {
	failingFor := now - s.failingSince
	neverAnswered := s.fastestAnswer == 0
	return failingFor >= overloadAssumedAfter || neverAnswered && failingFor >= firstOverloadAssumedAfter
}

// RefreshAllowed decides whether a further poll on a live watch is allowed: none is in flight or pending, and
// discovery's last answer is minRefreshInterval ago.
func (s *Schedule) RefreshAllowed(now monotime.Micros) bool {
	idle := s.watching && !s.pollInFlight && !s.refreshPending
	return idle && now-s.lastAnswer >= minRefreshInterval
}

// ScheduleRefresh schedules a further poll on a live watch, in this balancer's turn.
func (s *Schedule) ScheduleRefresh(now monotime.Micros) {
	s.refreshPending = true
	s.nextPoll = s.nextTurn(now, s.SpreadTime())
}
