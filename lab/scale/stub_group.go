package scale

import (
	"net/netip"
	"time"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/eventloop"
	"spurspread/internal/peer/packet"
)

const (
	sampleMicros      = 100_000 // interval between the samples of a loop, microseconds
	samplesPerTraffic = 10      // one sample in this number contains the traffic of the last second
	lagTimerMicros    = 10_000  // interval of the timer whose lag is measured, microseconds
)

// stubGroup is an event loop with its stub members. All its methods but has run on the loop.
type stubGroup struct {
	loop         *eventloop.Loop
	number       int // index of the loop within the process
	setup        *Setup
	links        *Links
	keyring      *packet.Keyring
	members      []*stubMember
	memberByAddr map[netip.Addr]int // all members of the fleet, each of which has its own address
	memberByName map[string]int
	zoneByID     map[zonedirectory.ID]int
	samples      chan<- *Sample

	pending     *Sample // collects observations until the next sample
	traffic     Traffic // since the last sample with traffic
	sampleCount int
	periods     int64     // number of periods of membership.TickInterval that have passed
	lagDue      time.Time // time at which the lag timer is due next
}

// newStubGroup creates a loop with stub members, none of which is started yet.
func newStubGroup(setup *Setup, number int, members []int, samples chan<- *Sample) (*stubGroup, error) {
	loop, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	keyring, err := newKeyring(setup.Secret)
	if err != nil {
		return nil, err
	}
	topology := &setup.Topology
	g := &stubGroup{
		loop:         loop,
		number:       number,
		setup:        setup,
		links:        topology.Links(uint64(members[0])),
		keyring:      keyring,
		memberByAddr: map[netip.Addr]int{},
		memberByName: map[string]int{},
		zoneByID:     map[zonedirectory.ID]int{},
		samples:      samples,
		pending:      &Sample{},
	}
	for member, addr := range topology.Addrs {
		g.memberByAddr[addr.Addr()] = member
		g.memberByName[topology.Name(member)] = member
	}
	for zone := range topology.Zones {
		g.zoneByID[topology.Site(zone).ID()] = zone
	}
	for _, member := range members {
		g.members = append(g.members, &stubMember{group: g, index: member})
	}
	g.resetTraffic()
	return g, nil
}

// has returns whether a member belongs to this loop. It may be called from any goroutine.
func (g *stubGroup) has(member int) bool { return g.find(member) != nil }

// find returns the member of this loop with an index, or nil if it belongs to another loop.
func (g *stubGroup) find(member int) *stubMember {
	for _, own := range g.members {
		if own.index == member {
			return own
		}
	}
	return nil
}

// run runs the loop until it is stopped.
func (g *stubGroup) run() error {
	repeat(g.loop, sampleMicros, g.emitSample)
	repeat(g.loop, membership.TickInterval, func() { g.periods++ })
	g.lagDue = time.Now().Add(lagTimerMicros * time.Microsecond)
	g.loop.After(lagTimerMicros, g.measureLag)
	return g.loop.Run()
}

// repeat calls do on a loop at an interval. It schedules the next call before do runs, so that the duration of do does
// not add to the interval.
func repeat(loop *eventloop.Loop, interval eventloop.Micros, do func()) {
	loop.After(interval, func() {
		repeat(loop, interval, do)
		do()
	})
}

// measureLag records the lag of a timer, which includes the time that the loop spends on other work.
func (g *stubGroup) measureLag() {
	late := time.Since(g.lagDue).Microseconds()
	g.pending.LagMicros = append(g.pending.LagMicros, max(late, 0))
	g.lagDue = time.Now().Add(lagTimerMicros * time.Microsecond)
	g.loop.After(lagTimerMicros, g.measureLag)
}

// execute carries out a command.
func (g *stubGroup) execute(command *Command) {
	if command.Action == ActionLink {
		g.links.Set(command.From, command.To, command.applyTo)
		return
	}
	if member := g.find(command.Member); member != nil {
		member.execute(command)
	}
}

// emitSample sends the changes at the members since the last sample.
func (g *stubGroup) emitSample() {
	sample := g.pending
	sample.Loop = g.number
	sample.At = time.Now().UnixMicro()
	sample.Periods = g.periods
	sample.Running = 0
	sample.ShareSum = 0
	for _, member := range g.members {
		if member.host == nil {
			continue
		}
		sample.Running++
		sample.ShareSum += 1 / max(member.host.RateDivisor(), 1)
		member.sample(sample)
	}
	g.sampleCount++
	if g.sampleCount%samplesPerTraffic == 0 {
		g.addTraffic(sample)
	}
	g.samples <- sample
	g.pending = &Sample{}
}

// addTraffic adds the traffic of the last second to a sample.
func (g *stubGroup) addTraffic(sample *Sample) {
	for i, member := range g.members {
		g.traffic.Sent[i] = member.sentBytes
		g.traffic.Received[i] = member.receivedBytes
		g.traffic.Datagrams += member.datagrams
		member.sentBytes = 0
		member.receivedBytes = 0
		member.datagrams = 0
	}
	traffic := g.traffic
	sample.Traffic = &traffic
	g.resetTraffic()
}

// resetTraffic resets the counts of traffic.
func (g *stubGroup) resetTraffic() {
	realMembers := g.setup.Topology.RealMembers
	g.traffic = Traffic{
		Sent:          make([]int64, len(g.members)),
		Received:      make([]int64, len(g.members)),
		RealSent:      make([]int64, realMembers),
		RealReceived:  make([]int64, realMembers),
		RealDatagrams: make([]int64, realMembers),
	}
}

// countRealTraffic counts a datagram that a member sent or received, if it is a real member: the sockets of real
// members do not count.
func (g *stubGroup) countRealTraffic(member, sent, received int) {
	if !g.setup.Topology.Real(member) {
		return
	}
	g.traffic.RealSent[member] += int64(sent)
	g.traffic.RealReceived[member] += int64(received)
	g.traffic.RealDatagrams[member]++
}
