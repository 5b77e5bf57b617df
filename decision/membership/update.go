package membership

import "spurspread/decision/monotime"

// applyUpdate applies an update if it overrides the known state of its member: a newer incarnation overrides an older
// one; under the same incarnation, a greater state overrides a smaller one.
func (f *Fleet) applyUpdate(now monotime.Micros, u Update) {
	if u.ID == f.self.ID {
		f.applyOwnUpdate(u)
		return
	}
	p := f.peers[u.ID]
	if p == nil {
		f.addPeer(now, u)
		return
	}
	if u.Incarnation < p.incarnation {
		return
	}
	if u.Incarnation == p.incarnation {
		f.applySameIncarnation(now, p, u)
	} else {
		f.applyNewerIncarnation(now, p, u)
	}
}

func (f *Fleet) applySameIncarnation(now monotime.Micros, p *peer, u Update) {
	switch {
	case u.State < p.state:
	case u.State == p.state && u.ReportedBy == 0:
		f.dissemination.countReceived(u, f.transmitLimit())
	case u.State == Suspect:
		f.recordFailureReport(now, now, p, u)
	case u.State > p.state:
		f.setState(now, p, u)
	}
}

func (f *Fleet) applyNewerIncarnation(now monotime.Micros, p *peer, u Update) {
	switch {
	case u.State == Suspect: // the reporter knew it as alive under this incarnation
		alive := u
		alive.State, alive.ReportedBy = Alive, 0
		f.setState(now, p, alive)
		f.recordFailureReport(now, now, p, u)
	case p.deadByOwnProbe && u.State == Alive:
		// Updates may arrive over paths on which acks get lost, so a member that did not answer this one's probes must
		// answer a ping before it counts as alive again.
		f.pingDead(now, p, u.Addr)
	default:
		f.setState(now, p, u)
	}
}
