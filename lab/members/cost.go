package members

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"spurspread/lab/deployment"
	"spurspread/lab/echo"
	"spurspread/lab/experiment"
	"spurspread/lab/loadgen"
	"spurspread/lab/procs"
	"spurspread/lab/report"
	"time"
)

const (
	costRounds  = 10
	costSpan    = 2 * time.Second
	costConns   = 32
	costClients = 16
	// costNodes are enough that a balancer's rate of filling each does not bound what is measured.
	costNodes = 150
	idleTime  = 10 * time.Second
)

// cost measures one balancer with membership on, in a fleet, beside one with it off, in turn.
func (c *Trial) cost(
	ctx context.Context,
	o experiment.Options,
	dir string,
	r *report.Report,
	log func(string, ...any),
) error {
	known, stop, err := echoServers()
	defer stop()
	if err != nil {
		return err
	}
	var measured [2]*procs.Proc // without membership, and with it
	for on, n := range []int{1, c.Processes} {
		f, err := c.costFleet(o, filepath.Join(dir, fmt.Sprint(on)), n, known)
		if err != nil {
			return err
		}
		defer f.Close()
		f.Apart = on == 0
		if err := f.Start(); err != nil {
			return err
		}
		measured[on] = f.Procs[0]
	}
	log("idle for %v", idleTime)
	time.Sleep(idleTime)
	measureIdle(measured, r)
	var all throughput
	for round := range costRounds {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		log("round %d of %d", round+1, costRounds)
		for k := range 2 {
			which := (round + k) % 2
			if err := all.measure(which, measured[which]); err != nil {
				return err
			}
		}
	}
	all.report(r)
	return nil
}

// echoServers starts servers that echo lines, and lists them as discovery does. stop closes those that were
// started, also after an error.
func echoServers() (known []any, stop func(), err error) {
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

// costFleet prepares n processes that are not started. Each is told that the fleet has the trial's number of
// balancers, so that what one may send does not depend on n.
func (c *Trial) costFleet(o experiment.Options, dir string, n int, known []any) (*procs.Fleet, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f, err := procs.New(o.Program, dir, n, c.Seeds, o.Seed)
	if err != nil {
		return nil, err
	}
	f.Known = known
	f.Change = func(_ int, config map[string]any) {
		settings := config["settings"].(map[string]any)
		settings["balancers"] = c.Processes
		settings["request_classes"].([]any)[0].(map[string]any)["name"] = "index-sync"
		config["limits"].(map[string]any)["sockets"] = 4096
	}
	return f, nil
}

// measureIdle reports the resident memory of both, and the processor time that membership has used.
func measureIdle(measured [2]*procs.Proc, r *report.Report) {
	idle := [2]float64{
		deployment.Resident(measured[0].Pid()) / (1 << 20),
		deployment.Resident(measured[1].Pid()) / (1 << 20),
	}
	cpu := loadgen.CPUTime(measured[1].Pid())
	r.Figures["idle_cpu_ms_per_s"] = float64(cpu.Milliseconds()) / idleTime.Seconds()
	r.Figures["idle_mb"], r.Figures["idle_mb_off"], r.Figures["idle_mb_more"] = idle[1], idle[0], idle[1]-idle[0]
}

// throughput is what was measured in each round, without membership and with it.
type throughput struct{ lines, byCPU, setUps [2][]float64 }

// measure adds a round of one of the two.
func (t *throughput) measure(which int, p *procs.Proc) error {
	s, err := loadgen.Lines(p.Listen, p.Pid(), costConns, costSpan, false)
	if err != nil {
		return err
	}
	t.lines[which], t.byCPU[which] = append(t.lines[which], s.PerSecond), append(t.byCPU[which], s.PerCPU)
	if s, err = loadgen.SetUps(p.Listen, p.Pid(), costClients, costSpan); err != nil {
		return err
	}
	t.setUps[which] = append(t.setUps[which], s.PerSecond)
	return nil
}

// report reports medians, and the median of the rounds' ratios: a machine that changes its speed changes both of a
// round.
func (t *throughput) report(r *report.Report) {
	for name, v := range map[string][2][]float64{
		"lines_per_s": t.lines, "lines_per_cpu_s": t.byCPU,
		"set_ups_per_s": t.setUps,
	} {
		r.Figures[name], r.Figures[name+"_off"] = report.Quantile(v[1], 0.5), report.Quantile(v[0], 0.5)
		var ratios []float64
		for i := range v[0] {
			ratios = append(ratios, v[1][i]/v[0][i])
		}
		r.Figures[name+"_on_over_off"] = report.Quantile(ratios, 0.5)
	}
}
