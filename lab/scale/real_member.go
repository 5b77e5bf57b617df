package scale

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/lab/deployment"
	"spurspread/lab/loadgen"
)

const (
	// fastPollInterval is the interval at which the view of a real member is read while the run waits for a condition.
	fastPollInterval = 100 * time.Millisecond
	// slowPollInterval is the interval otherwise: an answer takes the member about a millisecond, which counts as a
	// cost of the member.
	slowPollInterval = time.Second
)

// realState holds the values that were read about a real member from its management address and from the kernel.
type realState struct {
	fastPolling       atomic.Bool
	reportedSentBytes atomic.Int64 // bytes that the member reports as sent since its start

	// The fields below are written by sampleUsage with monitor.mu locked.
	cpuSeconds    series
	maxResidentMB float64
	lastPID       int
	starts        int           // number of processes of the member that were seen
	lastCPU       time.Duration // processor time of the process lastPID
}

// memberStatus is the part of the answer to MEMBERS that a run reads.
type memberStatus struct {
	Divisor float64        `json:"divisor"`
	Live    int            `json:"live"`
	Members []memberState  `json:"members"`
	Counts  messageCounts  `json:"counts"`
	Zones   []zoneStatus   `json:"zones"`
	Records []recordStatus `json:"records"`
}

type memberState struct {
	State string `json:"state"`
}

type messageCounts struct {
	SentBytes int64
}

type zoneStatus struct {
	Region    string   `json:"region"`
	Zone      string   `json:"zone"`
	State     string   `json:"state"`
	Delegates []string `json:"delegates"` // names
	Own       bool     `json:"own"`
}

type recordStatus struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// liveMembers returns the number of live members in the zone of the member.
func (s *memberStatus) liveMembers() int {
	live := 0
	for _, member := range s.Members {
		if isLive(parseState(member.State)) {
			live++
		}
	}
	return live
}

// hasDelegate returns whether the member with a name is a delegate of its zone.
func (s *memberStatus) hasDelegate(name string) bool {
	return slices.ContainsFunc(s.Zones, func(zone zoneStatus) bool {
		return zone.Own && slices.Contains(zone.Delegates, name)
	})
}

// pollReal polls the view of a real member until the fleet is closed.
func (f *fleet) pollReal(member int) {
	var last time.Time
	for {
		if f.realStates[member].fastPolling.Load() || time.Since(last) >= slowPollInterval {
			last = time.Now()
			f.pollRealOnce(member)
		}
		select {
		case <-f.closing:
			return
		case <-time.After(fastPollInterval):
		}
	}
}

// pollRealOnce reads the view of a real member. The answer is dropped if the process was replaced while it was pending.
func (f *fleet) pollRealOnce(member int) {
	proc := f.realFleet.Procs[member]
	if !proc.Running() {
		return
	}
	pid := proc.Pid()
	text, err := proc.Admin("MEMBERS")
	if err == nil && proc.Pid() == pid {
		f.applyStatus(member, text)
	}
}

// applyStatus applies the answer of a real member to MEMBERS. A malformed answer is dropped, since the next poll
// follows soon.
func (f *fleet) applyStatus(member int, text string) {
	var status memberStatus
	if json.Unmarshal([]byte(text), &status) != nil {
		return
	}
	f.realStates[member].reportedSentBytes.Store(status.Counts.SentBytes)
	counts := MemberCounts{
		Member:   member,
		OwnZone:  status.liveMembers(),
		Total:    status.Live,
		Delegate: status.hasDelegate(f.topology.Name(member)),
	}
	if f.topology.Flat {
		counts.Total = counts.OwnZone
	}
	at := time.Now().UnixMicro()
	m := f.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.members[member].running {
		return // the member was stopped after it had answered
	}
	m.observeCounts(counts, at)
	m.members[member].budgetShare = 1 / max(status.Divisor, 1)
	m.updateMaxShareSum()
	for _, zone := range status.Zones {
		site := zonedirectory.Site{Region: zone.Region, Zone: zone.Zone}
		for number := range f.topology.Zones {
			if f.topology.Site(number) == site {
				m.observeZone(ZoneState{member, number, zone.State}, at)
			}
		}
	}
	for _, record := range status.Records {
		m.observeRecord(RecordValue{member, record.Name, record.Value}, at)
	}
}

// stateChangeMessage is the log message that reports a member's change of state, as a JSON string.
const stateChangeMessage = `"a member has changed"`

// handleLogLine applies a line from the log of a real member.
func (f *fleet) handleLogLine(member int, line string) {
	if !strings.Contains(line, stateChangeMessage) {
		return
	}
	var entry struct {
		Member string `json:"member"`
		State  string `json:"state"`
		Before string `json:"before"`
	}
	if json.Unmarshal([]byte(line), &entry) != nil {
		return
	}
	subject, err := strconv.Atoi(strings.TrimPrefix(entry.Member, "n"))
	if err != nil || subject < 0 || subject >= f.topology.Members {
		return
	}
	f.monitor.mu.Lock()
	defer f.monitor.mu.Unlock()
	if entry.State == membership.Suspect.String() {
		f.monitor.suspicions++
	}
	if isFinal(entry.State) || isFinal(entry.Before) {
		f.monitor.observeChange(Change{
			Observer: member,
			Subject:  subject,
			From:     entry.Before,
			To:       entry.State,
			At:       time.Now().UnixMicro(),
		})
	}
}

// isFinal returns whether a state, given by its name, is Dead or Left.
func isFinal(state string) bool {
	return state == membership.Dead.String() || state == membership.Left.String()
}

// setFastPolling has all real members polled at fastPollInterval if fast is set, else at slowPollInterval.
func (f *fleet) setFastPolling(fast bool) {
	for i := range f.realStates {
		f.realStates[i].fastPolling.Store(fast)
	}
}

// sampleRealUsage reads the processor time and memory of a real member. The processor time that a new process uses
// before its first reading is not counted.
func (f *fleet) sampleRealUsage(member int, at int64) {
	state := &f.realStates[member]
	proc := f.realFleet.Procs[member]
	if !proc.Running() {
		return
	}
	pid := proc.Pid()
	cpu := loadgen.CPUTime(pid)
	if pid != state.lastPID {
		state.starts++
	} else {
		state.cpuSeconds.add(at, max(cpu-state.lastCPU, 0).Seconds())
	}
	state.lastPID = pid
	state.lastCPU = cpu
	if f.monitor.recording {
		state.maxResidentMB = max(state.maxResidentMB, deployment.ResidentBytes(pid)/bytesPerMegabyte)
	}
}
