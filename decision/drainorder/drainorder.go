// Package drainorder decides in which order and when the connections on draining servers are moved away, so that all
// have moved in time and the moves are spread evenly.
//
// It does not know sockets, clocks or where connections go, and knows connections by their ids only. The socket side
// starts a drain, adds connections that are established later, and moves what Due returns, at the time for which it
// asked. Times are monotime.Micros.
//
// Invariant: each connection of a drain falls due once, within the drain's duration; a drain that is cancelled
// yields no more. State is bounded by the connections on draining servers.
package drainorder

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"spurspread/decision/monotime"
)

// noneDue is what Due returns as the next time where nothing is left.
const noneDue monotime.Micros = -1

// seedStream is the second half of the random source's seed, which keeps its draws apart from those of others that
// have the same first half.
const seedStream = 0x65766163

// Connection is a connection that is established on a draining server.
type Connection struct {
	ID uint32
	// Group is 0 for none. Members of a group are moved one after another: the server that is best for one is likely to
	// be best for the next.
	Group uint64
}

// Plan holds the drains in progress.
type Plan struct {
	rng    *rand.Rand
	drains map[uint32]*drain // by server
}

type drain struct {
	startedAt monotime.Micros
	duration  monotime.Micros
	queue     []move // by time
}

type move struct {
	id  uint32
	due monotime.Micros
}

// New returns a plan without drains. Balancers that drain one server at the same time need different seeds, so that
// their moves interleave.
func New(seed uint64) *Plan {
	return &Plan{rng: rand.New(rand.NewPCG(seed, seedStream)), drains: map[uint32]*drain{}}
}

// StartDrain decides when each connection on a server is moved: evenly spread over duration, group by group, from a
// random phase of the first interval on. For a server that is being drained already it changes nothing.
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

// AddConnection decides when a connection is moved that was established on a server only after its drain started: at a
// random time of what is left of the drain, or now if that is over. It returns false if the server has no drain.
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

// CancelDrain ends a server's drain: it is listed as ready again, or gone with all its connections.
func (p *Plan) CancelDrain(server uint32) { delete(p.drains, server) }

// Due appends to out the ids of the connections that are to be moved by now, and returns when the next falls due, below
// 0 where none is left. Some of them may have ended meanwhile.
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

// drainingServers returns the servers in order, so that the same events lead to the same moves.
func (p *Plan) drainingServers() []uint32 {
	servers := make([]uint32, 0, len(p.drains))
	for server := range p.drains {
		servers = append(servers, server)
	}
	slices.Sort(servers)
	return servers
}

// takeDue removes from the queue what is due by now, and appends it to out.
func (d *drain) takeDue(now monotime.Micros, out []uint32) []uint32 {
	n := 0
	for n < len(d.queue) && d.queue[n].due <= now {
		out = append(out, d.queue[n].id)
		n++
	}
	d.queue = d.queue[n:]
	return out
}
