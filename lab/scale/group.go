package scale

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/eventloop"
	"spurspread/internal/peer"
	"spurspread/internal/peer/packet"
)

const (
	sampleEvery = 100_000 // microseconds: what a loop's members show is told
	secondEvery = 10      // samples, after each of which bytes are told
	lagEvery    = 10_000  // microseconds: the timer whose lateness is measured
	// leaveTime is how long a member that leaves goes on to tell so, microseconds; the program does the same.
	leaveTime = 1_000_000
)

// group is one loop with its members.
type group struct {
	l       *eventloop.Loop
	no      int
	setup   *Setup
	links   *Links
	ring    *packet.Keyring
	members []*hollow
	whose   map[netip.Addr]int // members by their addresses, each of which is one member's only
	zones   map[zonedirectory.ID]int
	names   map[string]int
	samples chan<- *Sample

	now         *Sample // told next
	second      Second
	sampleCount int
	periods     int64
	lagDue      time.Time
}

func newGroup(setup *Setup, no int, members []int, tell chan<- *Sample) (*group, error) {
	l, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	ring, err := newRing(setup.Secret)
	if err != nil {
		return nil, err
	}
	t := &setup.Topology
	g := &group{
		l: l, no: no, setup: setup, links: t.Links(uint64(members[0])), ring: ring, whose: map[netip.Addr]int{},
		zones: map[zonedirectory.ID]int{},
		names: map[string]int{}, samples: tell, now: &Sample{},
	}
	for i, at := range t.Addrs {
		g.whose[at.Addr()] = i
		g.names[t.Name(i)] = i
	}
	for z := range t.Zones {
		g.zones[t.Site(z).ID()] = z
	}
	for _, i := range members {
		g.members = append(g.members, &hollow{g: g, index: i})
	}
	g.clear()
	return g, nil
}

func (g *group) clear() {
	r := g.setup.Topology.Reals
	g.second = Second{
		Sent: make([]int64, len(g.members)), Received: make([]int64, len(g.members)), RealSent: make([]int64, r),
		RealReceived: make([]int64, r), RealDatagrams: make([]int64, r),
	}
}

// countReal notes what crossed the socket of a member, if that is a real one.
func (g *group) countReal(m, sent, received int) {
	if m >= g.setup.Topology.Reals {
		return
	}
	g.second.RealSent[m] += int64(sent)
	g.second.RealReceived[m] += int64(received)
	g.second.RealDatagrams[m]++
}

func (g *group) run() error {
	every(g.l, sampleEvery, g.sample)
	every(g.l, membership.TickInterval, func() { g.periods++ })
	g.lagDue = time.Now().Add(lagEvery * time.Microsecond)
	g.l.After(lagEvery, g.lag)
	return g.l.Run()
}

// lag measures by how much a timer comes late, its loop's other work included.
func (g *group) lag() {
	late := time.Since(g.lagDue).Microseconds()
	g.now.Lags = append(g.now.Lags, max(late, 0))
	g.lagDue = time.Now().Add(lagEvery * time.Microsecond)
	g.l.After(lagEvery, g.lag)
}

func (g *group) do(c *Command) {
	if c.Do == DoLink {
		g.links.Set(c.From, c.To, c.change)
		return
	}
	for _, m := range g.members {
		if m.index == c.Member {
			m.do(c)
		}
	}
}

// sample tells what the members show now, where that is something else than before.
func (g *group) sample() {
	s := g.now
	s.Loop, s.At, s.Periods = g.no, time.Now().UnixMicro(), g.periods
	s.Running, s.Shares = 0, 0
	for _, m := range g.members {
		if m.host == nil {
			continue
		}
		s.Running++
		s.Shares += 1 / max(m.host.RateDivisor(), 1)
		m.show(s)
	}
	if g.sampleCount++; g.sampleCount%secondEvery == 0 {
		g.reportSecond(s)
	}
	g.samples <- s
	g.now = &Sample{}
}

func (g *group) reportSecond(s *Sample) {
	for i, m := range g.members {
		g.second.Sent[i], g.second.Received[i] = m.sent, m.received
		g.second.Datagrams += m.datagrams
		m.sent, m.received, m.datagrams = 0, 0, 0
	}
	second := g.second
	s.Second = &second
	g.clear()
}

// hollow is one hollow member.
type hollow struct {
	g       *group
	index   int
	host    *peer.Host // nil while it does not run
	process int        // how often it was started or ended

	sent, received, datagrams int64 // since the last second was told

	held         map[int]membership.State // what it holds those of its own zone to be, of whom it has heard
	own          int                      // how many of them are there
	delegate     bool
	lastReported MemberLive // the last time, as are what follows
	states       map[int]zonedirectory.Reachability
	records      map[string]string
}

func (m *hollow) do(c *Command) {
	switch c.Do {
	case DoStart:
		process := m.process
		m.g.l.After(eventloop.Micros(c.Delay), func() {
			if m.host == nil && m.process == process {
				m.start()
			}
		})
	case DoKill:
		m.end()
	case DoLeave:
		m.leave()
	case DoPublish:
		m.publish(c)
	}
}

func (m *hollow) start() {
	t := &m.g.setup.Topology
	cfg := peer.Config{
		Name:       t.Name(m.index),
		Listen:     t.Addrs[m.index],
		Keyring:    m.g.ring,
		RandomSeed: rand.Uint64(),
		OpenSocket: m.open,
	}
	for _, s := range t.Seeds(m.index) {
		cfg.Seeds = append(cfg.Seeds, t.Addrs[s])
	}
	m.place(&cfg)
	m.process++
	m.held, m.own, m.delegate, m.lastReported = map[int]membership.State{}, 1, false, MemberLive{}
	m.states, m.records = map[int]zonedirectory.Reachability{}, map[string]string{}
	log := logrus.New()
	log.SetFormatter(unwritten{})
	log.AddHook(&changes{m})
	host, err := peer.Start(m.g.l, cfg, log)
	if err != nil {
		m.g.now.Errors = append(m.g.now.Errors, fmt.Sprintf("%s does not start: %v", cfg.Name, err))
		return
	}
	m.host = host
}

func (m *hollow) end() {
	if m.host == nil {
		return
	}
	m.host.Close()
	m.host = nil
	m.process++
}

func (m *hollow) leave() {
	if m.host == nil {
		return
	}
	m.host.Leave()
	process := m.process
	m.g.l.After(leaveTime, func() {
		if m.process == process {
			m.end()
		}
	})
}
