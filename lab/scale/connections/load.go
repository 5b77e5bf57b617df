package connections

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"spurspread/lab/netloop"
)

// load is all clients, on some loops.
type load struct {
	ws workers
	gs []*generator
	n  totals
}

func startLoad(loops int, seed uint64) (*load, error) {
	ws, err := newWorkers(loops)
	if err != nil {
		ws.close()
		return nil, err
	}
	ld := &load{ws: ws}
	for i, w := range ws {
		ld.gs = append(ld.gs, &generator{worker: w, rng: rand.New(rand.NewPCG(seed, uint64(i))), index: i, n: &ld.n})
	}
	return ld, nil
}

// each carries f out for the generator of each loop.
func (ld *load) each(f func(g *generator)) {
	ld.ws.each(func(i int, _ *worker) { f(ld.gs[i]) })
}

// part is how many of n the i-th loop has.
func (ld *load) part(n, i int) int { return (n + len(ld.gs) - 1 - i) / len(ld.gs) }

// clear ends all clients and turns to a balancer; first lines are of the class from now on, and wait so long.
func (ld *load) clear(to netip.AddrPort, class string, patience time.Duration) {
	ld.each(func(g *generator) {
		g.again, g.churn = false, false
		for _, c := range g.clients {
			c.leave()
		}
		g.clients, g.to, g.class, g.patient = nil, to, class, int(patience.Milliseconds())
	})
	ld.split()
}

// add lets n further clients connect at a rate a second, and ask if they are to; it returns at once.
func (ld *load) add(n int, rate float64, ask bool) {
	parts := float64(len(ld.gs))
	ld.each(func(g *generator) {
		g.schedule(rate/parts, ld.part(n, g.index), forever, func(due netloop.Micros) {
			c := &client{g: g}
			g.clients = append(g.clients, c)
			c.dial(due, ask)
		})
	})
}

// forever is longer than any run.
const forever = 3600 * sec

// wave has all clients leave at once and come again, each at a moment of its own within about the span.
func (ld *load) wave(within time.Duration) {
	ld.each(func(g *generator) {
		g.again = true
		all := g.clients
		for _, c := range all {
			c.leave()
		}
		if len(all) == 0 {
			return
		}
		g.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		next := 0
		g.schedule(float64(len(all))/within.Seconds(), len(all), forever, func(due netloop.Micros) {
			all[next].dial(due, true)
			next++
		})
	})
}

// lines has clients that stand send lines at a rate a second for a span; it returns at once.
func (ld *load) lines(rate float64, span time.Duration) {
	parts := float64(len(ld.gs))
	ld.each(func(g *generator) { g.schedule(rate/parts, 1<<40, span.Microseconds(), g.write) })
}

// churns lets so many more clients come and leave without a pause, or ends that.
func (ld *load) churns(n int) {
	ld.each(func(g *generator) {
		g.churn, g.again = n > 0, n > 0
		for range ld.part(n, g.index) {
			c := &client{g: g}
			g.clients = append(g.clients, c)
			c.dial(g.l.Now(), true)
		}
	})
}

// counts are what the generators have counted since the last time.
type counts struct {
	took, lag        []float64 // ms
	sent, open, lost int
	paced            bool // moments are still to come
}

// peek tells what is still open.
func (ld *load) peek() (c counts) {
	all := make([]counts, len(ld.gs))
	ld.each(func(g *generator) { all[g.index] = counts{sent: g.sent, open: g.open, lost: g.lost, paced: g.paced} })
	return sum(all)
}

// split takes what was counted, and begins anew.
func (ld *load) split() counts {
	all := make([]counts, len(ld.gs))
	ld.each(func(g *generator) {
		all[g.index] = counts{g.took, g.lag, g.sent, g.open, g.lost, g.paced}
		g.took, g.lag, g.sent, g.lost = nil, nil, 0, 0
	})
	return sum(all)
}

func sum(all []counts) (c counts) {
	for _, o := range all {
		c.took, c.lag = append(c.took, o.took...), append(c.lag, o.lag...)
		c.sent, c.open, c.lost = c.sent+o.sent, c.open+o.open, c.lost+o.lost
		c.paced = c.paced || o.paced
	}
	return c
}

func (ld *load) close() {
	ld.each(func(g *generator) {
		g.again = false
		for _, c := range g.clients {
			c.leave()
		}
	})
	ld.ws.close()
}
