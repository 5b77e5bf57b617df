package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"spurspread/lab/checker"
	"spurspread/lab/client"
	"spurspread/lab/deployment"
	"spurspread/lab/report"
)

const (
	// deliverySlack is how far a stream may be behind the index at the end, beyond a message's interval.
	deliverySlack = 500 * time.Millisecond
	// firstSettleTimeout bounds how long the streams may take to be established before the first step.
	firstSettleTimeout = 2 * time.Minute
	// startBatch clients start without a pause, startPause after each batch, so that their opens are spread.
	startBatch = 50
	startPause = 20 * time.Millisecond
	// establishedBucket is the width of a bar in the chart of established streams, in seconds.
	establishedBucket = 0.1
	// playerStream selects the player's random sequence of a seed; other users of the seed select others.
	playerStream = 0x6c6162

	bytesPerMiB = 1 << 20
)

// player runs one pass of an experiment against a deployment of its own. It belongs to one goroutine.
type player struct {
	experiment     *Experiment
	deployment     *deployment.Deployment
	rng            *rand.Rand
	options        Options
	pass           *Pass
	drainAnnounced map[int]time.Time // when discovery first sent a node's drain to a balancer, by the node's index
	firstFaultAt   time.Time         // when the steps began
	total          checker.Figures   // of all stretches since the steps began
	extra          map[string]float64
	firstStreams   map[uint64]bool  // keys of the first stream of each shared connection
	firstClients   []*client.Client // and their clients
}

// runPass starts a deployment, runs the steps of one pass on it, and adds its figures and charts to the report.
func (e *Experiment) runPass(
	ctx context.Context, o Options, p *Pass, prefix string, r *report.Report, gaps, established *report.Chart,
) error {
	dir, err := os.MkdirTemp("", "spurspread-lab")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := deployment.Start(ctx, e.deploymentConfig(o, p, dir))
	if err != nil {
		return err
	}
	defer d.Stop()
	pl := newPlayer(e, d, o, p)
	if err := pl.establishStreams(); err != nil {
		return err
	}
	calls, failures := d.Store.Calls()
	if err := pl.runSteps(ctx); err != nil {
		return err
	}
	callsAfter, failuresAfter := d.Store.Calls()
	pl.extra["store_calls"] = float64(callsAfter - calls)
	pl.extra["store_failed"] = float64(failuresAfter - failures)
	pl.addFigures(r, prefix)
	pl.addToCharts(gaps, established)
	return nil
}

func newPlayer(e *Experiment, d *deployment.Deployment, o Options, p *Pass) *player {
	return &player{
		experiment:     e,
		deployment:     d,
		rng:            rand.New(rand.NewPCG(o.Seed, playerStream)),
		options:        o,
		pass:           p,
		drainAnnounced: map[int]time.Time{},
		total:          checker.NewFigures(),
		extra:          map[string]float64{},
		firstStreams:   map[uint64]bool{},
	}
}

// deploymentConfig is the deployment that one pass of the experiment runs on.
func (e *Experiment) deploymentConfig(o Options, p *Pass, dir string) deployment.Config {
	return deployment.Config{
		Program:          o.Program,
		Dir:              dir,
		SeparateTempDirs: p.SeparateTempDirs,
		Balancers:        e.Fleet.Balancers,
		Nodes:            e.Fleet.Nodes,
		Tokens:           p.Tokens,
		Channels:         p.Channels,
		Seed:             o.Seed,
		Interval:         e.Load.Interval.Std(),
		RetainedMessages: uint64(e.Load.RetainedMessages),
		MessageBytes:     int(e.Load.MessageBytes),
		StoreRate:        float64(e.Fleet.Store),
		SetUp:            e.Fleet.SetUp.Std(),
		DrainPatience:    e.Fleet.DrainPatience.Std(),
		DiscoveryDelay:   e.Fleet.DiscoveryDelay.Std(),
		HealthCheckDelay: e.Fleet.HealthCheckDelay.Std(),
		Fault:            o.Fault,
	}
}

// establishStreams starts the clients and waits until each of their streams is established. The balancers' memory
// before it is the idle figure.
func (pl *player) establishStreams() error {
	pl.logProgress("%d streams come to stand", pl.experiment.Load.Streams)
	idle := pl.residentBytes()
	pl.startClients()
	if err := pl.settle(firstSettleTimeout); err != nil {
		return err
	}
	pl.extra["idle_mb"] = idle / bytesPerMiB
	return nil
}

// runSteps runs the steps in their order, and collects what was measured from the first on, in total.
func (pl *player) runSteps(ctx context.Context) error {
	check := pl.deployment.Check
	check.Split() // what was counted while the streams were established is no figure of the pass
	pl.firstFaultAt = time.Now()
	for _, s := range pl.experiment.Steps.Step {
		if err := pl.runStep(ctx, s); err != nil {
			return err
		}
	}
	interval := pl.experiment.Load.Interval.Std()
	time.Sleep(2 * interval)
	established, behind := check.Established(time.Now(), deliverySlack+interval)
	pl.total.Add(check.Split())
	pl.extra["standing"] = float64(established)
	pl.extra["behind"] = float64(behind)
	return nil
}

// addToCharts adds how long streams were interrupted, and when they were established again.
func (pl *player) addToCharts(gaps, established *report.Chart) {
	var establishedAt []float64
	for _, t := range pl.total.Reestablished {
		establishedAt = append(establishedAt, t.Sub(pl.firstFaultAt).Seconds())
	}
	name := string(pl.pass.Name)
	gaps.Series = append(gaps.Series, report.Percentiles(name, allMillis(pl.total.Gaps)))
	established.Series = append(established.Series, report.Counts(name, establishedAt, establishedBucket))
}

func (pl *player) logProgress(format string, args ...any) {
	if pl.options.Progress == nil {
		return
	}
	text := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(pl.options.Progress, "%s, pass %s: %s\n", pl.experiment.Name, pl.pass.Name, text)
}

// startClients starts a client for each stream, spread over a while. With channels, StreamsPerConnection clients
// in a row share one connection; the first of them is in firstStreams and firstClients.
func (pl *player) startClients() {
	load := &pl.experiment.Load
	var link client.Link
	for i := range load.Streams {
		cfg := pl.clientConfig(i)
		first := i%load.StreamsPerConnection == 0
		if pl.pass.Channels {
			if first {
				link = pl.deployment.SharedLink()
			}
			cfg.Link = link
		}
		c := pl.deployment.StartClient(cfg)
		if first {
			pl.firstStreams[cfg.Key] = true
			pl.firstClients = append(pl.firstClients, c)
		}
		if i%startBatch == startBatch-1 {
			time.Sleep(startPause)
		}
	}
}

// clientConfig is the client of one stream, without a link. It draws the stream's key and then its group.
func (pl *player) clientConfig(i int) client.Config {
	load := &pl.experiment.Load
	node := load.Node
	if load.Spread {
		node = i % pl.experiment.Fleet.Nodes
	}
	key := pl.rng.Uint64()
	group := 1 + pl.rng.IntN(load.Groups)
	cfg := client.Config{
		Name:     fmt.Sprint("client-", i),
		Key:      key,
		Class:    deployment.IndexSync,
		Group:    fmt.Sprintf("%016x", group),
		Owner:    "firm",
		At:       deployment.NodeID(node),
		Tokens:   pl.pass.Tokens,
		Deadline: deployment.Deadline,
		Seed:     pl.options.Seed,
	}
	if pl.pass.Duplicate {
		cfg.DuplicateAt = pl.deployment.Addrs()
	}
	return cfg
}

// settle waits until all streams are established. An error names how the last connections of the others ended.
func (pl *player) settle(within time.Duration) error {
	check := pl.deployment.Check
	err := pl.deployment.Await(within, "all streams stand", func() bool {
		established, _ := check.Established(time.Now(), deliverySlack)
		return established == pl.experiment.Load.Streams
	})
	if err != nil {
		err = fmt.Errorf("%w; how the others ended: %s", err, checker.Explain(check.Disconnected()))
	}
	return err
}

// residentBytes is the resident memory of all balancers.
func (pl *player) residentBytes() float64 {
	sum := 0.0
	for _, b := range pl.deployment.Balancers {
		sum += b.ResidentBytes()
	}
	return sum
}
