package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"spurspread/decision/monotime"
)

// hear takes news, from whomever, and passes on what is new.
func (f *Fleet) hear(now monotime.Micros, r Rumor) {
	if r.ID == f.self.ID {
		f.hearOwn(now, r)
		return
	}
	p := f.peers[r.ID]
	if p == nil {
		f.meet(now, r)
		return
	}
	if r.Inc < p.inc || r.Inc == p.inc && r.State < p.state {
		return
	}
	if r.Inc == p.inc && r.State == p.state && r.By == 0 {
		f.news.heard(r, f.sends())
		return
	}
	if r.Inc == p.inc && r.State == Suspect {
		f.accused(now, now, p, r)
		return
	}
	if r.State == Suspect { // under an incarnation that was not heard of: it lives there
		alive := r
		alive.State, alive.By = Alive, 0
		f.become(now, p, alive)
		f.accused(now, now, p, r)
		return
	}
	if p.judged && r.State == Alive {
		// news goes round where answers do not: whom this member could not reach it must reach first
		f.ask(now, p, r.Addr)
		return
	}
	if r.Inc > p.inc || r.State != p.state {
		f.become(now, p, r)
	}
}

// ask pings one that this member holds dead, and that says otherwise.
func (f *Fleet) ask(now monotime.Micros, p *peer, at netip.AddrPort) {
	if now-p.triedAt < ackWait {
		return
	}
	if !at.IsValid() {
		at = p.Addr
	}
	f.seq += tries
	if p.triedAt = now; p.asked == 0 {
		p.asked = f.seq
	}
	f.send(at, p, Message{Kind: Ping, Seq: f.seq})
}

// hearOwn takes what is said of this member itself.
func (f *Fleet) hearOwn(now monotime.Micros, r Rumor) {
	switch {
	case f.leaving:
	case r.State != Alive && r.Inc >= f.inc:
		if f.rise(r.Inc); r.State == Dead {
			f.returned(now)
		}
	case r.State == Alive && r.Instance != f.self.Instance && r.Instance != 0:
		if r.Inc >= f.inc || r.Instance > f.self.Instance {
			f.rival(r.Instance, r.Inc)
		}
	case r.State == Alive && r.Inc > f.inc:
		f.rise(r.Inc) // from before this process, whose clock was ahead
	}
}

// rival is word of another process that has this member's name. The later one is the member, so that a new version
// beside the old one is, and of two that claim a name by mistake at least one stays. Of a later one that has gone
// since, as where this machine's clock was set back, there may be word, too: it is contradicted once, and only one
// that answers is there.
func (f *Fleet) rival(instance, inc uint64) {
	switch {
	case instance <= f.self.Instance || instance != f.rivals:
		f.rise(max(inc, f.inc))
		if instance > f.self.Instance {
			f.rivals, f.told = instance, f.inc
		}
	case inc > f.told:
		f.superseded = true
	}
}

// meet takes a member that was not known. Who is said to be dead and was never known is no news.
func (f *Fleet) meet(now monotime.Micros, r Rumor) {
	if r.State != Alive && r.State != Suspect || !r.Addr.IsValid() || len(f.peers) >= f.cfg.MaxSize {
		return
	}
	p := &peer{
		Self:  Self{r.ID, r.Name, r.Addr, r.Instance},
		hash:  hashes(r.ID),
		inc:   r.Inc,
		state: Alive,
		since: now,
		heard: now,
	}
	f.revision++
	f.peers[r.ID] = p
	f.order = append(f.order, p)
	f.ringIn(p)
	f.mix(p.ID, p.inc, Alive)
	f.changes = append(f.changes, Change{p.ID, p.Name, Unknown, Alive, p.inc})
	r.State, r.By = Alive, 0
	f.tell(r)
}

// become changes what a member is held to be.
func (f *Fleet) become(now monotime.Micros, p *peer, r Rumor) {
	was := p.state
	f.revision++
	f.mix(p.ID, p.inc, was)
	f.mix(p.ID, r.Inc, r.State)
	newer := r.Inc > p.inc
	if p.inc = r.Inc; newer && r.Addr.IsValid() {
		p.Addr, p.Instance = r.Addr, r.Instance
	}
	p.accusers, p.mine, p.judged, p.asked, p.state = nil, false, false, 0, r.State
	if was != r.State {
		p.since = now
		f.changes = append(f.changes, Change{p.ID, p.Name, was, r.State, r.Inc})
	}
	if r.State >= Dead {
		f.ringOut(p)
		p.probe = nil
	} else if was >= Dead {
		f.ringIn(p)
		p.heard, p.back, p.differs = now, now, 0
	}
	f.tell(r)
}

// accused takes word of one that could not reach a member since then, or, from nobody in particular, of as many as
// it takes. One alone makes nobody suspect: it may be its own link that is cut. Some of those who hear of it find
// out for themselves; once there are enough, this member among them, it is suspected, and all are told.
func (f *Fleet) accused(since, now monotime.Micros, p *peer, r Rumor) {
	if r.By == p.ID || p.state != Alive {
		return
	}
	if r.By != 0 && !slices.ContainsFunc(p.accusers, func(a accuser) bool { return a.id == r.By }) {
		p.accusers = append(p.accusers, accuser{r.By, since})
		f.watchOver(p)
	}
	if r.By == 0 {
		f.suspect(now, now-hearsay, p)
	}
	f.enough(now, p)
	if !p.mine && !f.leaving {
		f.second(now, p)
	}
}

// enough has a peer suspected that as many have failed to reach as it takes, this member among them.
func (f *Fleet) enough(now monotime.Micros, p *peer) {
	if p.state == Alive && p.mine && len(p.accusers) >= f.needed(p) {
		f.suspect(now, f.begun(now, p), p)
	}
}

func (f *Fleet) suspect(now, since monotime.Micros, p *peer) {
	p.state, p.since, p.suspectAt, p.accusers = Suspect, now, since, nil
	f.revision++
	f.suspects++
	f.watchOver(p)
	f.changes = append(f.changes, Change{p.ID, p.Name, Alive, Suspect, p.inc})
	r := f.accusation(p)
	r.By = 0
	f.tell(r)
}

// begun is from when on a suspicion counts: from the second accusation on, but from little before this member's
// own, since the others may be by chance, from before the peer fell silent, and its own is taken back when it
// reaches the peer.
func (f *Fleet) begun(now monotime.Micros, p *peer) monotime.Micros {
	slices.SortFunc(p.accusers, func(a, b accuser) int { return cmp.Compare(a.since, b.since) })
	at := p.accusers[min(1, len(p.accusers)-1)].since
	for _, a := range p.accusers {
		if a.id == f.self.ID {
			at = max(at, a.since-hearsay-f.usual(p))
		}
	}
	return max(at, now-backdate)
}

// compare has views compared that have differed for a while.
func (f *Fleet) compare(now monotime.Micros, p *peer, digest uint64) {
	if digest == f.digest {
		p.differs, p.back = 0, 0
		f.joined = true
		return
	}
	if p.differs == 0 {
		p.differs = now
	}
	if now-p.differs >= differTime && now >= f.syncAt {
		f.syncAt, p.differs = now+syncTime+f.jitter(syncTime/2), now
		f.send(p.Addr, p, Message{Kind: Compare, Sums: f.sum()})
	}
}

// entries answers with what this view has in the buckets that differ, as far as a few messages hold; which ones changes
// with each answer, so that all come in time.
func (f *Fleet) entries(m Message, reply func(Message)) {
	if len(m.Sums) != Buckets {
		return
	}
	sums := f.sum()
	var out []Rumor
	add := func(id ID, r Rumor) {
		if b := uint64(id) % Buckets; sums[b] != m.Sums[b] {
			out = append(out, r)
		}
	}
	if add(f.self.ID, f.own(Alive)); f.leaving {
		out = nil
	}
	for _, p := range f.order {
		s := p.state
		if s == Suspect {
			s = Alive
		}
		add(p.ID, Rumor{ID: p.ID, State: s, Inc: p.inc, Instance: p.Instance, Name: p.Name, Addr: p.Addr})
	}
	f.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	for range syncParts {
		part := out[:fitting(out, max(int(f.other), 0))]
		if out = out[len(part):]; len(part) == 0 {
			return
		}
		reply(Message{Kind: Entries, Rumors: part})
	}
}
