package polling

import "spurspread/decision/monotime"

// Time limits for lists and calls.
const (
	// listDeadline is the time within which a balancer must know of a change, counted from the moment at which
	// discovery has the change and can be reached.
	listDeadline = 6 * monotime.Second
	// watchSilenceTimeout is the time without data after which a watch is assumed to be broken.
	watchSilenceTimeout = 2800 * monotime.Millisecond
	// callTimeout is the time without data after which a call is abandoned.
	callTimeout = 1500 * monotime.Millisecond
	// queueTimeout is the longest time that a call waits at discovery, which has answered or rejected it by then.
	queueTimeout = 1 * monotime.Second
	// answerTimeout is the mean time after which a poll with neither an answer nor a failure is repeated: after
	// minAnswerTimeout and a random part of answerJitter.
	answerTimeout    = 8 * monotime.Second
	minAnswerTimeout = answerTimeout * 3 / 4
	answerJitter     = answerTimeout / 2
)

// Times that must pass between a failure and the time by which the answer is needed.
const (
	// maxCheckInterval is the longest time between two calls of PollDue: a tick of 250 ms with its jitter.
	maxCheckInterval = 250 * monotime.Millisecond * 5 / 4
	// minRetryDelay is the shortest time between a failure and the next poll.
	minRetryDelay = 250 * monotime.Millisecond
	// latenessMargin is reserved for an event loop that runs late and for the transmission of calls.
	latenessMargin = 500 * monotime.Millisecond
	// answerReserve is the sum of these times: a poll's cycle must end this long before the answer is needed.
	answerReserve = minRetryDelay + maxCheckInterval + queueTimeout + latenessMargin
)

// Lengths of cycles.
const (
	// cyclePerBalancer is the time that each balancer adds to a cycle: ten calls a second over the fleet.
	cyclePerBalancer = 100 * monotime.Millisecond
	// minSpreadTime is the lower bound of SpreadTime for settings that leave no time at all.
	minSpreadTime = 1 * monotime.Millisecond
	// minBackoff is the shortest cycle after a failure. It doubles with each further failure, at most
	// maxBackoffDoublings times.
	minBackoff          = 500 * monotime.Millisecond
	maxBackoffDoublings = 2
	// overloadAssumedAfter is the time for which failures must persist before discovery is assumed to have too many
	// callers, so that a cycle may grow beyond the length that leaves time for an answer. startupOverloadAssumedAfter
	// is the same for a process that discovery has never answered; it is shorter because many processes may start at
	// once.
	overloadAssumedAfter        = 10 * monotime.Second
	startupOverloadAssumedAfter = 4 * monotime.Second
	// maxCycleFactor bounds a cycle that has grown, as a multiple of cyclePerBalancer for each balancer.
	maxCycleFactor = 4
	// cycleGrowth is the factor by which a cycle grows for each of overloadFailures.
	cycleGrowth = 2
	// minRefreshInterval is the shortest time between an answer and a further poll on the same watch.
	minRefreshInterval = 12 * monotime.Second
)

// Schedule is one balancer's part of the polling schedule. Set the exported fields, then call Start.
type Schedule struct {
	// Rank is this balancer's place in the cycle, from 0, and Balancers the number of balancers.
	Rank, Balancers int
	// MaxInterval is the longest time that a balancer may go without polling; 10 s if the settings don't set it. A
	// shorter one finds changes sooner, and leaves less time over which to spread the fleet's polls.
	MaxInterval monotime.Micros
	// Grace is the time after listDeadline in which a balancer may still act on an older list. A longer one leaves more
	// time for polls after a failure, and lets drained servers be used for that much longer.
	Grace monotime.Micros
	// Jitter returns a random time between 0 and limit.
	Jitter func(limit monotime.Micros) monotime.Micros

	startedAt             monotime.Micros
	confirmed             bool // discovery has answered since the start
	confirmationRequested bool // a request waits for the first answer

	watching         bool            // discovery has answered, and the watch has not failed since
	pollInFlight     bool            // a poll has been neither answered nor failed yet
	refreshPending   bool            // poll at nextPoll despite a live watch
	nextPoll         monotime.Micros // when to poll next, unless the watch is live
	lastPoll         monotime.Micros
	lastAnswer       monotime.Micros
	fastestAnswer    monotime.Micros // shortest time that an answer has taken; 0: no answer yet
	failures         int             // number of failures in a row
	overloadFailures int             // those of them since discoveryMayBeOverloaded became true
	failingSince     monotime.Micros // time of the first of these failures
}

// Start schedules the first poll, in this balancer's turn.
func (s *Schedule) Start(now monotime.Micros) {
	s.startedAt = now
	s.lastAnswer = now
	s.nextPoll = s.nextTurn(now, s.SpreadTime())
}

// PollDue reports whether to poll now, and if so records the poll. A poll is due at nextPoll, unless the watch is live
// and no refresh is pending (a poll on a live watch is a refresh). If neither Answered nor Failed follows, it is due
// again after answerTimeout, with jitter.
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
// retry cycle.
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

// discoveryMayBeOverloaded reports whether failures have persisted for so long that discovery may have too many
// callers.
func (s *Schedule) discoveryMayBeOverloaded(now monotime.Micros) bool {
	failingFor := now - s.failingSince
	neverAnswered := s.fastestAnswer == 0
	return failingFor >= overloadAssumedAfter || neverAnswered && failingFor >= startupOverloadAssumedAfter
}

// RefreshAllowed reports whether a further poll on a live watch is allowed: none is in flight or pending, and
// discovery's last answer is at least minRefreshInterval ago.
func (s *Schedule) RefreshAllowed(now monotime.Micros) bool {
	idle := s.watching && !s.pollInFlight && !s.refreshPending
	return idle && now-s.lastAnswer >= minRefreshInterval
}

// ScheduleRefresh schedules a further poll on a live watch, in this balancer's turn.
func (s *Schedule) ScheduleRefresh(now monotime.Micros) {
	s.refreshPending = true
	s.nextPoll = s.nextTurn(now, s.SpreadTime())
}
