package decision

import (
	"math/rand/v2"

	"spurspread/decision/concurrency"
	"spurspread/decision/fleetsize"
	"spurspread/decision/polling"
	"spurspread/decision/serverload"
)

const (
	// tickInterval is the mean time between two ticks, which do the periodic work: polls, validations, moves.
	tickInterval = 250 * ms

	// A delay around d is drawn evenly from 3/4 to 5/4 of d: from minAround quarters on, over a range of d /
	// aroundRange.
	quarters    = 4
	minAround   = 3
	aroundRange = 2

	// rngStream selects the stream of the random source, a constant of no meaning; the seed comes from the caller.
	rngStream = 0x726f62696e6c7567
)

// Balancer decides for one proxy. It is not safe for concurrent use; see the package comment.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	started  bool     // the first tick is scheduled
	actions  []Action // of the event being handled

	servers     []*server // in the order in which they were first listed
	serversByID map[uint32]*server
	meanWeight  float64 // of the Ready servers
	polling     polling.Schedule
	fleetSize   fleetsize.Estimate
	fleetShare  float64 // part of the budgets of the whole fleet that each balancer may use, over 0 to 1

	requests map[uint32]*request // that have not ended
	setups   concurrency.Limiter
	// setupsUnderWay is the sum of all servers' pendingAttempts.
	setupsUnderWay int
	retryTokens    float64 // retries that may still be started; see earnRetryTokens

	loadModel       serverload.LoadModel
	meanHint        float64 // of Request.LoadHint, in microseconds of work a second
	hintCount       float64 // hints received
	meanChargedWork float64 // what a connection takes of a slow-start budget, in relativeWork

	probesUnderWay int
	reportBudget   serverload.ReportBudget // pays for probes that request load reports
}

// New returns a balancer that has just started, at time now. Its random numbers come from seed. It emits its first
// action with the first event.
func New(s Settings, seed uint64, now Micros) *Balancer {
	b := &Balancer{
		rng:             rand.New(rand.NewPCG(seed, rngStream)),
		serversByID:     map[uint32]*server{},
		requests:        map[uint32]*request{},
		meanWeight:      1,
		meanChargedWork: 1,
		fleetSize:       fleetsize.New(now),
		setups:          concurrency.NewLimiter(),
	}
	b.polling.Jitter = b.jitter
	b.applySettings(s)
	b.polling.Start(now)
	b.retryTokens = b.maxRetryTokens()
	return b
}

// Handle takes one event, which happened at time now, and appends to out the actions that answer it, in the order
// in which they are to be carried out. It does not keep out. Events for requests, attempts, probes and servers that
// are not known, or no longer, are ignored.
func (b *Balancer) Handle(now Micros, ev Event, out []Action) []Action {
	b.actions = out
	if !b.started {
		b.started = true
		b.setTimer(b.jitter(tickInterval), tickTimer)
	}
	b.dispatch(now, ev)
	out, b.actions = b.actions, nil
	return out
}

func (b *Balancer) dispatch(now Micros, ev Event) {
	switch ev := ev.(type) {
	case ServerListUpdate:
		b.onServerListUpdate(now, ev)
	case Request:
		b.onRequest(now, &ev)
	case ExistingConnection:
		b.onExistingConnection(now, &ev)
	case Established:
		b.onEstablished(now, ev)
	case ConnectionMetric:
		b.onConnectionMetric(now, ev)
	case AttemptEnded:
		b.onAttemptEnded(now, &ev)
	case MoveRequested:
		b.onMoveRequested(now, ev)
	case RequestCancelled:
		b.onRequestCancelled(ev)
	case RequestExpired:
		b.onDeadline(now, ev.ID)
	case TimerFired:
		b.onTimerFired(now, ev)
	case ProbeResult:
		b.onProbeResult(now, ev)
	case SettingsChanged:
		b.applySettings(ev.Settings)
	}
}

// onTick does the periodic work.
func (b *Balancer) onTick(now Micros) {
	b.setTimer(b.jitterAround(tickInterval), tickTimer)
	b.setups.Decay()
	b.updateFleetSize(now)
	b.pollDiscovery(now)
	b.requestLoadReports(now)
	b.rebalance(now)
	for _, s := range b.servers {
		s.latency.GrowCapacity(now, tickInterval)
		b.recoverServer(now, s)
	}
}

// onConnectionMetric passes a metric on by its kind; one of an unknown kind is ignored.
func (b *Balancer) onConnectionMetric(now Micros, ev ConnectionMetric) {
	switch ev.Kind {
	case LoadMetric:
		b.onLoadMetric(ev)
	case MessageLatencyMetric:
		b.onMessageLatencyMetric(now, ev)
	}
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// jitter draws a delay from 0 to d.
func (b *Balancer) jitter(d Micros) Micros { return Micros(b.rng.Float64() * float64(d)) }

// jitterAround draws a delay from 3/4 d to 5/4 d, so that balancers which saw the same event do not act in step.
func (b *Balancer) jitterAround(d Micros) Micros {
	return d*minAround/quarters + b.jitter(d/aroundRange)
}
