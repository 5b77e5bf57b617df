package decision

import (
	"math"

	"spurspread/decision/latency"
	"spurspread/decision/retry"
	"spurspread/decision/serverload"
	"spurspread/decision/slowstart"
)

// server is what this balancer knows of one server. It is kept for as long as the balancer runs, also when the
// server is no longer listed, since attempts and connections may still refer to it.
type server struct {
	ServerEntry
	load    serverload.Gauge
	budget  slowstart.Budget
	latency latency.Estimate

	relativeWeight float64 // its weight over the mean of the Ready servers

	health               healthState
	enteredAt            [healthStateCount]Micros // when it last entered each state
	consecutiveDemotions int                      // without demotionResetAfter of good service between
	demotedForFailure    bool                     // rather than for slowness
	validateAt           Micros                   // when it may be validated, if Unhealthy
	probing              bool                     // a probe is under way
	pausedUntil          Micros                   // no new attempt before
	lastResetAt          Micros                   // when it last reset a connection

	pendingAttempts    int            // attempts under way, those that are being cancelled included
	setupsUnderWay     *int           // the balancer's sum of pendingAttempts over all servers
	closingConnections int            // established ones that were moved or cancelled and have not ended yet
	lastTriedBy        uint32         // the request that was sent to it last, as triedByToken
	groupSizes         map[uint64]int // connections and attempts charged to it, by group
	connections        []*request     // established ones; the order is arbitrary but decides, so it is reproducible
}

// newServer returns a server that has just been listed for the first time. setupsUnderWay is where its set-ups are
// counted beside those of all others.
func newServer(setupsUnderWay *int) *server {
	return &server{latency: latency.New(), groupSizes: map[uint64]int{}, setupsUnderWay: setupsUnderWay}
}

// addPending counts an attempt that starts.
func (s *server) addPending() {
	s.pendingAttempts++
	*s.setupsUnderWay++
}

// removePending counts an attempt that ends or is established.
func (s *server) removePending() {
	s.pendingAttempts--
	*s.setupsUnderWay--
}

// restarted forgets what was measured of the server's process before it restarted. Its established connections and
// their loads stay until they are reported closed.
func (s *server) restarted() {
	s.consecutiveDemotions = 0
	s.latency.ConnectionCapacity = math.Inf(1)
	s.load.ResetReports()
	s.budget.ResetGrants()
}

func (s *server) location() retry.Location { return retry.Location{Zone: s.Zone, Cell: s.Cell} }

// connectionCount returns how many connections the server has of this balancer, with those being set up or closed.
func (s *server) connectionCount() float64 {
	return float64(len(s.connections) + s.pendingAttempts + s.closingConnections)
}

// triedByToken is a request's ID in server.lastTriedBy, where 0 stands for none.
func triedByToken(id uint32) uint32 { return id + 1 }

// wasLastTriedBy reports whether the request was the last that was sent to the server.
func (s *server) wasLastTriedBy(r *request) bool { return s.lastTriedBy == triedByToken(r.id) }

// addsNoGroup reports whether r belongs to no group, or to one of which the server has connections already.
func (s *server) addsNoGroup(r *request) bool { return r.group == 0 || s.groupSizes[r.group] > 0 }

// pauseUntil lets the server get nothing new until then: one more connection would harm all that it has.
func (s *server) pauseUntil(until Micros) { s.pausedUntil = max(s.pausedUntil, until) }

// addConnection lists r among the server's established connections.
func (s *server) addConnection(r *request) {
	r.connectionIndex = len(s.connections)
	s.connections = append(s.connections, r)
}

// removeConnection takes r off that list; the last one takes its place.
func (s *server) removeConnection(r *request) {
	lastIndex := len(s.connections) - 1
	last := s.connections[lastIndex]
	s.connections[r.connectionIndex] = last
	last.connectionIndex = r.connectionIndex
	s.connections = s.connections[:lastIndex]
}

// charge counts the load and the group of r to the server, until release.
func (s *server) charge(r *request) {
	r.chargedTo = s
	s.load.OwnLoad += r.load
	s.load.OwnConnections++
	if r.group != 0 {
		s.groupSizes[r.group]++
	}
	s.load.GroupCount = len(s.groupSizes)
}

// release undoes charge. It does nothing where r is charged to no server.
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
