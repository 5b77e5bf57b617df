package decision

import "spurspread/decision/slowstart"

const (
	// defaultWeight is the weight of a server that discovery lists without one.
	defaultWeight = 1.0
	// longUnhealthyAfter is the time for which a server must be Unhealthy before the server list is refreshed for it.
	longUnhealthyAfter = 10 * sec
)

// onServerListUpdate applies an update to the known servers. UpdateFull and UpdateCached list all servers, so those
// that they do not list become Removed. UpdateFailed changes no server, only the polling schedule.
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

// updateServer applies one entry of an update. If the entry is Ready and has another start time than before, the server
// has restarted: its health is Unknown again, and what was learned of its previous process is discarded
// (resetAfterRestart).
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
		s.resetAfterRestart()
	}
	s.ServerEntry = *entry
	if s.Weight <= 0 {
		s.Weight = defaultWeight
	}
	size, connections := b.loadModel.SizeFromWeight(entry.MachineType, s.Weight)
	s.load.SetListed(size, connections)
	s.Weight = size
}

// updateMeanWeight computes the mean weight of the Ready servers and each server's weight relative to it. If no server
// is Ready, the mean stays as it was.
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

// grantStartupTokens lets a balancer that has just started send each server more than a usual burst, since the clients
// of the previous process reconnect all at once.
func (b *Balancer) grantStartupTokens() {
	for _, s := range b.servers {
		s.budget.Tokens = slowstart.StartupTokens * s.Weight / b.meanWeight
	}
}

// pollDiscovery polls discovery if a poll is due. It never polls if discovery pushes updates.
func (b *Balancer) pollDiscovery(now Micros) {
	if b.settings.PollDiscovery && b.polling.PollDue(now) {
		b.emit(WatchDiscovery{On: true})
	}
}

// listUsable reports whether the present server list is recent enough to place requests by; it always is if discovery
// pushes updates. Right after a start, it brings the first poll forward, because the cached list may be outdated.
func (b *Balancer) listUsable(now Micros) bool {
	if !b.settings.PollDiscovery {
		return true
	}
	b.polling.RequestConfirmation(now)
	b.pollDiscovery(now)
	return b.polling.ListUsable(now)
}

// refreshListIfLongUnhealthy schedules a poll of discovery if a server that is listed as Ready has been Unhealthy for
// longUnhealthyAfter: the server may be gone and the update that removed it lost. The polling schedule limits how often
// this happens.
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
