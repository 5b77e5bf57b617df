package connections

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"spurspread/lab/netloop"
)

const (
	// unlimitedTime is longer than any run.
	unlimitedTime = 3600 * second
	// unlimitedLines is more than any run sends.
	unlimitedLines = 1 << 40
)

// load is the set of all clients, distributed over some loops.
type load struct {
	workers    workers
	generators []*generator // by worker
	totals     totals
}

// startLoad starts the loops, without clients. The random choices of clients depend on the seed.
func startLoad(loops int, seed uint64) (*load, error) {
	all, err := newWorkers(loops)
	if err != nil {
		all.close()
		return nil, err
	}
	ld := &load{workers: all}
	for index, w := range all {
		ld.generators = append(ld.generators, &generator{
			worker: w,
			rng:    rand.New(rand.NewPCG(seed, uint64(index))),
			index:  index,
			totals: &ld.totals,
			line:   newLine(),
		})
	}
	return ld, nil
}

// each calls f with each generator on its loop, and returns after all calls.
func (ld *load) each(f func(g *generator)) {
	ld.workers.each(func(index int, _ *worker) { f(ld.generators[index]) })
}

// shareOf returns the number of items that a loop gets of count items in total.
func (ld *load) shareOf(count, index int) int {
	return (count + len(ld.generators) - 1 - index) / len(ld.generators)
}

// clear removes all clients. Clients that are added from now on connect to a balancer, and send first lines with a
// class and a deadline.
func (ld *load) clear(balancer netip.AddrPort, class string, deadline time.Duration) {
	ld.each(func(g *generator) {
		g.setChurning(false)
		g.disconnectAll()
		g.clients = nil
		g.balancer = balancer
		g.class = class
		g.deadlineMillis = int(deadline.Milliseconds())
	})
	ld.takeCounts()
}

// setRetrying makes clients that were rejected, or whose connection was closed, set it up again.
func (ld *load) setRetrying() {
	ld.each(func(g *generator) { g.retrying = true })
}

// add makes further clients connect at a rate per second. If request is set, they send a first line. It returns at
// once.
func (ld *load) add(count int, rate float64, request bool) {
	rateOfEach := rate / float64(len(ld.generators))
	ld.each(func(g *generator) {
		g.schedule(rateOfEach, ld.shareOf(count, g.index), unlimitedTime, func(due netloop.Micros) {
			g.addClient().dial(due, request)
		})
	})
}

// reconnectAll makes all clients disconnect at once and set up their connections again at random times within about the
// span. It returns at once.
func (ld *load) reconnectAll(within time.Duration) {
	ld.each(func(g *generator) {
		g.retrying = true
		g.disconnectAll()
		all := g.clients
		if len(all) == 0 {
			return
		}
		g.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		next := 0
		g.schedule(float64(len(all))/within.Seconds(), len(all), unlimitedTime, func(due netloop.Micros) {
			all[next].dial(due, true)
			next++
		})
	})
}

// sendLines makes established clients send lines at a rate per second for a span. It returns at once.
func (ld *load) sendLines(rate float64, span time.Duration) {
	rateOfEach := rate / float64(len(ld.generators))
	ld.each(func(g *generator) { g.schedule(rateOfEach, unlimitedLines, span.Microseconds(), g.sendLine) })
}

// startChurn makes further clients continuously set up connections and close them.
func (ld *load) startChurn(count int) {
	ld.each(func(g *generator) {
		g.setChurning(true)
		for range ld.shareOf(count, g.index) {
			g.addClient().dial(g.loop.Now(), true)
		}
	})
}

// stopChurn ends churn and retries: no client sets up its connection again from now on.
func (ld *load) stopChurn() {
	ld.each(func(g *generator) { g.setChurning(false) })
}

// counts are the counts of generators since the last takeCounts; see the fields of generator.
type counts struct {
	delayMillis []float64
	sendLag     []float64
	sent        int
	pending     int
	lost        int
	scheduling  bool
}

// pending returns the number of lines whose echo is pending, and whether lines or set-ups are still to be sent.
func (ld *load) pending() (lines int, scheduling bool) {
	all := make([]counts, len(ld.generators))
	ld.each(func(g *generator) { all[g.index] = g.counts() })
	for i := range all {
		lines += all[i].pending
		scheduling = scheduling || all[i].scheduling
	}
	return lines, scheduling
}

// awaitLines waits until the echoes of all lines are received, and returns whether they are within the limit.
func (ld *load) awaitLines(limit time.Duration) bool {
	return await(limit, func() bool {
		lines, _ := ld.pending()
		return lines == 0
	})
}

// awaitSchedule waits until all lines and set-ups have been sent, but no longer than the limit.
func (ld *load) awaitSchedule(limit time.Duration) {
	await(limit, func() bool {
		_, scheduling := ld.pending()
		return !scheduling
	})
}

// takeCounts returns the counts of all generators together and resets them, except for pending lines.
func (ld *load) takeCounts() counts {
	all := make([]counts, len(ld.generators))
	ld.each(func(g *generator) { all[g.index] = g.takeCounts() })
	return sum(all)
}

// sum returns the counts of some generators together.
func sum(all []counts) counts {
	var total counts
	for i := range all {
		total.delayMillis = append(total.delayMillis, all[i].delayMillis...)
		total.sendLag = append(total.sendLag, all[i].sendLag...)
		total.sent += all[i].sent
		total.pending += all[i].pending
		total.lost += all[i].lost
		total.scheduling = total.scheduling || all[i].scheduling
	}
	return total
}

// close closes all connections and stops the loops.
func (ld *load) close() {
	ld.each(func(g *generator) {
		g.retrying = false
		g.disconnectAll()
	})
	ld.workers.close()
}
