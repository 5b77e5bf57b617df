package member

import "slices"

// subjects are those that this member watches: on each ring the next one, and as long as that is suspected, or is late with
// its answer, the next again, so that whoever is watched by one that may be gone has another watcher at once.
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

// turn pings the next of those that are watched. What is suspected is asked more often, so that it can say that it lives.
func (f *Fleet) turn(now int64) {
	for _, p := range f.order {
		f.follow(now, p)
	}
	f.sweep(now)
	if now < f.turnAt {
		return
	}
	f.turnAt = now + Turn*9/10 + f.jitter(Turn/5)
	if len(f.watch) == 0 {
		f.watch = f.subjects()
		f.rng.Shuffle(len(f.watch), func(i, j int) { f.watch[i], f.watch[j] = f.watch[j], f.watch[i] })
	}
	for range (len(f.watch) + Watchers - 1) / Watchers {
		p := f.watch[0]
		f.watch = f.watch[1:]
		f.ping(now, p)
	}
}

// ping begins a probe, unless one is under way or none is due.
func (f *Fleet) ping(now int64, p *peer) {
	if p.probe != nil || p.state != Alive && p.state != Suspect {
		return
	}
	f.seq++
	p.probe, p.triedAt = &probe{seq: f.seq, began: now}, now
	f.question(p, f.seq)
}

func (f *Fleet) question(p *peer, seq uint32) {
	p.sent++
	f.send(p.Addr, p, Message{Kind: Ping, Seq: seq})
}

// helpAt and endAt are how long after a ping helpers are asked and the verdict falls, where an answer usually takes rtt.
func helpAt(rtt float64) int64 { return min(max(ackWait, int64(3*rtt/2)), probeMost/2) }
func endAt(rtt float64) int64  { return min(max(probeTime, int64(4*rtt)), probeMost) }

// follow looks after a probe: helpers are asked, and in the end this member has failed to reach the peer.
func (f *Fleet) follow(now int64, p *peer) {
	switch {
	case p.state != Suspect || p.probe != nil:
	case p.mine && now-p.triedAt >= probeTime:
		f.ping(now, p)
	case !p.mine && len(p.accusers) < f.needed() && now-max(p.suspectAt, p.triedAt) >= ownTry:
		p.triedAt = now
		f.second(now, p)
	}
	q := p.probe
	if q == nil {
		return
	}
	late := now - q.began
	if !q.asked && late >= helpAt(p.rtt) {
		q.asked = true
		f.question(p, q.seq)
		for _, h := range f.some(helpers, func(o *peer) bool { return o != p && o.state == Alive }) {
			f.send(h.Addr, h, Message{Kind: Ask, Seq: q.seq, About: p.ID})
		}
	}
	if late >= endAt(p.rtt) {
		p.probe = nil
		f.lost[q.seq] = lostPing{p.ID, now}
		f.accuse(now, p)
	}
}

// sweep asks whoever was not asked for longest, while this member fails to reach several: in a crash of many, or a cut, most
// watchers are gone themselves, and waiting for one to find out after the other would take too long.
func (f *Fleet) sweep(now int64) {
	failing := 0
	for _, p := range f.order {
		if p.mine && p.state < Dead && now-p.suspectAt < pendingTime {
			failing++
		}
	}
	if failing < max(2, min(3, len(f.rings[0])/3)) {
		return
	}
	for range sweepMost {
		var oldest *peer
		for _, p := range f.order {
			if p.state == Alive && p.probe == nil && now-p.triedAt >= Turn*Watchers && (oldest == nil || p.triedAt < oldest.triedAt) {
				oldest = p
			}
		}
		if oldest == nil {
			return
		}
		f.ping(now, oldest)
	}
}

// second has some of those who hear of a suspicion find out for themselves, besides its watchers: as many in a fleet of any
// size, all in a small one, since its watchers may be gone as well.
func (f *Fleet) second(now int64, p *peer) {
	if f.rng.IntN(max(f.count(Alive), 1)) < Watchers || slices.Contains(f.subjects(), p) {
		f.ping(now, p)
	}
}

// accuse says that this member could not reach the peer. It says nothing while it doubts itself.
func (f *Fleet) accuse(now int64, p *peer) {
	if f.Doubts(now) || p.state != Alive && p.state != Suspect {
		return
	}
	f.Accusations++
	p.mine = true
	r := Rumor{ID: p.ID, State: Suspect, Inc: p.inc, By: f.self.ID, Instance: p.Instance, Name: p.Name, Addr: p.Addr}
	f.accused(now, p, r)
	if p.state == Alive { // nobody has confirmed it: a few are asked to
		for _, o := range f.some(Watchers, func(o *peer) bool { return o != p && o.state == Alive }) {
			f.send(o.Addr, o, Message{Kind: Gossip, Rumors: []Rumor{r}})
		}
	}
}

// needed is how many must have failed to reach one that is suspected.
func (f *Fleet) needed() int { return min(confirms, max(len(f.rings[0])-1, 0)+1) }

// judge holds those dead whose suspicion has lasted, as far as this member could not reach them itself.
func (f *Fleet) judge(now int64) {
	if f.Doubts(now) {
		return
	}
	for _, p := range slices.Clone(f.order) {
		if p.state != Suspect || !p.mine {
			continue
		}
		if now-p.suspectAt >= Least && len(p.accusers) >= f.needed() {
			f.hear(now, Rumor{ID: p.ID, State: Dead, Inc: p.inc, By: f.self.ID, Instance: p.Instance, Name: p.Name, Addr: p.Addr})
		}
	}
}

// answered takes the sign of life that an answer is.
func (f *Fleet) answered(now int64, id ID, seq uint32, direct bool) {
	p := f.peers[id]
	if p == nil {
		return
	}
	if q := p.probe; q != nil && q.seq == seq {
		if direct {
			p.answered++
			took := float64(now - q.began) // of an answer to the second question more than it took: that errs to the safe side
			if p.rtt == 0 {
				p.rtt = took
			}
			p.rtt += (took - p.rtt) / 8
		}
		p.probe = nil
		f.cleared(p)
		return
	}
	if l, ok := f.lost[seq]; ok && l.id == id {
		delete(f.lost, seq)
		f.cleared(p)
		p.rtt = max(p.rtt, float64(now-l.at)+float64(probeTime)) // it is slow, not gone
	}
}

// cleared forgets what was said against one that this member has just reached itself, as far as nobody else holds to it.
func (f *Fleet) cleared(p *peer) {
	if p.mine = false; p.state == Alive {
		p.accusers = nil
	}
}

// revive asks one of the dead: where a cut has healed, it learns what it is held to be, and says otherwise.
func (f *Fleet) revive(now int64) {
	if now < f.reviveAt {
		return
	}
	f.reviveAt = now + reviveTime*3/4 + f.jitter(reviveTime/2)
	for _, p := range f.some(1, func(p *peer) bool { return p.state == Dead }) {
		f.seq++
		f.send(p.Addr, p, Message{Kind: Ping, Seq: f.seq})
	}
}

// tidy forgets what is over.
func (f *Fleet) tidy(now int64) {
	f.relays = slices.DeleteFunc(f.relays, func(r relayed) bool { return now >= r.until })
	for seq, l := range f.lost {
		if now-l.at > 4*probeMost {
			delete(f.lost, seq)
		}
	}
	for _, p := range f.order {
		if p.state == Alive && len(p.accusers) > 0 && now-p.suspectAt > pendingTime {
			p.accusers, p.mine = nil, false
		}
	}
	f.order = slices.DeleteFunc(f.order, func(p *peer) bool {
		over := p.state >= Dead && now-p.since > forgetTime
		if over {
			f.mix(p.ID, p.inc, p.state)
			delete(f.peers, p.ID)
		}
		return over
	})
}
