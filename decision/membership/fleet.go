package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"spurspread/decision/monotime"
)

const (
	// cleanupInterval is the time between two searches for state that has expired.
	cleanupInterval = 500 * monotime.Millisecond
	// deadRetention is how long a member that is dead or has left is remembered: so long it counts in the rate
	// divisor, and an old update can't bring it back.
	deadRetention = 600 * monotime.Second

	// joinInterval is the time between two attempts to join, joinJitter what is added at random.
	joinInterval = 2 * ProbeInterval
	joinJitter   = ProbeInterval
	// leaveFanout is how many members learn of a planned departure at once.
	leaveFanout = 2 * WatchersPerMember
)

// Fleet is one member's view of the fleet and its part in the protocol.
type Fleet struct {
	cfg         Config
	rng         *rand.Rand
	self        Self
	incarnation uint64
	lastTick    monotime.Micros
	outbox      []Outgoing
	changes     []StateChange

	// The view.
	peers    map[ID]*peer
	peerList []*peer // in the order in which they became known
	rings    [WatchersPerMember][]*peer
	ringHash [WatchersPerMember]uint64 // this member's, see watchTargets
	revision uint64
	divisor  rateDivisor

	// Life of this process as a member.
	joined             bool
	nextJoinAt         monotime.Micros
	leaving            bool
	superseded         bool
	duplicateInstance  uint64 // of a later process of this name that was refuted
	refutedIncarnation uint64 // the incarnation by which it was
	nextCleanupAt      monotime.Micros

	// Failure detection.
	probeQueue      []*peer // still to be pinged in this round
	nextProbeAt     monotime.Micros
	lastSeq         uint32
	trackedPeers    []*peer // looked at at each Tick, see track
	expiredProbes   map[uint32]expiredProbe
	indirectPings   []indirectPing
	pendingReports  []Update // failed probes still to be reported
	suspectCount    int
	nextDeadProbeAt monotime.Micros
	deadToProbe     []*peer // to be pinged since this member learned that it was considered dead itself

	// Local health.
	lastContact          monotime.Micros // with any member
	unhealthyUntil       monotime.Micros // after a pause
	wasIsolated          bool            // at the last Tick
	confirmers           int             // other members that can confirm a failure
	nextConfirmerCountAt monotime.Micros
	fleetRTT             float64 // what most answers take at most, microseconds
	failureRatio         float64 // part of the latest probes that failed
	pendingSweepPings    int

	// Dissemination.
	dissemination disseminationQueue
	nextGossipAt  monotime.Micros
	updateBudget  float64 // bytes of updates that may be sent now
	controlBudget float64 // the same of all else but pings and acks

	// Anti-entropy.
	digest     uint64
	bucketSums [SyncBuckets]uint64
	nextSyncAt monotime.Micros

	// Pauses counts the pauses of this process so far, FailureReports the failed probes that it has reported.
	Pauses, FailureReports int
	// Suppressed counts the messages that were not sent for want of budget.
	Suppressed int
}

// New returns a member that knows no other member yet. It joins by cfg.Seeds from the first Tick on.
func New(cfg Config, now monotime.Micros) *Fleet {
	cfg.MaxMembers = cfg.maxMembers()
	f := &Fleet{
		cfg:             cfg,
		rng:             rand.New(rand.NewPCG(cfg.RandomSeed, uint64(cfg.Self.ID))),
		self:            cfg.Self,
		incarnation:     max(cfg.Incarnation, 1),
		lastTick:        now,
		peers:           map[ID]*peer{},
		ringHash:        ringHashes(cfg.Self.ID),
		nextProbeAt:     now,
		expiredProbes:   map[uint32]expiredProbe{},
		nextDeadProbeAt: now + deadProbeInterval,
		lastContact:     now,
		updateBudget:    updateBytesBurst,
		controlBudget:   controlBytesBurst,
	}
	f.toggleDigest(f.self.ID, f.incarnation, Alive)
	f.announceSelf()
	return f
}

// Tick does what is due. It is to be called every TickInterval; a call that comes much later shows that this process
// was paused.
func (f *Fleet) Tick(now monotime.Micros) ([]Outgoing, []StateChange) {
	if f.superseded {
		return nil, nil
	}
	f.checkPause(now)
	f.refillBudgets(now)
	f.lastTick = now
	f.countConfirmers(now)
	f.checkIsolation(now)
	if !f.leaving {
		f.join(now)
		f.runProbes(now)
		f.declareDead(now)
		f.probeDead(now)
	}
	f.gossip(now)
	f.cleanup(now)
	f.divisor.observe(now, f.Live(), f.Known())
	return f.takeOutput()
}

// takeOutput returns what is to be sent and what has changed since the last call.
func (f *Fleet) takeOutput() ([]Outgoing, []StateChange) {
	out, changes := f.outbox, f.changes
	f.outbox, f.changes = nil, nil
	return out, changes
}

// join requests the views of the seeds until one has answered, and again while no other member is alive.
func (f *Fleet) join(now monotime.Micros) {
	if f.joined && f.liveOthers() > 0 || now < f.nextJoinAt {
		return
	}
	f.nextJoinAt = now + joinInterval + f.jitter(joinJitter)
	f.requestViews(f.cfg.Seeds)
}

// SyncWith requests the views of the members at addresses that were learned elsewhere.
func (f *Fleet) SyncWith(addrs []netip.AddrPort) ([]Outgoing, []StateChange) {
	if !f.leaving && !f.superseded {
		f.requestViews(addrs)
	}
	return f.takeOutput()
}

func (f *Fleet) requestViews(addrs []netip.AddrPort) {
	for _, addr := range addrs {
		if addr != f.self.Addr {
			f.send(addr, nil, Message{Kind: SyncSums, BucketSums: f.foldedSums()})
		}
	}
}

// SetSeeds replaces the addresses of the seeds.
func (f *Fleet) SetSeeds(addrs []netip.AddrPort) { f.cfg.Seeds = addrs }

// Leave announces the departure of this member. What it returns is to be sent at once; further calls of Tick
// disseminate it.
func (f *Fleet) Leave(monotime.Micros) ([]Outgoing, []StateChange) {
	if f.leaving || f.superseded {
		return f.takeOutput()
	}
	f.leaving = true
	f.revision++
	f.toggleDigest(f.self.ID, f.incarnation, Alive)
	f.toggleDigest(f.self.ID, f.incarnation, Left)
	f.disseminate(f.ownUpdate(Left))
	for _, p := range f.randomPeers(leaveFanout, func(p *peer) bool { return p.state == Alive }) {
		f.send(p.Addr, p, Message{Kind: Gossip, Updates: []Update{f.ownUpdate(Left)}})
	}
	return f.takeOutput()
}

// cleanup drops state that has expired.
func (f *Fleet) cleanup(now monotime.Micros) {
	if now < f.nextCleanupAt {
		return
	}
	f.nextCleanupAt = now + cleanupInterval
	f.dropExpiredProbes(now)
	f.dropExpiredReports(now)
	f.peerList = slices.DeleteFunc(f.peerList, func(p *peer) bool {
		expired := p.state >= Dead && now-p.stateSince > deadRetention
		if expired {
			f.revision++
			f.toggleDigest(p.ID, p.incarnation, p.state)
			delete(f.peers, p.ID)
		}
		return expired
	})
}

// jitter draws a span under d, in microseconds.
func (f *Fleet) jitter(d monotime.Micros) monotime.Micros {
	return monotime.Micros(f.rng.Int64N(int64(max(d, 1))))
}

// spreadAround draws a span of interval on average that varies by spread.
func (f *Fleet) spreadAround(interval, spread monotime.Micros) monotime.Micros {
	return interval - spread/2 + f.jitter(spread)
}
