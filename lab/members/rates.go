package members

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"spurspread/lab/experiment"
	"spurspread/lab/link"
	"spurspread/lab/procs"
	"spurspread/lab/report"
)

// The stand-in fleet of servers: some warm ones, and one that warms slowly, so that it is cold for the whole of the trial.
const (
	warmNodes  = 3
	coldSpan   = 100 * time.Second
	coldFrom   = 0.13
	coldTimes  = 3.0
	clients    = 60
	clientLife = time.Second
	phase      = 20 * time.Second
	// countSpan is over which set-ups are counted: chance moves the sum of a shorter one by more than it tells.
	countSpan = 10 * time.Second

	// What the balancers' law allows a cold server of mean size from those at home, of all of them together: decide/fill.
	lawRate, lawPart = 3.8, 0.6
)

// rates has clients ask all of a fleet for more than its warm nodes take, while members are killed, paused and cut off, and holds
// what a cold node gets from all of them together against the fleet's budget.
func (c *Trial) rates(ctx context.Context, o experiment.Options, dir string, r *report.Report, log func(string, ...any)) error {
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

func (c *Trial) ratesOf(ctx context.Context, o experiment.Options, dir, prefix string, apart bool, r *report.Report, log func(string, ...any)) error {
	rng := rand.New(rand.NewPCG(o.Seed, 0x7261746573))
	f, err := procs.New(o.Program, dir, c.Processes, c.Seeds, o.Seed)
	if err != nil {
		return err
	}
	defer f.Close()
	f.Apart = apart
	started := time.Now()
	var nodes []*node
	for i := range warmNodes + 1 {
		n, err := startNode()
		if err != nil {
			return err
		}
		defer func() { _ = n.ln.Close() }()
		nodes = append(nodes, n)
		at := time.Time{}
		if i == warmNodes {
			at = started
		}
		f.Known = append(f.Known, n.instance(i, at))
	}
	cold := nodes[warmNodes]
	f.Change = func(i int, config map[string]any) {
		s := config["settings"].(map[string]any)
		s["balancers"] = 1 // what the settings say where nobody knows better
		s["rules"].(map[string]any)["cold"] = coldSpan.Microseconds()
		s["stats"] = map[string]any{"via": "on_probe", "columns": []string{"queue", "qps", "x0"}}
		s["fees"] = map[string]any{"probe": 0.004}
	}
	if err := f.Start(); err != nil {
		return err
	}
	all := make([]int, c.Processes)
	for i := range all {
		all[i] = i
	}
	if !apart {
		if err := procs.Await(joinTime, "all find each other", func() bool { return ctx.Err() != nil || f.Agreed(all) }); err != nil {
			return err
		}
	}
	stop, served := ask(f, o.Seed)
	defer stop()
	begin := time.Now()
	log("%d members serve", c.Processes)
	sleep(ctx, phase)
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	killed, paused, cut := all[:4], all[4:8], all[8:10]
	log("killed %v, paused %v, heard by nobody any more %v", killed, paused, cut)
	faults := time.Now()
	for _, i := range killed {
		f.Procs[i].Kill()
	}
	for _, i := range paused {
		f.Procs[i].Pause()
	}
	f.Net.Set(cut, all, func(l *link.Link) { l.Cut = true })
	sleep(ctx, 2*phase)
	log("paused members go on, links are good again")
	for _, i := range paused {
		f.Procs[i].Continue()
	}
	f.Net.Heal()
	sleep(ctx, phase)
	end := time.Now()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	over := 0.0
	for from := begin; from.Add(countSpan).Before(end); from = from.Add(time.Second) {
		got, may := float64(cold.came(&cold.setUps, from, from.Add(countSpan))), allowed(from.Sub(started), countSpan)
		over = max(over, got/may)
	}
	probes := func(from, to time.Time) float64 {
		sum := 0
		for _, n := range nodes {
			sum += n.came(&n.probes, from, to)
		}
		return float64(sum) / to.Sub(from).Seconds()
	}
	before := probes(begin, faults)
	r.Figures[prefix+"cold_set_ups"] = float64(cold.came(&cold.setUps, begin, end))
	r.Figures[prefix+"cold_set_ups_over_budget"] = over
	r.Figures[prefix+"probes_per_s_before"], r.Figures[prefix+"probes_per_s"] = before, probes(faults, end)
	if before > 0 {
		r.Figures[prefix+"probes_over_budget"] = probes(faults, end) / before
	}
	r.Figures[prefix+"served_per_s"] = float64(served.Load()) / end.Sub(begin).Seconds()
	return nil
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

// ask has clients open a connection, hold it for a while and open the next, each time at the next balancer that runs.
func ask(f *procs.Fleet, seed uint64) (stop func(), served *atomic.Int64) {
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

func open(addr, id string, quit chan struct{}) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c, "OPEN %s %s c=sync,d=1200\r\n", id, id); err != nil {
		return false
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "UP ") {
		return false
	}
	select {
	case <-quit:
	case <-time.After(clientLife):
	}
	return true
}
