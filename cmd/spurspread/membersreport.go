package main

import (
	"cmp"
	"time"

	"spurspread/decision/membership"
	"spurspread/decision/monotime"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/peer"
)

// membersReport is the reply to the admin command MEMBERS: the fleet as one member sees it. The first of Members is
// that member itself. SinceMillis and LastReceivedMillis are ages in milliseconds; 0 if the time is unknown.
type membersReport struct {
	Unhealthy bool           `json:"doubts"`  // this member's own view is unreliable at present
	Divisor   float64        `json:"divisor"` // a budget of the whole fleet, divided by it, is this member's share
	Members   []memberReport `json:"members"`
	Counts    peer.Counts    `json:"counts"`
	Rack      string         `json:"rack,omitempty"`
	*ZonesReport
}

// memberReport is the state of one member.
type memberReport struct {
	Name               string  `json:"name"`
	Addr               string  `json:"addr"`
	State              string  `json:"state"`
	Incarnation        uint64  `json:"incarnation"`
	SinceMillis        int64   `json:"since_ms"`
	LastReceivedMillis int64   `json:"heard_ms"`
	RTTMicros          int64   `json:"rtt_us"`
	LostOut            float64 `json:"lost_out"` // share of pings that got lost, 0 to 1
	LostIn             float64 `json:"lost_in"`  // share of replies to pings that got lost, 0 to 1
}

// ZonesReport is the part of the report that only a fleet with zones has. It is exported because the JSON decoder can't
// set an embedded pointer to an unexported type.
type ZonesReport struct {
	Zone    string         `json:"zone"`
	Region  string         `json:"region"`
	Live    int            `json:"live"`  // live members in all zones
	Known   int            `json:"known"` // members in all zones, including those that are down
	Zones   []zoneReport   `json:"zones"`
	Records []recordReport `json:"records"`
}

// zoneReport is the state of one zone. Delegates are given by name if it is known, as in the own zone, else by address.
type zoneReport struct {
	Region      string   `json:"region"`
	Zone        string   `json:"zone"`
	State       string   `json:"state"`
	Live        int      `json:"live"`
	Known       int      `json:"known"`
	Version     uint64   `json:"version"`
	Delegates   []string `json:"delegates"`
	Own         bool     `json:"own"`
	SinceMillis int64    `json:"since_ms"`
}

// recordReport is one published record.
type recordReport struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   string `json:"value"`
}

// report returns the fleet as this member sees it.
func (f *fleetMember) report() membersReport {
	now := time.Now()
	report := membersReport{
		Unhealthy:   f.host.Unhealthy(),
		Divisor:     f.host.RateDivisor(),
		Counts:      f.host.Counts(),
		Rack:        f.rack,
		ZonesReport: f.zonesReport(now),
	}
	for _, member := range f.host.View() {
		report.Members = append(report.Members, newMemberReport(&member, now))
	}
	return report
}

func newMemberReport(m *membership.Member, now time.Time) memberReport {
	return memberReport{
		Name:               m.Name,
		Addr:               m.Addr.String(),
		State:              m.State.String(),
		Incarnation:        m.Incarnation,
		SinceMillis:        ageMillis(m.Since, now),
		LastReceivedMillis: ageMillis(m.LastContact, now),
		RTTMicros:          int64(m.RTT),
		LostOut:            m.OutboundLoss,
		LostIn:             m.InboundLoss,
	}
}

// ageMillis returns how long before now a time of the event loop was, in milliseconds; 0 if at is not set. The event
// loop's clock starts at the wall time, so the two can be compared.
func ageMillis(at monotime.Micros, now time.Time) int64 {
	if at <= 0 {
		return 0
	}
	return now.UnixMilli() - int64(at/1000)
}

// zonesReport returns the part of the report about zones and records, or nil in a fleet without zones.
func (f *fleetMember) zonesReport(now time.Time) *ZonesReport {
	views := f.host.Zones()
	if views == nil {
		return nil
	}
	names := map[membership.ID]string{}
	for _, member := range f.host.View() {
		names[member.ID] = member.Name
	}
	site := f.host.Site()
	report := &ZonesReport{
		Zone:    site.Zone,
		Region:  site.Region,
		Live:    f.host.Live(),
		Known:   f.host.Known(),
		Records: []recordReport{},
	}
	for i := range views {
		report.Zones = append(report.Zones, newZoneReport(&views[i], names, now))
	}
	for _, record := range f.host.Records() {
		report.Records = append(report.Records, recordReport{record.Name, record.Version, record.Value})
	}
	return report
}

func newZoneReport(v *zonedirectory.View, names map[membership.ID]string, now time.Time) zoneReport {
	report := zoneReport{
		Region:      v.Site.Region,
		Zone:        v.Site.Zone,
		State:       v.State.String(),
		Live:        v.Live,
		Known:       v.Known,
		Version:     v.Version,
		Delegates:   []string{},
		Own:         v.Own,
		SinceMillis: ageMillis(v.Since, now),
	}
	for _, contact := range v.Contacts[:min(len(v.Contacts), zonedirectory.Delegates)] {
		name := names[membership.ID(contact.ID)]
		report.Delegates = append(report.Delegates, cmp.Or(name, contact.Addr.String()))
	}
	return report
}
