package simulation

import (
	"math/rand/v2"
	"time"

	"spurspread/decision/membership"
	"spurspread/decision/monotime"
	"spurspread/lab/link"
)

// Micros is a span, or a point in virtual time, in microseconds.
type Micros = monotime.Micros

// Spans.
const (
	Millisecond = monotime.Millisecond
	Second      = monotime.Second
)

const (
	// randomStream tells a cluster's random source from others with the same seed.
	randomStream = 0x7669727475616c
	// startTime is when a cluster begins: 0 would mean never to some members.
	startTime = Second
	// maxInbox is how many datagrams wait at a paused process before more are lost.
	maxInbox = 256
	// maxTickDelay is by how much a tick is late at most.
	maxTickDelay = 2 * Millisecond
	// leaveDelay is how long a process runs on that was stopped in the planned way.
	leaveDelay = 500 * Millisecond
)

// Cluster is members and the links between them. It is a scenario.Stage.
type Cluster struct {
	scheduler

	// SentBytes and Received are what each member has sent and received, Sent counts all datagrams.
	SentBytes     []int64
	ReceivedBytes []int64
	SentDatagrams int64
	// LinkBetween decides which link there is from one member to another; nil: one for each pair, see Set.
	LinkBetween func(from, to int) *link.Link
	// OnStateChange is called with what members report of one another.
	OnStateChange func(observer, of int, c membership.StateChange)

	rng              *rand.Rand
	build            Builder
	members          []*member
	indexOf          map[string]int // of members, by their names
	clockSkew        map[int]Micros
	links            map[[2]int]*link.Link
	defaultLink      link.Link
	partitionedLinks map[[2]int]bool // as of the last change of links, nil: not known
}

// member is one member's current process.
type member struct {
	detector    Detector
	reported    []membership.State // what it has reported of the others
	up          bool
	pausedUntil Micros
	inbox       []delivery // while it is paused
	startCount  int
}

// delivery is a packet that has arrived.
type delivery struct {
	from   int
	packet Packet
}

// NewCluster returns a cluster of n members that are not started.
func NewCluster(n int, seed uint64, defaultLink link.Link, build Builder) *Cluster {
	c := &Cluster{
		scheduler:     newScheduler(startTime),
		SentBytes:     make([]int64, n),
		ReceivedBytes: make([]int64, n),
		OnStateChange: func(int, int, membership.StateChange) {},
		rng:           rand.New(rand.NewPCG(seed, randomStream)),
		build:         build,
		indexOf:       map[string]int{},
		clockSkew:     map[int]Micros{},
		links:         map[[2]int]*link.Link{},
		defaultLink:   defaultLink,
	}
	for i := range n {
		c.members = append(c.members, &member{})
		c.indexOf[Name(i)] = i
	}
	return c
}

// Members returns the number of members.
func (c *Cluster) Members() int { return len(c.members) }

// Rand is the random source of the cluster and its scripts.
func (c *Cluster) Rand() *rand.Rand { return c.rng }

// Now is the time since the cluster began.
func (c *Cluster) Now() time.Duration { return time.Duration(c.now) * time.Microsecond }

// After has something done after a while.
func (c *Cluster) After(d time.Duration, do func()) {
	c.schedule(Micros(d.Microseconds()), faultEvent, 0, 0, do)
}

// StateSeen is what a member considers another one to be, by what it has reported; Unknown before it was started.
func (c *Cluster) StateSeen(observer, of int) membership.State {
	if reported := c.members[observer].reported; reported != nil {
		return reported[of]
	}
	return membership.Unknown
}

// StepClock has a member's clock be off by d from its next start on.
func (c *Cluster) StepClock(i int, d time.Duration) { c.clockSkew[i] = Micros(d.Microseconds()) }

// Start starts a member's process, or a new one under its name.
func (c *Cluster) Start(i int) {
	m := c.members[i]
	m.startCount++
	m.up = true
	m.pausedUntil = 0
	m.inbox = nil
	m.detector = c.build(c, i, m.startCount)
	m.reported = make([]membership.State, len(c.members))
	for other := range m.reported {
		m.reported[other] = m.detector.StateOf(other)
	}
	c.scheduleTick(i, m.startCount, c.jitter(membership.TickInterval))
}

// Kill ends a member's process without an announcement.
func (c *Cluster) Kill(i int) { c.members[i].up = false }

// Stop ends it in the planned way.
func (c *Cluster) Stop(i int) {
	m := c.members[i]
	if !m.up {
		return
	}
	for _, p := range m.detector.Leave(c.now) {
		c.send(i, p)
	}
	start := m.startCount
	c.schedule(leaveDelay, faultEvent, i, 1, func() {
		if m.startCount == start {
			c.Kill(i)
		}
	})
}

// Pause stops a member's process for a while.
func (c *Cluster) Pause(i int, d time.Duration) {
	m := c.members[i]
	m.pausedUntil = max(m.pausedUntil, c.now+Micros(d.Microseconds()))
}

// jitter draws a span under limit.
func (c *Cluster) jitter(limit Micros) Micros { return Micros(c.rng.Int64N(int64(limit))) }

func (c *Cluster) scheduleTick(i, start int, after Micros) {
	c.schedule(after, tickEvent, i, start, func() { c.tick(i, start) })
}

// tick lets a member's process do what is due. A paused one does it when the pause ends, after reading what has
// waited, as the event loop does.
func (c *Cluster) tick(i, start int) {
	m := c.members[i]
	if !m.up || m.startCount != start {
		return
	}
	if c.now < m.pausedUntil {
		c.scheduleTick(i, start, m.pausedUntil-c.now)
		return
	}
	waiting := m.inbox
	m.inbox = nil
	for _, d := range waiting {
		c.deliver(d.from, i, d.packet)
	}
	c.apply(i)(m.detector.Tick(c.now))
	c.scheduleTick(i, start, membership.TickInterval+c.jitter(maxTickDelay))
}

// apply returns what carries out a member's output.
func (c *Cluster) apply(i int) func([]Packet, []membership.StateChange) {
	return func(out []Packet, changes []membership.StateChange) {
		for _, change := range changes {
			if of, known := c.indexOf[change.Name]; known {
				c.members[i].reported[of] = change.To
				c.OnStateChange(i, of, change)
			}
		}
		for _, p := range out {
			c.send(i, p)
		}
	}
}
