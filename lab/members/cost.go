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
	costRoundTime = 2 * time.Second // duration of each measurement in a round
	costConns     = 32              // connections that echo lines
	costClients   = 16              // clients that set up connections
	// costNodes is so large that the balancer's limit of set-ups per server does not bound the measured rate.
	costNodes = 150
	// costSockets is the socket limit in the balancers' configuration.
	costSockets = 4096
	idleTime    = 10 * time.Second
	bytesPerMiB = 1 << 20
)

// Indexes of the two compared variants.
const (
	withoutMembership = iota
	withMembership
	variants
)

// runCost measures the cost of membership: it compares a balancer that is a member of a fleet with one that has
// membership off, in alternating measurements.
func (r *run) runCost(ctx context.Context) error {
	known, stop, err := startEchoServers()
	defer stop()
	if err != nil {
		return err
	}
	var measured [variants]*procs.Proc
	for variant, n := range [variants]int{withoutMembership: 1, withMembership: r.trial.Processes} {
		f, err := r.newCostFleet(filepath.Join(r.dir, fmt.Sprint(variant)), n, known)
		if err != nil {
			return err
		}
		defer f.Close()
		f.WithoutMembership = variant == withoutMembership
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

// startEchoServers starts servers that echo lines, and returns their list in the format of discovery. stop closes the
// started servers; it must be called even after an error.
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

// newCostFleet prepares n processes, which are not started. All have the trial's number of balancers in their settings,
// so that the rate limits of one balancer do not depend on n.
func (r *run) newCostFleet(dir string, n int, known []any) (*procs.Fleet, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, err
	}
	f, err := procs.New(r.options.Program, dir, n, r.trial.Seeds, r.options.Seed)
	if err != nil {
		return nil, err
	}
	f.KnownServers = known
	f.ModifyConfig = func(_ int, config map[string]any) {
		settings := config["settings"].(map[string]any)
		settings["balancers"] = r.trial.Processes
		class := settings["request_classes"].([]any)[0].(map[string]any)
		class["name"] = "index-sync"
		config["limits"].(map[string]any)["sockets"] = costSockets
	}
	return f, nil
}

// measureIdle adds the resident memory of both balancers to the report, and the CPU time that the one with membership
// has used since its start, per second of idleTime.
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

// throughput has the measurements of each round, by variant.
type throughput struct {
	lines  [variants][]float64 // per second
	byCPU  [variants][]float64 // lines per second of CPU time
	setUps [variants][]float64 // per second
}

// measure adds the measurements of one variant in a round.
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

// addTo adds the medians of the measurements, and the median of the ratios of the two variants in each round, to the
// report. The ratio of a round is robust against changes of the machine's speed, which affect both variants.
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
