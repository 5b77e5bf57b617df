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
	// runnerStream selects the player's random sequence of a seed; other users of the seed select others.
	runnerStream = 0x6c6162

	bytesPerMiB = 1 << 20
)

// player runs one pass of an experiment against a deployment of its own. It belongs to one goroutine.
type passRunner struct {
	experiment       *Experiment
	deployment       *deployment.Deployment
	rng              *rand.Rand
	options          Options
	pass             *Pass
	drainAnnouncedAt map[int]time.Time // when discovery first sent a node's drain to a balancer, by the node's index
	firstFaultAt     time.Time         // when the steps began
	total            checker.Figures   // of all stretches since the steps began
	extra            map[string]float64
	firstStreams     map[uint64]bool  // keys of the first stream of each shared connection
	firstClients     []*client.Client // and their clients
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
	pr := newPassRunner(e, d, o, p)
	if err := pr.establishStreams(); err != nil {
		return err
	}
	calls, failures := d.Store.Calls()
	if err := pr.runSteps(ctx); err != nil {
		return err
	}
	callsAfter, failuresAfter := d.Store.Calls()
	pr.extra["store_calls"] = float64(callsAfter - calls)
	pr.extra["store_failed"] = float64(failuresAfter - failures)
	pr.addFigures(r, prefix)
	pr.addToCharts(gaps, established)
	return nil
}

func newPassRunner(e *Experiment, d *deployment.Deployment, o Options, p *Pass) *passRunner {
	return &passRunner{
		experiment:       e,
		deployment:       d,
		rng:              rand.New(rand.NewPCG(o.Seed, runnerStream)),
		options:          o,
		pass:             p,
		drainAnnouncedAt: map[int]time.Time{},
		total:            checker.NewFigures(),
		extra:            map[string]float64{},
		firstStreams:     map[uint64]bool{},
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
		SetUpTime:        e.Fleet.SetUpTime.Std(),
		DrainPatience:    e.Fleet.DrainPatience.Std(),
		DiscoveryDelay:   e.Fleet.DiscoveryDelay.Std(),
		HealthCheckDelay: e.Fleet.HealthCheckDelay.Std(),
		Fault:            o.Fault,
	}
}

// establishStreams starts the clients and waits until each of their streams is established. The balancers' memory
// before it is the idle figure.
func (pr *passRunner) establishStreams() error {
	pr.logProgress("%d streams come to stand", pr.experiment.Load.Streams)
	idle := pr.residentBytes()
	pr.startClients()
	if err := pr.settle(firstSettleTimeout); err != nil {
		return err
	}
	pr.extra["idle_mb"] = idle / bytesPerMiB
	return nil
}

// runSteps runs the steps in their order, and collects what was measured from the first on, in total.
func (pr *passRunner) runSteps(ctx context.Context) error {
	check := pr.deployment.Checker
	check.TakeFigures() // what was counted while the streams were established is no figure of the pass
	pr.firstFaultAt = time.Now()
	for _, s := range pr.experiment.Steps.Step {
		if err := pr.runStep(ctx, s); err != nil {
			return err
		}
	}
	interval := pr.experiment.Load.Interval.Std()
	time.Sleep(2 * interval)
	established, behind := check.Established(time.Now(), deliverySlack+interval)
	pr.total.Add(check.TakeFigures())
	pr.extra["standing"] = float64(established)
	pr.extra["behind"] = float64(behind)
	return nil
}

// addToCharts adds how long streams were interrupted, and when they were established again.
func (pr *passRunner) addToCharts(gaps, established *report.Chart) {
	var establishedAt []float64
	for _, t := range pr.total.Reestablished {
		establishedAt = append(establishedAt, t.Sub(pr.firstFaultAt).Seconds())
	}
	name := string(pr.pass.Name)
	gaps.Series = append(gaps.Series, report.Percentiles(name, allMillis(pr.total.Gaps)))
	established.Series = append(established.Series, report.Counts(name, establishedAt, establishedBucket))
}

func (pr *passRunner) logProgress(format string, args ...any) {
	if pr.options.Progress == nil {
		return
	}
	text := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(pr.options.Progress, "%s, pass %s: %s\n", pr.experiment.Name, pr.pass.Name, text)
}

// startClients starts a client for each stream, spread over a while. With channels, StreamsPerConnection clients
// in a row share one connection; the first of them is in firstStreams and firstClients.
func (pr *passRunner) startClients() {
	load := &pr.experiment.Load
	var link client.Link
	for i := range load.Streams {
		cfg := pr.clientConfig(i)
		first := i%load.StreamsPerConnection == 0
		if pr.pass.Channels {
			if first {
				link = pr.deployment.SharedLink()
			}
			cfg.Link = link
		}
		c := pr.deployment.StartClient(cfg)
		if first {
			pr.firstStreams[cfg.Key] = true
			pr.firstClients = append(pr.firstClients, c)
		}
		if i%startBatch == startBatch-1 {
			time.Sleep(startPause)
		}
	}
}

// clientConfig is the client of one stream, without a link. It draws the stream's key and then its group.
func (pr *passRunner) clientConfig(i int) client.Config {
	load := &pr.experiment.Load
	node := load.InitialNode
	if load.Spread {
		node = i % pr.experiment.Fleet.Nodes
	}
	key := pr.rng.Uint64()
	group := 1 + pr.rng.IntN(load.Groups)
	cfg := client.Config{
		Name:        fmt.Sprint("client-", i),
		Key:         key,
		Class:       deployment.IndexSync,
		Group:       fmt.Sprintf("%016x", group),
		Owner:       "firm",
		InitialNode: deployment.NodeID(node),
		Tokens:      pr.pass.Tokens,
		Deadline:    deployment.IndexSyncDeadline,
		Seed:        pr.options.Seed,
	}
	if pr.pass.Duplicate {
		cfg.DuplicateAt = pr.deployment.BalancerAddrs()
	}
	return cfg
}

// settle waits until all streams are established. An error names how the last connections of the others ended.
func (pr *passRunner) settle(within time.Duration) error {
	check := pr.deployment.Checker
	err := pr.deployment.Await(within, "all streams stand", func() bool {
		established, _ := check.Established(time.Now(), deliverySlack)
		return established == pr.experiment.Load.Streams
	})
	if err != nil {
		err = fmt.Errorf("%w; how the others ended: %s", err, checker.FormatCounts(check.Disconnected()))
	}
	return err
}

// residentBytes is the resident memory of all balancers.
func (pr *passRunner) residentBytes() float64 {
	sum := 0.0
	for _, b := range pr.deployment.Balancers {
		sum += b.ResidentBytes()
	}
	return sum
}
