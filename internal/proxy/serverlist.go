package proxy

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"spurspread/decision"
	"spurspread/decision/monotime"
	"spurspread/decision/timeouts"
	"spurspread/internal/discovery"
	"spurspread/internal/logging"
	"spurspread/internal/settings"
)

const (
	// saveListDelay is how long a changed list waits before it is saved; changes mostly come together.
	saveListDelay = 200 * monotime.Millisecond
	// maxMachineType is the number of machine types that have no other one left.
	maxMachineType = 65535
)

// serverDirectory owns the discovery client and the server list. It reports changes to the decision core, to requests
// that wait for a server, and to whoever saves the list.
type serverDirectory struct {
	proxy         *Proxy
	list          *discovery.ServerList
	client        *discovery.Client
	saveScheduled bool
	zones         nameNumbers
	machineTypes  nameNumbers
	failures      int // of calls of discovery, and of established watches
}

func newServerDirectory(p *Proxy) serverDirectory {
	d := serverDirectory{proxy: p, list: discovery.NewServerList()}
	d.zones.add(p.cfg.Settings.ZoneNames)
	d.machineTypes.add(p.cfg.Settings.MachineTypes)
	return d
}

// keepNumbers puts the numbers that zones have here in place of those that reloaded settings give them: servers and
// requests that the core knows have the old ones.
func (d *serverDirectory) keepNumbers(changed *settings.Settings) {
	if home := changed.Decision.Zone; home >= 0 && home < len(changed.ZoneNames) {
		changed.Decision.Zone = d.zones.number(changed.ZoneNames[home])
	}
}

// open makes the discovery client and restores the cached list.
func (d *serverDirectory) open(cfg Config) (cached discovery.Update, err error) {
	d.client = discovery.NewClient(d.proxy.loop, cfg.Discovery, d.list, d)
	if len(cfg.CachedList) == 0 {
		return discovery.Update{}, nil
	}
	if cached, err = d.client.Restore(cfg.CachedList); err != nil {
		return discovery.Update{}, fmt.Errorf("known: %w", err)
	}
	return cached, nil
}

// setWatch starts or stops the watch of discovery.
func (d *serverDirectory) setWatch(on bool) {
	if on {
		d.client.Watch()
	} else {
		d.client.StopWatching()
	}
}

// watchIfPushed keeps a watch where server lists are pushed. There the core never polls: an agent on this machine
// pushes them, and watching it from the start costs nobody anything.
func (d *serverDirectory) watchIfPushed() {
	if !d.proxy.cfg.Settings.Decision.PollDiscovery && !d.client.Watching() {
		d.client.Watch()
	}
}

// ListUpdated is part of discovery.Watcher: the list has changed.
func (d *serverDirectory) ListUpdated(update discovery.Update) {
	p := d.proxy
	d.logUpdate(update)
	kind := decision.UpdateDelta
	if update.Full {
		kind = decision.UpdateFull
	}
	p.core.dispatch(d.event(kind, update))
	p.requests.followServerList()
	p.resumption.followServerList(update)
	if p.cfg.SaveList != nil && !d.saveScheduled {
		d.saveScheduled = true
		p.loop.After(saveListDelay, d.save)
	}
}

// Failed is part of discovery.Watcher: a call failed or the watch broke.
func (d *serverDirectory) Failed(err error) {
	p := d.proxy
	d.failures++
	p.log.WithFields(d.statusFields(d.client.Status())).WithError(err).Warn("discovery failed")
	p.core.dispatch(decision.ServerListUpdate{Kind: decision.UpdateFailed})
	if !p.cfg.Settings.Decision.PollDiscovery {
		p.loop.After(timeouts.Rewatch, d.watchIfPushed)
	}
}

// WatchStateChanged is part of discovery.Watcher: the subscription is in another state.
func (d *serverDirectory) WatchStateChanged(before discovery.WatchState, now discovery.Status, reason error) {
	entry := d.proxy.log.WithFields(d.statusFields(now)).WithField(logging.PreviousWatch, before.String())
	if reason != nil {
		entry = entry.WithError(reason)
	}
	entry.Info("discovery watch changed")
}

// logUpdate logs an update of the list that names servers: how many, by their new states.
func (d *serverDirectory) logUpdate(update discovery.Update) {
	if len(update.Servers) == 0 && !update.Full {
		return
	}
	var states [discovery.Gone + 1]int
	for _, server := range update.Servers {
		states[server.State]++
	}
	d.proxy.log.WithFields(logrus.Fields{
		logging.Generation:         update.Generation,
		logging.FullList:           update.Full,
		logging.ReadyServers:       states[discovery.Ready],
		logging.TerminatingServers: states[discovery.Terminating],
		logging.GoneServers:        states[discovery.Gone],
	}).Info("server list updated")
}

// statusFields are what is known of discovery, as fields of the log.
func (d *serverDirectory) statusFields(status discovery.Status) logrus.Fields {
	return logrus.Fields{
		logging.WatchState:   status.State.String(),
		logging.Generation:   status.Generation,
		logging.ListAge:      milliseconds(status.ListAge),
		logging.WatchSilence: milliseconds(status.LastByteAge),
	}
}

// addStats adds what is known of discovery to the statistics.
func (d *serverDirectory) addStats(fields logrus.Fields) {
	status := d.client.Status()
	maps.Copy(fields, d.statusFields(status))
	fields[logging.DiscoveryCalls] = status.Calls
	fields[logging.DiscoveryFailures] = d.failures
}

// milliseconds converts an age for the log; -1 stays.
func milliseconds(age monotime.Micros) int64 {
	if age < 0 {
		return -1
	}
	return int64(age / monotime.Millisecond)
}

// save gives the whole list to whoever keeps it.
func (d *serverDirectory) save() {
	d.saveScheduled = false
	if from, list := d.client.Snapshot(); list != nil {
		d.proxy.cfg.SaveList(from, list)
	}
}

// event is a change of the list as the decision core sees it.
func (d *serverDirectory) event(kind decision.UpdateKind, update discovery.Update) decision.ServerListUpdate {
	ev := decision.ServerListUpdate{Kind: kind}
	for _, server := range update.Servers {
		ev.Entries = append(ev.Entries, decision.ServerEntry{
			Server:      server.Number,
			StableID:    xxhash.Sum64String(server.ID),
			Zone:        uint32(d.zones.number(server.Zone)),
			MachineType: uint16(min(d.machineTypes.number(server.MachineType), maxMachineType)),
			State:       entryState(server.State),
			Weight:      server.Weight,
			Cell:        server.Cell,
			StartedAt:   decision.Micros(server.StartedMillis) * monotime.Millisecond,
		})
	}
	return ev
}

// entryState is the decision core's name for a state in discovery.
func entryState(state discovery.ServerState) decision.ServerState {
	switch state {
	case discovery.Ready:
		return decision.Ready
	case discovery.Gone:
		return decision.Removed
	}
	return decision.Draining
}

// indexOr is the index of a name, or the given number where the name is missing.
func indexOr(names []string, name string, missing int) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return missing
}
