package simulation

import (
	"math/rand/v2"
	"time"

	"spurspread/decision/membership"
	"spurspread/decision/monotime"
	"spurspread/lab/link"
)

// Micros is a duration or a point in virtual time, in microseconds.
type Micros = monotime.Micros

// Durations.
const (
	Millisecond = monotime.Millisecond
	Second      = monotime.Second
)

const (
	// randomStream selects the random sequence of a cluster; other users of the seed select others.
	randomStream = 0x7669727475616c
	// startTime is the virtual time at which a cluster begins. It is not 0, which some members treat as "never".
	startTime = Second
	// maxInbox is the number of datagrams that are queued for a paused process; further ones are lost.
	maxInbox = 256
	// maxTickDelay bounds the random delay of each tick.
	maxTickDelay = 2 * Millisecond
	// leaveDelay is the time from a planned stop to the end of the process.
	leaveDelay = 500 * Millisecond
)

// Cluster is a set of simulated members and the links between them. It implements scenario.Testbed.
type Cluster struct {
	scheduler

	// SentBytes and ReceivedBytes count the bytes of datagrams that each member has sent and received. SentDatagrams
	// counts the datagrams that all members have sent.
	SentBytes     []int64
	ReceivedBytes []int64
	SentDatagrams int64
	// LinkBetween returns the link from one member to another. If it is nil, the cluster has a separate link for each
	// ordered pair, which UpdateLinks changes.
	LinkBetween func(from, to int) *link.Link
	// OnStateChange is called with each state change that a member reports of another one.
	OnStateChange func(observer, of int, c membership.StateChange)

	rng              *rand.Rand
	build            Builder
	members          []*member
	indexOf          map[string]int // of members, by their names
	clockSkew        map[int]Micros
	links            map[[2]int]*link.Link
	defaultLink      link.Link
	partitionedLinks map[[2]int]bool // result of Partitioned, nil after a change of links
}

// member is the state of one member and its current process.
type member struct {
	detector    Detector
	reported    []membership.State // the state of each member that it reported last
	up          bool
	pausedUntil Micros
	inbox       []delivery // datagrams that arrived while it was paused
	startCount  int
}

// delivery is a packet that has arrived.
type delivery struct {
	from   int
	packet Packet
}

// NewCluster returns a cluster of n members, none of which is started.
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

// Rand returns the random source of the cluster and its scripts.
func (c *Cluster) Rand() *rand.Rand { return c.rng }

// Now returns the current virtual time, which begins at startTime rather than at 0.
func (c *Cluster) Now() time.Duration { return time.Duration(c.now) * time.Microsecond }

// After schedules a call after a delay.
func (c *Cluster) After(d time.Duration, do func()) {
	c.schedule(Micros(d.Microseconds()), faultEvent, 0, 0, do)
}

// StateSeen returns the state that the observer last reported of a member; Unknown if the observer was never started.
func (c *Cluster) StateSeen(observer, of int) membership.State {
	if reported := c.members[observer].reported; reported != nil {
		return reported[of]
	}
	return membership.Unknown
}

// StepClock sets the offset of a member's clock to d, from the member's next start on.
func (c *Cluster) StepClock(i int, d time.Duration) { c.clockSkew[i] = Micros(d.Microseconds()) }

// Start starts a process for a member. It replaces an earlier process of the member.
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

// Stop ends a member's process in the planned way: the member announces that it leaves, and its process ends leaveDelay
// later. It does nothing for a process that has ended.
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

// Pause suspends a member's process for d.
func (c *Cluster) Pause(i int, d time.Duration) {
	m := c.members[i]
	m.pausedUntil = max(m.pausedUntil, c.now+Micros(d.Microseconds()))
}

// jitter returns a random duration below limit.
func (c *Cluster) jitter(limit Micros) Micros { return Micros(c.rng.Int64N(int64(limit))) }

func (c *Cluster) scheduleTick(i, start int, after Micros) {
	c.schedule(after, tickEvent, i, start, func() { c.tick(i, start) })
}

// tick delivers the queued datagrams to a member's process and calls its Tick. For a paused process both happen at the
// end of the pause, in the order in which the balancer's event loop does them.
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

// apply returns a function that sends a member's packets and records the state changes that it reports.
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
