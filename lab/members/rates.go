package members

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"spurspread/lab/link"
	"spurspread/lab/loadgen"
	"spurspread/lab/procs"
	"spurspread/lab/report"
)

// The stand-in servers: some warm ones, and one that warms up so slowly that it stays cold during the whole trial.
const (
	warmNodes       = 3
	warmUpTime      = 100 * time.Second // from the cold server's start until it is warm
	initialCapacity = 0.13              // the cold server's capacity at its start, as a fraction of a warm one's
	coldFactor      = 3.0               // overload_factor: multiple of its capacity that the cold server may get
)

// The budget of set-ups to a cold server, for all members of its zone together; see decision/slowstart.
const (
	budgetRate  = 3.8 // set-ups per second that a warm server can take (slowstart.WarmUpRate)
	budgetShare = 0.6 // largest fraction of the budget that the balancers of the server's zone use
)

const (
	clientCount    = 60
	clientLifetime = time.Second // how long a client holds a connection
	clientMaxPause = 200 * time.Millisecond
	// openTimeout bounds a client's wait for its answer: its deadline of 1.2 s, plus the delay by a paused member.
	openTimeout = 3 * time.Second
	// phaseTime is the duration of the phases before and after the faults. The faults last for 2*phaseTime.
	phaseTime = 20 * time.Second
	// countWindow is the window over which set-ups are compared with the budget. In a shorter one random variation
	// would dominate.
	countWindow     = 10 * time.Second
	countWindowStep = time.Second
	dirMode         = 0o700
	// faultStream selects the random sequence of the faults; other users of the seed select others.
	faultStream = 0x7261746573
)

// Numbers of members that are killed, paused and partitioned. They are chosen at random.
const (
	killedMembers      = 4
	pausedMembers      = 4
	partitionedMembers = 2
)

// runRates checks that the members of a fleet keep their common budgets under faults. Clients open more connections
// than the warm nodes accept, while members are killed, paused and partitioned; the set-ups to a cold node, by all
// members together, are compared with the fleet's budget. It runs once with members that know of each other, and once
// without membership.
func (r *run) runRates(ctx context.Context) error {
	for _, pass := range []struct {
		prefix            string
		withoutMembership bool
	}{
		{"", false},
		{"apart_", true},
	} {
		dir := filepath.Join(r.dir, "fleet"+pass.prefix)
		if err := os.MkdirAll(dir, dirMode); err != nil {
			return err
		}
		if err := r.runRatesPass(ctx, dir, pass.prefix, pass.withoutMembership); err != nil {
			return err
		}
	}
	return nil
}

// runRatesPass runs the faults once, and adds figures to the report whose names begin with the prefix.
func (r *run) runRatesPass(ctx context.Context, dir, prefix string, withoutMembership bool) error {
	f, err := r.newFleet(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	f.WithoutMembership = withoutMembership
	f.ModifyConfig = ratesConfig
	s, err := startServers(time.Now())
	if err != nil {
		return err
	}
	defer s.close()
	f.KnownServers = s.discoveryList()
	if err := f.Start(); err != nil {
		return err
	}
	all := make([]int, r.trial.Processes)
	for i := range all {
		all[i] = i
	}
	if !withoutMembership {
		if err := awaitJoined(ctx, f, all); err != nil {
			return err
		}
	}
	stop, served := startClients(f, r.options.Seed)
	defer stop()
	r.log("%d members serve clients", r.trial.Processes)
	at := r.injectFaults(ctx, f, all)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	s.addFigures(r.report, prefix, at)
	r.report.Figures[prefix+"served_per_s"] = float64(served.Load()) / at.end.Sub(at.begin).Seconds()
	return nil
}

// ratesConfig changes a member's configuration for runRates. The number of balancers is 1, which is what a member that
// knows no other assumes; cold servers warm up within warmUpTime; and probes ask for load reports.
func ratesConfig(_ int, config map[string]any) {
	settings := config["settings"].(map[string]any)
	settings["balancers"] = 1
	settings["rules"].(map[string]any)["cold"] = warmUpTime.Microseconds()
	settings["stats"] = map[string]any{"via": "on_probe", "columns": []string{"queue", "qps", "x0"}}
	settings["fees"] = map[string]any{"probe": 0.004}
}

// phases has the times at which the clients began, the faults began, and the run ended.
type phases struct{ begin, faults, end time.Time }

// injectFaults kills, pauses and partitions random members, chosen by the seed. Two phases later it resumes the paused
// members and heals the links.
func (r *run) injectFaults(ctx context.Context, f *procs.Fleet, all []int) (at phases) {
	rng := rand.New(rand.NewPCG(r.options.Seed, faultStream))
	at.begin = time.Now()
	sleep(ctx, phaseTime)
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	killed := all[:killedMembers]
	paused := all[killedMembers : killedMembers+pausedMembers]
	partitioned := all[killedMembers+pausedMembers : killedMembers+pausedMembers+partitionedMembers]
	r.log("killed %v, paused %v, all datagrams from %v are lost", killed, paused, partitioned)
	at.faults = time.Now()
	for _, i := range killed {
		f.Procs[i].Kill()
	}
	for _, i := range paused {
		f.Procs[i].Pause()
	}
	f.Proxy.UpdateLinks(partitioned, all, func(l *link.Link) { l.Partitioned = true })
	sleep(ctx, 2*phaseTime)
	r.log("paused members resume, links are good again")
	for _, i := range paused {
		f.Procs[i].Continue()
	}
	f.Proxy.Heal()
	sleep(ctx, phaseTime)
	at.end = time.Now()
	return at
}

// servers is the set of stand-in servers; the last one is cold.
type servers struct {
	nodes       []*node
	coldStarted time.Time
}

// startServers starts all servers. If it returns an error, none is left running.
func startServers(coldStarted time.Time) (*servers, error) {
	s := &servers{coldStarted: coldStarted}
	for range warmNodes + 1 {
		n, err := startNode()
		if err != nil {
			s.close()
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	return s, nil
}

// discoveryList returns the server list in the format of discovery. The warm servers have started long ago.
func (s *servers) discoveryList() (list []any) {
	for i, n := range s.nodes {
		started := time.Time{}
		if i == warmNodes {
			started = s.coldStarted
		}
		list = append(list, instance(i, n.listener.Addr(), started))
	}
	return list
}

func (s *servers) close() {
	for _, n := range s.nodes {
		_ = n.listener.Close()
	}
}

// addFigures adds the set-ups and probes of the servers to the report, and their ratio to the budget: for the set-ups
// to the cold server the maximum over all windows of countWindow, and for probes the rate with faults over that before.
func (s *servers) addFigures(r *report.Report, prefix string, at phases) {
	cold := s.nodes[warmNodes]
	overBudget := 0.0
	for from := at.begin; from.Add(countWindow).Before(at.end); from = from.Add(countWindowStep) {
		setUps := float64(cold.setUpsBetween(from, from.Add(countWindow)))
		overBudget = max(overBudget, setUps/setUpBudget(from.Sub(s.coldStarted), countWindow))
	}
	r.Figures[prefix+"cold_set_ups"] = float64(cold.setUpsBetween(at.begin, at.end))
	r.Figures[prefix+"cold_set_ups_over_budget"] = overBudget
	before := s.probesPerSecond(at.begin, at.faults)
	after := s.probesPerSecond(at.faults, at.end)
	r.Figures[prefix+"probes_per_s_before"] = before
	r.Figures[prefix+"probes_per_s"] = after
	if before > 0 {
		r.Figures[prefix+"probes_over_budget"] = after / before
	}
}

// probesPerSecond returns the rate of probes of all servers together.
func (s *servers) probesPerSecond(from, to time.Time) float64 {
	sum := 0
	for _, n := range s.nodes {
		sum += n.probesBetween(from, to)
	}
	return float64(sum) / to.Sub(from).Seconds()
}

// setUpBudget returns the fleet's budget of set-ups to the cold node in a window of length span. from is the time
// between the node's start and the beginning of the window.
func setUpBudget(from, span time.Duration) float64 {
	const step = 100 * time.Millisecond
	sum := 0.0
	for t := from; t < from+span; t += step {
		warm := math.Min(initialCapacity+(1-initialCapacity)*t.Seconds()/warmUpTime.Seconds(), 1)
		sum += budgetShare * budgetRate * coldFactor * warm * step.Seconds()
	}
	return sum
}

// sleep waits for d, or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// startClients starts clients that open connections one after another, hold each for clientLifetime, and pause for a
// random time in between. All clients together use the running balancers in turn. stop ends the clients, and served
// counts the established connections.
func startClients(f *procs.Fleet, seed uint64) (stop func(), served *atomic.Int64) {
	served = &atomic.Int64{}
	var nextProc, lastID atomic.Int64
	quit := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clientCount {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-quit:
					return
				case <-time.After(time.Duration(rng.Int64N(int64(clientMaxPause)))):
				}
				p := f.Procs[int(nextProc.Add(1))%len(f.Procs)]
				if p.Running() && openAndHold(p.Listen, fmt.Sprintf("%x", lastID.Add(1)), quit) {
					served.Add(1)
				}
			}
		}()
	}
	stop = func() {
		close(quit)
		wg.Wait()
	}
	return stop, served
}

// openAndHold opens a connection and holds it for clientLifetime, or until quit is closed. It reports whether the
// connection was established.
func openAndHold(addr, id string, quit <-chan struct{}) bool {
	conn, _, err := loadgen.Open(addr, fmt.Sprintf("OPEN %s %s c=sync,d=1200", id, id), openTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	select {
	case <-quit:
	case <-time.After(clientLifetime):
	}
	return true
}
