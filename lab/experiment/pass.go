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
	// deliverySlack is added to the interval between messages: a stream counts as behind at the end of a pass if it
	// lacks a message that has been due for longer than their sum.
	deliverySlack = 500 * time.Millisecond
	// firstSettleTimeout bounds the time until all streams are established before the first step.
	firstSettleTimeout = 2 * time.Minute
	// Clients start in batches of startBatch, with a pause of startPause after each batch, so that their opens are
	// spread over time.
	startBatch = 50
	startPause = 20 * time.Millisecond
	// establishedBucket is the width of a bucket in the chart of reestablished streams, in seconds.
	establishedBucket = 0.1
	// runnerStream selects the random sequence that a passRunner draws from a seed. Other users of the seed draw
	// from other sequences.
	runnerStream = 0x6c6162

	bytesPerMiB = 1 << 20
)

// passRunner runs one pass of an experiment against its own deployment. It must be used by a single goroutine.
type passRunner struct {
	experiment       *Experiment
	deployment       *deployment.Deployment
	rng              *rand.Rand
	options          Options
	pass             *Pass
	drainAnnouncedAt map[int]time.Time  // when discovery first sent a node's drain to a balancer, by the node's index
	firstFaultAt     time.Time          // when the steps began, which counts as the time of the first fault
	total            checker.Figures    // collected from the checker since the steps began
	extra            map[string]float64 // figures by name that are not derived from total
	firstStreams     map[uint64]bool    // keys of the first stream of each shared connection
	firstClients     []*client.Client   // the clients of these streams
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

// deploymentConfig returns the configuration of the deployment for one pass of the experiment.
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

// establishStreams measures the balancers' idle memory, then starts the clients and waits until each of their streams
// is established.
func (pr *passRunner) establishStreams() error {
	pr.logProgress("establishing %d streams", pr.experiment.Load.Streams)
	idle := pr.residentBytes()
	pr.startClients()
	if err := pr.settle(firstSettleTimeout); err != nil {
		return err
	}
	pr.extra["idle_mb"] = idle / bytesPerMiB
	return nil
}

// runSteps runs the steps in order, and collects the figures from the first step to the end of the pass.
func (pr *passRunner) runSteps(ctx context.Context) error {
	check := pr.deployment.Checker
	check.TakeFigures() // discards the figures of establishing the streams, which do not belong to the pass
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

// addToCharts adds a series for this pass to each chart: the streams' interruptions, and the times at which streams
// were reestablished.
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

// startClients starts a client for each stream, in batches. With channels, StreamsPerConnection successive clients
// share one connection. The first client of each connection is added to firstStreams and firstClients.
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

// clientConfig returns the configuration of client i, without a link. It draws the stream's key and then its group
// from the random sequence.
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

// settle waits until all streams are established. Its timeout error lists how the last connections of the other
// streams ended.
func (pr *passRunner) settle(within time.Duration) error {
	check := pr.deployment.Checker
	err := pr.deployment.Await(within, "all streams are established", func() bool {
		established, _ := check.Established(time.Now(), deliverySlack)
		return established == pr.experiment.Load.Streams
	})
	if err != nil {
		err = fmt.Errorf("%w; last ends of the other streams: %s", err, checker.FormatCounts(check.Disconnected()))
	}
	return err
}

// residentBytes returns the sum of the resident memory of all balancers, in bytes.
func (pr *passRunner) residentBytes() float64 {
	sum := 0.0
	for _, b := range pr.deployment.Balancers {
		sum += b.ResidentBytes()
	}
	return sum
}
