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
	// Watchers is how many members watch each: enough that a pause of one, or one cut link, leaves three, and that
	// the first of them asks within a third of a second of a crash on average.
	Watchers = 4
	// Turn is the time between two pings of a member to those that it watches: each is asked once in Watchers turns.
	Turn = 250 * ms
	// Step is how often Tick is to be called.
	Step = 50 * ms

	ackWait   = 150 * ms // from a ping to its repetition and the asking of helpers, where answers take less
	probeTime = 500 * ms // from a ping to the verdict, the same
	probeMost = 2 * sec  // both grow with what answers take, the verdict up to this
	helpers   = 3        // asked to ping a member that does not answer
	// Least is the least time of a suspicion before its member is held dead. With probeTime before it, a member
	// that was paused for 2 s has half a second left to say that it is there, and a crash is seen by all in some 3
	// s.
	Least = 2000 * ms
	// Most is the same for one that only one other member has confirmed nothing of.
	Most        = 6 * sec
	pendingTime = 2 * sec // an accusation that nobody confirms is forgotten after this
	// confirms is how many must have failed to reach one by themselves, where so many are heard. Of ten that ask,
	// with one message in five lost, two fail by chance a hundred times as often as three.
	confirms  = 3
	hearTime  = 1200 * ms // who was heard within this can say what it fails to reach
	hearsay   = 300 * ms  // how long others will have suspected one before this member is told
	trustTime = 10 * sec  // until the word of one taken back counts, if views do not agree before
	newsTime  = 2500 * ms // who was not heard for so long is told no news along with a ping
	backdate  = 1 * sec   // a suspicion counts from no earlier than this before it
	ownTry    = 4 * sec   // whoever has held one suspected for so long asks by himself
	aloneTime = 1 * sec   // hearing nobody for so long is a reason to doubt oneself
	pauseTime = 300 * ms  // the same, without a Tick
	doubtTime = 1 * sec   // no accusation for so long after a pause

	tries        = 4 // pings of a probe at most, one more each time that an answer is overdue; a power of two
	manySuspects = 8 // as many more are each asked half as often
	sweepMost    = 4 // pings of a sweep at each Step
	// pings for each that could not be reached, while the part of failures is over sweepFrom: two of three just now
	sweepEach  = 6
	sweepFrom  = 0.3
	failWeight = 4
	sweepAll   = 48

	// Bytes a second that a member sends on average, and how many it may have saved up, of news and of all else but
	// pings and their answers, which are some 900 a second and are sent whatever is left. The reserve of news is
	// enough to tell of the death of most of a large fleet at once; what asks and accuses has its own, or it would
	// leave none then.
	newsBudget, newsReserve   = 1536, 20 << 10
	otherBudget, otherReserve = 1024, 12 << 10

	tidyTime   = 500 * ms
	listenTime = 150 * ms // between two counts of who is heard
	gossipTime = 100 * ms
	gossipTo   = 3  // members that news goes to at each gossipTime, besides going along with all else
	freshSends = 4  // a news item makes packets of its own until it was sent so often
	maxSends   = 16 // more than sends() is in the largest fleet
	maxNews    = 1024
	// MaxRumors is how many go along in one message: a message stays within 1,200 bytes.
	MaxRumors = 32

	reviveTime = 500 * ms // one of the dead is asked, so that a healed cut is noticed
	forgetTime = 600 * sec
	syncTime   = 1 * sec // views are compared at most so often
	differTime = 1 * sec // news mostly comes by itself: views that differ for longer are compared
	syncParts  = 4       // messages of entries in answer to one comparison
	// Buckets is how many parts of a view are compared by their sums.
	Buckets = 64
	// MaxMembers bounds a view; more than a fleet has, and than a forger with the key could fill memory with.
	MaxMembers = 4096
	maxRelays  = 128
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

// Rumor is news of a member. Name, Addr and Instance are those that it has under Inc.
type Rumor struct {
	ID       ID
	State    State
	Inc      uint64
	By       ID // who could not reach it, of Suspect and Dead; 0 of Suspect: as many as it takes
	Instance uint64
	Name     string
	Addr     netip.AddrPort
}

// Kind is what a message is for.
type Kind uint8

// The kinds of messages.
const (
	Ping    Kind = iota + 1 // answered by Ack with the same Seq
	Ack                     // About is whom it was asked about, or 0
	Ask                     // to ping About, and pass its Ack on
	Gossip                  // carries rumors only
	Compare                 // carries the sums of a view's buckets
	Entries                 // carries rumors of buckets that differ
	maxKind = Entries
)

// Message is one datagram's content.
type Message struct {
	Kind     Kind
	Seq      uint32
	From     ID
	Inc      uint64 // of From
	Instance uint64 // of From
	You      State  // what From holds the receiver to be, and under which incarnation
	YouInc   uint64
	About    ID
	Got      uint32 // of Ack: how many pings of the receiver have come
	Back     bool   // of Compare: this is an answer, to be answered by Entries only
	Digest   uint64 // of From's view
	Sums     []uint32
	Rumors   []Rumor
}

// Send is a message to be sent.
type Send struct {
	To  netip.AddrPort
	ID  ID // whom it is for, 0 where that is not known
	Msg Message
}

// Change says that the view has changed.
type Change struct {
	ID       ID
	Name     string
	From, To State
	Inc      uint64
}

// Config is what a member is started with.
type Config struct {
	Self    Self
	Inc     uint64 // the first incarnation: later than any before, as far as the clock tells
	Seeds   []netip.AddrPort
	Seed    uint64
	MaxSize int // members at most, MaxMembers where 0
}

// peer is another member.
type peer struct {
	Self
	hash      [Watchers]uint64
	state     State
	inc       uint64
	since     monotime.Micros // in this state
	heard     monotime.Micros // anything from it
	hears     bool            // see listen
	answersAt monotime.Micros // when it answered a ping last
	busy      bool            // see watchOver
	deaf      bool            // it held this member dead when it was heard last
	apart     bool            // and that is not long ago
	back      monotime.Micros // when it was last taken back, 0: never
	differs   monotime.Micros // since its view has differed from this one's, 0 while it does not

	accusers  []accuser       // before it is suspected
	suspectAt monotime.Micros // from when on its suspicion counts
	mine      bool            // the last probe of this member's own failed, at this incarnation
	againAt   monotime.Micros // when others are told so once more; 0: not
	judged    bool            // dead by what this member found out itself
	asked     uint32          // the last ping since it was held dead
	triedAt   monotime.Micros

	probe *probe
	rtt   float64 // of answered pings, microseconds
	// Pings sent and answered, and how many of them it says have come; got is how many of its own have come. They fade.
	sent, answered, told, got float64
	gotAll, toldAll           uint32
}

// accuser is one that could not reach a peer, since when.
type accuser struct {
	id    ID
	since monotime.Micros
}

// probe is the question to one peer under way.
type probe struct {
	seq   uint32 // of the first ping; those after it have the next ones
	began monotime.Micros
	sent  [tries]monotime.Micros
	count int  // of pings sent
	asked bool // helpers are
}

// relayed is a probe that another member has asked for.
type relayed struct {
	mine, theirs uint32
	asker, about ID
	until        monotime.Micros
}

// Fleet is the fleet as one member sees it.
type Fleet struct {
	cfg          Config
	rng          *rand.Rand
	self         Self
	inc          uint64
	peers        map[ID]*peer
	order        []*peer // by when they became known
	rings        [Watchers][]*peer
	hash         [Watchers]uint64
	watch        []*peer // still to be pinged in this round
	seq          uint32
	relays       []relayed
	news         spreading
	purse, other float64 // bytes of news, and of all else, that may be sent now
	digest       uint64
	sums         [Buckets]uint64
	lost         map[uint32]lostPing // pings given up lately, whose answer may still come

	ticked, heard       monotime.Micros
	turnAt, gossipAt    monotime.Micros
	reviveAt, syncAt    monotime.Micros
	doubtUntil, joinAt  monotime.Micros
	joined, leaving     bool
	lonely              bool    // at the last Tick
	failing             float64 // part of the latest probes that failed
	slow                float64 // what most answers take at most, microseconds
	sweeps              int     // pings of a sweep still to be sent
	accusing            []Rumor // to be told to some
	asking              []*peer // held dead, and to be asked since this member was itself
	suspects            int
	busy                []*peer
	tidyAt, listenAt    monotime.Micros
	hears               int // members heard within hearTime, this one among them; confirms at most
	superseded          bool
	rivals              uint64 // the instance of a later process that was contradicted
	told                uint64 // under this incarnation
	out                 []Send
	changes             []Change
	Pauses, Accusations int // so far
	Saved               int // messages not sent, for want of budget
	share               share
	revision            uint64
}

type lostPing struct {
	id ID
	at monotime.Micros
}

// New returns a member that knows nobody yet.
func New(cfg Config, now monotime.Micros) *Fleet {
	if cfg.MaxSize <= 0 || cfg.MaxSize > MaxMembers {
		cfg.MaxSize = MaxMembers
	}
	f := &Fleet{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.ID))), self: cfg.Self, inc: max(cfg.Inc, 1),
		peers: map[ID]*peer{}, ticked: now, heard: now, turnAt: now, reviveAt: now + reviveTime, lost: map[uint32]lostPing{}, purse: newsReserve, other: otherReserve,
	}
	f.hash = hashes(f.self.ID)
	f.mix(f.self.ID, f.inc, Alive)
	f.announce()
	return f
}

// hashes places a member on each ring.
func hashes(id ID) (h [Watchers]uint64) {
	for k := range h {
		h[k] = blend(uint64(id) + uint64(k+1)*0x9e3779b97f4a7c15)
	}
	return h
}

// blend is the finalizer of splitmix64: each bit of the result depends on all of x.
func blend(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// take returns what is to be sent and what has changed since the last call.
func (f *Fleet) take() ([]Send, []Change) {
	out, changes := f.out, f.changes
	f.out, f.changes = nil, nil
	return out, changes
}

// Tick does what is due. It is called every Step; one that comes much later says that this process was paused.
func (f *Fleet) Tick(now monotime.Micros) ([]Send, []Change) {
	if f.superseded {
		return nil, nil
	}
	if now-f.ticked > pauseTime {
		f.paused(now)
	}
	span := float64(now-f.ticked) / float64(sec)
	f.purse, f.other = min(f.purse+newsBudget*span, newsReserve), min(f.other+otherBudget*span, otherReserve)
	f.ticked = now
	f.listen(now)
	if was := f.lonely; was || f.alone(now) {
		if f.lonely = f.alone(now); was && !f.lonely {
			f.anew(now)
		}
	}
	if !f.leaving {
		f.join(now)
		f.turn(now)
		f.judge(now)
		f.revive(now)
	}
	f.gossip(now)
	f.tidy(now)
	f.share.note(now, f.Live(), len(f.order)+1)
	return f.take()
}

// listen counts who can say what it fails to reach: those that are heard, and do not hold this member dead. Whether
// it reaches them does not count: the fault may be its own.
func (f *Fleet) listen(now monotime.Micros) {
	if now < f.listenAt {
		return
	}
	f.listenAt = now + listenTime
	f.hears, f.suspects = 0, 0
	for _, p := range f.order {
		if p.state == Suspect {
			f.suspects++
		}
		lately := now-p.heard < hearTime
		p.hears, p.apart = p.state == Alive && !p.deaf && lately, p.deaf && lately
		if p.hears {
			f.hears++
		}
	}
}

// paused takes back what was under way: answers may wait unread, and all that was suspected has had no time to be
// refuted here.
func (f *Fleet) paused(now monotime.Micros) {
	f.Pauses++
	f.doubtUntil = now + doubtTime
	f.heard = now
	f.anew(now)
}

// anew gives all that are suspected their whole time again, and takes back what this member has failed to reach: it
// may have been its own fault.
func (f *Fleet) anew(now monotime.Micros) {
	for _, p := range f.order {
		p.probe, p.mine, p.deaf = nil, false, false
		if p.state == Suspect {
			p.suspectAt = now
		}
	}
}

// Doubts tells whether this member has reason to doubt itself rather than others: it was paused, or hears nobody.
func (f *Fleet) Doubts(now monotime.Micros) bool {
	return now < f.doubtUntil || f.alone(now)
}

// alone tells that nobody was heard for a while. With one other member that may as well be dead: after Most it is
// taken for that.
func (f *Fleet) alone(now monotime.Micros) bool {
	others := len(f.rings[0])
	return others > 0 && now-f.heard > aloneTime && (others > 1 || now-f.heard < Most)
}

// join asks the seeds until one has answered, and again while nobody is known to be alive.
func (f *Fleet) join(now monotime.Micros) {
	if f.joined && len(f.rings[0]) > 0 || now < f.joinAt {
		return
	}
	f.joinAt = now + Turn*2 + f.jitter(Turn)
	for _, to := range f.cfg.Seeds {
		if to != f.self.Addr {
			f.send(to, nil, Message{Kind: Compare, Sums: f.sum()})
		}
	}
}

// Introduce asks members at addresses of which others have told for their views.
func (f *Fleet) Introduce(addrs []netip.AddrPort) ([]Send, []Change) {
	for _, to := range addrs {
		if to != f.self.Addr && !f.leaving && !f.superseded {
			f.send(to, nil, Message{Kind: Compare, Sums: f.sum()})
		}
	}
	return f.take()
}

// Seeds takes the addresses that the seeds have now.
func (f *Fleet) Seeds(addrs []netip.AddrPort) { f.cfg.Seeds = addrs }

func (f *Fleet) jitter(d monotime.Micros) monotime.Micros {
	return monotime.Micros(f.rng.Int64N(int64(max(d, 1))))
}

// Leave has all told that this member goes. What it returns is sent at once; Tick goes on spreading it.
func (f *Fleet) Leave(now monotime.Micros) ([]Send, []Change) {
	if f.leaving || f.superseded {
		return f.take()
	}
	f.leaving = true
	f.revision++
	f.mix(f.self.ID, f.inc, Alive)
	f.mix(f.self.ID, f.inc, Left)
	f.tell(f.own(Left))
	for _, p := range f.some(2*Watchers, func(p *peer) bool { return p.state == Alive }) {
		f.send(p.Addr, p, Message{Kind: Gossip, Rumors: []Rumor{f.own(Left)}})
	}
	return f.take()
}

// own is news of this member itself.
func (f *Fleet) own(s State) Rumor {
	return Rumor{ID: f.self.ID, State: s, Inc: f.inc, Instance: f.self.Instance, Name: f.self.Name, Addr: f.self.Addr}
}

func (f *Fleet) announce() { f.tell(f.own(Alive)) }

// rise answers what others say of an incarnation of this member's.
func (f *Fleet) rise(over uint64) {
	f.mix(f.self.ID, f.inc, Alive)
	f.inc = over + 1
	f.mix(f.self.ID, f.inc, Alive)
	f.announce()
}

// some draws members.
func (f *Fleet) some(n int, fit func(*peer) bool) []*peer {
	var fits []*peer
	for _, p := range f.order {
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

func (f *Fleet) count(s State) (n int) {
	for _, p := range f.order {
		if p.state == s {
			n++
		}
	}
	return n
}

// mix puts a member's entry into the view's sums, or takes it out again.
func (f *Fleet) mix(id ID, inc uint64, s State) {
	if s == Suspect {
		s = Alive // suspicions come and go by themselves
	}
	h := blend(uint64(id) ^ blend(inc^uint64(s)<<56))
	f.digest ^= h
	f.sums[uint64(id)%Buckets] ^= h
}

func (f *Fleet) sum() []uint32 {
	out := make([]uint32, Buckets)
	for i, s := range f.sums {
		out[i] = uint32(s ^ s>>32)
	}
	return out
}

// send sends a message to an address, of a peer where one is known there.
func (f *Fleet) send(to netip.AddrPort, p *peer, m Message) {
	id := ID(0)
	if p != nil {
		id, m.You, m.YouInc = p.ID, p.state, p.inc
	}
	f.sendAs(to, id, p, m)
}

// sendAs sends a message to whomever; beyond the budgets nothing but pings and answers, without news.
func (f *Fleet) sendAs(to netip.AddrPort, id ID, p *peer, m Message) {
	news := m.Kind == Gossip && len(m.Rumors) == 0
	if cost := messageBytes + 4*float64(len(m.Sums)); news {
		f.purse -= cost
	} else if m.Kind != Ping && m.Kind != Ack {
		if f.other <= 0 {
			f.Saved++
			return
		}
		for i := range m.Rumors {
			cost += float64(rumorBytes(&m.Rumors[i]))
		}
		f.other -= cost
	}
	m.From, m.Inc, m.Instance, m.Digest = f.self.ID, f.inc, f.self.Instance, f.digest
	// Who may be gone is told nothing more: what is sent there would count as spread.
	if room := MaxRumors - len(m.Rumors); m.Kind != Entries && room > 0 &&
		(p == nil || p.state == Alive && !p.mine && f.ticked-p.heard < newsTime) {
		more := f.news.pick(min(f.room(), roomInMessage), room, f.sends())
		for i := range more {
			f.purse -= float64(rumorBytes(&more[i]))
		}
		m.Rumors = append(m.Rumors, more...)
	}
	f.out = append(f.out, Send{to, id, m})
}

// place is where a peer stands, or would stand, on a ring.
func place(ring []*peer, hash uint64, k int, id ID) (int, bool) {
	return slices.BinarySearchFunc(ring, hash, func(p *peer, h uint64) int {
		switch {
		case p.hash[k] < h || p.hash[k] == h && p.ID < id:
			return -1
		case p.hash[k] == h && p.ID == id:
			return 0
		}
		return 1
	})
}

func (f *Fleet) ringIn(p *peer) {
	for k := range f.rings {
		if at, there := place(f.rings[k], p.hash[k], k, p.ID); !there {
			f.rings[k] = slices.Insert(f.rings[k], at, p)
		}
	}
}

func (f *Fleet) ringOut(p *peer) {
	for k := range f.rings {
		if at, there := place(f.rings[k], p.hash[k], k, p.ID); there {
			f.rings[k] = slices.Delete(f.rings[k], at, at+1)
		}
	}
}
