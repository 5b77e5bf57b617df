package connections

import (
	"context"
	"time"

	"spurspread/lab/report"
)

// measurement holds the results for one number of connections.
type measurement struct {
	size    int
	figures map[string]float64 // by name without the size
	delay   report.Series      // of lines, by their rate
}

const (
	// startSettleTime is the time between the start of a balancer and the first reading of its memory.
	startSettleTime = 500 * time.Millisecond
	// silentFactor is the number of silent clients that are measured for each connection of a size: they use one
	// descriptor of the balancer, not two.
	silentFactor = 2
	// silentRate is the rate at which silent clients connect, per second. It is high because a balancer closes their
	// connections after 2 s.
	silentRate = 20000
	// minSilentTenths is the share of silent clients that must be connected at once for their cost to be valid, in
	// tenths.
	minSilentTenths = 9
	// unansweredTime is the time over which the processor time of waiting clients is measured.
	unansweredTime = 500 * time.Millisecond
)

// measureSilent measures clients that have connected and sent no first line.
func (r *run) measureSilent(_ context.Context, b *balancer, m *measurement) error {
	count := silentFactor * m.size
	r.logProgress("%d clients that send no first line", count)
	r.load.clear(b.addr, ordinaryClass, ordinaryDeadline)
	time.Sleep(startSettleTime)
	before := b.cost()
	r.load.add(count, silentRate, false)
	totals := &r.load.totals
	connected := await(maxWait, func() bool {
		return int(totals.connected.Load()) >= count || totals.closed.Load() > 0
	})
	accepted := connected && await(settleTime, func() bool {
		return b.cost().descriptors-before.descriptors >= count
	})
	after := b.cost()
	held := after.descriptors - before.descriptors
	m.figures["silent"] = float64(held)
	if !accepted || held < count*minSilentTenths/10 {
		r.note(m, "silent", "not valid: %d of %d were connected at once", held, count)
		return nil
	}
	// Scaled to the full number: the balancer closes the first connections after 2 s, which may be before a busy
	// machine has accepted the last.
	m.figures["mb_silent"] = after.megabytesSince(before) * float64(count) / float64(held)
	m.figures["us_per_accept"] = microsPerItem(after.cpu-before.cpu, held)
	return nil
}

// measureWaiting measures clients whose first line no server answers. The balancer limits the set-ups in progress, and
// the other clients wait in it without a connection to a server.
func (r *run) measureWaiting(_ context.Context, b *balancer, m *measurement) error {
	return r.measureUnanswered(b, m, "waiting", func() bool {
		return int(r.load.totals.connected.Load()) >= m.size
	})
}

// measureAttempts measures the same clients in passMode, which has no such limit: each of them has a connection to a
// server that is being set up.
func (r *run) measureAttempts(_ context.Context, b *balancer, m *measurement) error {
	return r.measureUnanswered(b, m, "attempt", func() bool {
		return nearlyAll(int(r.servers.unanswered.Load()), m.size)
	})
}

// nearlyAll returns whether a count is at least 99 in 100 of all, so that their memory represents that of all: on a
// busy machine a few connections take longer than the platform allows.
func nearlyAll(count, all int) bool { return count >= all-all/100 }

// measureUnanswered measures clients whose first line no server answers, once a condition holds. If it does not hold
// within maxWait/2, a note says so and there are no figures. The name is part of the names of figures.
func (r *run) measureUnanswered(b *balancer, m *measurement, name string, holds func() bool) error {
	r.logProgress("%d clients whose first line is not answered (%s)", m.size, name)
	r.servers.withholding.Store(true)
	r.load.clear(b.addr, longDeadlineClass, longDeadline)
	time.Sleep(startSettleTime)
	before := b.cost()
	r.load.add(m.size, r.plan.setUpRate, true)
	reached := await(maxWait/2, holds)
	time.Sleep(settleTime)
	begin := b.cost()
	time.Sleep(unansweredTime)
	end := b.cost()
	held := r.servers.unanswered.Load()
	connected := r.load.totals.connected.Load()
	if !reached || !nearlyAll(int(connected), m.size) {
		r.note(m, name, "not valid: %d of %d clients connected, %d set-ups at servers", connected, m.size, held)
		return nil
	}
	m.figures["mb_"+name] = end.megabytesSince(before)
	m.figures["set_ups_under_way_"+name] = float64(held)
	m.figures["cpu_share_"+name] = end.coreShareSince(begin)
	return nil
}
