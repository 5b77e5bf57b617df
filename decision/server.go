package decision

import (
	"math"

	"spurspread/decision/latency"
	"spurspread/decision/retry"
	"spurspread/decision/serverload"
	"spurspread/decision/slowstart"
)

// server is this balancer's state for one server. It is kept until the balancer stops, even if the server is no longer
// listed, since attempts and connections may still refer to it.
type server struct {
	ServerEntry
	load    serverload.Gauge
	budget  slowstart.Budget
	latency latency.Estimate

	relativeWeight float64 // weight divided by the mean weight of the Ready servers

	health               healthState
	enteredAt            [healthStateCount]Micros // when it last entered each state
	consecutiveDemotions int                      // without demotionResetAfter as Connected in between
	demotedForFailure    bool                     // its last demotion was not for slowness; false once Connected
	validateAt           Micros                   // when it may be validated, if Unhealthy
	probing              bool                     // a probe is under way
	pausedUntil          Micros                   // no new attempts before this time
	lastResetAt          Micros                   // when it last reset a connection

	pendingAttempts    int            // attempts under way, including those being cancelled
	setupsUnderWay     *int           // Balancer.setupsUnderWay
	closingConnections int            // connections that were moved or cancelled and have not ended yet
	lastTriedBy        uint32         // triedByToken of the request that was sent to it last
	groupSizes         map[uint64]int // number of connections and attempts charged to it, by group
	connections        []*request     // established ones; the order affects decisions, so it must be reproducible
}

// newServer returns a server that is listed for the first time. setupsUnderWay points to the count of attempts under
// way at all servers.
func newServer(setupsUnderWay *int) *server {
	return &server{latency: latency.New(), groupSizes: map[uint64]int{}, setupsUnderWay: setupsUnderWay}
}

// addPending counts the start of an attempt.
func (s *server) addPending() {
	s.pendingAttempts++
	*s.setupsUnderWay++
}

// removePending counts the end of an attempt that was under way, also when it is established.
func (s *server) removePending() {
	s.pendingAttempts--
	*s.setupsUnderWay--
}

// resetAfterRestart discards what was learned of the server's previous process: its demotions, connection capacity,
// load reports and grants. Its last latency report is left to expire. The server's established connections and their
// loads stay until they are reported closed.
func (s *server) resetAfterRestart() {
	s.consecutiveDemotions = 0
	s.latency.ConnectionCapacity = math.Inf(1)
	s.load.ResetReports()
	s.budget.ResetGrants()
}

func (s *server) location() retry.Location { return retry.Location{Zone: s.Zone, Cell: s.Cell} }

// connectionCount returns the number of this balancer's connections at the server, including those being set up and
// closed.
func (s *server) connectionCount() float64 {
	return float64(len(s.connections) + s.pendingAttempts + s.closingConnections)
}

// triedByToken returns the value of server.lastTriedBy for a request, where 0 means none.
func triedByToken(id uint32) uint32 { return id + 1 }

// wasLastTriedBy reports whether r was the last request that was sent to the server.
func (s *server) wasLastTriedBy(r *request) bool { return s.lastTriedBy == triedByToken(r.id) }

// addsNoGroup reports whether r has no group, or one of which the server has connections already.
func (s *server) addsNoGroup(r *request) bool { return r.group == 0 || s.groupSizes[r.group] > 0 }

// pauseUntil keeps the server from getting new attempts until the given time, since one more connection would harm all
// those that it has. It never shortens a pause.
func (s *server) pauseUntil(until Micros) { s.pausedUntil = max(s.pausedUntil, until) }

// addConnection appends r to the server's established connections.
func (s *server) addConnection(r *request) {
	r.connectionIndex = len(s.connections)
	s.connections = append(s.connections, r)
}

// removeConnection removes r from the server's established connections; the last one takes its place.
func (s *server) removeConnection(r *request) {
	lastIndex := len(s.connections) - 1
	last := s.connections[lastIndex]
	s.connections[r.connectionIndex] = last
	last.connectionIndex = r.connectionIndex
	s.connections = s.connections[:lastIndex]
}

// charge adds the load and the group of r to the server's, until release.
func (s *server) charge(r *request) {
	r.chargedTo = s
	s.load.OwnLoad += r.load
	s.load.OwnConnections++
	if r.group != 0 {
		s.groupSizes[r.group]++
	}
	s.load.GroupCount = len(s.groupSizes)
}

// release undoes charge. It does nothing if r is not charged to a server.
func (r *request) release() {
	s := r.chargedTo
	if s == nil {
		return
	}
	r.chargedTo = nil
	s.load.OwnLoad = max(s.load.OwnLoad-r.load, 0)
	s.load.OwnConnections--
	s.groupSizes[r.group]--
	if s.groupSizes[r.group] <= 0 {
		delete(s.groupSizes, r.group)
	}
	s.load.GroupCount = len(s.groupSizes)
}
