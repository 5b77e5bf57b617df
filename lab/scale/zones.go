package scale

import (
	"fmt"
	"slices"

	"spurspread/decision/zonedirectory"
	"spurspread/internal/peer"
)

// place tells a member where it stands, and has it choose delegates as the planted fault says.
func (m *hollow) place(cfg *peer.Config) {
	t := &m.g.setup.Topology
	cfg.Site, cfg.ExpectedMembers = t.Site(t.Zone(m.index)), m.g.setup.Expected
	cfg.Rank = m.g.setup.Plant.rank(peer.NameID(cfg.Name))
}

// show adds what is something else than it was told last.
func (m *hollow) show(s *Sample) {
	if !m.g.setup.Topology.Flat {
		m.showZones(s)
		m.showRecords(s)
	}
	if is := (MemberLive{m.index, m.own, m.host.Live(), m.delegate}); is != m.lastReported {
		m.lastReported = is
		s.Lives = append(s.Lives, is)
	}
}

func (m *hollow) showZones(s *Sample) {
	for _, v := range m.host.Zones() {
		z, known := m.g.zones[v.Site.ID()]
		if known && m.states[z] != v.State {
			m.states[z] = v.State
			s.States = append(s.States, ZoneState{m.index, z, v.State.String()})
		}
		if v.Own {
			m.delegate = slices.ContainsFunc(v.Contacts[:min(len(v.Contacts), zonedirectory.Delegates)],
				func(c zonedirectory.Contact) bool { return c.Addr == m.host.Addr() })
		}
	}
}

func (m *hollow) showRecords(s *Sample) {
	for _, r := range m.host.Records() {
		if m.records[r.Name] != r.Value {
			m.records[r.Name] = r.Value
			s.Records = append(s.Records, RecordSeen{m.index, r.Name, r.Value})
		}
	}
}

func (m *hollow) publish(c *Command) {
	if m.host == nil {
		return
	}
	if _, err := m.host.Publish(c.Name, c.Value); err != nil {
		m.g.now.Errors = append(m.g.now.Errors, fmt.Sprintf("member %d does not publish: %v", m.index, err))
	}
}
