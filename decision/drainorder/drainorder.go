// Package drainorder decides in which order and when the connections on draining servers are moved, so that all are
// moved in time and the moves are spread evenly. Package drainschedule does the same for the drain of the process
// itself.
//
// It does not know sockets, clocks or the destinations of connections, and knows connections by their ids only. The
// proxy starts a drain, adds connections that are established later, and moves the connections that Due returns,
// calling it again at the time that it returns. Times are monotime.Micros.
//
// Invariant: each connection of a drain falls due once, within the drain's duration; a cancelled drain yields no more.
// State is bounded by the connections on draining servers.
package drainorder

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"spurspread/decision/monotime"
)

// noneDue is the value that Due returns as next if no move is left.
const noneDue monotime.Micros = -1

// seedStream is the second half of the random source's seed. It makes the draws differ from those of other sources with
// the same first half.
const seedStream = 0x65766163

// Connection is an established connection on a draining server.
type Connection struct {
	ID uint32
	// Group is 0 for none. Members of a group are moved one after another, because the server that is best for one is
	// likely to be best for the next.
	Group uint64
}

// Plan holds the drains in progress.
type Plan struct {
	rng    *rand.Rand
	drains map[uint32]*drain // by server
}

// drain is the schedule of one draining server.
type drain struct {
	startedAt monotime.Micros
	duration  monotime.Micros
	queue     []move // in order of due time
}

// move is the planned move of one connection.
type move struct {
	id  uint32
	due monotime.Micros
}

// New returns a plan without drains. Balancers that drain the same server need different seeds, so that their moves
// interleave.
func New(seed uint64) *Plan {
	return &Plan{rng: rand.New(rand.NewPCG(seed, seedStream)), drains: map[uint32]*drain{}}
}

// StartDrain schedules the moves of the connections on a server: evenly spread over duration, group by group, beginning
// at a random phase of the first interval. It does nothing if the server is being drained already.
func (p *Plan) StartDrain(now monotime.Micros, server uint32, connections []Connection, duration monotime.Micros) {
	if p.drains[server] != nil {
		return
	}
	d := &drain{startedAt: now, duration: duration}
	p.drains[server] = d
	byGroup := slices.Clone(connections)
	slices.SortStableFunc(byGroup, func(a, b Connection) int { return cmp.Compare(a.Group, b.Group) })
	phase := p.rng.Float64()
	for i, c := range byGroup {
		offset := float64(duration) * (float64(i) + phase) / float64(len(byGroup))
		d.queue = append(d.queue, move{id: c.ID, due: now + monotime.Micros(offset)})
	}
}

// AddConnection schedules the move of a connection that was established on a server after its drain started: at a
// random time in the rest of the drain, or now if the drain is over. It returns false if the server has no drain.
func (p *Plan) AddConnection(now monotime.Micros, server, id uint32) bool {
	d := p.drains[server]
	if d == nil {
		return false
	}
	left := d.startedAt + d.duration - now
	due := max(now, now+monotime.Micros(p.rng.Float64()*float64(left)))
	d.insert(move{id: id, due: due})
	return true
}

// insert adds a move after those that are due no later.
func (d *drain) insert(m move) {
	after := m.due + 1
	i, _ := slices.BinarySearchFunc(d.queue, after, func(queued move, due monotime.Micros) int {
		return cmp.Compare(queued.due, due)
	})
	d.queue = slices.Insert(d.queue, i, m)
}

// CancelDrain ends a server's drain, because the server is ready again or was removed with all its connections.
func (p *Plan) CancelDrain(server uint32) { delete(p.drains, server) }

// Due appends to out the ids of the connections that are to be moved by now, and returns when the next one falls due,
// below 0 if none is left. Some of the connections may have ended since they were added.
func (p *Plan) Due(now monotime.Micros, out []uint32) (due []uint32, next monotime.Micros) {
	next = noneDue
	for _, server := range p.drainingServers() {
		d := p.drains[server]
		out = d.takeDue(now, out)
		if len(d.queue) > 0 && (next < 0 || d.queue[0].due < next) {
			next = d.queue[0].due
		}
	}
	return out, next
}

// drainingServers returns the servers in ascending order, so that the same events lead to the same moves.
func (p *Plan) drainingServers() []uint32 {
	servers := make([]uint32, 0, len(p.drains))
	for server := range p.drains {
		servers = append(servers, server)
	}
	slices.Sort(servers)
	return servers
}

// takeDue removes the moves that are due by now from the queue, and appends their ids to out.
func (d *drain) takeDue(now monotime.Micros, out []uint32) []uint32 {
	n := 0
	for n < len(d.queue) && d.queue[n].due <= now {
		out = append(out, d.queue[n].id)
		n++
	}
	d.queue = d.queue[n:]
	return out
}
