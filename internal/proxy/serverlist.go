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
	// saveListDelay is the delay before a changed list is saved, since several changes usually arrive together.
	saveListDelay = 200 * monotime.Millisecond
	// maxMachineType is the largest number of a machine type; all further types share it.
	maxMachineType = 65535
)

// serverDirectory owns the discovery client and the server list. It reports changes to the decision core, to unanswered
// requests, to resumption, and to Config.SaveList.
type serverDirectory struct {
	proxy         *Proxy
	list          *discovery.ServerList
	client        *discovery.Client
	saveScheduled bool
	zones         nameInterner
	machineTypes  nameInterner
	failures      int // failed discovery calls and broken watches
}

func newServerDirectory(p *Proxy) serverDirectory {
	d := serverDirectory{proxy: p, list: discovery.NewServerList()}
	d.zones.internAll(p.cfg.Settings.ZoneNames)
	d.machineTypes.internAll(p.cfg.Settings.MachineTypes)
	return d
}

// preserveZoneIndex replaces the index of the balancer's zone in reloaded settings by the number that the zone has had
// since the process started, because servers and requests already known to the core use these numbers.
func (d *serverDirectory) preserveZoneIndex(changed *settings.Settings) {
	if home := changed.Decision.Zone; home >= 0 && home < len(changed.ZoneNames) {
		changed.Decision.Zone = d.zones.intern(changed.ZoneNames[home])
	}
}

// open creates the discovery client and restores the cached list, which is named "known" in the configuration file.
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

// watchIfPushed starts a watch if server lists are pushed rather than polled and no watch is running. An agent on this
// machine pushes the lists, so a permanent watch adds no load elsewhere.
func (d *serverDirectory) watchIfPushed() {
	if !d.proxy.cfg.Settings.Decision.PollDiscovery && !d.client.Watching() {
		d.client.Watch()
	}
}

// ListUpdated is part of discovery.Watcher: the server list has been updated.
func (d *serverDirectory) ListUpdated(update discovery.Update) {
	p := d.proxy
	d.logUpdate(update)
	kind := decision.UpdateDelta
	if update.Full {
		kind = decision.UpdateFull
	}
	p.core.dispatch(d.updateEvent(kind, update))
	p.requests.handleServerListUpdate()
	p.resumption.handleServerListUpdate(update)
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
		p.loop.After(timeouts.WatchRestartDelay, d.watchIfPushed)
	}
}

// WatchStateChanged is part of discovery.Watcher: the state of the subscription has changed. reason is nil if no
// failure caused it.
func (d *serverDirectory) WatchStateChanged(before discovery.WatchState, now discovery.Status, reason error) {
	entry := d.proxy.log.WithFields(d.statusFields(now)).WithField(logging.PreviousWatch, before.String())
	if reason != nil {
		entry = entry.WithError(reason)
	}
	entry.Info("discovery watch changed")
}

// logUpdate logs how many servers an update lists, by state. An incremental update without servers is not logged.
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

// statusFields returns the state of discovery as log fields.
func (d *serverDirectory) statusFields(status discovery.Status) logrus.Fields {
	return logrus.Fields{
		logging.WatchState:   status.State.String(),
		logging.Generation:   status.Generation,
		logging.ListAge:      milliseconds(status.ListAge),
		logging.WatchSilence: milliseconds(status.LastByteAge),
	}
}

// addStats adds the state and the counters of discovery to the statistics.
func (d *serverDirectory) addStats(fields logrus.Fields) {
	status := d.client.Status()
	maps.Copy(fields, d.statusFields(status))
	fields[logging.DiscoveryCalls] = status.Calls
	fields[logging.DiscoveryFailures] = d.failures
}

// milliseconds converts an age for the log. A negative age, which means that nothing was received yet, becomes -1.
func milliseconds(age monotime.Micros) int64 {
	if age < 0 {
		return -1
	}
	return int64(age / monotime.Millisecond)
}

// save passes the whole list to Config.SaveList, if there is a list.
func (d *serverDirectory) save() {
	d.saveScheduled = false
	if from, list := d.client.Snapshot(); list != nil {
		d.proxy.cfg.SaveList(from, list)
	}
}

// updateEvent converts a change of the list into an event for the decision core.
func (d *serverDirectory) updateEvent(kind decision.UpdateKind, update discovery.Update) decision.ServerListUpdate {
	ev := decision.ServerListUpdate{Kind: kind}
	for _, server := range update.Servers {
		ev.Entries = append(ev.Entries, decision.ServerEntry{
			Server:      server.Number,
			StableID:    xxhash.Sum64String(server.ID),
			Zone:        uint32(d.zones.intern(server.Zone)),
			MachineType: uint16(min(d.machineTypes.intern(server.MachineType), maxMachineType)),
			State:       entryState(server.State),
			Weight:      server.Weight,
			Cell:        server.Cell,
			StartedAt:   decision.Micros(server.StartedMillis) * monotime.Millisecond,
		})
	}
	return ev
}

// entryState converts a server's state in discovery to the decision core's.
func entryState(state discovery.ServerState) decision.ServerState {
	switch state {
	case discovery.Ready:
		return decision.Ready
	case discovery.Gone:
		return decision.Removed
	}
	return decision.Draining
}

// indexOr returns the index of a name in names, or missing if it is not there.
func indexOr(names []string, name string, missing int) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return missing
}
