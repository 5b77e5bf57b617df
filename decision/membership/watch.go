package membership

import (
	"slices"
	"spurspread/decision/monotime"
)

// subjects are those that this member watches: on each ring the next one, and as long as that is suspected, or is
// late with its answer, the next again, so that whoever is watched by one that may be gone has another watcher at
// once.
func (f *Fleet) subjects() (out []*peer) {
	for k, ring := range f.rings {
		at, _ := place(ring, f.hash[k], k, f.self.ID)
		for i := range min(len(ring), 2*Watchers) {
			p := ring[(at+i)%len(ring)]
			if !slices.Contains(out, p) {
				out = append(out, p)
			}
			if p.state == Alive && (p.probe == nil || !p.probe.asked) {
				break
			}
		}
	}
	return out
}

// turn pings the next of those that are watched. What is suspected is asked more often, so that it can say that it
// lives.
func (f *Fleet) turn(now monotime.Micros) {
	busy := f.busy
	f.busy = nil
	for _, p := range busy {
		p.busy = false
		if f.follow(now, p); p.probe != nil || p.state == Suspect || p.againAt > 0 || len(p.accusers) > 0 {
			f.watchOver(p)
		}
	}
	f.tellAccused()
	f.sweep(now)
	if now < f.turnAt {
		return
	}
	f.turnAt = now + Turn*9/10 + f.jitter(Turn/5)
	if len(f.watch) == 0 {
		// always in the same order, so that each is asked once a round, and not early in one and late in the next
		f.watch = f.subjects()
	}
	for range (len(f.watch) + Watchers - 1) / Watchers {
		p := f.watch[0]
		f.watch = f.watch[1:]
		f.ping(now, p)
	}
}

// watchOver has a peer looked after at each Tick: there is something about it.
func (f *Fleet) watchOver(p *peer) {
	if !p.busy {
		p.busy = true
		f.busy = append(f.busy, p)
	}
}

// ping begins a probe, unless one is under way or none is due.
func (f *Fleet) ping(now monotime.Micros, p *peer) {
	if p.probe != nil || p.state != Alive && p.state != Suspect {
		return
	}
	f.seq += tries
	p.probe, p.triedAt = &probe{seq: f.seq, began: now}, now
	f.watchOver(p)
	f.question(now, p)
}

// help asks a peer for another member, that could not reach it: if this one fails, too, it says so.
func (f *Fleet) help(now monotime.Micros, p *peer, asker ID, theirs uint32) {
	if p.probe == nil {
		if f.ping(now, p); p.probe == nil {
			return
		}
		p.probe.asked = true // helpers need no helpers
	}
	f.relays = append(f.relays, relayed{p.probe.seq, theirs, asker, p.ID, now + 2*probeMost})
}

// question sends a probe's ping, the first or one more: each under a number of its own, so that an answer tells how
// long it took.
func (f *Fleet) question(now monotime.Micros, p *peer) {
	q := p.probe
	p.sent++
	q.sent[q.count] = now
	f.send(p.Addr, p, Message{Kind: Ping, Seq: q.seq + uint32(q.count)})
	q.count++
}

// usual is how long an answer may take that is no sign of anything: what most take from any member, or from this one.
func (f *Fleet) usual(p *peer) monotime.Micros { return monotime.Micros(max(p.rtt, f.slow)) }

// againAt, helpAt and endAt are how long after a ping it is repeated, helpers are asked, and the verdict falls.
func againAt(usual monotime.Micros) monotime.Micros { return min(max(ackWait, usual), probeMost/3) }
func helpAt(usual monotime.Micros) monotime.Micros  { return 2 * againAt(usual) }
func endAt(usual monotime.Micros) monotime.Micros {
	return min(helpAt(usual)+max(probeTime-2*ackWait, usual), probeMost)
}

// follow looks after a probe: helpers are asked, and in the end this member has failed to reach the peer.
func (f *Fleet) follow(now monotime.Micros, p *peer) {
	switch {
	case p.state != Suspect || p.probe != nil:
	case p.mine && now-p.triedAt >= probeTime*monotime.Micros(1+f.suspects/manySuspects):
		f.ping(now, p)
	case !p.mine && now-max(p.since, p.triedAt) >= ownTry:
		p.triedAt = now
		f.second(now, p)
	}
	f.enough(now, p) // fewer may be enough than a moment ago
	if p.againAt > 0 && now >= p.againAt {
		if p.againAt = 0; p.mine && p.state == Alive {
			f.accusing = append(f.accusing, f.accusation(p))
		}
	}
	q := p.probe
	if q == nil {
		return
	}
	late := now - q.began
	usual := f.usual(p)
	// A suspect is asked again and again, by all that failed to reach it.
	if p.state == Alive && q.count < tries && late >= monotime.Micros(q.count)*againAt(usual) {
		f.question(now, p)
	}
	if !q.asked && late >= helpAt(usual) {
		if q.asked = true; f.failing > sweepFrom {
			return // as many helpers would be gone, and all find out by themselves
		}
		for _, h := range f.some(helpers, func(o *peer) bool { return o != p && o.state == Alive && !o.mine }) {
			f.send(h.Addr, h, Message{Kind: Ask, Seq: q.seq, About: p.ID})
		}
	}
	if late >= endAt(usual) {
		p.probe = nil
		f.lost[q.seq] = lostPing{p.ID, now}
		f.accuse(now, p, q)
	}
}

// sweep asks whoever was not asked for longest, while much of what this member asks fails: in a crash of many, or a
// cut, most watchers are gone themselves, and waiting for one to find out after the other would take too long.
func (f *Fleet) sweep(now monotime.Micros) {
	for range min(sweepMost, f.sweeps) {
		var oldest *peer
		for _, p := range f.order {
			if p.state == Alive && p.probe == nil && now-p.triedAt >= Turn*Watchers &&
				(oldest == nil || p.triedAt < oldest.triedAt) {
				oldest = p
			}
		}
		if oldest == nil {
			return
		}
		f.sweeps--
		f.ping(now, oldest)
	}
}

// second has some of those who hear of a suspicion find out for themselves, besides its watchers: as many in a
// fleet of any size, all in a small one, since its watchers may be gone as well.
func (f *Fleet) second(now monotime.Micros, p *peer) {
	if f.rng.IntN(max(f.count(Alive), 1)) < Watchers || slices.Contains(f.subjects(), p) {
		f.ping(now, p)
	}
}

func (f *Fleet) accusation(p *peer) Rumor {
	return Rumor{ID: p.ID, State: Suspect, Inc: p.inc, By: f.self.ID}
}

// accuse says that this member could not reach the peer. It says nothing while it doubts itself.
func (f *Fleet) accuse(now monotime.Micros, p *peer, q *probe) {
	if f.Doubts(now) || p.state != Alive && p.state != Suspect {
		return
	}
	f.Accusations++
	r := f.accusation(p)
	if f.failing += (1 - f.failing) / failWeight; f.failing > sweepFrom {
		f.sweeps = min(f.sweeps+sweepEach, sweepAll)
	}
	p.mine = true
	f.accused(q.began+max(probeTime, 2*f.usual(p)), now, p, r)
	if p.state != Alive {
		return
	}
	// Not enough have failed to reach it: those who asked are told, or where nobody did, a few are asked to try,
	// and once more a little later, since either may be lost.
	asked := false
	for _, a := range f.relays {
		if o := f.peers[a.asker]; a.mine == q.seq && o != nil {
			asked = true
			f.send(o.Addr, o, Message{Kind: Gossip, Rumors: []Rumor{r}})
		}
	}
	if !asked {
		f.accusing = append(f.accusing, r)
		p.againAt = now + ackWait + f.usual(p)
	}
}

// tellAccused tells some what this member has failed to reach, so that they find out for themselves: all of it in
// one message.
func (f *Fleet) tellAccused() {
	f.accusing = slices.DeleteFunc(
		f.accusing,
		func(r Rumor) bool { p := f.peers[r.ID]; return p == nil || p.state != Alive || !p.mine },
	)
	part := f.accusing[:fitting(f.accusing, roomInMessage)]
	if f.accusing = f.accusing[len(part):]; len(part) == 0 {
		return
	}
	to := f.some(Watchers, func(o *peer) bool { return o.hears && !o.mine })
	if len(to) < Watchers {
		to = append(
			to,
			f.some(Watchers-len(to), func(o *peer) bool { return o.state == Alive && !o.hears && !o.mine })...)
	}
	for _, o := range to {
		f.send(o.Addr, o, Message{Kind: Gossip, Rumors: slices.Clone(part)})
	}
}

// needed is how many must have failed to reach one that is suspected: as many as there are that could say so, this
// member among them, up to confirms.
func (f *Fleet) needed(p *peer) int {
	if p.apart { // whoever of the two is right, they are apart
		return 1
	}
	able := f.hears + 1
	if p.hears {
		able--
	}
	if len(f.rings[0]) > 1 { // besides the peer there is somebody who has to say so, too, though he is not heard now
		able = max(able, 2)
	}
	return min(confirms, able)
}

// judge holds those dead whose suspicion has lasted, as far as this member could not reach them itself.
func (f *Fleet) judge(now monotime.Micros) {
	if f.suspects == 0 || f.Doubts(now) {
		return
	}
	for _, p := range slices.Clone(f.order) {
		if p.state != Suspect || !p.mine {
			continue
		}
		// One that speaks, and holds this member dead, is not paused: there is nothing to wait for.
		if p.apart || now-p.suspectAt >= Least {
			f.hear(now, Rumor{ID: p.ID, State: Dead, Inc: p.inc})
			p.judged = true
		}
	}
}

// answered takes the sign of life that an answer is.
func (f *Fleet) answered(now monotime.Micros, id ID, seq uint32, direct bool) {
	p := f.peers[id]
	if p == nil {
		return
	}
	if q := p.probe; q != nil && q.seq == seq-seq%tries {
		if nth := int(seq % tries); direct && nth < q.count {
			p.answered++
			p.answersAt = now
			f.failing -= f.failing / failWeight
			took := float64(now - q.sent[nth])
			if p.rtt == 0 {
				p.rtt = took
			}
			p.rtt += (took - p.rtt) / 8
			f.took(took)
		}
		p.probe = nil
		f.cleared(p)
		return
	}
	if l, ok := f.lost[seq-seq%tries]; ok && l.id == id {
		delete(f.lost, seq-seq%tries)
		f.cleared(p)
		p.rtt = max(p.rtt, float64(now-l.at)+float64(probeTime)) // it is slow, not gone
	}
}

// took notes how long an answer has taken: what most take rises fast and falls slowly.
func (f *Fleet) took(t float64) {
	if t > f.slow {
		f.slow += (t - f.slow) / 8
	} else {
		f.slow += (t - f.slow) / 32
	}
}

// cleared forgets what was said against one that this member has just reached itself, as far as nobody else holds
// to it.
func (f *Fleet) cleared(p *peer) {
	if p.mine = false; p.state == Alive {
		p.accusers = nil
	}
}

// revive asks one of the dead: where a cut has healed, it learns what it is held to be, and says otherwise.
func (f *Fleet) revive(now monotime.Micros) {
	f.askDead(now)
	if now < f.reviveAt {
		return
	}
	f.reviveAt = now + reviveTime*3/4 + f.jitter(reviveTime/2)
	for _, p := range f.some(1, func(p *peer) bool { return p.state == Dead }) {
		f.ask(now, p, p.Addr)
	}
}

// returned is what a member does that was held dead, and is there: what it found out meanwhile about others is as
// likely its own fault, so it is not spread, and all whom it holds dead are asked, some at each Tick.
func (f *Fleet) returned(now monotime.Micros) {
	f.news.drop(func(r *Rumor) bool { return r.State == Suspect || r.State == Dead })
	f.asking = f.asking[:0]
	for _, p := range f.order {
		if p.state == Dead {
			f.asking = append(f.asking, p)
		}
	}
}

func (f *Fleet) askDead(now monotime.Micros) {
	n := min(len(f.asking), sweepMost)
	for _, p := range f.asking[:n] {
		if p.state == Dead {
			f.ask(now, p, p.Addr)
		}
	}
	f.asking = f.asking[n:]
}

// tidy forgets what is over.
func (f *Fleet) tidy(now monotime.Micros) {
	if now < f.tidyAt {
		return
	}
	f.tidyAt = now + tidyTime
	f.relays = slices.DeleteFunc(f.relays, func(r relayed) bool { return now >= r.until })
	for seq, l := range f.lost {
		if now-l.at > 4*probeMost {
			delete(f.lost, seq)
		}
	}
	for _, p := range f.order {
		if p.state == Alive && len(p.accusers) > 0 {
			p.accusers = slices.DeleteFunc(p.accusers, func(a accuser) bool { return now-a.since > pendingTime })
			p.mine = p.mine && len(p.accusers) > 0
		}
	}
	f.order = slices.DeleteFunc(f.order, func(p *peer) bool {
		over := p.state >= Dead && now-p.since > forgetTime
		if over {
			f.revision++
			f.mix(p.ID, p.inc, p.state)
			delete(f.peers, p.ID)
		}
		return over
	})
}
