package decision

import (
	"math/rand/v2"

	"spurspread/decision/concurrency"
	"spurspread/decision/fleetsize"
	"spurspread/decision/polling"
	"spurspread/decision/serverload"
)

const (
	// tickInterval is the mean time between two ticks, which do the periodic work such as polls, validations and moves.
	tickInterval = 250 * ms

	// jitterAround draws a delay uniformly from 3/4 to 5/4 of d: it starts at jitterMinNumerator / jitterDenominator of
	// d and covers a range of d / jitterRangeDivisor.
	jitterDenominator  = 4
	jitterMinNumerator = 3
	jitterRangeDivisor = 2

	// rngStream selects the stream of the PCG random source. Its value is arbitrary; the seed comes from the caller.
	rngStream = 0x726f62696e6c7567
)

// Balancer makes the decisions of one proxy. It is not safe for concurrent use; see the package comment.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	started  bool     // whether the first tick is scheduled
	actions  []Action // emitted for the event being handled

	servers     []*server // in the order in which they were first listed
	serversByID map[uint32]*server
	meanWeight  float64 // mean weight of the Ready servers
	polling     polling.Schedule
	fleetSize   fleetsize.Estimate
	fleetShare  float64 // this balancer's fraction of budgets that the whole fleet shares, above 0 to 1

	requests     map[uint32]*request // requests that have not ended, by ID
	setupLimiter concurrency.Limiter
	// setupsUnderWay is the sum of all servers' pendingAttempts.
	setupsUnderWay int
	retryTokens    float64 // the retry budget: retries that may be started now

	loadModel       serverload.LoadModel
	meanHint        float64 // moving average of Request.LoadHint, in microseconds of work per second
	hintCount       float64 // load hints received
	meanChargedWork float64 // mean of the relativeWork that connections are charged with in slow start, at least 1

	probesUnderWay int
	reportBudget   serverload.ReportBudget // limits the probes that request load reports
}

// New returns a balancer that starts at time now and draws its random numbers from seed. It takes the settings
// unchecked. It emits its first action when it handles its first event.
func New(s Settings, seed uint64, now Micros) *Balancer {
	b := &Balancer{
		rng:             rand.New(rand.NewPCG(seed, rngStream)),
		serversByID:     map[uint32]*server{},
		requests:        map[uint32]*request{},
		meanWeight:      1,
		meanChargedWork: 1,
		fleetSize:       fleetsize.New(now),
		setupLimiter:    concurrency.NewLimiter(),
	}
	b.polling.Jitter = b.jitter
	b.applySettings(s)
	b.polling.Start(now)
	b.retryTokens = b.maxRetryTokens()
	return b
}

// Handle processes an event that happened at time now. It appends the resulting actions to out, in the order in which
// they must be carried out, and returns the extended slice, to which it keeps no reference. Events that refer to an
// unknown or ended request, attempt, probe or server are ignored.
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

// onTick does the periodic work and schedules the next tick.
func (b *Balancer) onTick(now Micros) {
	b.setTimer(b.jitterAround(tickInterval), tickTimer)
	b.setupLimiter.Decay()
	b.updateFleetSize(now)
	b.pollDiscovery(now)
	b.requestLoadReports(now)
	b.rebalance(now)
	for _, s := range b.servers {
		s.latency.GrowCapacity(now, tickInterval)
		b.recoverServer(now, s)
	}
}

// onConnectionMetric dispatches a metric by its kind and ignores unknown kinds.
func (b *Balancer) onConnectionMetric(now Micros, ev ConnectionMetric) {
	switch ev.Kind {
	case LoadMetric:
		b.onLoadMetric(ev)
	case MessageLatencyMetric:
		b.onMessageLatencyMetric(now, ev)
	}
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// jitter returns a random delay from 0 to d.
func (b *Balancer) jitter(d Micros) Micros { return Micros(b.rng.Float64() * float64(d)) }

// jitterAround returns a random delay from 3/4 d to 5/4 d, so that balancers that saw the same event do not act at the
// same moment.
func (b *Balancer) jitterAround(d Micros) Micros {
	return d*jitterMinNumerator/jitterDenominator + b.jitter(d/jitterRangeDivisor)
}
