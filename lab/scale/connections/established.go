package connections

import (
	"context"
	"fmt"
	"math"
	"time"

	"spurspread/lab/report"
)

const (
	// maxRejectedShare is the greatest share of rejected set-ups with which the processor time of a set-up is valid.
	maxRejectedShare = 0.05
	// listChangeInterval is the time between changes of discovery's list, long enough that each is sent separately.
	listChangeInterval = 40 * time.Millisecond
	// reconnectSpan is the time over which all clients reconnect.
	reconnectSpan = time.Second
	// reconnectedShare is the share of clients for which the time until they have reconnected is reported.
	reconnectedShare = 0.9
	// churningClients is the number of clients that continuously set up connections and close them.
	churningClients = 32
	// churnWarmUpDivisor: set-ups are counted after 1/churnWarmUpDivisor of the churn time has passed.
	churnWarmUpDivisor = 10
)

// measureEstablished measures established connections: their set-up, their cost at rest, changes of the server list,
// lines, reconnects and churn.
func (r *run) measureEstablished(ctx context.Context, b *balancer, m *measurement) error {
	for _, measure := range []func(b *balancer, m *measurement) error{
		r.measureSetUps,
		r.measureRest,
		r.measureListChanges,
		r.measureLines,
		r.measureReconnects,
		r.measureChurn,
	} {
		if err := measure(b, m); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	return nil
}

// measureSetUps sets up all connections. An error means that not all of them were established.
func (r *run) measureSetUps(b *balancer, m *measurement) error {
	r.logProgress("setting up %d connections", m.size)
	r.load.clear(b.addr, ordinaryClass, ordinaryDeadline)
	r.load.setRetrying()
	time.Sleep(startSettleTime)
	before := b.cost()
	m.figures["mb_idle"] = before.resident / bytesPerMegabyte
	r.load.add(m.size, r.plan.setUpRate, true)
	if !r.awaitEstablished(m.size) {
		return fmt.Errorf("only %d connections are established; the balancer's log: %v",
			r.load.totals.established.Load(), b.proc.LogTail())
	}
	after := b.cost()
	counted := r.load.takeCounts()
	rejected := float64(r.load.totals.rejected.Swap(0))
	m.figures["set_up_p99_ms"] = report.Quantile(counted.delayMillis, 0.99)
	m.figures["set_up_late_p99_ms"] = report.Quantile(counted.sendLag, 0.99)
	m.figures["refused"] = rejected
	if rejected <= maxRejectedShare*float64(m.size) {
		m.figures["us_per_set_up"] = microsPerItem(after.cpu-before.cpu, m.size)
	} else {
		r.note(m, "set_ups",
			"not valid: %.0f set-ups were rejected and retried, so that the cost of one is counted more than once",
			rejected)
	}
	time.Sleep(settleTime)
	m.figures["kernel_kb_all_ends"] = (b.cost().slab - before.slab) / bytesPerKilobyte / float64(m.size)
	return nil
}

// awaitEstablished waits until a number of connections is established at clients and at servers. It returns whether
// that was reached within maxWait.
func (r *run) awaitEstablished(count int) bool {
	return await(maxWait, func() bool {
		return int(r.load.totals.established.Load()) >= count && int(r.servers.established.Load()) >= count
	})
}

// measureRest measures established connections without any traffic.
func (r *run) measureRest(b *balancer, m *measurement) error {
	begin := b.cost()
	time.Sleep(r.plan.restTime)
	end := b.cost()
	m.figures["cpu_share_idle"] = end.coreShareSince(begin)
	m.figures["mb_standing"] = end.resident/bytesPerMegabyte - m.figures["mb_idle"]
	m.figures["descriptors"] = float64(end.descriptors)
	return nil
}

// measureListChanges measures changes of discovery's list while all connections are established. The processor time
// that the connections use at rest is subtracted.
func (r *run) measureListChanges(b *balancer, m *measurement) error {
	begin := b.cost()
	for i := range r.plan.listChanges {
		b.changeList(i)
		time.Sleep(listChangeInterval)
	}
	end := b.cost()
	atRest := m.figures["cpu_share_idle"] * end.at.Sub(begin.at).Seconds() * float64(time.Second)
	ofChanges := end.cpu - begin.cpu - time.Duration(atRest)
	m.figures["us_per_list_change"] = microsPerItem(ofChanges, r.plan.listChanges)
	return nil
}

// measureReconnects has all clients reconnect within reconnectSpan.
func (r *run) measureReconnects(b *balancer, m *measurement) error {
	totals := &r.load.totals
	if !r.awaitEstablished(m.size) { // some may have lost their connection at a line rate that was not sustained
		r.note(m, "wave", "only %d connections were established before the reconnects", totals.established.Load())
	}
	r.logProgress("%d clients reconnect within %v", m.size, reconnectSpan)
	r.load.takeCounts()
	r.takeLag()
	totals.rejected.Store(0)
	begin := b.cost()
	r.load.reconnectAll(reconnectSpan)
	enough := int(math.Ceil(reconnectedShare * float64(m.size)))
	if await(maxWait, func() bool { return int(totals.established.Load()) >= enough }) {
		m.figures["wave_90_ms"] = float64(time.Since(begin.at).Milliseconds())
	}
	if r.awaitEstablished(m.size) {
		m.figures["wave_all_ms"] = float64(time.Since(begin.at).Milliseconds())
	}
	m.figures["wave_missing"] = float64(m.size - int(totals.established.Load()))
	end := b.cost()
	counted := r.load.takeCounts()
	m.figures["us_per_reconnect"] = microsPerItem(end.cpu-begin.cpu, m.size)
	m.figures["wave_cpu_share"] = end.coreShareSince(begin)
	m.figures["wave_refused"] = float64(totals.rejected.Swap(0))
	if late := r.harnessLateness(counted); late.exceeded() {
		r.note(m, "wave", "times not valid: the harness was %.1f ms late", late.worst())
		delete(m.figures, "wave_90_ms")
		delete(m.figures, "wave_all_ms")
	}
	return nil
}

// measureChurn has further clients set up connections and close them, as fast as the balancer allows.
func (r *run) measureChurn(b *balancer, m *measurement) error {
	r.load.startChurn(churningClients)
	time.Sleep(r.plan.churnTime / churnWarmUpDivisor)
	begin := b.cost()
	setUpsBefore := r.load.totals.setUps.Load()
	time.Sleep(r.plan.churnTime)
	end := b.cost()
	setUps := r.load.totals.setUps.Load() - setUpsBefore
	r.load.stopChurn()
	m.figures["set_ups_per_s"] = float64(setUps) / end.at.Sub(begin.at).Seconds()
	m.figures["set_ups_cpu_share"] = end.coreShareSince(begin)
	if setUps > 0 {
		m.figures["us_per_set_up_churn"] = microsPerItem(end.cpu-begin.cpu, int(setUps))
	}
	return nil
}
