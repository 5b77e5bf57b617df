package scale

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/sirupsen/logrus"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/eventloop"
	"spurspread/internal/peer"
)

// leaveMicros is how long a member that leaves goes on to announce it, in microseconds: as long as the program does.
const leaveMicros = 1_000_000

// stubMember is one stub member. It belongs to the goroutine of its loop.
type stubMember struct {
	group      *stubGroup
	index      int
	host       *peer.Host // nil while the member does not run
	generation int        // how often the member was started or ended

	sentBytes     int64 // in the present second, as are the next two
	receivedBytes int64
	datagrams     int64

	peerStates   map[int]membership.State // by member of the own zone, as far as known
	ownZoneCount int                      // live members of the own zone, this one included
	delegate     bool                     // whether this member is a delegate of its zone

	// What the last samples had.
	lastCounts MemberCounts
	zoneStates map[int]zonedirectory.Reachability
	records    map[string]string // values by name
}

func (m *stubMember) topology() *Topology { return &m.group.setup.Topology }

// execute carries out a command. A start that was delayed is dropped where the member started or ended meanwhile.
func (m *stubMember) execute(command *Command) {
	switch command.Action {
	case ActionStart:
		generation := m.generation
		m.group.loop.After(eventloop.Micros(command.DelayMicros), func() {
			if m.host == nil && m.generation == generation {
				m.start()
			}
		})
	case ActionKill:
		m.kill()
	case ActionLeave:
		m.leave()
	case ActionPublish:
		m.publish(command)
	}
}

// start starts the member with no knowledge of the fleet but its seeds.
func (m *stubMember) start() {
	m.generation++
	m.peerStates = map[int]membership.State{}
	m.ownZoneCount = 1
	m.delegate = false
	m.lastCounts = MemberCounts{}
	m.zoneStates = map[int]zonedirectory.Reachability{}
	m.records = map[string]string{}
	config := m.config()
	log := logrus.New()
	log.SetFormatter(discardFormatter{})
	log.AddHook(&changeHook{m})
	host, err := peer.Start(m.group.loop, config, log)
	if err != nil {
		m.reportError("%s does not start: %v", config.Name, err)
		return
	}
	m.host = host
}

// config is the configuration of the member. Its random numbers are not drawn from the run's seed: the order of
// events between processes isn't reproducible either.
func (m *stubMember) config() peer.Config {
	topology := m.topology()
	name := topology.Name(m.index)
	config := peer.Config{
		Name:            name,
		Listen:          topology.Addrs[m.index],
		Keyring:         m.group.keyring,
		RandomSeed:      rand.Uint64(),
		OpenSocket:      m.openSocket,
		Site:            topology.Site(topology.Zone(m.index)),
		ExpectedMembers: m.group.setup.ExpectedMembers,
		Rank:            m.group.setup.Fault.rankFunc(peer.NameID(name)),
	}
	for _, seed := range topology.Seeds(m.index) {
		config.Seeds = append(config.Seeds, topology.Addrs[seed])
	}
	return config
}

// kill ends the member without notice to the others.
func (m *stubMember) kill() {
	if m.host == nil {
		return
	}
	m.host.Close()
	m.host = nil
	m.generation++
}

// leave has the member announce that it leaves, and ends it after leaveMicros.
func (m *stubMember) leave() {
	if m.host == nil {
		return
	}
	m.host.Leave()
	generation := m.generation
	m.group.loop.After(leaveMicros, func() {
		if m.generation == generation {
			m.kill()
		}
	})
}

// publish has the member publish a record.
func (m *stubMember) publish(command *Command) {
	if m.host == nil {
		return
	}
	if _, err := m.host.Publish(command.Name, command.Value); err != nil {
		m.reportError("member %d does not publish: %v", m.index, err)
	}
}

// reportError adds an error to the next sample.
func (m *stubMember) reportError(format string, args ...any) {
	m.group.pending.Errors = append(m.group.pending.Errors, fmt.Sprintf(format, args...))
}

// sample adds to a sample what has changed at the member since the last one.
func (m *stubMember) sample(sample *Sample) {
	if !m.topology().Flat {
		m.sampleZones(sample)
		m.sampleRecords(sample)
	}
	counts := MemberCounts{
		Member:   m.index,
		OwnZone:  m.ownZoneCount,
		Total:    m.host.Live(),
		Delegate: m.delegate,
	}
	if counts != m.lastCounts {
		m.lastCounts = counts
		sample.Counts = append(sample.Counts, counts)
	}
}

func (m *stubMember) sampleZones(sample *Sample) {
	for _, view := range m.host.Zones() {
		zone, known := m.group.zoneByID[view.Site.ID()]
		if known && m.zoneStates[zone] != view.State {
			m.zoneStates[zone] = view.State
			sample.Zones = append(sample.Zones, ZoneState{m.index, zone, view.State.String()})
		}
		if view.Own {
			m.delegate = m.isAmong(view.Contacts[:min(len(view.Contacts), zonedirectory.Delegates)])
		}
	}
}

// isAmong returns whether the member is one of some contacts of its zone.
func (m *stubMember) isAmong(contacts []zonedirectory.Contact) bool {
	return slices.ContainsFunc(contacts, func(contact zonedirectory.Contact) bool {
		return contact.Addr == m.host.Addr()
	})
}

func (m *stubMember) sampleRecords(sample *Sample) {
	for _, record := range m.host.Records() {
		if m.records[record.Name] != record.Value {
			m.records[record.Name] = record.Value
			sample.Records = append(sample.Records, RecordValue{m.index, record.Name, record.Value})
		}
	}
}
