package proxy

import (
	"cmp"
	"slices"
	"spurspread/decision"
	"spurspread/decision/outcome"
	"spurspread/internal/eventloop"
)

const (
	paceSpan  = 1 * sec // what a target's lines took lately
	noteEvery = 1 * sec
	toldSpan  = 2 * sec
	noteShare = 3 // a note is due while messages take over this part of the shortest aim
)

type sample struct{ at, took eventloop.Micros }

// pace is how long one target's messages take, from the lines that are passed on, for targets that do not tell it.
type pace struct {
	samples []sample
	ages    []eventloop.Micros // of lines that are unanswered now
	stands  roster             // sessions that stand there
	slow    bool
	noted   eventloop.Micros
	toldAt  eventloop.Micros // the target's last word of its own
}

// took notes that a line was answered. Times never go back.
func (p *pace) took(now, took eventloop.Micros) { p.samples = append(p.samples, sample{now, took}) }

// forget drops what was long ago.
func (p *pace) forget(now eventloop.Micros) {
	old, _ := slices.BinarySearchFunc(
		p.samples,
		now-paceSpan,
		func(s sample, from eventloop.Micros) int { return cmp.Compare(s.at, from) },
	)
	p.samples = slices.Delete(p.samples, 0, old)
}

// late tells whether delay is over the limit, without the work of ordering all lines. It comes for each target at
// each sweep.
func (p *pace) late(now, limit eventloop.Micros) (late, seen bool) {
	p.forget(now)
	over, all := 0, len(p.samples)
	for _, s := range p.samples {
		if s.took > limit {
			over++
		}
	}
	for _, age := range p.ages {
		if age > limit {
			over, all = over+1, all+1
		}
	}
	return all > 0 && all-over <= all/2, all > 0
}

// delay is the median of what lines took lately. A line that is unanswered for longer than the limit counts with
// its age: a target that answers nothing would otherwise look as it did before.
func (p *pace) delay(now, limit eventloop.Micros) (eventloop.Micros, bool) {
	p.forget(now)
	var all []eventloop.Micros
	for _, s := range p.samples {
		all = append(all, s.took)
	}
	for _, age := range p.ages {
		if age > limit {
			all = append(all, age)
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)/2], true
}

// due tells whether a note is to be sent now: one a second while messages are slow, and one when they no longer are.
func (p *pace) due(now eventloop.Micros, slow bool) bool {
	if slow && (!p.slow || now-p.noted >= noteEvery) || !slow && p.slow {
		p.slow, p.noted = slow, now
		return true
	}
	return false
}

// sweep looks at what stands: connections that bring nothing back, and targets whose messages are slow.
func (r *Relay) sweep() {
	r.l.After(sweepEvery, r.sweep)
	now := r.l.Now()
	for _, p := range r.targets {
		p.ages = p.ages[:0]
	}
	for s := range r.awaited.each {
		// A client that does not read keeps its target from being read: what is late then is no fault of the target's.
		if s.phase != open || s.in.Pending() > r.maxPending {
			continue
		}
		if s.silent(now) {
			r.counts.silent++
			s.leave(outcome.Reset, false)
			continue
		}
		if len(s.waiting) > 0 {
			p := r.pace(s.hop.target.Num)
			p.ages = append(p.ages, now-s.waiting[0])
		}
	}
	limit := r.noteLimit()
	for num, p := range r.targets {
		if limit > 0 {
			r.note(now, uint32(num), p, limit)
		} else {
			p.samples = nil // nobody asks for them, and they would pile up for as long as lines come
		}
	}
}

// noteLimit is how long a message may take without a note; 0 where the module expects none.
func (r *Relay) noteLimit() eventloop.Micros {
	var aim decision.Micros
	for _, c := range r.cfg.Settings.Logic.Classes {
		if c.MessageAim > 0 && (aim == 0 || c.MessageAim < aim) {
			aim = c.MessageAim
		}
	}
	if !r.cfg.Settings.TellsDelay {
		return 0
	}
	return eventloop.Micros(aim) / noteShare
}

// told takes a LOAD line. What it tells is what the settings promise notes of: a target that tells no connection's
// load, but how long messages take, says so with the same line, in milliseconds.
func (r *Relay) told(s *session, value float64) {
	kind := decision.LoadNote
	if set := &r.cfg.Settings; set.TellsDelay && !set.TellsLoad {
		kind = decision.DelayNote
		r.pace(s.hop.target.Num).toldAt = r.l.Now()
	}
	r.tell(
		decision.Note{ID: uint32(s.ref), Attempt: s.hop.attempt, Server: s.hop.target.Num, Kind: kind, Value: value},
	)
}

func (r *Relay) note(now eventloop.Micros, num uint32, p *pace, limit eventloop.Micros) {
	slow, seen := p.late(now, limit)
	if !slow && p.toldAt != 0 && now-p.toldAt < toldSpan {
		return // its lines come back at once, but it says itself that messages wait
	}
	// The note may have moved the last one away meanwhile.
	s := p.on()
	if !seen || s == nil || !p.due(now, slow) {
		return
	}
	took, _ := p.delay(now, limit)
	r.tell(
		decision.Note{
			ID:      uint32(s.ref),
			Attempt: s.hop.attempt,
			Server:  num,
			Kind:    decision.DelayNote,
			Value:   float64(took) / float64(ms),
		},
	)
}

// on is a connection that stands there, nil where none does.
func (p *pace) on() *session {
	for s := range p.stands.each {
		if s.phase == open {
			return s
		}
	}
	return nil
}
