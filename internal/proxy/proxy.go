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
	Known             []byte // the route table as it was last held; may be empty
	Descriptors       int    // how many the process may hold
	Memory            int64  // bytes that it may use; 0 where not told, as above
	Resume            *Resume
	// Keep, if set, is given what discovery has told, whole, some time after a change of it. It must not wait.
	Keep     func(discovery netip.AddrPort, list []byte)
	Channels *Channels
}

const (
	ms  eventloop.Micros = 1000
	sec eventloop.Micros = 1000 * ms
)

// decider is the decision module, as far as the relay knows it.
type decider interface {
	Handle(now decision.Micros, ev decision.Event, out []decision.Action) []decision.Action
}

// Relay is one balancer: its loop's sockets, its route table and its decision module.
type Relay struct {
	l         *eventloop.Loop
	cfg       Config
	log       *logrus.Logger
	bal       decider
	table     *discovery.Table
	discovery *discovery.Discovery
	ingress   *eventloop.Listener

	sessions eventloop.Slots[*session]
	underWay roster // sessions that have no answer yet
	awaited  roster // sessions with lines that have not been answered
	ending   int    // connections that have their answer, and are given a moment to take it
	room     room
	ids      ids
	gone     []*session // answered and closed; their slots are freed once the module's queue is empty
	targets  []*pace    // by the target's number
	queue    []decision.Event
	telling  bool
	actions  []decision.Action
	scratch  []byte
	wide     []byte // what connections with channels read into
	budget   mux.Budget
	muxes    map[*muxed]bool
	pool     *upstreampool.Pool
	trunks   map[uint32]*trunk
	idle     []uint32
	// Bytes kept for a slow reader before its sender is left alone.
	maxPending int
	sized      int // for so many it was last fitted to the memory
	counts     counts
	drain      drain
	keeping    bool // the list is to be kept soon
	members    int  // of the fleet, 0 where nobody has told
	place      int  // among them
	resumption resumption
}

// counts are what the log tells now and then.
type counts struct{ taken, up, shed, failed, moved, silent, odd, evicted, trunksFailed, echoes, passed, adopted int }

// New starts a relay on the loop: it listens, and its module starts from the known list.
func New(l *eventloop.Loop, cfg Config, log *logrus.Logger) (*Relay, error) {
	return start(l, cfg, log, decision.New(cfg.Settings.Logic, cfg.Seed, decision.Micros(l.Now())))
}

func start(l *eventloop.Loop, cfg Config, log *logrus.Logger, bal decider) (*Relay, error) {
	r := &Relay{
		l: l, cfg: cfg, log: log, bal: bal, table: discovery.NewTable(), ids: newIDs(),
		scratch: make([]byte, 8<<10), muxes: map[*muxed]bool{}, trunks: map[uint32]*trunk{},
	}
	r.rosters()
	r.limit()
	r.setChannels(cfg.Channels)
	r.resumption.set(cfg.Resume, cfg.Seed)
	r.discovery = discovery.NewDiscovery(l, cfg.Discovery, r.table, r)
	known := discovery.Change{}
	if len(cfg.Known) > 0 {
		var err error
		if known, err = r.discovery.Known(cfg.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	var err error
	if r.ingress, err = l.ListenShared(cfg.Listen, r.accept); err != nil {
		return nil, err
	}
	r.tell(r.update(decision.Cached, known))
	r.evacuate(known)
	r.heedPushed()
	r.l.After(sweepEvery, r.sweep)
	r.l.After(reportEvery, r.report)
	return r, nil
}

// rosters begins the lists of sessions that something is to be looked at for.
func (r *Relay) rosters() {
	r.underWay.place = func(s *session) *int32 { return &s.inUnderWay }
	r.awaited.place = func(s *session) *int32 { return &s.inAwaited }
}

// Addr is where the relay listens.
func (r *Relay) Addr() netip.AddrPort { return r.ingress.Addr() }

// Fleet tells how many balancers share the fleet's budgets now, and which place this one has among them. Until
// then, and where nobody tells, the settings' numbers hold.
func (r *Relay) Fleet(members, place int) {
	if members == r.members && place == r.place {
		return
	}
	r.members, r.place = members, place
	r.counted(&r.cfg.Settings.Logic)
	r.tell(decision.Retuned{Settings: r.cfg.Settings.Logic})
}

// counted puts what was told of the fleet in place of the settings' numbers.
func (r *Relay) counted(s *decision.Settings) {
	if r.members > 0 {
		s.Balancers, s.Rank = r.members, r.place
	}
}

// Reload takes what a configuration that was read again may change under way: the settings, discovery's address and
// the number of descriptors. Settings are swapped whole: requests from now on are asked under them, and connections
// keep the class that they were asked under.
func (r *Relay) Reload(cfg Config) {
	if cfg.Listen != r.cfg.Listen {
		r.log.Warn("a change of listen takes a restart")
	}
	r.counted(&cfg.Settings.Logic)
	if !reflect.DeepEqual(cfg.Settings, r.cfg.Settings) {
		r.cfg.Settings = cfg.Settings
		r.tell(decision.Retuned{Settings: cfg.Settings.Logic})
		r.log.WithField(logging.Classes, strings.Join(cfg.Settings.Classes, ",")).Info("settings retuned")
	}
	r.cfg.Descriptors, r.cfg.Memory = cfg.Descriptors, cfg.Memory
	r.limit()
	r.resumption.set(cfg.Resume, r.cfg.Seed)
	r.setChannels(cfg.Channels)
	if cfg.Discovery != r.cfg.Discovery {
		r.cfg.Discovery = cfg.Discovery
		r.discovery.Move(cfg.Discovery)
	}
	r.heedPushed()
	r.log.WithField(logging.Discovery, cfg.Discovery).Info("configuration read again")
}

// tell hands an event to the module and carries out what it decides. What that brings about in turn waits in line,
// so that the module never hears of an event in the middle of another.
func (r *Relay) tell(ev decision.Event) {
	r.queue = append(r.queue, ev)
	if r.telling {
		return
	}
	r.telling = true
	for i := 0; i < len(r.queue); i++ {
		r.actions = r.bal.Handle(decision.Micros(r.l.Now()), r.queue[i], r.actions[:0])
		for _, a := range r.actions {
			r.do(a)
		}
	}
	clear(r.queue)
	r.queue, r.telling = r.queue[:0], false
	r.release()
}

// release frees the slots of closed sessions, unless the module may still speak of them.
func (r *Relay) release() {
	if r.telling {
		return
	}
	for _, s := range r.gone {
		r.sessions.Drop(s.ref)
	}
	r.gone = r.gone[:0]
}

func (r *Relay) do(a decision.Action) {
	switch a := a.(type) {
	case decision.Watch:
		if a.On {
			r.discovery.Watch()
		} else {
			r.discovery.Unwatch()
		}
	case decision.Fetch:
		r.discovery.Fetch()
	case decision.Probe:
		r.probe(a.Server)
	case decision.SetTimer:
		r.l.After(eventloop.Micros(a.Delay), func() { r.tell(decision.Timer{Token: a.Token}) })
	case decision.Send:
		if s, ok := r.sessions.Get(eventloop.Ref(a.ID)); ok {
			s.send(a)
		}
	case decision.Refuse:
		if s, ok := r.sessions.Get(eventloop.Ref(a.ID)); ok {
			s.shed(eventloop.Micros(a.HoldOff))
		}
	case decision.Fail:
		if s, ok := r.sessions.Get(eventloop.Ref(a.ID)); ok {
			s.fail()
		}
	case decision.Cancel:
		if s, ok := r.sessions.Get(eventloop.Ref(a.ID)); ok && s.hop != nil && s.hop.attempt == a.Attempt && s.phase != open {
			s.hop.end(outcome.Cancelled)
		}
	case decision.Move:
		if s, ok := r.sessions.Get(eventloop.Ref(a.ID)); ok {
			s.bid(a)
		}
	}
}

// Listed is part of route.Watcher.
func (r *Relay) Listed(c discovery.Change) {
	kind := decision.Delta
	if c.Whole {
		kind = decision.Full
	}
	r.tell(r.update(kind, c))
	r.recall()
	for s := range r.underWay.each {
		s.resume()
	}
	r.evacuate(c)
	if r.cfg.Keep != nil && !r.keeping {
		r.keeping = true
		r.l.After(keepAfter, r.keepList)
	}
}

// keepList gives away what discovery has told.
func (r *Relay) keepList() {
	r.keeping = false
	if at, whole := r.discovery.Whole(); whole != nil {
		r.cfg.Keep(at, whole)
	}
}

// Failed is part of route.Watcher.
func (r *Relay) Failed(err error) {
	r.log.WithError(err).Warn("discovery failed")
	r.tell(decision.Update{Kind: decision.Failed})
	if !r.cfg.Settings.Logic.Ask {
		r.l.After(pushedAgain, r.heedPushed)
	}
}

// heedPushed keeps a watch where lists are pushed. There the module never asks: whoever pushes them, an agent on this
// machine, is to be heard from the start and costs nobody anything, so nothing is there to decide.
func (r *Relay) heedPushed() {
	if !r.cfg.Settings.Logic.Ask && !r.discovery.Watching() {
		r.discovery.Watch()
	}
}

var listStates = map[discovery.State]decision.ListState{
	discovery.Ready: decision.Ready, discovery.Terminating: decision.Draining, discovery.Gone: decision.Gone,
}

func (r *Relay) update(kind decision.ListKind, c discovery.Change) decision.Update {
	u := decision.Update{Kind: kind}
	for _, t := range c.Targets {
		u.Entries = append(u.Entries, decision.Entry{
			Server: t.Num, Name: xxhash.Sum64String(t.ID), Zone: uint8(place(r.cfg.Settings.Zones, t.Zone, 255)),
			Kind: uint16(place(r.cfg.Settings.Kinds, t.Machine, 65535)), State: listStates[t.State], Units: t.Weight,
			Cell: t.Cell, Started: decision.Micros(t.StartedMillis) * ms,
		})
	}
	return u
}

// place finds a name's number; one that the settings don't know is none of theirs.
func place(names []string, name string, none int) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return none
}

// pace is the record of how long the target's messages take.
func (r *Relay) pace(num uint32) *pace {
	for int(num) >= len(r.targets) {
		r.targets = append(r.targets, &pace{stands: roster{place: func(s *session) *int32 { return &s.inStands }}})
	}
	return r.targets[num]
}

// kept is how many bytes wait for clients and targets to take them.
func (r *Relay) kept() (bytes int) {
	for _, s := range r.sessions.All {
		bytes += s.in.Pending() + len(s.kept.torn)
		if s.hop != nil && s.hop.out != nil {
			bytes += s.hop.out.Pending()
		}
	}
	return bytes
}

const (
	sweepEvery  = 200 * ms
	reportEvery = 5 * sec
	keepAfter   = 200 * ms // changes mostly come together
	pushedAgain = 500 * ms // what is pushed counts as told after some seconds, heard or not
)

func (r *Relay) report() {
	r.l.After(reportEvery, r.report)
	fields := logrus.Fields{
		logging.Standing: r.sessions.Len(), logging.Sockets: r.l.Descriptors(), logging.Taken: r.counts.taken, logging.Up: r.counts.up,
		logging.Shed: r.counts.shed, logging.Failed: r.counts.failed, logging.Moved: r.counts.moved, logging.Silent: r.counts.silent,
		logging.Odd: r.counts.odd, logging.Evicted: r.counts.evicted, logging.Adopted: r.counts.adopted,
	}
	r.resumption.report(fields)
	if r.cfg.Channels != nil {
		trunks, hops := r.pool.Len()
		fields[logging.Muxed], fields[logging.Trunks], fields[logging.TrunkHops] = len(r.muxes), trunks, hops
		fields[logging.Promised], fields[logging.Kept] = r.budget.Promised(), r.kept()
		fields[logging.TrunksFailed], fields[logging.Echoes] = r.counts.trunksFailed, r.counts.echoes
	}
	r.log.WithFields(fields).Info("so far")
}
