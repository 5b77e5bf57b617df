package members

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"spurspread/lab/experiment"
	"spurspread/lab/link"
	"spurspread/lab/loadgen"
	"spurspread/lab/procs"
	"spurspread/lab/report"
	"sync"
	"sync/atomic"
	"time"
)

// The stand-in fleet of servers: some warm ones, and one that warms slowly, so that it is cold for the whole of the
// trial.
const (
	warmNodes      = 3
	coldSpan       = 100 * time.Second
	coldFrom       = 0.13
	coldTimes      = 3.0
	clients        = 60
	clientLifetime = time.Second
	phase          = 20 * time.Second
	// openTime bounds a client's wait for its answer: its deadline of 1.2 s, and what a paused member holds it up.
	openTime = 3 * time.Second
	// countSpan is over which set-ups are counted: chance moves the sum of a shorter one by more than it tells.
	countSpan = 10 * time.Second

	// What the balancers' law allows a cold server of mean size from those at home, of all of them together:
	// decision/slowstart.
	lawRate, lawPart = 3.8, 0.6
)

// rates has clients ask all of a fleet for more than its warm nodes take, while members are killed, paused and cut
// off, and holds what a cold node gets from all of them together against the fleet's budget.
func (c *Trial) rates(
	ctx context.Context,
	o experiment.Options,
	dir string,
	r *report.Report,
	log func(string, ...any),
) error {
	for _, p := range []struct {
		prefix string
		apart  bool
	}{{"", false}, {"apart_", true}} {
		sub := filepath.Join(dir, "fleet"+p.prefix)
		if err := os.MkdirAll(sub, 0o700); err != nil {
			return err
		}
		if err := c.ratesOf(ctx, o, sub, p.prefix, p.apart, r, log); err != nil {
			return err
		}
	}
	return nil
}

// ratesOf plays it once, with the figures' names beginning with prefix. Where apart is set, no member knows of another.
func (c *Trial) ratesOf(
	ctx context.Context,
	o experiment.Options,
	dir, prefix string,
	apart bool,
	r *report.Report,
	log func(string, ...any),
) error {
	f, err := procs.New(o.Program, dir, c.Processes, c.Seeds, o.Seed)
	if err != nil {
		return err
	}
	defer f.Close()
	f.Apart, f.Change = apart, ratesConfig
	s, err := startServers(time.Now())
	if err != nil {
		return err
	}
	defer s.close()
	f.Known = s.known()
	if err := f.Start(); err != nil {
		return err
	}
	all := make([]int, c.Processes)
	for i := range all {
		all[i] = i
	}
	if !apart {
		if err := procs.Await(joinTime, "all find each other",
			func() bool { return ctx.Err() != nil || f.Agreed(all) }); err != nil {
			return err
		}
	}
	stop, served := runClients(f, o.Seed)
	defer stop()
	log("%d members serve", c.Processes)
	at := playFaults(ctx, f, all, o.Seed, log)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	s.measure(r, prefix, at)
	r.Figures[prefix+"served_per_s"] = float64(served.Load()) / at.end.Sub(at.begin).Seconds()
	return nil
}

// ratesConfig changes a member's configuration: what its settings say of the fleet's size where it knows no better,
// the law of cold servers, and probes that tell of load.
func ratesConfig(_ int, config map[string]any) {
	s := config["settings"].(map[string]any)
	s["balancers"] = 1
	s["rules"].(map[string]any)["cold"] = coldSpan.Microseconds()
	s["stats"] = map[string]any{"via": "on_probe", "columns": []string{"queue", "qps", "x0"}}
	s["fees"] = map[string]any{"probe": 0.004}
}

// instants are when clients began, when the faults did, and when it was over.
type instants struct{ begin, faults, end time.Time }

// playFaults kills, pauses and cuts off some of the members, drawn from the seed, and heals what can be healed.
func playFaults(ctx context.Context, f *procs.Fleet, all []int, seed uint64, log func(string, ...any)) (at instants) {
	rng := rand.New(rand.NewPCG(seed, 0x7261746573))
	at.begin = time.Now()
	sleep(ctx, phase)
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	killed, paused, cut := all[:4], all[4:8], all[8:10]
	log("killed %v, paused %v, heard by nobody any more %v", killed, paused, cut)
	at.faults = time.Now()
	for _, i := range killed {
		f.Procs[i].Kill()
	}
	for _, i := range paused {
		f.Procs[i].Pause()
	}
	f.Net.Set(cut, all, func(l *link.Link) { l.Partitioned = true })
	sleep(ctx, 2*phase)
	log("paused members go on, links are good again")
	for _, i := range paused {
		f.Procs[i].Continue()
	}
	f.Net.Heal()
	sleep(ctx, phase)
	at.end = time.Now()
	return at
}

// servers are the stand-in fleet's; the last one is cold.
type servers struct {
	nodes   []*node
	started time.Time // of the cold one
}

// startServers starts them all. What was started before an error is closed.
func startServers(started time.Time) (*servers, error) {
	s := &servers{started: started}
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

// known lists them as discovery does: the warm ones started long ago.
func (s *servers) known() (list []any) {
	for i, n := range s.nodes {
		at := time.Time{}
		if i == warmNodes {
			at = s.started
		}
		list = append(list, instance(i, n.ln.Addr(), at))
	}
	return list
}

func (s *servers) close() {
	for _, n := range s.nodes {
		_ = n.ln.Close()
	}
}

// measure reports what the servers got, and how much of its budget the cold one did.
func (s *servers) measure(r *report.Report, prefix string, at instants) {
	cold := s.nodes[warmNodes]
	over := 0.0
	for from := at.begin; from.Add(countSpan).Before(at.end); from = from.Add(time.Second) {
		got := float64(cold.came(&cold.setUps, from, from.Add(countSpan)))
		over = max(over, got/allowed(from.Sub(s.started), countSpan))
	}
	r.Figures[prefix+"cold_set_ups"] = float64(cold.came(&cold.setUps, at.begin, at.end))
	r.Figures[prefix+"cold_set_ups_over_budget"] = over
	before, after := s.probes(at.begin, at.faults), s.probes(at.faults, at.end)
	r.Figures[prefix+"probes_per_s_before"], r.Figures[prefix+"probes_per_s"] = before, after
	if before > 0 {
		r.Figures[prefix+"probes_over_budget"] = after / before
	}
}

// probes is how many of them came a second, at all servers together.
func (s *servers) probes(from, to time.Time) float64 {
	sum := 0
	for _, n := range s.nodes {
		sum += n.came(&n.probes, from, to)
	}
	return float64(sum) / to.Sub(from).Seconds()
}

// allowed is how many set-ups the fleet's budget has for the cold node from some time after its start on.
func allowed(from, span time.Duration) float64 {
	sum := 0.0
	const step = 100 * time.Millisecond
	for t := from; t < from+span; t += step {
		warm := math.Min(coldFrom+(1-coldFrom)*t.Seconds()/coldSpan.Seconds(), 1)
		sum += lawPart * lawRate * coldTimes * warm * step.Seconds()
	}
	return sum
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runClients has clients open a connection, hold it for a while and open the next, each time at the next balancer
// that runs.
func runClients(f *procs.Fleet, seed uint64) (stop func(), served *atomic.Int64) {
	served = &atomic.Int64{}
	var next, ids atomic.Int64
	quit := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-quit:
					return
				case <-time.After(time.Duration(rng.Int64N(int64(200 * time.Millisecond)))):
				}
				p := f.Procs[int(next.Add(1))%len(f.Procs)]
				if p.Runs() && open(p.Listen, fmt.Sprintf("%x", ids.Add(1)), quit) {
					served.Add(1)
				}
			}
		}()
	}
	return func() { close(quit); wg.Wait() }, served
}

// open opens one connection and holds it for clientLife, or until quit closes. It tells whether the connection stood.
func open(addr, id string, quit chan struct{}) bool {
	c, _, err := loadgen.Open(addr, fmt.Sprintf("OPEN %s %s c=sync,d=1200", id, id), openTime)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	select {
	case <-quit:
	case <-time.After(clientLifetime):
	}
	return true
}
