package polling

import (
	"math/rand/v2"
	"spurspread/decision/monotime"
	"testing"
)

const (
	tick     = 250 * ms // a balancer looks whether it is due so often, a quarter more or less
	mostWait = sec      // discovery answers 503 to what has waited for so long
	// what has waited longer is not worked on any more; until then a refused call is work all the same
	lostWork = 3 * sec
)

// service is discovery as the pages describe it: one call after another, refused after a second of waiting.
type service struct {
	each monotime.Micros // that a call takes
	free monotime.Micros // when it is done with what waits
}

// call tells when the answer comes, and whether it is the list.
func (s *service) call(now monotime.Micros) (at monotime.Micros, listed bool) {
	begin := max(now, s.free)
	if begin-now < lostWork {
		s.free = begin + s.each
	}
	if done := begin + s.each; done-now <= mostWait {
		return done, true
	}
	return now + mostWait, false
}

// trouble is a time in which balancers lose their watches and may not reach discovery.
type trouble struct {
	// discovery is away for so long; 0: all watches fall silent as it begins, and nothing else is wrong
	span   monotime.Micros
	silent bool // calls meanwhile come to nothing, else they are refused at once
}

// node is one balancer of a fleet in virtual time.
type node struct {
	Schedule
	broken monotime.Micros // when it notices that its watch is
	looks  monotime.Micros // next
	answer monotime.Micros // when the call that is out ends; 0 where none is out
	listed bool            // it ends with the list
	told   bool            // it has the list again
}

// result is what a fleet does from a trouble's end on.
type result struct {
	last  monotime.Micros         // until the last balancer has the list; -1 where some never had it
	calls map[monotime.Micros]int // that reached discovery, by second
}

// most is the largest number of calls in a second.
func (r result) most() (most int) {
	for _, n := range r.calls {
		most = max(most, n)
	}
	return most
}

// fleet is a fleet's size, what a call costs discovery, and how long a list may be acted on once told.
type fleet struct {
	n           int
	each, grace monotime.Micros
}

// play has all of a fleet lose their watches at once, and plays until all have the list again, or for a limit.
func (f fleet) play(t trouble, limit monotime.Micros, seed uint64) result {
	begin := monotime.Micros(1000 * sec)
	end := begin + t.span
	rng := rand.New(rand.NewPCG(seed, 1))
	jitter := func(d monotime.Micros) monotime.Micros { return monotime.Micros(rng.Float64() * float64(d)) }
	nodes := make([]node, f.n)
	for i := range nodes {
		d := &nodes[i]
		d.Schedule = Schedule{Rank: i, Balancers: f.n, MaxInterval: 10 * sec, Grace: f.grace, Jitter: jitter}
		d.Start(begin - 60*sec)
		d.PollDue(d.nextPoll)
		d.Answered(d.lastPoll + f.each)
		if d.broken = begin; t.span == 0 {
			d.broken += watchSilenceTimeout - jitter(2*sec) // the last empty line came up to 2 s before
		}
		d.looks = begin + jitter(tick)
	}
	s := service{each: f.each}
	out := result{last: -1, calls: map[monotime.Micros]int{}}
	for now, left := begin, f.n; now < end+limit && left > 0; now += 5 * ms {
		for i := range nodes {
			d := &nodes[i]
			if d.broken > 0 && now >= d.broken {
				d.broken = 0
				d.Failed(now)
			}
			if d.answer > 0 && now >= d.answer {
				if d.answer = 0; !d.listed {
					d.Failed(now)
				} else {
					d.Answered(now)
					d.told, out.last = true, now-end
					left--
				}
			}
			if d.told || now < d.looks {
				continue
			}
			d.looks = now + tick*3/4 + jitter(tick/2)
			if !d.PollDue(now) {
				continue
			}
			switch {
			case now >= end:
				d.answer, d.listed = s.call(now)
				out.calls[(now-end)/sec]++
			case t.silent:
				d.answer, d.listed = now+callTimeout, false
			default:
				d.answer, d.listed = now+ms, false
			}
		}
		if left == 0 {
			return out
		}
	}
	out.last = -1
	return out
}

// graces are the shortest that a deployment at hand gives, and a common one.
var graces = []monotime.Micros{300 * ms, 2500 * ms}

// However many balancers there are, however long discovery was away and whatever calls came to meanwhile: each has the
// list by when it may not act on the one before any more, where discovery bears so many calls at all.
func TestToldInTimeAfterAnOutage(t *testing.T) {
	for _, n := range []int{3, 30, 300, 1500} {
		for _, grace := range graces {
			for _, away := range []trouble{{8 * sec, false}, {8 * sec, true}, {100 * sec, true}} {
				f := fleet{n, min(2500*ms/monotime.Micros(n), 200*ms), grace}
				r := f.play(away, 60*sec, uint64(n))
				t.Logf(
					"%d balancers, grace %d ms, %+v: the last is told %d ms after, at most %d calls a second",
					n,
					grace/ms,
					away,
					r.last/ms,
					r.most(),
				)
				if most := listDeadline + grace - latenessMargin; r.last < 0 || r.last > most {
					t.Errorf(
						"%d balancers, grace %d ms, %+v: told after %d ms, not within %d",
						n,
						grace/ms,
						away,
						r.last/ms,
						most/ms,
					)
				}
			}
		}
	}
}

// The same where discovery is there, and all open watches fall silent at once.
func TestToldInTimeAfterSilence(t *testing.T) {
	for _, n := range []int{3, 30, 300, 1500} {
		for _, grace := range graces {
			r := fleet{n, min(1500*ms/monotime.Micros(n), 200*ms), grace}.play(trouble{}, 60*sec, uint64(n))
			t.Logf(
				"%d balancers, grace %d ms: the last is told %d ms after, at most %d calls a second",
				n,
				grace/ms,
				r.last/ms,
				r.most(),
			)
			if most := listDeadline + grace; r.last < 0 || r.last > most {
				t.Errorf(
					"%d balancers, grace %d ms: told after %d ms, not within %d",
					n,
					grace/ms,
					r.last/ms,
					most/ms,
				)
			}
		}
	}
}

// Where discovery can't answer all in time, the fleet thins its calls out, so that all are told in the end: within some
// times what the answers take one after another.
func TestCrowdThinsOut(t *testing.T) {
	for _, c := range []struct{ n, rate int }{{30, 3}, {80, 5}, {300, 10}, {300, 35}, {1500, 100}, {1500, 300}} {
		for _, grace := range graces {
			f := fleet{c.n, sec / monotime.Micros(c.rate), grace}
			shortest := f.each * monotime.Micros(c.n)
			r := f.play(trouble{8 * sec, true}, 400*sec, uint64(c.n))
			t.Logf(
				"%d balancers, %d answers a second, grace %d ms: the last is told %d ms after, %d at best; calls by second %d %d %d %d %d %d",
				c.n,
				c.rate,
				grace/ms,
				r.last/ms,
				shortest/ms,
				r.calls[0],
				r.calls[1],
				r.calls[2],
				r.calls[3],
				r.calls[4],
				r.calls[5],
			)
			if r.last < 0 || r.last > 8*shortest {
				t.Errorf(
					"%d balancers, %d answers a second: told after %d ms, %d at best",
					c.n,
					c.rate,
					r.last/ms,
					shortest/ms,
				)
			}
		}
	}
}
