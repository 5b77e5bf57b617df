package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"spurspread/decision/monotime"
)

const (
	// cleanupInterval is the time between two removals of expired state.
	cleanupInterval = 500 * monotime.Millisecond
	// deadRetention is the time for which a member that is dead or has left is remembered. Until then it counts in the
	// rate divisor, and an old update cannot bring it back.
	deadRetention = 600 * monotime.Second

	// joinInterval is the time between two attempts to join; joinJitter is the maximum random addition.
	joinInterval = 2 * ProbeInterval
	joinJitter   = ProbeInterval
	// leaveFanout is the number of members notified immediately of a planned departure.
	leaveFanout = 2 * WatchersPerMember
)

// Fleet is one member's view of its zone and its part in the protocol.
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
	peerList []*peer // in the order in which they were added
	rings    [WatchersPerMember][]*peer
	ringHash [WatchersPerMember]uint64 // this member's positions, see watchTargets
	revision uint64
	divisor  rateDivisor

	// Lifecycle of this process as a member.
	joined             bool
	nextJoinAt         monotime.Micros
	leaving            bool
	superseded         bool
	duplicateInstance  uint64 // of a later process of this name, after it was refuted
	refutedIncarnation uint64 // the incarnation that refuted it
	nextCleanupAt      monotime.Micros

	// Failure detection.
	probeQueue      []*peer // still to ping in this round
	nextProbeAt     monotime.Micros
	lastSeq         uint32
	trackedPeers    []*peer                // checked at each Tick, see track
	failedProbes    map[uint32]failedProbe // recent ones, by the sequence number of their first ping
	indirectPings   []indirectPing
	pendingReports  []Update // failure reports still to send
	suspectCount    int
	nextDeadProbeAt monotime.Micros
	deadToProbe     []*peer // still to ping, see recoverFromDeath

	// Local health.
	lastContact          monotime.Micros // last message from any member
	unhealthyUntil       monotime.Micros // set after a pause
	wasIsolated          bool            // isolated at the last Tick
	confirmers           int             // other members that can confirm a failure
	nextConfirmerCountAt monotime.Micros
	fleetRTT             float64 // round-trip time that most acks stay below, microseconds
	failureRatio         float64 // fraction of the latest probes that failed, as a moving average
	pendingSweepPings    int

	// Dissemination.
	dissemination disseminationQueue
	nextGossipAt  monotime.Micros
	updateBudget  float64 // bytes of updates that may be sent now
	controlBudget float64 // bytes that may be sent now of everything else, except pings and acks

	// Anti-entropy.
	digest     uint64
	bucketSums [SyncBuckets]uint64
	nextSyncAt monotime.Micros

	// Pauses counts the detected pauses of this process; FailureReports counts the failed probes that it has reported.
	Pauses, FailureReports int
	// Suppressed counts the messages that were dropped because the budget was exhausted.
	Suppressed int
}

// New returns a Fleet that knows no other member yet. It joins through cfg.Seeds from the first Tick on.
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
		failedProbes:    map[uint32]failedProbe{},
		nextDeadProbeAt: now + deadProbeInterval,
		lastContact:     now,
		updateBudget:    updateBytesBurst,
		controlBudget:   controlBytesBurst,
	}
	f.toggleDigest(f.self.ID, f.incarnation, Alive)
	f.announceSelf()
	return f
}

// Tick runs all actions that are due and returns the messages to send and the state changes. The owner calls it every
// TickInterval; a call that comes much later indicates that this process was paused.
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

// takeOutput returns the messages and state changes accumulated since the last call.
func (f *Fleet) takeOutput() ([]Outgoing, []StateChange) {
	out, changes := f.outbox, f.changes
	f.outbox, f.changes = nil, nil
	return out, changes
}

// join requests views from the seeds until one of them has answered, and again whenever no other member is live.
func (f *Fleet) join(now monotime.Micros) {
	if f.joined && f.liveOthers() > 0 || now < f.nextJoinAt {
		return
	}
	f.nextJoinAt = now + joinInterval + f.jitter(joinJitter)
	f.requestViews(f.cfg.Seeds)
}

// SyncWith requests views from members whose addresses were learned outside this package.
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

// SetSeeds replaces the seed addresses.
func (f *Fleet) SetSeeds(addrs []netip.AddrPort) { f.cfg.Seeds = addrs }

// Leave announces the departure of this member. The returned messages are to be sent at once; later calls of Tick
// continue the dissemination.
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

// cleanup removes expired state.
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

// jitter returns a random duration in [0, d).
func (f *Fleet) jitter(d monotime.Micros) monotime.Micros {
	return monotime.Micros(f.rng.Int64N(int64(max(d, 1))))
}

// spreadAround returns a random duration with mean interval and a total range of spread.
func (f *Fleet) spreadAround(interval, spread monotime.Micros) monotime.Micros {
	return interval - spread/2 + f.jitter(spread)
}
