package scale

import (
	"fmt"
	"sync"
	"time"
)

const (
	// starvationLagMicros is the lag of a timer, in microseconds, above which false deaths are attributed to the
	// machine: after a pause of that length, members reconsider the conclusions that they drew during it.
	starvationLagMicros = 300_000
	// starvationGraceMicros is the time after such a timer in which false deaths and recoveries are ignored, in
	// microseconds.
	starvationGraceMicros = 10_000_000
	// maxNotes limits the notes of a run.
	maxNotes = 12
)

// monitor is the model that a run has of its fleet: the actions on members and links, and the view of each member as
// observed. Methods that lock mu may be called from any goroutine; the others need it locked, unless noted.
type monitor struct {
	mu          sync.Mutex
	topology    *Topology
	members     []memberView
	partitioned map[[2]int]bool // links that lose all datagrams, by rack of the sender and rack of the receiver
	loops       map[loopID]*loopView

	// recording is set once all members have joined. Before that, lags, flaps and the sum of shares are not recorded;
	// false deaths and suspicions are counted from the start.
	recording    bool
	starvedUntil int64 // end of the grace time after the last timer that was late; wall clock, microseconds

	falseDeaths         int // running members that were declared dead
	ignoredWhileStarved int // false deaths and recoveries that were ignored while the run was starved
	flaps               int // greatest number of recoveries of one subject by one observer after one fault
	recoveries          map[recovery]int
	suspicions          int
	maxShareSum         float64 // greatest sum of 1/divisor over all running members
	lagMillis           []float64
	errors              []string
	notes               []string
}

// loopID identifies a loop of stub members.
type loopID struct {
	process int
	loop    int // within the process
}

// recovery identifies an observer and a subject that the observer considers alive or reachable again, after it had
// considered it dead or not reachable.
type recovery struct {
	observer int
	subject  int // member, or zone if isZone is set
	isZone   bool
}

// memberView is the state of a member by the actions of the run, and its view of the fleet as observed.
type memberView struct {
	running        bool
	leaving        bool           // whether it was shut down in the planned way
	delegate       bool           // whether it considers itself a delegate of its zone
	ownZoneCount   int            // number of live members that it counts in its zone
	totalCount     int            // number of live members that it counts in the fleet
	totalChangedAt int64          // last change of totalCount, wall clock in microseconds
	budgetShare    float64        // 1/divisor; only for a real member
	zoneStates     map[int]string // by zone
	records        map[string]recordView
	deadAt         map[int]int64 // last time that it declared a member dead, by that member; microseconds
	sentBytes      series        // only for a stub member, like receivedBytes
	receivedBytes  series        // only for a stub member, like sentBytes
}

// recordView is the value of a record at a member, and the time at which it was first seen.
type recordView struct {
	value  string
	seenAt int64
}

// loopView holds the values that a loop of stub members has reported.
type loopView struct {
	members           []int
	periods           int64
	shareSum          float64
	realSentBytes     []series // by real member
	realReceivedBytes []series // by real member
	allDatagrams      series
}

func newMonitor(topology *Topology) *monitor {
	return &monitor{
		topology:    topology,
		members:     make([]memberView, topology.Members),
		partitioned: map[[2]int]bool{},
		loops:       map[loopID]*loopView{},
		recoveries:  map[recovery]int{},
	}
}

// addLoop adds a loop before its first sample. It does not need mu, since no process reports yet.
func (m *monitor) addLoop(process, loop int, members []int) {
	m.loops[loopID{process, loop}] = &loopView{
		members:           members,
		realSentBytes:     make([]series, m.topology.RealMembers),
		realReceivedBytes: make([]series, m.topology.RealMembers),
	}
}

// applySample applies a sample from a process. It locks mu.
func (m *monitor) applySample(process int, sample *Sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	loop := m.loops[loopID{process, sample.Loop}]
	loop.periods = sample.Periods
	loop.shareSum = sample.ShareSum
	m.suspicions += sample.Suspicions
	m.errors = append(m.errors, sample.Errors...)
	for _, lag := range sample.LagMicros {
		m.observeLag(sample.At, lag)
	}
	for _, change := range sample.Changes {
		m.observeChange(change)
	}
	for _, counts := range sample.Counts {
		m.observeCounts(counts, sample.At)
	}
	for _, state := range sample.Zones {
		m.observeZone(state, sample.At)
	}
	for _, record := range sample.Records {
		m.observeRecord(record, sample.At)
	}
	if sample.Traffic != nil {
		m.observeTraffic(loop, sample.At, sample.Traffic)
	}
	m.updateMaxShareSum()
}

// observeLag records the lag of a timer, in microseconds.
func (m *monitor) observeLag(at, lagMicros int64) {
	if lagMicros > starvationLagMicros {
		m.starvedUntil = max(m.starvedUntil, at+starvationGraceMicros)
	}
	if m.recording {
		m.lagMillis = append(m.lagMillis, float64(lagMicros)/1000)
	}
}

// observeTraffic records the traffic of a loop during a second.
func (m *monitor) observeTraffic(loop *loopView, at int64, traffic *Traffic) {
	for i, member := range loop.members {
		m.members[member].sentBytes.add(at, float64(traffic.Sent[i]))
		m.members[member].receivedBytes.add(at, float64(traffic.Received[i]))
	}
	for member := range m.topology.RealMembers {
		loop.realSentBytes[member].add(at, float64(traffic.RealSent[member]))
		loop.realReceivedBytes[member].add(at, float64(traffic.RealReceived[member]))
	}
	loop.allDatagrams.add(at, float64(traffic.Datagrams))
}

// observeChange records a death, and counts false deaths and recoveries.
func (m *monitor) observeChange(change Change) {
	observer := &m.members[change.Observer]
	subject := &m.members[change.Subject]
	if change.To == "dead" {
		if observer.deadAt == nil {
			observer.deadAt = map[int]int64{}
		}
		observer.deadAt[change.Subject] = change.At
		if subject.running && !subject.leaving {
			m.countFalseDeath(change)
		}
	}
	if change.From == "dead" && change.To == "alive" {
		m.countRecovery(change.At, recovery{observer: change.Observer, subject: change.Subject})
	}
}

// countFalseDeath counts that a running member was declared dead, unless the run was starved at that time.
func (m *monitor) countFalseDeath(change Change) {
	if change.At < m.starvedUntil {
		m.ignoredWhileStarved++
		return
	}
	m.falseDeaths++
	m.addNote("%s declared %s dead while it was running",
		m.topology.Name(change.Observer), m.topology.Name(change.Subject))
}

// countRecovery counts a recovery, unless the run was starved at that time.
func (m *monitor) countRecovery(at int64, r recovery) {
	if at < m.starvedUntil {
		m.ignoredWhileStarved++
		return
	}
	m.recoveries[r]++
	if m.recording {
		m.flaps = max(m.flaps, m.recoveries[r])
	}
}

// addNote adds a line to the notes of the report. Only the first maxNotes are stored.
func (m *monitor) addNote(format string, args ...any) {
	if len(m.notes) < maxNotes {
		m.notes = append(m.notes, fmt.Sprintf(format, args...))
	}
}

// observeCounts records the numbers of live members that a member counts.
func (m *monitor) observeCounts(counts MemberCounts, at int64) {
	member := &m.members[counts.Member]
	member.ownZoneCount = counts.OwnZone
	member.delegate = counts.Delegate
	if member.totalCount != counts.Total {
		member.totalCount = counts.Total
		member.totalChangedAt = at
	}
}

// observeZone records the state that a member has for a zone. A change to reachable counts as a recovery.
func (m *monitor) observeZone(state ZoneState, at int64) {
	member := &m.members[state.Member]
	if member.zoneStates == nil {
		member.zoneStates = map[int]string{}
	}
	before := member.zoneStates[state.Zone]
	if before != "" && before != state.State && state.State == "reachable" {
		m.countRecovery(at, recovery{observer: state.Member, subject: state.Zone, isZone: true})
	}
	member.zoneStates[state.Zone] = state.State
}

// observeRecord records the value that a member has for a record.
func (m *monitor) observeRecord(seen RecordValue, at int64) {
	member := &m.members[seen.Member]
	if member.records == nil {
		member.records = map[string]recordView{}
	}
	if member.records[seen.Name].value != seen.Value {
		member.records[seen.Name] = recordView{seen.Value, at}
	}
}

// updateMaxShareSum updates the greatest sum of the shares that all running members take of a fleet-wide budget.
func (m *monitor) updateMaxShareSum() {
	sum := 0.0
	for _, loop := range m.loops {
		sum += loop.shareSum
	}
	for i := range m.members[:m.topology.RealMembers] {
		if m.members[i].running {
			sum += m.members[i].budgetShare
		}
	}
	if m.recording {
		m.maxShareSum = max(m.maxShareSum, sum)
	}
}

// markStarted records that a member is running from now on and has no view of the fleet yet. It locks mu.
func (m *monitor) markStarted(member int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := &m.members[member]
	view.running = true
	view.leaving = false
	view.delegate = false
	view.ownZoneCount = 0
	view.totalCount = 0
	view.budgetShare = 0
	view.zoneStates = nil
	view.records = nil
	view.deadAt = nil
}

// markStopped records that a member has stopped; leaving is whether it does so in the planned way. It locks mu.
func (m *monitor) markStopped(member int, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members[member].running = false
	m.members[member].leaving = leaving
}

// setPartitioned records whether the links from some racks to others lose all datagrams. It locks mu.
func (m *monitor) setPartitioned(from, to []int, partitioned bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, sender := range from {
		for _, receiver := range to {
			if partitioned {
				m.partitioned[[2]int{sender, receiver}] = true
			} else {
				delete(m.partitioned, [2]int{sender, receiver})
			}
		}
	}
}

// instant is a point in time, by the wall clock and by the number of protocol periods of each loop.
type instant struct {
	at      int64 // wall clock, microseconds
	periods map[loopID]int64
}

// beginFault returns the current instant and resets the count of recoveries. It locks mu.
func (m *monitor) beginFault() instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.recoveries)
	now := instant{at: time.Now().UnixMicro(), periods: map[loopID]int64{}}
	for id, loop := range m.loops {
		now.periods[id] = loop.periods
	}
	return now
}

// periodsSince returns the number of protocol periods since an instant, in the loop that has run the fewest; -1 if
// there are no loops.
func (m *monitor) periodsSince(since instant) int64 {
	fewest := int64(-1)
	for id, loop := range m.loops {
		if passed := loop.periods - since.periods[id]; fewest < 0 || passed < fewest {
			fewest = passed
		}
	}
	return fewest
}
