// Package relay takes clients in at the ingress, carries out what the decision module decides about them on hops to
// the egress targets, and passes lines on. It turns what happens on sockets into the module's events.
package proxy

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"spurspread/decision"
	"spurspread/decision/outcome"
	"spurspread/decision/upstreampool"
	"spurspread/internal/discovery"
	"spurspread/internal/eventloop"
	"spurspread/internal/logging"
	"spurspread/internal/mux"
	"spurspread/internal/settings"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

// Config is what a relay is started with.
type Config struct {
	Settings          settings.Settings
	Listen, Discovery netip.AddrPort
	Seed              uint64
	CachedList        []byte // the route table as it was last held; may be empty
	MaxDescriptors    int    // how many the process may hold
	MemoryLimit       int64  // bytes that it may use; 0 where not told, as above
	Resume            *ResumeConfig
	// Keep, if set, is given what discovery has told, whole, some time after a change of it. It must not wait.
	SaveList func(discovery netip.AddrPort, list []byte)
	Channels *ChannelConfig
}

const (
	millisecond eventloop.Micros = 1000
	second      eventloop.Micros = 1000 * millisecond
)

// decisionModule is the decision module, as far as the relay knows it.
type decisionModule interface {
	Handle(now decision.Micros, ev decision.Event, out []decision.Action) []decision.Action
}

// Proxy is one balancer: its loop's sockets, its route table and its decision module.
type Proxy struct {
	loop      *eventloop.Loop
	cfg       Config
	log       *logrus.Logger
	balancer  decisionModule
	servers   *discovery.ServerList
	discovery *discovery.Client
	listener  *eventloop.Listener

	requests       eventloop.Slots[*request]
	unanswered     requestSet // sessions that have no answer yet
	awaitingReply  requestSet // sessions with lines that have not been answered
	lingering      int        // connections that have their answer, and are given a moment to take it
	idle           idleConns
	requestIDs     requestIDs
	closedRequests []*request       // answered and closed; their slots are freed once the module's queue is empty
	latencies      []*serverLatency // by the target's number
	events         []decision.Event
	dispatching    bool
	actions        []decision.Action
	readBuf        []byte
	muxReadBuf     []byte // what connections with channels read into
	windowBudget   mux.Budget
	muxDownstreams map[*muxDownstreamConn]bool
	upstreamPool   *upstreampool.Pool
	muxUpstreams   map[uint32]*muxUpstreamConn
	idleUpstreams  []uint32
	// Bytes kept for a slow reader before its sender is left alone.
	maxPending      int
	buffersSizedFor int // for so many it was last fitted to the memory
	counters        counters
	drain           drainState
	saveScheduled   bool // the list is to be kept soon
	fleetSize       int  // of the fleet, 0 where nobody has told
	fleetRank       int  // among them
	resumption      resumption
}

// counters are what the log tells now and then.
type counters struct{ accepted, established, rejected, failed, moved, silent, protocolErrors, evicted, upstreamsFailed, sharedFailures, transferred, adopted int }

// New starts a relay on the loop: it listens, and its module starts from the known list.
func New(l *eventloop.Loop, cfg Config, log *logrus.Logger) (*Proxy, error) {
	return start(l, cfg, log, decision.New(cfg.Settings.Decision, cfg.Seed, decision.Micros(l.Now())))
}

func start(l *eventloop.Loop, cfg Config, log *logrus.Logger, bal decisionModule) (*Proxy, error) {
	r := &Proxy{
		loop: l, cfg: cfg, log: log, balancer: bal, servers: discovery.NewServerList(), requestIDs: newRequestIDs(),
		readBuf: make(
			[]byte,
			8<<10,
		), muxDownstreams: map[*muxDownstreamConn]bool{}, muxUpstreams: map[uint32]*muxUpstreamConn{},
	}
	r.initRequestSets()
	r.sizeBuffers()
	r.configureChannels(cfg.Channels)
	r.resumption.configure(cfg.Resume, cfg.Seed)
	r.discovery = discovery.NewClient(l, cfg.Discovery, r.servers, r)
	known := discovery.Update{}
	if len(cfg.CachedList) > 0 {
		var err error
		if known, err = r.discovery.Restore(cfg.CachedList); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	var err error
	if r.listener, err = l.ListenShared(cfg.Listen, r.accept); err != nil {
		return nil, err
	}
	r.dispatch(r.listUpdate(decision.UpdateCached, known))
	r.moveOffDrainingServers(known)
	r.watchPushedLists()
	r.loop.After(sweepInterval, r.sweep)
	r.loop.After(statsInterval, r.logStats)
	return r, nil
}

// initRequestSets begins the lists of sessions that something is to be looked at for.
func (r *Proxy) initRequestSets() {
	r.unanswered.index = func(s *request) *int32 { return &s.unansweredIndex }
	r.awaitingReply.index = func(s *request) *int32 { return &s.awaitingReplyIndex }
}

// Addr is where the relay listens.
func (r *Proxy) Addr() netip.AddrPort { return r.listener.Addr() }

// SetFleet tells how many balancers share the fleet's budgets now, and which place this one has among them. Until
// then, and where nobody tells, the settings' numbers hold.
func (r *Proxy) SetFleet(members, place int) {
	if members == r.fleetSize && place == r.fleetRank {
		return
	}
	r.fleetSize, r.fleetRank = members, place
	r.applyFleet(&r.cfg.Settings.Decision)
	r.dispatch(decision.SettingsChanged{Settings: r.cfg.Settings.Decision})
}

// applyFleet puts what was told of the fleet in place of the settings' numbers.
func (r *Proxy) applyFleet(s *decision.Settings) {
	if r.fleetSize > 0 {
		s.Balancers, s.Rank = r.fleetSize, r.fleetRank
	}
}

// Reload takes what a configuration that was read again may change under way: the settings, discovery's address and
// the number of descriptors. Settings are swapped whole: requests from now on are asked under them, and connections
// keep the class that they were asked under.
func (r *Proxy) Reload(cfg Config) {
	if cfg.Listen != r.cfg.Listen {
		r.log.Warn("change of listen ignored, it needs a restart")
	}
	r.applyFleet(&cfg.Settings.Decision)
	if !reflect.DeepEqual(cfg.Settings, r.cfg.Settings) {
		r.cfg.Settings = cfg.Settings
		r.dispatch(decision.SettingsChanged{Settings: cfg.Settings.Decision})
		r.log.WithField(logging.Classes, strings.Join(cfg.Settings.ClassNames, ",")).Info("settings changed")
	}
	r.cfg.MaxDescriptors, r.cfg.MemoryLimit = cfg.MaxDescriptors, cfg.MemoryLimit
	r.sizeBuffers()
	r.resumption.configure(cfg.Resume, r.cfg.Seed)
	r.configureChannels(cfg.Channels)
	if cfg.Discovery != r.cfg.Discovery {
		r.cfg.Discovery = cfg.Discovery
		r.discovery.ChangeAddress(cfg.Discovery)
	}
	r.watchPushedLists()
	r.log.WithField(logging.Discovery, cfg.Discovery).Info("configuration reloaded")
}

// dispatch hands an event to the module and carries out what it decides. What that brings about in turn waits in line,
// so that the module never hears of an event in the middle of another.
func (r *Proxy) dispatch(ev decision.Event) {
	r.events = append(r.events, ev)
	if r.dispatching {
		return
	}
	r.dispatching = true
	for i := 0; i < len(r.events); i++ {
		r.actions = r.balancer.Handle(decision.Micros(r.loop.Now()), r.events[i], r.actions[:0])
		for _, a := range r.actions {
			r.apply(a)
		}
	}
	clear(r.events)
	r.events, r.dispatching = r.events[:0], false
	r.releaseClosed()
}

// releaseClosed frees the slots of closed sessions, unless the module may still speak of them.
func (r *Proxy) releaseClosed() {
	if r.dispatching {
		return
	}
	for _, s := range r.closedRequests {
		r.requests.Drop(s.ref)
	}
	r.closedRequests = r.closedRequests[:0]
}

func (r *Proxy) apply(a decision.Action) {
	switch a := a.(type) {
	case decision.WatchDiscovery:
		if a.On {
			r.discovery.Watch()
		} else {
			r.discovery.StopWatching()
		}
	case decision.FetchServerList:
		r.discovery.Fetch()
	case decision.ProbeServer:
		r.startProbe(a.Server)
	case decision.SetTimer:
		r.loop.After(eventloop.Micros(a.Delay), func() { r.dispatch(decision.TimerFired{Token: a.Token}) })
	case decision.StartAttempt:
		if s, ok := r.requests.Get(eventloop.Ref(a.ID)); ok {
			s.send(a)
		}
	case decision.Reject:
		if s, ok := r.requests.Get(eventloop.Ref(a.ID)); ok {
			s.reject(eventloop.Micros(a.RetryAfter))
		}
	case decision.Fail:
		if s, ok := r.requests.Get(eventloop.Ref(a.ID)); ok {
			s.fail()
		}
	case decision.CancelAttempt:
		if s, ok := r.requests.Get(eventloop.Ref(a.ID)); ok && s.attempt != nil && s.attempt.number == a.Attempt && s.state != stateEstablished {
			s.attempt.end(outcome.Cancelled)
		}
	case decision.MoveConnection:
		if s, ok := r.requests.Get(eventloop.Ref(a.ID)); ok {
			s.moveDecided(a)
		}
	}
}

// Listed is part of route.Watcher.
func (r *Proxy) Listed(c discovery.Update) {
	kind := decision.UpdateDelta
	if c.Full {
		kind = decision.UpdateFull
	}
	r.dispatch(r.listUpdate(kind, c))
	r.recallUnsent()
	for s := range r.unanswered.each {
		s.reattach()
	}
	r.moveOffDrainingServers(c)
	if r.cfg.SaveList != nil && !r.saveScheduled {
		r.saveScheduled = true
		r.loop.After(saveListDelay, r.saveList)
	}
}

// saveList gives away what discovery has told.
func (r *Proxy) saveList() {
	r.saveScheduled = false
	if at, whole := r.discovery.Snapshot(); whole != nil {
		r.cfg.SaveList(at, whole)
	}
}

// Failed is part of route.Watcher.
func (r *Proxy) Failed(err error) {
	r.log.WithError(err).Warn("discovery failed")
	r.dispatch(decision.ServerListUpdate{Kind: decision.UpdateFailed})
	if !r.cfg.Settings.Decision.PollDiscovery {
		r.loop.After(rewatchDelay, r.watchPushedLists)
	}
}

// watchPushedLists keeps a watch where lists are pushed. There the module never asks: whoever pushes them, an agent on this
// machine, is to be heard from the start and costs nobody anything, so nothing is there to decide.
func (r *Proxy) watchPushedLists() {
	if !r.cfg.Settings.Decision.PollDiscovery && !r.discovery.Watching() {
		r.discovery.Watch()
	}
}

var listStates = map[discovery.ServerState]decision.ServerState{
	discovery.Ready: decision.Ready, discovery.Terminating: decision.Draining, discovery.Gone: decision.Removed,
}

func (r *Proxy) listUpdate(kind decision.UpdateKind, c discovery.Update) decision.ServerListUpdate {
	u := decision.ServerListUpdate{Kind: kind}
	for _, t := range c.Servers {
		u.Entries = append(u.Entries, decision.ServerEntry{
			Server: t.Number, StableID: xxhash.Sum64String(t.ID), Zone: uint8(indexOr(r.cfg.Settings.ZoneNames, t.Zone, 255)),
			MachineType: uint16(
				indexOr(r.cfg.Settings.MachineTypes, t.MachineType, 65535),
			), State: listStates[t.State], Weight: t.Weight,
			Cell: t.Cell, StartedAt: decision.Micros(t.StartedMillis) * millisecond,
		})
	}
	return u
}

// indexOr finds a name's number; one that the settings don't know is none of theirs.
func indexOr(names []string, name string, none int) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return none
}

// latencyOf is the record of how long the target's messages take.
func (r *Proxy) latencyOf(num uint32) *serverLatency {
	for int(num) >= len(r.latencies) {
		r.latencies = append(
			r.latencies,
			&serverLatency{established: requestSet{index: func(s *request) *int32 { return &s.establishedIndex }}},
		)
	}
	return r.latencies[num]
}

// bufferedBytes is how many bytes wait for clients and targets to take them.
func (r *Proxy) bufferedBytes() (bytes int) {
	for _, s := range r.requests.All {
		bytes += s.downstream.Pending() + len(s.partial.partial)
		if s.attempt != nil && s.attempt.upstream != nil {
			bytes += s.attempt.upstream.Pending()
		}
	}
	return bytes
}

const (
	sweepInterval = 200 * millisecond
	statsInterval = 5 * second
	saveListDelay = 200 * millisecond // changes mostly come together
	rewatchDelay  = 500 * millisecond // what is pushed counts as told after some seconds, heard or not
)

func (r *Proxy) logStats() {
	r.loop.After(statsInterval, r.logStats)
	fields := logrus.Fields{
		logging.Connections: r.requests.Len(), logging.Sockets: r.loop.Descriptors(), logging.Accepted: r.counters.accepted, logging.Established: r.counters.established,
		logging.Rejected: r.counters.rejected, logging.Failed: r.counters.failed, logging.Moved: r.counters.moved, logging.Unresponsive: r.counters.silent,
		logging.ProtocolErrors: r.counters.protocolErrors, logging.Evicted: r.counters.evicted, logging.TransferredIn: r.counters.adopted,
	}
	r.resumption.addStats(fields)
	if r.cfg.Channels != nil {
		trunks, hops := r.upstreamPool.Counts()
		fields[logging.MuxClients], fields[logging.MuxUpstreams], fields[logging.UpstreamChannels] = len(
			r.muxDownstreams,
		), trunks, hops
		fields[logging.ReceiveWindowBytes], fields[logging.QueuedBytes] = r.windowBudget.Promised(), r.bufferedBytes()
		fields[logging.MuxUpstreamsFailed], fields[logging.CorrelatedFailures] = r.counters.upstreamsFailed, r.counters.sharedFailures
	}
	r.log.WithFields(fields).Info("statistics")
}
