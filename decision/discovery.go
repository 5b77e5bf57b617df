package decision

import "spurspread/decision/slowstart"

const (
	// defaultWeight is that of a server which is listed without one.
	defaultWeight = 1.0
	// longUnhealthyAfter is how long a server has to be Unhealthy for a refresh of the server list.
	longUnhealthyAfter = 10 * sec
)

func (b *Balancer) onServerListUpdate(now Micros, ev ServerListUpdate) {
	if ev.Kind == UpdateFailed {
		b.polling.Failed(now)
		return
	}
	if ev.Kind != UpdateDelta {
		for _, s := range b.servers {
			s.State = Removed
		}
	}
	for i := range ev.Entries {
		b.updateServer(now, &ev.Entries[i])
	}
	b.updateMeanWeight()
	if ev.Kind == UpdateCached {
		b.grantStartupTokens()
	} else {
		b.polling.Answered(now)
	}
}

// updateServer applies one entry of an update. A server whose start time has changed is Unknown again, whatever it was
// before.
func (b *Balancer) updateServer(now Micros, entry *ServerEntry) {
	s := b.serversByID[entry.Server]
	switch {
	case s == nil:
		s = newServer(&b.setupsUnderWay)
		b.serversByID[entry.Server] = s
		b.servers = append(b.servers, s)
		s.setHealth(now, healthUnknown)
	case entry.StartedAt != s.StartedAt && entry.State == Ready:
		s.setHealth(now, healthUnknown)
		s.restarted()
	}
	s.ServerEntry = *entry
	if s.Weight <= 0 {
		s.Weight = defaultWeight
	}
	size, connections := b.loadModel.SizeFromWeight(entry.MachineType, s.Weight)
	s.load.SetListed(size, connections)
	s.Weight = size
}

// updateMeanWeight computes the mean weight of the Ready servers, without any it stays, and all weights over it.
func (b *Balancer) updateMeanWeight() {
	total, ready := 0.0, 0.0
	for _, s := range b.servers {
		if s.State == Ready {
			total += s.Weight
			ready++
		}
	}
	if ready > 0 {
		b.meanWeight = total / ready
	}
	for _, s := range b.servers {
		s.relativeWeight = s.Weight / b.meanWeight
	}
}

// grantStartupTokens lets a balancer that has just started send each server more than a burst: clients of the process
// before it come back at once.
func (b *Balancer) grantStartupTokens() {
	for _, s := range b.servers {
		s.budget.Tokens = slowstart.StartupTokens * s.Weight / b.meanWeight
	}
}

// pollDiscovery polls discovery if its schedule says so.
func (b *Balancer) pollDiscovery(now Micros) {
	if b.settings.PollDiscovery && b.polling.PollDue(now) {
		b.emit(WatchDiscovery{On: true})
	}
}

// listUsable decides whether requests may be placed by the server list that is held, and polls discovery soon where
// a process that has just started needs its first answer for that.
func (b *Balancer) listUsable(now Micros) bool {
	if !b.settings.PollDiscovery {
		return true
	}
	b.polling.RequestConfirmation(now)
	b.pollDiscovery(now)
	return b.polling.ListUsable(now)
}

// refreshListIfLongUnhealthy schedules a poll of discovery if a listed server has been Unhealthy for
// longUnhealthyAfter: it may be gone, and a missed update would explain it. The polling schedule bounds how often
// that happens.
func (b *Balancer) refreshListIfLongUnhealthy(now Micros) {
	if !b.settings.PollDiscovery {
		return
	}
	for _, s := range b.servers {
		longUnhealthy := s.State == Ready && s.health == healthUnhealthy &&
			now-s.enteredAt[healthUnhealthy] > longUnhealthyAfter
		if longUnhealthy && b.polling.RefreshAllowed(now) {
			b.polling.ScheduleRefresh(now)
			return
		}
	}
}
