// Package virtual plays many members of a fleet in virtual time: one seeded queue of events, links that fail each
// way by themselves, processes that are paused, killed and started again. The deciders are those of the balancer;
// what happens between them is judged from what they say they see, by a checker that knows what was done to them.
// The same seed brings the same events, and the same hash of them.
package simulation

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"spurspread/decision/membership"
	"spurspread/decision/monotime"
	"spurspread/lab/link"
	"time"
)

// Micros is a span, or a point in virtual time.
type Micros = monotime.Micros

// Spans.
const (
	Millisecond Micros = 1000
	Second             = 1000 * Millisecond
)

// Detector is one member's part, whichever way it works.
type Detector interface {
	Tick(now Micros) ([]Packet, []membership.StateChange)
	Receive(now Micros, from int, p Packet) ([]Packet, []membership.StateChange)
	Leave(now Micros) []Packet
	// Holds is what this member holds another to be: alive, or dead or gone.
	StateOf(other int) membership.State
	Incarnation() uint64
}

// Packet is a message on its way.
type Packet struct {
	To      int
	Size    int
	Payload any
}

// node is one member's process.
type node struct {
	detector  Detector
	reported  []membership.State // what it holds the others to be, by its word
	up        bool
	paused    Micros // until then
	inbox     []arrival
	startedAt Micros
	starts    int // how often
}

type arrival struct {
	from int
	p    Packet
}

// maxInbox is how many datagrams wait at a paused process before further ones are lost.
const maxInbox = 256

// event is something that is due.
type event struct {
	at   Micros
	seq  uint64
	do   func()
	kind uint8
	a, b int
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Cluster is the members and what is between them.
type Cluster struct {
	Bytes []int64 // that each member has sent
	// Received are the bytes that each member has received.
	Received []int64
	// Between says how the link from one member to another is, where it is not nil.
	LinkBetween func(from, to int) *link.Link
	Sent        int64 // datagrams

	now         Micros
	rng         *rand.Rand
	build       func(w *Cluster, i, start int) Detector
	nodes       []*node
	links       map[[2]int]*link.Link
	defaultLink link.Link
	events      queue
	seq         uint64
	hash        hash.Hash64
	skew        map[int]Micros  // of members' clocks
	downLinks   map[[2]int]bool // as of the last change of links
	// Changed is told what members say of one another.
	Changed func(observer, of int, c membership.StateChange)
	index   map[string]int // of members, by their names
}

// Event kinds, as far as they are hashed.
const (
	evTick uint8 = iota
	evDelivery
	evFault
)

// NewCluster returns a world of n members that are not started.
func NewCluster(n int, seed uint64, usual link.Link, build func(w *Cluster, i, start int) Detector) *Cluster {
	w := &Cluster{
		rng: rand.New(
			rand.NewPCG(seed, 0x7669727475616c),
		), build: build, links: map[[2]int]*link.Link{}, defaultLink: usual, skew: map[int]Micros{},
		Changed: func(int, int, membership.StateChange) {}, index: map[string]int{},
		hash: fnv.New64a(), Bytes: make([]int64, n), Received: make([]int64, n), now: Second,
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{})
		w.index[Name(i)] = i
	}
	return w
}

// Addr is where member i is reached.
func Addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + i>>16), byte(i >> 8), byte(i)}), 7000)
}

// Index is the member that is reached there.
func Index(a netip.AddrPort) int {
	ip := a.Addr().As4()
	return int(ip[1]-1)<<16 | int(ip[2])<<8 | int(ip[3])
}

func (w *Cluster) schedule(d Micros, kind uint8, a, b int, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + max(d, 0), seq: w.seq, do: do, kind: kind, a: a, b: b})
}

// Members, Rand, After and what follows them are a trial's stage.

// Members is how many there are.
func (w *Cluster) Members() int { return len(w.nodes) }

// Rand draws for scripts of faults.
func (w *Cluster) Rand() *rand.Rand { return w.rng }

// Now is the time since the world began.
func (w *Cluster) Now() time.Duration { return time.Duration(w.now) * time.Microsecond }

// After has something done.
func (w *Cluster) After(d time.Duration, do func()) {
	w.schedule(Micros(d.Microseconds()), evFault, 0, 0, do)
}

// Holds is what a member holds another to be, as it has said last.
func (w *Cluster) Holds(observer, of int) membership.State {
	if held := w.nodes[observer].reported; held != nil {
		return held[of]
	}
	return membership.Unknown
}

// StepClock has a member's clock be off by d from its next start on.
func (w *Cluster) StepClock(i int, d time.Duration) { w.skew[i] = Micros(d.Microseconds()) }

// Run goes on until then.
func (w *Cluster) Run(until Micros) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		var b [21]byte
		binary.BigEndian.PutUint64(b[:], uint64(e.at))
		b[8] = e.kind
		binary.BigEndian.PutUint32(b[9:], uint32(e.a))
		binary.BigEndian.PutUint64(b[13:], uint64(e.b))
		_, _ = w.hash.Write(b[:])
		e.do()
	}
	w.now = until
}

// Hash stands for all events so far.
func (w *Cluster) Hash() string { return fmt.Sprintf("%016x", w.hash.Sum64()) }

// Start starts a member's process, or a new one under its name.
func (w *Cluster) Start(i int) {
	n := w.nodes[i]
	n.starts++
	n.up, n.paused, n.inbox, n.startedAt = true, 0, nil, w.now
	n.detector, n.reported = w.build(w, i, n.starts), make([]membership.State, len(w.nodes))
	for o := range n.reported {
		n.reported[o] = n.detector.StateOf(o)
	}
	w.tick(i, n.starts, Micros(w.rng.Int64N(int64(membership.TickInterval))))
}

func (w *Cluster) tick(i, start int, d Micros) {
	w.schedule(d, evTick, i, start, func() {
		n := w.nodes[i]
		if !n.up || n.starts != start {
			return
		}
		if w.now < n.paused {
			w.tick(i, start, n.paused-w.now)
			return
		}
		// What waited is read before the deadlines are looked at, as the loop does.
		waiting := n.inbox
		n.inbox = nil
		for _, a := range waiting {
			w.deliver(a.from, i, a.p)
		}
		w.apply(i)(n.detector.Tick(w.now))
		w.tick(i, start, membership.TickInterval+Micros(w.rng.Int64N(int64(2*Millisecond))))
	})
}

// apply carries out what a member says.
func (w *Cluster) apply(i int) func([]Packet, []membership.StateChange) {
	return func(out []Packet, changes []membership.StateChange) {
		for _, c := range changes {
			if of, known := w.index[c.Name]; known {
				w.nodes[i].reported[of] = c.To
				w.Changed(i, of, c)
			}
		}
		for _, p := range out {
			w.send(i, p)
		}
	}
}

func (w *Cluster) link(from, to int) *link.Link {
	if w.LinkBetween != nil {
		return w.LinkBetween(from, to)
	}
	l := w.links[[2]int{from, to}]
	if l == nil {
		own := w.defaultLink
		l = &own
		w.links[[2]int{from, to}] = l
	}
	return l
}

func (w *Cluster) send(from int, p Packet) {
	w.Bytes[from] += int64(p.Size)
	w.Sent++
	if p.To < 0 || p.To >= len(w.nodes) || p.To == from {
		return
	}
	l := w.link(from, p.To)
	for range l.Times(w.rng) {
		start := w.nodes[p.To].starts
		w.schedule(Micros(l.Wait(w.rng).Microseconds()), evDelivery, from, p.To, func() {
			n := w.nodes[p.To]
			switch {
			case !n.up || n.starts != start:
				return
			case w.now < n.paused || len(n.inbox) > 0:
				if len(n.inbox) < maxInbox {
					n.inbox = append(n.inbox, arrival{from, p})
				}
			default:
				w.deliver(from, p.To, p)
			}
			w.Received[p.To] += int64(p.Size)
		})
	}
}

func (w *Cluster) deliver(from, to int, p Packet) {
	w.apply(to)(w.nodes[to].detector.Receive(w.now, from, p))
}

// Kill ends a member's process without a word.
func (w *Cluster) Kill(i int) {
	w.nodes[i].up = false
}

// Stop ends it in the planned way.
func (w *Cluster) Stop(i int) {
	n := w.nodes[i]
	if !n.up {
		return
	}
	for _, p := range n.detector.Leave(w.now) {
		w.send(i, p)
	}
	start := n.starts
	w.schedule(500*Millisecond, evFault, i, 1, func() {
		if n.starts == start {
			w.Kill(i)
		}
	})
}

// Pause stops a member's process for a while.
func (w *Cluster) Pause(i int, d time.Duration) {
	n := w.nodes[i]
	n.paused = max(n.paused, w.now+Micros(d.Microseconds()))
}

// Set changes the links from some members to others, one way.
func (w *Cluster) Set(from, to []int, change func(*link.Link)) {
	for _, a := range from {
		for _, b := range to {
			if a != b {
				change(w.link(a, b))
			}
		}
	}
	w.downLinks = nil
}

// Heal makes all links what they are usually.
func (w *Cluster) Heal() {
	clear(w.links)
	w.downLinks = nil
}

// Cuts lists the links that are cut.
func (w *Cluster) Cuts() map[[2]int]bool {
	if w.downLinks == nil {
		w.downLinks = map[[2]int]bool{}
		for ab, l := range w.links {
			if l.Partitioned {
				w.downLinks[ab] = true
			}
		}
	}
	return w.downLinks
}
