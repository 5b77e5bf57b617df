package polling

import (
	"math/rand/v2"
	"testing"

	"spurspread/decision/monotime"
)

const (
	tick    = 250 * ms // interval between calls of PollDue, varied by a quarter
	maxWait = second   // discovery answers 503 to a call that has waited this long
	// Discovery drops a call that has waited this long. Until then, a rejected call costs it work, too.
	abandonTimeout = 3 * second
)

// discoveryService serves one call after another, and rejects a call after maxWait.
type discoveryService struct {
	callTime monotime.Micros
	freeAt   monotime.Micros // when it has finished the waiting calls
}

// call returns when the answer arrives, and whether the answer is the list.
func (s *discoveryService) call(now monotime.Micros) (at monotime.Micros, listed bool) {
	begin := max(now, s.freeAt)
	if begin-now < abandonTimeout {
		s.freeAt = begin + s.callTime
	}
	if done := begin + s.callTime; done-now <= maxWait {
		return done, true
	}
	return now + maxWait, false
}

// outage is a time in which balancers lose their watches and may be unable to reach discovery.
type outage struct {
	// span is the time for which discovery is unavailable. With 0, all watches stop receiving data as the outage
	// begins, and discovery stays available.
	span         monotime.Micros
	callsTimeOut bool // calls during the outage time out; otherwise they are rejected at once
}

// balancer is one balancer of a fleet in virtual time.
type balancer struct {
	Schedule
	noticesAt monotime.Micros // when it notices that its watch is broken; 0: already noticed
	checksAt  monotime.Micros // when it calls PollDue next
	answerAt  monotime.Micros // when the call in flight ends; 0: no call in flight
	listed    bool            // the call in flight ends with the list
	hasList   bool            // it has the list again
}

// result is the behaviour of a fleet from the end of an outage on.
type result struct {
	last  monotime.Micros         // time until the last balancer has the list; -1 if some never get it
	calls map[monotime.Micros]int // calls that reached discovery, by second
}

// largest returns the largest number of calls in a second.
func (r result) largest() (most int) {
	for _, n := range r.calls {
		most = max(most, n)
	}
	return most
}

// fleet is the number of balancers, the time that a call takes discovery, and the time for which balancers may act on
// an older list.
type fleet struct {
	n        int
	callTime monotime.Micros
	grace    monotime.Micros
}

// simulate has all balancers of a fleet lose their watches at once, and runs until all have the list again, or up to
// limit after the outage.
func (f fleet) simulate(o outage, limit monotime.Micros, seed uint64) result {
	begin := monotime.Micros(start)
	run := &outageRun{
		outage:  o,
		end:     begin + o.span,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		service: discoveryService{callTime: f.callTime},
		result:  result{last: -1, calls: map[monotime.Micros]int{}},
	}
	balancers := run.watchingBalancers(f, begin)
	for now, left := begin, f.n; now < run.end+limit && left > 0; now += 5 * ms {
		for i := range balancers {
			if run.step(&balancers[i], now) {
				left--
			}
		}
		if left == 0 {
			return run.result
		}
	}
	run.result.last = -1
	return run.result
}

// outageRun is one simulation of a fleet's outage.
type outageRun struct {
	outage  outage
	end     monotime.Micros
	rng     *rand.Rand
	service discoveryService
	result  result
}

func (run *outageRun) jitter(limit monotime.Micros) monotime.Micros {
	return monotime.Micros(run.rng.Float64() * float64(limit))
}

// watchingBalancers returns a fleet with live watches, which break as the outage begins.
func (run *outageRun) watchingBalancers(f fleet, begin monotime.Micros) []balancer {
	balancers := make([]balancer, f.n)
	for i := range balancers {
		b := &balancers[i]
		b.Schedule = Schedule{Rank: i, Balancers: f.n, MaxInterval: 10 * second, Grace: f.grace, Jitter: run.jitter}
		b.Start(begin - 60*second)
		b.PollDue(b.nextPoll)
		b.Answered(b.lastPoll + f.callTime)
		b.noticesAt = begin
		if run.outage.span == 0 {
			b.noticesAt += watchSilenceTimeout - run.jitter(2*second) // the last data came up to 2 s before
		}
		b.checksAt = begin + run.jitter(tick)
	}
	return balancers
}

// step runs a balancer at the present time, and reports whether it has just received the list.
func (run *outageRun) step(b *balancer, now monotime.Micros) (gotList bool) {
	if b.noticesAt > 0 && now >= b.noticesAt {
		b.noticesAt = 0
		b.Failed(now)
	}
	if b.answerAt > 0 && now >= b.answerAt {
		b.answerAt = 0
		gotList = b.listed
		if gotList {
			b.Answered(now)
			b.hasList = true
			run.result.last = now - run.end
		} else {
			b.Failed(now)
		}
	}
	if b.hasList || now < b.checksAt {
		return gotList
	}
	b.checksAt = now + tick*3/4 + run.jitter(tick/2)
	if b.PollDue(now) {
		run.poll(b, now)
	}
	return gotList
}

func (run *outageRun) poll(b *balancer, now monotime.Micros) {
	switch {
	case now >= run.end:
		b.answerAt, b.listed = run.service.call(now)
		run.result.calls[(now-run.end)/second]++
	case run.outage.callsTimeOut:
		b.answerAt, b.listed = now+callTimeout, false
	default:
		b.answerAt, b.listed = now+ms, false
	}
}

// graces returns the shortest grace that a known deployment sets, and a common one.
func graces() []monotime.Micros { return []monotime.Micros{300 * ms, 2500 * ms} }

// For any number of balancers, any length of the outage and any way in which calls ended during it: each balancer has
// the list before it must stop acting on the older one, provided that discovery can serve that many calls at all.
func TestInformedInTimeAfterAnOutage(t *testing.T) {
	for _, n := range []int{3, 30, 300, 1500} {
		for _, grace := range graces() {
			for _, o := range []outage{{8 * second, false}, {8 * second, true}, {100 * second, true}} {
				f := fleet{n, min(2500*ms/monotime.Micros(n), 200*ms), grace}
				r := f.simulate(o, 60*second, uint64(n))
				t.Logf("%d balancers, grace %d ms, %+v: the last has the list after %d ms, at most %d calls a second",
					n, grace/ms, o, r.last/ms, r.largest())
				if most := listDeadline + grace - latenessMargin; r.last < 0 || r.last > most {
					t.Errorf("%d balancers, grace %d ms, %+v: the last has the list after %d ms, want at most %d",
						n, grace/ms, o, r.last/ms, most/ms)
				}
			}
		}
	}
}

// If discovery is available and all open watches stop receiving data at once, each balancer also has the list before it
// must stop acting on the older one.
func TestInformedInTimeAfterSilence(t *testing.T) {
	for _, n := range []int{3, 30, 300, 1500} {
		for _, grace := range graces() {
			f := fleet{n, min(1500*ms/monotime.Micros(n), 200*ms), grace}
			r := f.simulate(outage{}, 60*second, uint64(n))
			t.Logf("%d balancers, grace %d ms: the last has the list after %d ms, at most %d calls a second",
				n, grace/ms, r.last/ms, r.largest())
			if most := listDeadline + grace; r.last < 0 || r.last > most {
				t.Errorf("%d balancers, grace %d ms: the last has the list after %d ms, want at most %d",
					n, grace/ms, r.last/ms, most/ms)
			}
		}
	}
}

// If discovery can't answer all balancers in time, the fleet spreads its calls further, so that all balancers have the
// list in the end: within a small multiple of the time that the answers take one after another.
func TestLargeFleetBacksOff(t *testing.T) {
	for _, c := range []struct{ n, rate int }{{30, 3}, {80, 5}, {300, 10}, {300, 35}, {1500, 100}, {1500, 300}} {
		for _, grace := range graces() {
			f := fleet{c.n, second / monotime.Micros(c.rate), grace}
			shortest := f.callTime * monotime.Micros(c.n)
			r := f.simulate(outage{8 * second, true}, 400*second, uint64(c.n))
			t.Logf("%d balancers, %d answers a second, grace %d ms: "+
				"the last has the list after %d ms, %d at best; calls by second %d %d %d %d %d %d",
				c.n, c.rate, grace/ms, r.last/ms, shortest/ms,
				r.calls[0], r.calls[1], r.calls[2], r.calls[3], r.calls[4], r.calls[5])
			if r.last < 0 || r.last > 8*shortest {
				t.Errorf("%d balancers, %d answers a second: has the list after %d ms, %d at best",
					c.n, c.rate, r.last/ms, shortest/ms)
			}
		}
	}
}
