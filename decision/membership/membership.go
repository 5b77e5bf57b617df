// Package member decides who is in the fleet of balancers: who is alive, suspected, dead or has left, by which
// incarnation and since when, as one member sees it. It is handed time and messages and says what to send; it has
// no sockets, no clock and no randomness but its seed, and all that it holds is bounded.
//
// The invariant: a member is held dead only by those who could not reach it themselves, at the end of a suspicion
// of at least Least that three declared, or as many as there are, or while it speaks and holds this one dead; and
// by those who were told so. What a member says of itself under a newer incarnation always stands over what others
// say of an older one, but whoever held it dead by its own judgement has it answer first.
package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"spurspread/decision/monotime"
)

// Spans, in microseconds.
const (
	ms  monotime.Micros = 1000
	sec                 = 1000 * ms
)

const (
	// WatchersPerMember is how many members watch each: enough that a pause of one, or one cut link, leaves three, and that
	// the first of them asks within a third of a second of a crash on average.
	WatchersPerMember = 4
	// ProbeInterval is the time between two pings of a member to those that it watches: each is asked once in Watchers turns.
	ProbeInterval = 250 * ms
	// TickInterval is how often Tick is to be called.
	TickInterval = 50 * ms

	ackTimeout          = 150 * ms // from a ping to its repetition and the asking of helpers, where answers take less
	probeTimeout        = 500 * ms // from a ping to the verdict, the same
	maxProbeTimeout     = 2 * sec  // both grow with what answers take, the verdict up to this
	indirectPingHelpers = 3        // asked to ping a member that does not answer
	// MinSuspicionTimeout is the least time of a suspicion before its member is held dead. With probeTime before it, a member
	// that was paused for 2 s has half a second left to say that it is there, and a crash is seen by all in some 3
	// s.
	MinSuspicionTimeout = 2000 * ms
	// MaxSuspicionTimeout is the same for one that only one other member has confirmed nothing of.
	MaxSuspicionTimeout  = 6 * sec
	failureReportTimeout = 2 * sec // an accusation that nobody confirms is forgotten after this
	// maxRequiredReports is how many must have failed to reach one by themselves, where so many are heard. Of ten that ask,
	// with one message in five lost, two fail by chance a hundred times as often as three.
	maxRequiredReports    = 3
	contactTimeout        = 1200 * ms // who was heard within this can say what it fails to reach
	indirectEvidenceDelay = 300 * ms  // how long others will have suspected one before this member is told
	restoredDistrustTime  = 10 * sec  // until the word of one taken back counts, if views do not agree before
	piggybackTimeout      = 2500 * ms // who was not heard for so long is told no news along with a ping
	maxSuspicionBackdate  = 1 * sec   // a suspicion counts from no earlier than this before it
	ownProbeDelay         = 4 * sec   // whoever has held one suspected for so long asks by himself
	isolationTimeout      = 1 * sec   // hearing nobody for so long is a reason to doubt oneself
	pauseThreshold        = 300 * ms  // the same, without a Tick
	unhealthyAfterPause   = 1 * sec   // no accusation for so long after a pause

	maxPingAttempts      = 4 // pings of a probe at most, one more each time that an answer is overdue; a power of two
	suspectsPerSlowdown  = 8 // as many more are each asked half as often
	maxSweepPingsPerTick = 4 // pings of a sweep at each Step
	// pings for each that could not be reached, while the part of failures is over sweepFrom: two of three just now
	sweepPingsPerFailure = 6
	sweepFailureRatio    = 0.3
	failureRatioWeight   = 4
	maxPendingSweepPings = 48

	// Bytes a second that a member sends on average, and how many it may have saved up, of news and of all else but
	// pings and their answers, which are some 900 a second and are sent whatever is left. The reserve of news is
	// enough to tell of the death of most of a large fleet at once; what asks and accuses has its own, or it would
	// leave none then.
	updateBytesPerSecond, updateBytesBurst   = 1536, 20 << 10
	controlBytesPerSecond, controlBytesBurst = 1024, 12 << 10

	cleanupInterval        = 500 * ms
	confirmerCountInterval = 150 * ms // between two counts of who is heard
	gossipInterval         = 100 * ms
	gossipFanout           = 3  // members that news goes to at each gossipTime, besides going along with all else
	standaloneTransmits    = 4  // a news item makes packets of its own until it was sent so often
	maxTransmits           = 16 // more than sends() is in the largest fleet
	maxQueuedUpdates       = 1024
	// MaxUpdates is how many go along in one message: a message stays within 1,200 bytes.
	MaxUpdates = 32

	deadProbeInterval   = 500 * ms // one of the dead is asked, so that a healed cut is noticed
	deadRetention       = 600 * sec
	syncInterval        = 1 * sec // views are compared at most so often
	divergenceTolerance = 1 * sec // news mostly comes by itself: views that differ for longer are compared
	maxSyncReplies      = 4       // messages of entries in answer to one comparison
	// SyncBuckets is how many parts of a view are compared by their sums.
	SyncBuckets = 64
	// MaxMembers bounds a view; more than a fleet has, and than a forger with the key could fill memory with.
	MaxMembers       = 4096
	maxIndirectPings = 128
)

// ID stands for a member's name.
type ID uint64

// State is what a member is held to be. Later ones count more where incarnations are the same.
type State uint8

// The states. Unknown is no member's: it says that one was never heard of.
const (
	Unknown State = iota
	Alive
	Suspect
	Dead
	Left
)

func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[min(s, Left)]
}

// Self is who a member is.
type Self struct {
	ID       ID
	Name     string
	Addr     netip.AddrPort
	Instance uint64 // of this process, different from any other that has had the name; later ones are larger
}

// Update is news of a member. Name, Addr and Instance are those that it has under Inc.
type Update struct {
	ID          ID
	State       State
	Incarnation uint64
	ReportedBy  ID // who could not reach it, of Suspect and Dead; 0 of Suspect: as many as it takes
	Instance    uint64
	Name        string
	Addr        netip.AddrPort
}

// Kind is what a message is for.
type Kind uint8

// The kinds of messages.
const (
	Ping         Kind = iota + 1 // answered by Ack with the same Seq
	Ack                          // About is whom it was asked about, or 0
	IndirectPing                 // to ping About, and pass its Ack on
	Gossip                       // carries rumors only
	SyncSums                     // carries the sums of a view's buckets
	SyncEntries                  // carries rumors of buckets that differ
	maxKind      = SyncEntries
)

// Message is one datagram's content.
type Message struct {
	Kind                Kind
	Seq                 uint32
	From                ID
	Incarnation         uint64 // of From
	Instance            uint64 // of From
	ReceiverState       State  // what From holds the receiver to be, and under which incarnation
	ReceiverIncarnation uint64
	Target              ID
	PingsReceived       uint32 // of Ack: how many pings of the receiver have come
	IsReply             bool   // of Compare: this is an answer, to be answered by Entries only
	Digest              uint64 // of From's view
	BucketSums          []uint32
	Updates             []Update
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To       netip.AddrPort
	Receiver ID // whom it is for, 0 where that is not known
	Message  Message
}

// StateChange says that the view has changed.
type StateChange struct {
	ID          ID
	Name        string
	From, To    State
	Incarnation uint64
}

// Config is what a member is started with.
type Config struct {
	Self        Self
	Incarnation uint64 // the first incarnation: later than any before, as far as the clock tells
	Seeds       []netip.AddrPort
	RandomSeed  uint64
	MaxMembers  int // members at most, MaxMembers where 0
}

// peer is another member.
type peer struct {
	Self
	ringHash      [WatchersPerMember]uint64
	state         State
	incarnation   uint64
	stateSince    monotime.Micros // in this state
	lastContact   monotime.Micros // anything from it
	canConfirm    bool            // see listen
	lastAck       monotime.Micros // when it answered a ping last
	tracked       bool            // see watchOver
	reportsUsDead bool            // it held this member dead when it was heard last
	partitioned   bool            // and that is not long ago
	restoredAt    monotime.Micros // when it was last taken back, 0: never
	divergedSince monotime.Micros // since its view has differed from this one's, 0 while it does not

	failureReports []failureReport // before it is suspected
	suspicionStart monotime.Micros // from when on its suspicion counts
	ownProbeFailed bool            // the last probe of this member's own failed, at this incarnation
	reportAgainAt  monotime.Micros // when others are told so once more; 0: not
	deadByOwnProbe bool            // dead by what this member found out itself
	firstDeadPing  uint32          // the last ping since it was held dead
	lastProbe      monotime.Micros

	probe *probe
	rtt   float64 // of answered pings, microseconds
	// Pings sent and answered, and how many of them it says have come; got is how many of its own have come. They fade.
	pingsSent, acksReceived, pingsDelivered, pingsCounted float64
	pingsReceivedTotal, pingsDeliveredTotal               uint32
}

// failureReport is one that could not reach a peer, since when.
type failureReport struct {
	by    ID
	since monotime.Micros
}

// probe is the question to one peer under way.
type probe struct {
	firstSeq     uint32 // of the first ping; those after it have the next ones
	startedAt    monotime.Micros
	sentAt       [maxPingAttempts]monotime.Micros
	attempts     int  // of pings sent
	indirectSent bool // helpers are
}

// indirectPing is a probe that another member has asked for.
type indirectPing struct {
	ownSeq, requesterSeq uint32
	requester, target    ID
	expiresAt            monotime.Micros
}

// Fleet is the fleet as one member sees it.
type Fleet struct {
	cfg                         Config
	rng                         *rand.Rand
	self                        Self
	incarnation                 uint64
	peers                       map[ID]*peer
	peerList                    []*peer // by when they became known
	rings                       [WatchersPerMember][]*peer
	ringHash                    [WatchersPerMember]uint64
	probeQueue                  []*peer // still to be pinged in this round
	lastSeq                     uint32
	indirectPings               []indirectPing
	dissemination               disseminationQueue
	updateBudget, controlBudget float64 // bytes of news, and of all else, that may be sent now
	digest                      uint64
	bucketSums                  [SyncBuckets]uint64
	expiredProbes               map[uint32]expiredProbe // pings given up lately, whose answer may still come

	lastTick, lastContact               monotime.Micros
	nextProbeAt, nextGossipAt           monotime.Micros
	nextDeadProbeAt, nextSyncAt         monotime.Micros
	unhealthyUntil, nextJoinAt          monotime.Micros
	joined, leaving                     bool
	wasIsolated                         bool     // at the last Tick
	failureRatio                        float64  // part of the latest probes that failed
	fleetRTT                            float64  // what most answers take at most, microseconds
	pendingSweepPings                   int      // pings of a sweep still to be sent
	pendingReports                      []Update // to be told to some
	deadToProbe                         []*peer  // held dead, and to be asked since this member was itself
	suspectCount                        int
	trackedPeers                        []*peer
	nextCleanupAt, nextConfirmerCountAt monotime.Micros
	confirmers                          int // members heard within hearTime, this one among them; confirms at most
	superseded                          bool
	duplicateInstance                   uint64 // the instance of a later process that was contradicted
	refutedIncarnation                  uint64 // under this incarnation
	outbox                              []Outgoing
	changes                             []StateChange
	Pauses, FailureReports              int // so far
	Suppressed                          int // messages not sent, for want of budget
	divisor                             rateDivisor
	revision                            uint64
}

type expiredProbe struct {
	id        ID
	expiredAt monotime.Micros
}

// New returns a member that knows nobody yet.
func New(cfg Config, now monotime.Micros) *Fleet {
	if cfg.MaxMembers <= 0 || cfg.MaxMembers > MaxMembers {
		cfg.MaxMembers = MaxMembers
	}
	f := &Fleet{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.RandomSeed, uint64(cfg.Self.ID))), self: cfg.Self, incarnation: max(cfg.Incarnation, 1),
		peers: map[ID]*peer{}, lastTick: now, lastContact: now, nextProbeAt: now, nextDeadProbeAt: now + deadProbeInterval, expiredProbes: map[uint32]expiredProbe{}, updateBudget: updateBytesBurst, controlBudget: controlBytesBurst,
	}
	f.ringHash = ringHashes(f.self.ID)
	f.toggleDigest(f.self.ID, f.incarnation, Alive)
	f.announceSelf()
	return f
}

// ringHashes places a member on each ring.
func ringHashes(id ID) (h [WatchersPerMember]uint64) {
	for k := range h {
		h[k] = mix64(uint64(id) + uint64(k+1)*0x9e3779b97f4a7c15)
	}
	return h
}

// mix64 is the finalizer of splitmix64: each bit of the result depends on all of x.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// takeOutput returns what is to be sent and what has changed since the last call.
func (f *Fleet) takeOutput() ([]Outgoing, []StateChange) {
	out, changes := f.outbox, f.changes
	f.outbox, f.changes = nil, nil
	return out, changes
}

// Tick does what is due. It is called every Step; one that comes much later says that this process was paused.
func (f *Fleet) Tick(now monotime.Micros) ([]Outgoing, []StateChange) {
	if f.superseded {
		return nil, nil
	}
	if now-f.lastTick > pauseThreshold {
		f.resetAfterPause(now)
	}
	span := float64(now-f.lastTick) / float64(sec)
	f.updateBudget, f.controlBudget = min(
		f.updateBudget+updateBytesPerSecond*span,
		updateBytesBurst,
	), min(
		f.controlBudget+controlBytesPerSecond*span,
		controlBytesBurst,
	)
	f.lastTick = now
	f.countConfirmers(now)
	if was := f.wasIsolated; was || f.isolated(now) {
		if f.wasIsolated = f.isolated(now); was && !f.wasIsolated {
			f.restartSuspicions(now)
		}
	}
	if !f.leaving {
		f.join(now)
		f.runProbes(now)
		f.declareDead(now)
		f.probeDead(now)
	}
	f.gossip(now)
	f.cleanup(now)
	f.divisor.observe(now, f.Live(), len(f.peerList)+1)
	return f.takeOutput()
}

// countConfirmers counts who can say what it fails to reach: those that are heard, and do not hold this member dead. Whether
// it reaches them does not count: the fault may be its own.
func (f *Fleet) countConfirmers(now monotime.Micros) {
	if now < f.nextConfirmerCountAt {
		return
	}
	f.nextConfirmerCountAt = now + confirmerCountInterval
	f.confirmers, f.suspectCount = 0, 0
	for _, p := range f.peerList {
		if p.state == Suspect {
			f.suspectCount++
		}
		lately := now-p.lastContact < contactTimeout
		p.canConfirm, p.partitioned = p.state == Alive && !p.reportsUsDead && lately, p.reportsUsDead && lately
		if p.canConfirm {
			f.confirmers++
		}
	}
}

// resetAfterPause takes back what was under way: answers may wait unread, and all that was suspected has had no time to be
// refuted here.
func (f *Fleet) resetAfterPause(now monotime.Micros) {
	f.Pauses++
	f.unhealthyUntil = now + unhealthyAfterPause
	f.lastContact = now
	f.restartSuspicions(now)
}

// restartSuspicions gives all that are suspected their whole time again, and takes back what this member has failed to reach: it
// may have been its own fault.
func (f *Fleet) restartSuspicions(now monotime.Micros) {
	for _, p := range f.peerList {
		p.probe, p.ownProbeFailed, p.reportsUsDead = nil, false, false
		if p.state == Suspect {
			p.suspicionStart = now
		}
	}
}

// Unhealthy tells whether this member has reason to doubt itself rather than others: it was paused, or hears nobody.
func (f *Fleet) Unhealthy(now monotime.Micros) bool {
	return now < f.unhealthyUntil || f.isolated(now)
}

// isolated tells that nobody was heard for a while. With one other member that may as well be dead: after Most it is
// taken for that.
func (f *Fleet) isolated(now monotime.Micros) bool {
	others := len(f.rings[0])
	return others > 0 && now-f.lastContact > isolationTimeout &&
		(others > 1 || now-f.lastContact < MaxSuspicionTimeout)
}

// join asks the seeds until one has answered, and again while nobody is known to be alive.
func (f *Fleet) join(now monotime.Micros) {
	if f.joined && len(f.rings[0]) > 0 || now < f.nextJoinAt {
		return
	}
	f.nextJoinAt = now + ProbeInterval*2 + f.jitter(ProbeInterval)
	for _, to := range f.cfg.Seeds {
		if to != f.self.Addr {
			f.send(to, nil, Message{Kind: SyncSums, BucketSums: f.foldedSums()})
		}
	}
}

// SyncWith asks members at addresses of which others have told for their views.
func (f *Fleet) SyncWith(addrs []netip.AddrPort) ([]Outgoing, []StateChange) {
	for _, to := range addrs {
		if to != f.self.Addr && !f.leaving && !f.superseded {
			f.send(to, nil, Message{Kind: SyncSums, BucketSums: f.foldedSums()})
		}
	}
	return f.takeOutput()
}

// SetSeeds takes the addresses that the seeds have now.
func (f *Fleet) SetSeeds(addrs []netip.AddrPort) { f.cfg.Seeds = addrs }

func (f *Fleet) jitter(d monotime.Micros) monotime.Micros {
	return monotime.Micros(f.rng.Int64N(int64(max(d, 1))))
}

// Leave has all told that this member goes. What it returns is sent at once; Tick goes on spreading it.
func (f *Fleet) Leave(now monotime.Micros) ([]Outgoing, []StateChange) {
	if f.leaving || f.superseded {
		return f.takeOutput()
	}
	f.leaving = true
	f.revision++
	f.toggleDigest(f.self.ID, f.incarnation, Alive)
	f.toggleDigest(f.self.ID, f.incarnation, Left)
	f.disseminate(f.ownUpdate(Left))
	for _, p := range f.randomPeers(2*WatchersPerMember, func(p *peer) bool { return p.state == Alive }) {
		f.send(p.Addr, p, Message{Kind: Gossip, Updates: []Update{f.ownUpdate(Left)}})
	}
	return f.takeOutput()
}

// ownUpdate is news of this member itself.
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

// refute answers what others say of an incarnation of this member's.
func (f *Fleet) refute(over uint64) {
	f.toggleDigest(f.self.ID, f.incarnation, Alive)
	f.incarnation = over + 1
	f.toggleDigest(f.self.ID, f.incarnation, Alive)
	f.announceSelf()
}

// randomPeers draws members.
func (f *Fleet) randomPeers(n int, fit func(*peer) bool) []*peer {
	var fits []*peer
	for _, p := range f.peerList {
		if fit(p) {
			fits = append(fits, p)
		}
	}
	for i := range min(n, len(fits)) {
		j := i + f.rng.IntN(len(fits)-i)
		fits[i], fits[j] = fits[j], fits[i]
	}
	return fits[:min(n, len(fits))]
}

func (f *Fleet) countState(s State) (n int) {
	for _, p := range f.peerList {
		if p.state == s {
			n++
		}
	}
	return n
}

// toggleDigest puts a member's entry into the view's sums, or takes it out again.
func (f *Fleet) toggleDigest(id ID, inc uint64, s State) {
	if s == Suspect {
		s = Alive // suspicions come and go by themselves
	}
	h := mix64(uint64(id) ^ mix64(inc^uint64(s)<<56))
	f.digest ^= h
	f.bucketSums[uint64(id)%SyncBuckets] ^= h
}

func (f *Fleet) foldedSums() []uint32 {
	out := make([]uint32, SyncBuckets)
	for i, s := range f.bucketSums {
		out[i] = uint32(s ^ s>>32)
	}
	return out
}

// send sends a message to an address, of a peer where one is known there.
func (f *Fleet) send(to netip.AddrPort, p *peer, m Message) {
	id := ID(0)
	if p != nil {
		id, m.ReceiverState, m.ReceiverIncarnation = p.ID, p.state, p.incarnation
	}
	f.sendMessage(to, id, p, m)
}

// sendMessage sends a message to whomever; beyond the budgets nothing but pings and answers, without news.
func (f *Fleet) sendMessage(to netip.AddrPort, id ID, p *peer, m Message) {
	news := m.Kind == Gossip && len(m.Updates) == 0
	if cost := messageOverheadBytes + 4*float64(len(m.BucketSums)); news {
		f.updateBudget -= cost
	} else if m.Kind != Ping && m.Kind != Ack {
		if f.controlBudget <= 0 {
			f.Suppressed++
			return
		}
		for i := range m.Updates {
			cost += float64(updateBytes(&m.Updates[i]))
		}
		f.controlBudget -= cost
	}
	m.From, m.Incarnation, m.Instance, m.Digest = f.self.ID, f.incarnation, f.self.Instance, f.digest
	// Who may be gone is told nothing more: what is sent there would count as spread.
	if room := MaxUpdates - len(m.Updates); m.Kind != SyncEntries && room > 0 &&
		(p == nil || p.state == Alive && !p.ownProbeFailed && f.lastTick-p.lastContact < piggybackTimeout) {
		more := f.dissemination.takeBatch(min(f.updateBytesAvailable(), maxUpdateBytes), room, f.transmitLimit())
		for i := range more {
			f.updateBudget -= float64(updateBytes(&more[i]))
		}
		m.Updates = append(m.Updates, more...)
	}
	f.outbox = append(f.outbox, Outgoing{to, id, m})
}

// ringPosition is where a peer stands, or would stand, on a ring.
func ringPosition(ring []*peer, hash uint64, k int, id ID) (int, bool) {
	return slices.BinarySearchFunc(ring, hash, func(p *peer, h uint64) int {
		switch {
		case p.ringHash[k] < h || p.ringHash[k] == h && p.ID < id:
			return -1
		case p.ringHash[k] == h && p.ID == id:
			return 0
		}
		return 1
	})
}

func (f *Fleet) addToRings(p *peer) {
	for k := range f.rings {
		if at, there := ringPosition(f.rings[k], p.ringHash[k], k, p.ID); !there {
			f.rings[k] = slices.Insert(f.rings[k], at, p)
		}
	}
}

func (f *Fleet) removeFromRings(p *peer) {
	for k := range f.rings {
		if at, there := ringPosition(f.rings[k], p.ringHash[k], k, p.ID); there {
			f.rings[k] = slices.Delete(f.rings[k], at, at+1)
		}
	}
}
