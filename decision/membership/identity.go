package membership

// ownUpdate is a statement of this member about itself.
func (f *Fleet) ownUpdate(s State) Update {
	return Update{
		ID:          f.self.ID,
		State:       s,
		Incarnation: f.incarnation,
		Instance:    f.self.Instance,
		Name:        f.self.Name,
		Addr:        f.self.Addr,
	}
}

func (f *Fleet) announceSelf() { f.disseminate(f.ownUpdate(Alive)) }

// refute announces this member as alive under an incarnation that overrides a statement of others.
func (f *Fleet) refute(incarnation uint64) {
	f.toggleDigest(f.self.ID, f.incarnation, Alive)
	f.incarnation = incarnation + 1
	f.toggleDigest(f.self.ID, f.incarnation, Alive)
	f.announceSelf()
}

// refuteFailure refutes the statement that this member is suspected, dead or gone.
func (f *Fleet) refuteFailure(state State, incarnation uint64) {
	f.refute(incarnation)
	if state == Dead {
		f.recoverFromDeath()
	}
}

// refuteReportedState answers what the sender of a message considers this member to be.
func (f *Fleet) refuteReportedState(state State, incarnation uint64) {
	switch {
	case f.leaving:
	case state > Alive && incarnation >= f.incarnation:
		f.refuteFailure(state, incarnation)
	case state == Alive && incarnation > f.incarnation:
		f.refute(incarnation) // of an earlier process, whose clock was ahead
	}
}

// applyOwnUpdate takes an update about this member.
func (f *Fleet) applyOwnUpdate(u Update) {
	otherInstance := u.Instance != f.self.Instance && u.Instance != 0
	switch {
	case f.leaving:
	case u.State != Alive:
		if u.Incarnation >= f.incarnation {
			f.refuteFailure(u.State, u.Incarnation)
		}
	case otherInstance:
		if u.Incarnation >= f.incarnation || u.Instance > f.self.Instance {
			f.handleDuplicate(u.Instance, u.Incarnation)
		}
	case u.Incarnation > f.incarnation:
		f.refute(u.Incarnation) // of an earlier process, whose clock was ahead
	}
}

// handleDuplicate decides which of two processes with this name is the member: the one with the greater instance. So
// in an upgrade the new version is, and of two that have a name by mistake one stays. A later process that has gone
// since, as after this machine's clock was set back, can still be in updates of others: it is refuted once, and only
// one that answers is there and supersedes this one.
func (f *Fleet) handleDuplicate(instance, incarnation uint64) {
	if instance > f.self.Instance && instance == f.duplicateInstance {
		if incarnation > f.refutedIncarnation {
			f.superseded = true
		}
		return
	}
	f.refute(max(incarnation, f.incarnation))
	if instance > f.self.Instance {
		f.duplicateInstance = instance
		f.refutedIncarnation = f.incarnation
	}
}
