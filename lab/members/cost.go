package members

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"spurspread/lab/deployment"
	"spurspread/lab/echo"
	"spurspread/lab/loadgen"
	"spurspread/lab/procs"
	"spurspread/lab/report"
)

const (
	costRounds    = 10
	costRoundTime = 2 * time.Second // of each measurement of a round
	costConns     = 32              // over which lines are echoed
	costClients   = 16              // that set connections up
	// costNodes are so many that a balancer's rate of filling each does not bound what is measured.
	costNodes = 150
	// costSockets is the balancers' socket limit.
	costSockets = 4096
	idleTime    = 10 * time.Second
	bytesPerMiB = 1 << 20
)

// Indexes of what is compared.
const (
	withoutMembership = iota
	withMembership
	variants
)

// runCost measures one balancer with membership on, in a fleet, beside one with it off, by turns.
func (r *run) runCost(ctx context.Context) error {
	known, stop, err := startEchoServers()
	defer stop()
	if err != nil {
		return err
	}
	var measured [variants]*procs.Proc
	for variant, n := range [variants]int{withoutMembership: 1, withMembership: r.trial.Processes} {
		f, err := r.costFleet(filepath.Join(r.dir, fmt.Sprint(variant)), n, known)
		if err != nil {
			return err
		}
		defer f.Close()
		f.Apart = variant == withoutMembership
		if err := f.Start(); err != nil {
			return err
		}
		measured[variant] = f.Procs[0]
	}
	r.log("idle for %v", idleTime)
	time.Sleep(idleTime)
	r.measureIdle(measured)
	var all throughput
	for round := range costRounds {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		r.log("round %d of %d", round+1, costRounds)
		for turn := range variants {
			variant := (round + turn) % variants
			if err := all.measure(variant, measured[variant]); err != nil {
				return err
			}
		}
	}
	all.addTo(r.report)
	return nil
}

// startEchoServers starts servers that echo lines, and lists them as discovery does. stop closes those that were
// started, also after an error.
func startEchoServers() (known []any, stop func(), err error) {
	var open []net.Listener
	stop = func() {
		for _, ln := range open {
			_ = ln.Close()
		}
	}
	for i := range costNodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, stop, err
		}
		open = append(open, ln)
		go echo.Serve(ln, nil)
		known = append(known, instance(i, ln.Addr(), time.Time{}))
	}
	return known, stop, nil
}

// costFleet prepares n processes. Each has the trial's number of balancers in its settings, so that what one may send
// does not depend on n.
func (r *run) costFleet(dir string, n int, known []any) (*procs.Fleet, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, err
	}
	f, err := procs.New(r.options.Program, dir, n, r.trial.Seeds, r.options.Seed)
	if err != nil {
		return nil, err
	}
	f.Known = known
	f.Change = func(_ int, config map[string]any) {
		settings := config["settings"].(map[string]any)
		settings["balancers"] = r.trial.Processes
		class := settings["request_classes"].([]any)[0].(map[string]any)
		class["name"] = "index-sync"
		config["limits"].(map[string]any)["sockets"] = costSockets
	}
	return f, nil
}

// measureIdle adds the resident memory of both, and the processor time that membership has used.
func (r *run) measureIdle(measured [variants]*procs.Proc) {
	without := deployment.ResidentBytes(measured[withoutMembership].Pid()) / bytesPerMiB
	with := deployment.ResidentBytes(measured[withMembership].Pid()) / bytesPerMiB
	cpu := loadgen.CPUTime(measured[withMembership].Pid())
	figures := r.report.Figures
	figures["idle_cpu_ms_per_s"] = float64(cpu.Milliseconds()) / idleTime.Seconds()
	figures["idle_mb"] = with
	figures["idle_mb_off"] = without
	figures["idle_mb_more"] = with - without
}

// throughput is what was measured in each round, by variant.
type throughput struct {
	lines  [variants][]float64 // per second
	byCPU  [variants][]float64 // lines per second of processor time
	setUps [variants][]float64 // per second
}

// measure adds a round of one variant.
func (t *throughput) measure(variant int, p *procs.Proc) error {
	lines, err := loadgen.MeasureLines(p.Listen, p.Pid(), costConns, costRoundTime, false)
	if err != nil {
		return err
	}
	t.lines[variant] = append(t.lines[variant], lines.PerSecond)
	t.byCPU[variant] = append(t.byCPU[variant], lines.PerCPU)
	setUps, err := loadgen.MeasureSetUps(p.Listen, p.Pid(), costClients, costRoundTime)
	if err != nil {
		return err
	}
	t.setUps[variant] = append(t.setUps[variant], setUps.PerSecond)
	return nil
}

// addTo adds medians, and the median of the rounds' ratios: a machine that changes its speed changes both of a round.
func (t *throughput) addTo(r *report.Report) {
	for name, values := range map[string][variants][]float64{
		"lines_per_s":     t.lines,
		"lines_per_cpu_s": t.byCPU,
		"set_ups_per_s":   t.setUps,
	} {
		without := values[withoutMembership]
		with := values[withMembership]
		var ratios []float64
		for i := range without {
			ratios = append(ratios, with[i]/without[i])
		}
		r.Figures[name] = report.Quantile(with, 0.5)
		r.Figures[name+"_off"] = report.Quantile(without, 0.5)
		r.Figures[name+"_on_over_off"] = report.Quantile(ratios, 0.5)
	}
}
