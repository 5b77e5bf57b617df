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

// leaveMicros is the time for which a member continues to announce that it leaves, in microseconds. It is the same as
// in the program.
const leaveMicros = 1_000_000

// stubMember is one stub member. It is used only on its loop.
type stubMember struct {
	group      *stubGroup
	index      int
	host       *peer.Host // nil while the member is not running
	generation int        // number of starts and ends of the member

	sentBytes     int64 // since the last sample with traffic, like the next two fields
	receivedBytes int64
	datagrams     int64

	peerStates   map[int]membership.State // by other member of the zone; absent if never reported
	ownZoneCount int                      // live members of the zone, this one included
	delegate     bool                     // whether this member is a delegate of its zone

	// Values in the last samples.
	lastCounts MemberCounts
	zoneStates map[int]zonedirectory.Reachability
	records    map[string]string // values by name
}

func (m *stubMember) topology() *Topology { return &m.group.setup.Topology }

// execute carries out a command. A delayed start is dropped if the member was started or stopped since the command.
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

// start starts the member, which knows only its seeds.
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
		m.reportError("start %s: %v", config.Name, err)
		return
	}
	m.host = host
}

// config returns the configuration of the member. Its random numbers do not depend on the seed of the run, since the
// order of events between processes is not reproducible either.
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

// kill stops the member without notice to the others.
func (m *stubMember) kill() {
	if m.host == nil {
		return
	}
	m.host.Close()
	m.host = nil
	m.generation++
}

// leave announces that the member leaves, and stops it after leaveMicros.
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

// publish publishes a record.
func (m *stubMember) publish(command *Command) {
	if m.host == nil {
		return
	}
	if _, err := m.host.Publish(command.Name, command.Value); err != nil {
		m.reportError("member %d: publish a record: %v", m.index, err)
	}
}

// reportError adds an error to the next sample.
func (m *stubMember) reportError(format string, args ...any) {
	m.group.pending.Errors = append(m.group.pending.Errors, fmt.Sprintf(format, args...))
}

// sample adds the changes at the member since the last sample to a sample.
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

// sampleZones adds the changed states of zones to a sample, and updates whether the member is a delegate.
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

// sampleRecords adds the changed values of records to a sample.
func (m *stubMember) sampleRecords(sample *Sample) {
	for _, record := range m.host.Records() {
		if m.records[record.Name] != record.Value {
			m.records[record.Name] = record.Value
			sample.Records = append(sample.Records, RecordValue{m.index, record.Name, record.Value})
		}
	}
}
