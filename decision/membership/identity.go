package membership

// ownUpdate returns an update by this member about itself.
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

// refute disseminates this member as alive under the incarnation after the given one, which overrides statements by
// others under that incarnation.
func (f *Fleet) refute(incarnation uint64) {
	f.toggleDigest(f.self.ID, f.incarnation, Alive)
	f.incarnation = incarnation + 1
	f.toggleDigest(f.self.ID, f.incarnation, Alive)
	f.announceSelf()
}

// refuteFailure refutes a statement that this member is suspected or dead, or has left.
func (f *Fleet) refuteFailure(state State, incarnation uint64) {
	f.refute(incarnation)
	if state == Dead {
		f.recoverFromDeath()
	}
}

// refuteReportedState refutes the state that the sender of a message attributes to this member, if that state is wrong.
func (f *Fleet) refuteReportedState(state State, incarnation uint64) {
	switch {
	case f.leaving:
	case state > Alive && incarnation >= f.incarnation:
		f.refuteFailure(state, incarnation)
	case state == Alive && incarnation > f.incarnation:
		f.refute(incarnation) // an earlier process of this name, whose clock was ahead, has used that incarnation
	}
}

// applyOwnUpdate processes an update by another member about this one.
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
		f.refute(u.Incarnation) // as in refuteReportedState: used by an earlier process of this name
	}
}

// handleDuplicate resolves a conflict between two processes with this member's name: the one with the greater instance
// keeps the name. During an upgrade that is the new version; if a name is used twice by mistake, one process remains. A
// later process that has already stopped, e.g. because this machine's clock was set back, may still occur in updates by
// others. Therefore a later process is refuted once, and supersedes this one only if it answers under a still newer
// incarnation.
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
